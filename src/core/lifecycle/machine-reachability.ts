/**
 * One-way partitions: the leader receives a machine's heartbeats, but its replies do not arrive.
 * Tasks placed on such a machine would never start, so it gets no more work and is replaced.
 */

import type { CoreState } from '../core-state.js';
import { UNACKNOWLEDGED_REPLY_LIMIT } from '../fleet/machine-health.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { Machine } from '../model/entities.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { AttemptId } from '../model/ids.js';
import { addMillis, type Instant } from '../model/time.js';

/** Consecutive unacknowledged replies before a machine is replaced. */
const UNREACHABLE_AFTER_REPLIES = 4;

/** Time without an authoritative heartbeat, in worker leases, before a machine is replaced. */
const UNREACHABLE_AFTER_LEASES = 1.5;

/**
 * Number of machines, and share of the fleet, that may seem unreachable at a time. Above the larger
 * of the two, the likelier cause is a slow leader, and replacing the machines would not help.
 */
const MAX_UNREACHABLE = 2;
const MAX_UNREACHABLE_SHARE = 0.2;

/** A worker that receives replies keeps its agent epoch, so a new one shows that none arrived. */
const hasEpochEndedDespiteReplies = (machine: Machine, heartbeat: Heartbeat): boolean =>
  heartbeat.agentEpoch > machine.agentEpoch &&
  machine.acknowledgedEpoch === machine.agentEpoch &&
  machine.agentEpoch > 0;

const listsAnyAttempt = (heartbeat: Heartbeat, attempts: readonly AttemptId[]): boolean => {
  const listed = new Set<number>(heartbeat.tasks.map((task) => task.attempt));
  return attempts.some((attempt) => listed.has(attempt));
};

/**
 * Counts consecutive replies that did not arrive. The heartbeat after a reply with starts shows
 * whether that reply arrived: it lists each start received, in whatever phase.
 */
const countUnacknowledgedReplies = (machine: Machine, heartbeat: Heartbeat): number => {
  const { dispatchedStarts, unacknowledgedReplies } = machine;
  if (hasEpochEndedDespiteReplies(machine, heartbeat)) return unacknowledgedReplies + 1;
  const followsStarts =
    dispatchedStarts !== null &&
    heartbeat.agentEpoch === machine.agentEpoch &&
    heartbeat.sequence > dispatchedStarts.heartbeatSequence;
  if (!followsStarts) return unacknowledgedReplies;
  return listsAnyAttempt(heartbeat, dispatchedStarts.attempts) ? 0 : unacknowledgedReplies + 1;
};

const seemsUnreachable = (state: CoreState, machine: Machine, now: Instant): boolean => {
  if (machine.unacknowledgedReplies >= UNREACHABLE_AFTER_REPLIES) return true;
  const { unverifiedSince } = machine;
  const limitMs = UNREACHABLE_AFTER_LEASES * state.config.workerLeaseMs;
  return unverifiedSince !== null && now - unverifiedSince > limitMs;
};

const areTooManyUnreachable = (state: CoreState): boolean => {
  let unreachable = 0;
  for (const machine of state.machines.values())
    if (machine.isUnreachable || machine.unacknowledgedReplies >= UNACKNOWLEDGED_REPLY_LIMIT)
      unreachable += 1;
  return unreachable > Math.max(MAX_UNREACHABLE, state.machines.size * MAX_UNREACHABLE_SHARE);
};

/**
 * Checks by a heartbeat whether earlier replies arrived. Call it before the heartbeat's agent epoch
 * and sequence are recorded, and not for direct responses, which no reply precedes.
 */
export const trackReachability = (
  state: CoreState,
  machine: Machine,
  heartbeat: Heartbeat,
  now: Instant,
  effects: Effect[],
): void => {
  const previousCount = machine.unacknowledgedReplies;
  machine.unacknowledgedReplies = countUnacknowledgedReplies(machine, heartbeat);
  machine.dispatchedStarts = null;
  const hasMissedReply = machine.unacknowledgedReplies > previousCount;
  if (hasMissedReply && machine.unacknowledgedReplies >= UNACKNOWLEDGED_REPLY_LIMIT)
    machine.quarantinedUntil = addMillis(now, state.config.workerLeaseMs);
  else if (machine.unacknowledgedReplies === 0) machine.quarantinedUntil = 0 as Instant;
  if (machine.isUnreachable || !seemsUnreachable(state, machine, now)) return;
  if (areTooManyUnreachable(state)) {
    machine.unacknowledgedReplies = Math.min(
      machine.unacknowledgedReplies,
      UNACKNOWLEDGED_REPLY_LIMIT,
    );
    return;
  }
  machine.isUnreachable = true;
  logEvent(effects, 'info', 'replies do not reach machine; replacing it', {
    machineId: machine.id,
  });
};
