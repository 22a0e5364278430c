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
  for (const machine of state.machines.values()) {
    if (names.has(machine.id) || askedAt - machine.provisionedAt < grace) continue;
    if (
      machine.hasReported
        ? now - machine.lastHeartbeatAt > 2 * state.config.heartbeatIntervalMs
        : true
    ) {
      machine.lostAt ??= now;
      machine.lostReason ||= 'not listed';
      machine.isDraining = true;
    }
  }
};

/** The machine and everything on it is certainly gone. */
export const removeMachine = (state: CoreState, machine: Machine, now: Instant): void => {
  for (const placement of [...machine.placements.values()]) releasePlacement(state, placement, now);
  machine.placements.clear();
  state.machines.delete(machine.id);
  state.deletedMachines.add(machine.id);
  state.machinesAwaitingReply.delete(machine);
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
  const { heartbeatIntervalMs, workerLeaseMs, policy } = state.config;
  const limit = policy.missedHeartbeatLimit * heartbeatIntervalMs;
  let silent = 0;
  let seen = 0;
  for (const machine of state.machines.values()) {
    // A new leader knows some machines from the ledger alone: silent they count too, or those that a cut-off former
    // leader still holds would all be replaced after a few report periods.
    if (!machine.hasReported && machine.placements.size === 0) continue;
    seen += 1;
    // Counted early: of machines that all fall silent within a report period, none must be the first to be deleted.
    if (now - machine.lastHeartbeatAt > limit / 2) silent += 1;
  }
  // Many at once are more likely cut off or hanging than dead, or the fault is ours: they get time to come back, since a
  // replacement has to boot first. Those that died are listed as failed meanwhile.
  const many = silent > Math.max(2, seen * MANY_SHARE);
  // A replica is missed at once. Machines that hold some are few, so that replacing them is no mass deletion; unless so many
  // are silent that the fault is more likely ours, and the replicas run.
  const ours = silent > Math.max(2, seen * OURS_SHARE);
  const replicaLimit = Math.min(
    limit,
    Math.max(REPLICA_REPORTS * heartbeatIntervalMs, REPLICA_SILENT_MS),
  );
  const patience = (machine: Machine): number => {
    if (!ours && machine.hasReported && [...machine.placements.values()].some(isReplica))
      return replicaLimit;
    return many ? 2 * workerLeaseMs : limit;
  };
  for (const machine of state.machines.values()) {
    const quiet = now - machine.lastHeartbeatAt;
    const waits = machine.hasReported || machine.placements.size > 0;
    if (waits && machine.lostAt === null && quiet > replicaLimit && quiet > patience(machine)) {
      machine.lostAt = now;
      machine.lostReason = 'silent';
    }
    // What it held has ended with its lease, whether it comes back or not.
    if (machine.placements.size > 0 && now > workerLeaseExpiresAt(state, machine)) {
      for (const placement of [...machine.placements.values()]) {
        releasePlacement(state, placement, now);
        machine.placements.delete(placement.entry.attempt);
      }
      machine.isReady = false;
    }
  }
};

const planDeletions = (state: CoreState, now: Instant): Effect[] => {
  const ids: MachineId[] = [];
  const why: Record<string, number> = {};
  const { policy } = state.config;
  for (const machine of state.machines.values()) {
    if (machine.isDeleting || now < machine.deleteNotBefore || ids.length >= DELETE_MAX) continue;
    const bootMs = (state.types.get(machine.type)?.bootS ?? 60) * 1000;
    // A new leader hears of machines that have been up for long: they get a lease's time to report to it.
    const overdue = now - machine.provisionedAt > policy.bootTimeoutFactor * bootMs + 15_000;
    const neverUp =
      !machine.hasReported && overdue && now - machine.knownAt > state.config.workerLeaseMs;
    const empty = machine.placements.size === 0;
    if (
      machine.lostAt !== null ||
      machine.isUnreachable ||
      neverUp ||
      (machine.isDraining && empty)
    ) {
      machine.isDeleting = true;
      ids.push(machine.id);
      const reason = machine.isUnreachable
        ? 'deaf'
        : machine.lostAt !== null
          ? machine.lostReason
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
  for (const machine of state.machines.values()) evictBeforeReclaim(machine, now);
  scaleInIdle(state, now);
  return [...planDeletions(state, now), ...planScaleOut(state, now)];
};
