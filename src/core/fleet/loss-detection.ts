/**
 * Loss detection: which machines count as lost since they miss heartbeats, and when the lease of
 * their tasks has run out. A lost machine is replaced; its tasks are free only once their lease is.
 */

import type { CoreState } from '../core-state.js';
import { releasePlacement } from '../lifecycle/attempts.js';
import { workerLeaseExpiresAt } from '../lifecycle/worker-leases.js';
import type { Machine } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import { isLiveReplica } from '../scheduling/services.js';

/** Silent machines that are never taken for a mass outage, however small the fleet. */
const MASS_OUTAGE_MIN_MACHINES = 2;
/** More silent machines than this share of the fleet, its usual headroom, get time to come back. */
const MASS_OUTAGE_SHARE = 0.2;
/** With more than this share of the fleet silent, this leader is more likely cut off than they. */
const LEADER_ISOLATION_SHARE = 0.6;
/**
 * Silence after which a machine with replicas is replaced: in heartbeat intervals, and no less than
 * a lost reply and a new connection take.
 */
const REPLICA_MISSED_HEARTBEATS = 2.5;
const REPLICA_TIMEOUT_MIN_MS = 10_000;
/** Worker leases that silent machines are given to come back when many are silent at once. */
const MASS_OUTAGE_TIMEOUT_LEASES = 2;

/** How long machines may be silent before they are lost, in milliseconds. */
interface HeartbeatTimeouts {
  /** For machines with replicas. */
  readonly replicaMs: number;
  /** For all others. */
  readonly defaultMs: number;
  /** So many are silent that this leader is more likely cut off. */
  readonly isLeaderLikelyIsolated: boolean;
}

/** A machine from which heartbeats are expected: it has sent one, or the ledger has work on it. */
const isHeartbeatExpected = (machine: Machine): boolean =>
  machine.hasReported || machine.placements.size > 0;

const computeHeartbeatTimeouts = (state: CoreState, now: Instant): HeartbeatTimeouts => {
  const { heartbeatIntervalMs, workerLeaseMs, policy } = state.config;
  const limitMs = policy.missedHeartbeatLimit * heartbeatIntervalMs;
  let overdueMachines = 0;
  let expectedMachines = 0;
  for (const machine of state.machines.values()) {
    // A new leader knows some machines from the ledger alone. They count too: those that a cut-off
    // former leader still holds would otherwise all be replaced after a few heartbeat intervals.
    if (!isHeartbeatExpected(machine)) continue;
    expectedMachines += 1;
    // Counted at half the limit: of machines that all fall silent within one heartbeat interval,
    // none may be deleted before the others are counted.
    if (now - machine.lastHeartbeatAt > limitMs / 2) overdueMachines += 1;
  }
  // Many at once are more likely cut off or hanging than dead, or the fault is this leader's: they
  // get time to come back, since a replacement boots first. The cloud lists the dead as failed.
  const isMassOutage =
    overdueMachines > Math.max(MASS_OUTAGE_MIN_MACHINES, expectedMachines * MASS_OUTAGE_SHARE);
  return {
    replicaMs: Math.min(
      limitMs,
      Math.max(REPLICA_MISSED_HEARTBEATS * heartbeatIntervalMs, REPLICA_TIMEOUT_MIN_MS),
    ),
    defaultMs: isMassOutage ? MASS_OUTAGE_TIMEOUT_LEASES * workerLeaseMs : limitMs,
    isLeaderLikelyIsolated:
      overdueMachines >
      Math.max(MASS_OUTAGE_MIN_MACHINES, expectedMachines * LEADER_ISOLATION_SHARE),
  };
};

/**
 * A replica is missed at once, and machines with replicas are few: replacing them is no mass
 * deletion. Not where this leader is suspect: there the replicas most likely run.
 */
const heartbeatTimeoutMs = (machine: Machine, timeouts: HeartbeatTimeouts): number =>
  !timeouts.isLeaderLikelyIsolated &&
  machine.hasReported &&
  [...machine.placements.values()].some(isLiveReplica)
    ? timeouts.replicaMs
    : timeouts.defaultMs;

const hasHeartbeatTimedOut = (
  machine: Machine,
  timeouts: HeartbeatTimeouts,
  now: Instant,
): boolean => {
  const heartbeatAgeMs = now - machine.lastHeartbeatAt;
  // The replicas' limit is the shortest: most machines are within it and need no further look.
  return (
    isHeartbeatExpected(machine) &&
    heartbeatAgeMs > timeouts.replicaMs &&
    heartbeatAgeMs > heartbeatTimeoutMs(machine, timeouts)
  );
};

/** What a machine held has ended with its lease, whether the machine comes back or not. */
const releaseExpiredPlacements = (state: CoreState, machine: Machine, now: Instant): void => {
  if (machine.placements.size === 0 || now <= workerLeaseExpiresAt(state, machine)) return;
  for (const placement of [...machine.placements.values()]) {
    releasePlacement(state, placement, now);
    machine.placements.delete(placement.entry.attempt);
  }
  machine.isReady = false;
};

/** Marks machines that miss heartbeats as lost, and releases tasks whose lease has expired. */
export const detectLostMachines = (state: CoreState, now: Instant): void => {
  const timeouts = computeHeartbeatTimeouts(state, now);
  for (const machine of state.machines.values()) {
    if (machine.lostAt === null && hasHeartbeatTimedOut(machine, timeouts, now)) {
      machine.lostAt = now;
      machine.lostReason = 'missedHeartbeats';
    }
    releaseExpiredPlacements(state, machine, now);
  }
};
