/** The machines there are: what the cloud lists, which fall silent, and which are given up. */

import type { CoreState } from '../core-state.js';
import { releasePlacement } from '../lifecycle/attempts.js';
import { workerLeaseExpiresAt } from '../lifecycle/worker-leases.js';
import type { Effect } from '../model/effect.js';
import type { Machine } from '../model/entities.js';
import type { MachineId } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import { addMillis, type Instant, type Millis } from '../model/time.js';
import { isReplica } from '../scheduling/services.js';
import { createMachine } from './machine-health.js';
import { evictBeforeReclaim, scaleInIdle } from './scale-in.js';
import { planScaleOut } from './scale-out.js';

const DELETE_MAX = 100;
/** More silent machines than this share of the fleet, its usual spare room, are not replaced at once. */
const MANY_SHARE = 0.2;
/** With more than this share of the fleet silent, this leader is more likely cut off than they. */
const OURS_SHARE = 0.6;
/** Silence after which a machine with replicas is replaced: in reports, and no less than a lost answer and a new connection take. */
const REPLICA_REPORTS = 2.5;
const REPLICA_SILENT_MS = 10_000;

export const updateMachineTypes = (state: CoreState, types: readonly MachineType[]): void => {
  state.types.clear();
  for (const type of types) {
    state.types.set(type.name, type);
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const key = `${type.name}/${zone}/${spot ? 'spot' : 'ordinary'}`;
        const old = state.instancePools.get(key);
        state.instancePools.set(key, {
          key,
          type,
          zone,
          spot,
          retryAt: old?.retryAt ?? (0 as Instant),
          refusals: old?.refusals ?? 0,
          outstandingRequests: old?.outstandingRequests ?? new Map(),
        });
      }
    }
  }
  state.isRoundDue = true;
};

export const reconcileMachineList = (
  state: CoreState,
  askedAt: Instant,
  list: readonly ListedMachine[],
  now: Instant,
): void => {
  state.hasReadMachineList = true;
  const names = new Set<MachineId>();
  for (const item of list) {
    names.add(item.id);
    if (state.deletedMachines.has(item.id)) continue;
    let m = state.machines.get(item.id);
    if (!m) {
      const rentedAt = (askedAt - item.ageS * 1000) as Instant;
      m = createMachine(item.id, item, rentedAt, now);
      state.machines.set(item.id, m);
    }
    m.isListed = true;
    if (!m.endpoint) m.endpoint = item.endpoint;
    if (item.status === 'failed') m.isDraining = true;
    if (item.status === 'failed' && m.lostAt === null) {
      m.lostAt = now;
      m.lostReason = 'failed';
    }
  }
  // A list may be older than the one before it: absence counts only for machines known for long enough.
  const grace = 3 * state.config.listLagMs + 2000;
  for (const m of state.machines.values()) {
    if (names.has(m.id) || askedAt - m.provisionedAt < grace) continue;
    if (m.hasReported ? now - m.lastHeartbeatAt > 2 * state.config.heartbeatIntervalMs : true) {
      m.lostAt ??= now;
      m.lostReason ||= 'not listed';
      m.isDraining = true;
    }
  }
};

/** The machine and everything on it is certainly gone. */
export const removeMachine = (state: CoreState, m: Machine, now: Instant): void => {
  for (const p of [...m.placements.values()]) releasePlacement(state, p, now);
  m.placements.clear();
  state.machines.delete(m.id);
  state.deletedMachines.add(m.id);
  state.machinesAwaitingReply.delete(m);
};

export const handleDeletionResult = (
  state: CoreState,
  ids: readonly MachineId[],
  ok: boolean,
  now: Instant,
): void => {
  for (const id of ids) {
    const m = state.machines.get(id);
    if (!m) continue;
    if (ok) removeMachine(state, m, now);
    else {
      m.isDeleting = false;
      m.deleteNotBefore = addMillis(now, 2000 as Millis);
    }
  }
};

