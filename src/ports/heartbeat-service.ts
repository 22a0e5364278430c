/** The port through which the HTTP adapter passes workers' heartbeats to the controller. */
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { FencingToken, NodeId } from '../core/model/ids.js';
import type { WorkerCommand } from '../core/model/worker-command.js';

/** The answer to a heartbeat; the adapter maps each kind to a response of the protocol. */
export type HeartbeatDecision =
  /** Commands for the worker, which ignores them if it has seen a higher fencing token. */
  | {
      readonly kind: 'commands';
      readonly fencingToken: FencingToken;
      readonly commands: readonly WorkerCommand[];
    }
  /** Another controller leads; `leader` is null if it is unknown. */
  | { readonly kind: 'redirect'; readonly leader: NodeId | null }
  /** No decision is possible now; the worker tries the next controller. */
  | { readonly kind: 'unavailable' };

/** Answers workers' heartbeats; called once per successfully parsed heartbeat. */
export interface HeartbeatService {
  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision>;
}
