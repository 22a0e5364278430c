/** What the HTTP adapter calls when a worker's heartbeat comes in. */
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { FencingToken, NodeId } from '../../core/model/ids.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';

/** What a worker is answered. */
export type HeartbeatDecision =
  /** Its commands, under the token by which it judges them. */
  | {
      readonly kind: 'commands';
      readonly fencingToken: FencingToken;
      readonly commands: readonly WorkerCommand[];
    }
  /** Another controller leads; null when this one cannot name it. */
  | { readonly kind: 'redirect'; readonly leader: NodeId | null }
  /** Not now: it asks again. */
  | { readonly kind: 'unavailable' };

/** Answers workers' heartbeats. */
export interface HeartbeatService {
  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision>;
}
