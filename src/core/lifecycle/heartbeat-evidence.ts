/** What a heartbeat proves about its machine, decided once from its epoch, sequence and token. */

import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { Heartbeat } from '../model/heartbeat.js';

/**
 * How far a heartbeat may be trusted about what is NOT on its machine:
 * - `direct-response`: it came in the response to commands sent straight to the worker, which may
 *   cross the reply to a heartbeat that is still under way; it proves no absence.
 * - `unconfirmed`: it carries an older fencing token, or an agent epoch in which this leader has
 *   not replied yet. It may have been sent before a start that a former leader's reply brought.
 * - `authoritative`: it carries this leader's fencing token in an agent epoch in which this leader
 *   has replied. Attempts that it does not list are not on the machine.
 */
export type HeartbeatEvidence = 'direct-response' | 'unconfirmed' | 'authoritative';

/**
 * Whether a heartbeat is out of date: its machine is deleted, or it comes from an earlier agent
 * epoch, or from this one with a sequence number already seen. Late copies must change nothing.
 */
export const isStaleHeartbeat = (state: CoreState, heartbeat: Heartbeat): boolean => {
  if (state.deletedMachines.has(heartbeat.machine)) return true;
  const machine = state.machines.get(heartbeat.machine);
  if (!machine) return false;
  if (heartbeat.agentEpoch !== machine.agentEpoch) return heartbeat.agentEpoch < machine.agentEpoch;
  return heartbeat.sequence <= machine.heartbeatSequence;
};

/** What the heartbeat proves, by the replies that this leader has sent to its machine. */
export const assessHeartbeat = (
  state: CoreState,
  machine: Machine,
  heartbeat: Heartbeat,
  isDirectResponse: boolean,
): HeartbeatEvidence => {
  if (isDirectResponse) return 'direct-response';
  return heartbeat.fencingToken === state.config.fencingToken &&
    machine.acknowledgedEpoch === heartbeat.agentEpoch
    ? 'authoritative'
    : 'unconfirmed';
};

/**
 * Whether this is the first heartbeat of a machine provisioned under this fencing token: no start
 * of a former leader can be on its way to it, so it is ready for tasks at once. Proof of absence
 * still needs an authoritative heartbeat.
 */
export const isFirstHeartbeatOfNewMachine = (machine: Machine, heartbeat: Heartbeat): boolean =>
  !machine.hasReported &&
  machine.isProvisionedThisTerm &&
  heartbeat.agentEpoch === 1 &&
  heartbeat.tasks.length === 0;
