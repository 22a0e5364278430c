/** What the service offers to the adapter that receives workers' heartbeats. */
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { FencingToken, NodeId } from '../core/model/ids.js';
import type { WorkerCommand } from '../core/model/worker-command.js';

/** How a heartbeat is answered; the adapter maps each kind to a response of the protocol. */
export type HeartbeatDecision =
  /** Commands for the worker, which drops them if it knows a fencing token above this one. */
  | {
      readonly kind: 'commands';
      readonly fencingToken: FencingToken;
      readonly commands: readonly WorkerCommand[];
    }
  /** Another controller leads; `leader` is null when this one cannot name it. */
  | { readonly kind: 'redirect'; readonly leader: NodeId | null }
  /** No answer can be given now: the worker tries the next controller. */
  | { readonly kind: 'unavailable' };

/** Answers workers' heartbeats; called once for each heartbeat that could be parsed. */
export interface HeartbeatService {
  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision>;
}
