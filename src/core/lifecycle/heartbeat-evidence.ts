/** What a heartbeat proves about its machine, by its agent epoch, sequence and fencing token. */

import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { Heartbeat } from '../model/heartbeat.js';

/**
 * Whether a heartbeat proves that the attempts it does not list are absent from its machine:
 * - `direct-response`: no. It came in the response to commands sent straight to the worker, and may
 *   cross a heartbeat reply that is still in flight.
 * - `unverified`: no. It carries an older fencing token, or an agent epoch in which this leader
 *   has not replied yet, so it may predate a start that a former leader's reply delivered.
 * - `authoritative`: yes. It carries this leader's fencing token, in an agent epoch in which this
 *   leader has replied.
 */
export type HeartbeatEvidence = 'direct-response' | 'unverified' | 'authoritative';

/**
 * Whether a heartbeat is out of date: its machine is deleted, its agent epoch has ended, or its
 * sequence number is not new in the current epoch. Late and duplicate ones must change nothing.
 */
export const isStaleHeartbeat = (state: CoreState, heartbeat: Heartbeat): boolean => {
  if (state.deletedMachines.has(heartbeat.machine)) return true;
  const machine = state.machines.get(heartbeat.machine);
  if (!machine) return false;
  if (heartbeat.agentEpoch !== machine.agentEpoch) return heartbeat.agentEpoch < machine.agentEpoch;
  return heartbeat.sequence <= machine.heartbeatSequence;
};

/** Assesses a heartbeat by the replies that this leader has sent to its machine. */
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
    : 'unverified';
};

/**
 * Whether this is the first heartbeat of a machine provisioned in this leader's term. No start from
 * a former leader can be in flight to it, so it is ready for tasks immediately. Proof that an
 * attempt is absent still takes an authoritative heartbeat.
 */
export const isFirstHeartbeatOfNewMachine = (machine: Machine, heartbeat: Heartbeat): boolean =>
  !machine.hasReported &&
  machine.isProvisionedThisTerm &&
  heartbeat.agentEpoch === 1 &&
  heartbeat.tasks.length === 0;
