/**
 * Reconciles the leader's state with a worker's heartbeat: the machine's attributes, reachability
 * and readiness, and its tasks' status.
 */

import type { CoreState } from '../core-state.js';
import { hasMissedHeartbeats } from '../fleet/machine-health.js';
import { recordHeard } from '../fleet/machine-losses.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { Machine } from '../model/entities.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { ReplyTicket } from '../model/ids.js';
import { addMillis, type Instant, seconds } from '../model/time.js';
import {
  assessHeartbeat,
  type HeartbeatEvidence,
  isFirstHeartbeatOfNewMachine,
  isStaleHeartbeat,
} from './heartbeat-evidence.js';
import { trackReachability } from './machine-reachability.js';
import { getOrCreateMachine, updateReportedAttributes } from './machine-registry.js';
import { reconcileTasks } from './task-reconciliation.js';

const rejectHeartbeat = (ticket: ReplyTicket, effects: Effect[]): void => {
  effects.push({ kind: 'reply-to-heartbeat', ticket, commands: null });
};

/** Only a machine's newest heartbeat gets commands; an older one still pending is rejected. */
const replacePendingReply = (
  state: CoreState,
  machine: Machine,
  ticket: ReplyTicket | null,
  now: Instant,
  effects: Effect[],
): void => {
  if (machine.pendingReply) rejectHeartbeat(machine.pendingReply.ticket, effects);
  machine.pendingReply = ticket === null ? null : { ticket, since: now };
  if (machine.pendingReply) state.machinesAwaitingReply.add(machine);
  else state.machinesAwaitingReply.delete(machine);
};

/** A direct response is not sent by the heartbeat loop and leaves `lastHeartbeatAt` unchanged. */
const recordHeartbeat = (
  state: CoreState,
  machine: Machine,
  heartbeat: Heartbeat,
  isDirectResponse: boolean,
  now: Instant,
): void => {
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.heartbeatSequence = heartbeat.sequence;
  machine.hasReported = true;
  recordHeard(state, machine.id, now);
  if (isDirectResponse) return;
  if (hasMissedHeartbeats(state, machine, now)) state.isRoundDue = true;
  machine.lastHeartbeatAt = now;
};

/** Unmarks a lost machine that reports again, unless it is being deleted or is drained. */
const clearLostState = (machine: Machine): void => {
  const isDrained = machine.isDraining && machine.placements.size === 0;
  if (machine.lostAt === null || machine.isDeleting || isDrained) return;
  machine.lostAt = null;
  machine.lostReason = '';
};

const updateReclaimNotice = (
  state: CoreState,
  machine: Machine,
  { reclaimNoticeS }: Heartbeat,
  now: Instant,
): void => {
  // Replicas on a machine about to be reclaimed have to move, which takes a scheduling round.
  if (reclaimNoticeS !== null && machine.reclaimAt === null) state.isRoundDue = true;
  machine.reclaimAt = reclaimNoticeS === null ? null : addMillis(now, seconds(reclaimNoticeS));
};

/** A machine proven to obey this leader is ready for work until its agent epoch changes. */
const updateReadiness = (
  state: CoreState,
  machine: Machine,
  heartbeat: Heartbeat,
  evidence: HeartbeatEvidence,
  now: Instant,
): void => {
  if (evidence === 'authoritative') {
    if (!machine.isReady) state.isRoundDue = true;
    machine.isReady = true;
    machine.unverifiedSince = null;
  } else if (evidence === 'unverified' && !machine.isReady) {
    machine.unverifiedSince ??= now;
  }
  if (machine.acknowledgedEpoch !== heartbeat.agentEpoch) machine.isReady = false;
};

/**
 * Applies one heartbeat, or rejects a stale one. `ticket` identifies the reply that the worker
 * waits for; it is null if the worker sent the heartbeat in response to direct commands.
 */
export const reconcileHeartbeat = (
  state: CoreState,
  heartbeat: Heartbeat,
  ticket: ReplyTicket | null,
  now: Instant,
  effects: Effect[],
): void => {
  if (isStaleHeartbeat(state, heartbeat)) {
    if (ticket !== null) rejectHeartbeat(ticket, effects);
    return;
  }
  const isDirectResponse = ticket === null;
  const machine = getOrCreateMachine(state, heartbeat.machine, heartbeat, now);
  updateReportedAttributes(machine, heartbeat);
  if (!isDirectResponse) trackReachability(state, machine, heartbeat, now, effects);
  replacePendingReply(state, machine, ticket, now, effects);
  if (!machine.hasReported) {
    const { id: machineId, type, zone } = machine;
    logEvent(effects, 'debug', 'machine sent its first heartbeat to this leader', {
      machineId,
      type,
      zone,
    });
  }
  const isReadyImmediately = isFirstHeartbeatOfNewMachine(machine, heartbeat);
  recordHeartbeat(state, machine, heartbeat, isDirectResponse, now);
  clearLostState(machine);
  updateReclaimNotice(state, machine, heartbeat, now);
  const evidence = assessHeartbeat(state, machine, heartbeat, isDirectResponse);
  updateReadiness(state, machine, heartbeat, evidence, now);
  if (isReadyImmediately) {
    machine.isReady = true;
    state.isRoundDue = true;
  }
  reconcileTasks(state, machine, heartbeat, evidence, now, effects);
};
