/** What controllers ask one another, and how the service reaches a peer. */
import type { OperatorCall } from '../core/extensions/extension.js';
import type { JobId, NodeId, TeamName } from '../core/model/ids.js';

/**
 * A question to a peer. One that comes in may lack what it should name: it is answered, but with
 * nothing, since the peer may be of another version.
 */
export type PeerRequest =
  /** To the leader: the job as it stands, why it waits, and its cancellation. */
  | { readonly ask: 'status' | 'explain' | 'abort'; readonly job?: JobId | undefined }
  /** The job as the peer reads it from the key-value store, for a node that cannot. */
  | { readonly ask: 'look'; readonly job?: JobId | undefined }
  /** The unfinished jobs of a team. */
  | { readonly ask: 'list'; readonly team?: TeamName | undefined }
  /** Who leads, and what the peer reaches. */
  | { readonly ask: 'health' }
  /** A job to admit, as its record holds it, for a node that the store does not answer. */
  | { readonly ask: 'admit'; readonly record?: unknown }
  /** An operator's call to an extension, for the leader to answer. */
  | {
      readonly ask: 'operate';
      readonly extension?: string | undefined;
      readonly call?: OperatorCall | undefined;
    };

/** Another controller. */
export interface Peer {
  readonly node: NodeId;
  /** Its answer, or undefined when none comes within `timeoutMs`. */
  request(request: PeerRequest, timeoutMs: number): Promise<unknown>;
  close(): void;
}

/** Answers a peer's question; the answer must fit a frame. */
export type HandlePeerRequest = (request: PeerRequest) => Promise<unknown> | unknown;
