/** Requests between controllers, and the port to a peer. */
import type { OperatorCall } from '../core/extensions/extension.js';
import type { JobId, NodeId, TeamName } from '../core/model/ids.js';

/**
 * A request to a peer. The sender may run another version: a request without a required field is
 * answered with an empty result.
 */
export type PeerRequest =
  /** To the leader: explains why a job waits, or cancels it. */
  | { readonly ask: 'explain' | 'abort'; readonly job?: JobId | undefined }
  /**
   * Returns a job's state if the peer leads, or if it knows of a worker that runs one of its tasks.
   * `record` is the job's stored record if the sender has just read it: no end of the job was
   * stored then.
   */
  | { readonly ask: 'status'; readonly job?: JobId | undefined; readonly record?: unknown }
  /** Looks up a job in the key-value store for a node that cannot reach it. */
  | { readonly ask: 'look'; readonly job?: JobId | undefined }
  /** To the leader: lists a team's unfinished jobs. */
  | { readonly ask: 'list'; readonly team?: TeamName | undefined }
  /** Returns the peer's known leader, redirected workers and store connection. */
  | { readonly ask: 'health' }
  /** Admits a job, given as its record, for a node that cannot store it now. */
  | { readonly ask: 'admit'; readonly record?: unknown }
  /** To the leader: executes an operator's call to an extension. */
  | {
      readonly ask: 'operate';
      readonly extension?: string | undefined;
      readonly call?: OperatorCall | undefined;
    };

/** Connection to another controller. */
export interface Peer {
  readonly node: NodeId;
  /** Returns the peer's answer, or undefined if none arrives within `timeoutMs`. */
  request(request: PeerRequest, timeoutMs: number): Promise<unknown>;
  close(): void;
}

/** Answers a request from a peer; the answer must fit in one frame. */
export type HandlePeerRequest = (request: PeerRequest) => Promise<unknown> | unknown;
