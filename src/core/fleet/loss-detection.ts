/** Loss detection. A lost machine is replaced; its tasks stay held until the worker lease ends. */

import type { CoreState } from '../core-state.js';
import { forgetPlacement, nextAttemptNumber, releasePlacement } from '../lifecycle/attempts.js';
import { workerLeaseExpiresAt } from '../lifecycle/worker-leases.js';
import type { Machine } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import { isLiveReplica } from '../scheduling/services.js';
import { hasListenedLongEnough, recordGoneAttempts } from './machine-losses.js';

/** Up to this many overdue machines are never a mass outage, however small the fleet is. */
const MASS_OUTAGE_MIN_MACHINES = 2;
/** Above this share of overdue machines, the usual capacity headroom, there is a mass outage. */
const MASS_OUTAGE_SHARE = 0.2;
/** Above this share of overdue machines, this leader is more likely isolated than they are. */
const LEADER_ISOLATION_SHARE = 0.6;
/**
 * Heartbeat timeout of a machine with replicas, in heartbeat intervals. The minimum covers a lost
 * reply followed by a new connection.
 */
const REPLICA_TIMEOUT_INTERVALS = 2.5;
const REPLICA_TIMEOUT_MIN_MS = 10_000;
/** Heartbeat timeout during a mass outage, in worker leases. */
const MASS_OUTAGE_TIMEOUT_LEASES = 2;

/** Time without a heartbeat, in milliseconds, after which a machine counts as lost. */
interface HeartbeatTimeouts {
  /** For machines with replicas. */
  readonly replicaMs: number;
  /** For all other machines. */
  readonly defaultMs: number;
  /** Whether so many machines are overdue that this leader is probably isolated. */
  readonly isLeaderLikelyIsolated: boolean;
}

/** Whether heartbeats are expected: the machine has sent one, or the ledger has work on it. */
const isHeartbeatExpected = (machine: Machine): boolean =>
  machine.hasReported || machine.placements.size > 0;

const computeHeartbeatTimeouts = (state: CoreState, now: Instant): HeartbeatTimeouts => {
  const { heartbeatIntervalMs, workerLeaseMs, policy } = state.config;
  const policyTimeoutMs = policy.missedHeartbeatLimit * heartbeatIntervalMs;
  let overdueMachines = 0;
  let expectedMachines = 0;
  for (const machine of state.machines.values()) {
    // Machines known from the ledger alone count too. Otherwise a new leader would replace, after
    // a few heartbeat intervals, all machines that still report to an isolated former leader.
    if (!isHeartbeatExpected(machine)) continue;
    expectedMachines += 1;
    // Overdue from half the policy timeout on: of machines that fail within one heartbeat interval,
    // all must be counted before the first is deleted.
    if (now - machine.lastHeartbeatAt > policyTimeoutMs / 2) overdueMachines += 1;
  }
  // Many overdue machines are more likely partitioned or stalled than dead, or this leader is
  // isolated. They get time to recover: replacements must boot first, and the cloud lists dead
  // machines as failed.
  const isMassOutage =
    overdueMachines > Math.max(MASS_OUTAGE_MIN_MACHINES, expectedMachines * MASS_OUTAGE_SHARE);
  return {
    replicaMs: Math.min(
      policyTimeoutMs,
      Math.max(REPLICA_TIMEOUT_INTERVALS * heartbeatIntervalMs, REPLICA_TIMEOUT_MIN_MS),
    ),
    defaultMs: isMassOutage ? MASS_OUTAGE_TIMEOUT_LEASES * workerLeaseMs : policyTimeoutMs,
    isLeaderLikelyIsolated:
      overdueMachines >
      Math.max(MASS_OUTAGE_MIN_MACHINES, expectedMachines * LEADER_ISOLATION_SHARE),
  };
};

/**
 * Machines with replicas get the short timeout: a lost replica matters at once, and replacing these
 * few machines is no mass deletion. They get the default if this leader is probably isolated, as
 * their replicas then probably run.
 */
const heartbeatTimeoutMs = (machine: Machine, timeouts: HeartbeatTimeouts): number =>
  !timeouts.isLeaderLikelyIsolated &&
  machine.hasReported &&
  [...machine.placements.values()].some(isLiveReplica)
    ? timeouts.replicaMs
    : timeouts.defaultMs;

const hasHeartbeatTimedOut = (
  state: CoreState,
  machine: Machine,
  timeouts: HeartbeatTimeouts,
  now: Instant,
): boolean => {
  const heartbeatAgeMs = now - machine.lastHeartbeatAt;
  // The replica timeout is the shortest; checking it first avoids scanning most placements.
  return (
    isHeartbeatExpected(machine) &&
    hasListenedLongEnough(state, machine, now) &&
    heartbeatAgeMs > timeouts.replicaMs &&
    heartbeatAgeMs > heartbeatTimeoutMs(machine, timeouts)
  );
};

/** Releases placements whose worker lease has expired: the worker has ended them by then. */
const releaseExpiredPlacements = (state: CoreState, machine: Machine, now: Instant): void => {
  if (machine.placements.size === 0 || now <= workerLeaseExpiresAt(state, machine)) return;
  recordGoneAttempts(state, machine, nextAttemptNumber(state), now);
  for (const placement of [...machine.placements.values()]) {
    releasePlacement(state, placement, now);
    forgetPlacement(state, placement);
  }
  machine.isReady = false;
};

/** Marks machines that miss heartbeats as lost, and releases placements whose lease expired. */
export const detectLostMachines = (state: CoreState, now: Instant): void => {
  const timeouts = computeHeartbeatTimeouts(state, now);
  for (const machine of state.machines.values()) {
    if (machine.lostAt === null && hasHeartbeatTimedOut(state, machine, timeouts, now)) {
      machine.lostAt = now;
      machine.lostReason = 'missedHeartbeats';
    }
    releaseExpiredPlacements(state, machine, now);
  }
};