const detectLostMachines = (state: CoreState, now: Instant): void => {
  const { heartbeatIntervalMs: reportMs, workerLeaseMs: leaseMs, policy } = state.config;
  const limit = policy.missedHeartbeatLimit * reportMs;
  let silent = 0;
  let seen = 0;
  for (const m of state.machines.values()) {
    // A new leader knows some machines from the ledger alone: silent they count too, or those that a cut-off former
    // leader still holds would all be replaced after a few report periods.
    if (!m.hasReported && m.placements.size === 0) continue;
    seen += 1;
    // Counted early: of machines that all fall silent within a report period, none must be the first to be deleted.
    if (now - m.lastHeartbeatAt > limit / 2) silent += 1;
  }
  // Many at once are more likely cut off or hanging than dead, or the fault is ours: they get time to come back, since a
  // replacement has to boot first. Those that died are listed as failed meanwhile.
  const many = silent > Math.max(2, seen * MANY_SHARE);
  // A replica is missed at once. Machines that hold some are few, so that replacing them is no mass deletion; unless so many
  // are silent that the fault is more likely ours, and the replicas run.
  const ours = silent > Math.max(2, seen * OURS_SHARE);
  const replicaLimit = Math.min(limit, Math.max(REPLICA_REPORTS * reportMs, REPLICA_SILENT_MS));
  const patience = (m: Machine): number => {
    if (!ours && m.hasReported && [...m.placements.values()].some(isReplica)) return replicaLimit;
    return many ? 2 * leaseMs : limit;
  };
  for (const m of state.machines.values()) {
    const quiet = now - m.lastHeartbeatAt;
    const waits = m.hasReported || m.placements.size > 0;
    if (waits && m.lostAt === null && quiet > replicaLimit && quiet > patience(m)) {
      m.lostAt = now;
      m.lostReason = 'silent';
    }
    // What it held has ended with its lease, whether it comes back or not.
    if (m.placements.size > 0 && now > workerLeaseExpiresAt(state, m)) {
      for (const p of [...m.placements.values()]) {
        releasePlacement(state, p, now);
        m.placements.delete(p.entry.attempt);
      }
      m.isReady = false;
    }
  }
};

const planDeletions = (state: CoreState, now: Instant): Effect[] => {
  const ids: MachineId[] = [];
  const why: Record<string, number> = {};
  const { policy } = state.config;
  for (const m of state.machines.values()) {
    if (m.isDeleting || now < m.deleteNotBefore || ids.length >= DELETE_MAX) continue;
    const bootMs = (state.types.get(m.type)?.bootS ?? 60) * 1000;
    // A new leader hears of machines that have been up for long: they get a lease's time to report to it.
    const overdue = now - m.provisionedAt > policy.bootTimeoutFactor * bootMs + 15_000;
    const neverUp = !m.hasReported && overdue && now - m.knownAt > state.config.workerLeaseMs;
    const empty = m.placements.size === 0;
    if (m.lostAt !== null || m.isUnreachable || neverUp || (m.isDraining && empty)) {
      m.isDeleting = true;
      ids.push(m.id);
      const reason = m.isUnreachable
        ? 'deaf'
        : m.lostAt !== null
          ? m.lostReason
          : neverUp
            ? 'never up'
            : 'no longer needed';
      why[reason] = (why[reason] ?? 0) + 1;
    }
  }
  if (ids.length === 0) return [];
  return [
    { kind: 'log', level: 'info', text: 'giving machines up', fields: why },
    { kind: 'delete-machines', machines: ids },
  ];
};

export const manageFleet = (state: CoreState, now: Instant): Effect[] => {
  detectLostMachines(state, now);
  for (const m of state.machines.values()) evictBeforeReclaim(m, now);
  scaleInIdle(state, now);
  return [...planDeletions(state, now), ...planScaleOut(state, now)];
};
