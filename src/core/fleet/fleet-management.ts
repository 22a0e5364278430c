/** The machines there are: what the cloud lists, which fall silent, and which are given up. */
import { release } from '../lifecycle/attempts.js';
import { leaseSurelyOver } from '../lifecycle/worker-leases.js';
import { isReplica } from '../scheduling/services.js';
import type { CoreState, Machine } from '../state.js';
import {
  type Effect,
  type Instant,
  type ListedMachine,
  later,
  type MachineId,
  type MachineType,
  type Millis,
} from '../types.js';
import { newMachine } from './machine-health.js';
import { drainNoticed, returnIdle } from './scale-in.js';
import { rentals } from './scale-out.js';

const DELETE_MAX = 100;
/** More silent machines than this share of the fleet, its usual spare room, are not replaced at once. */
const MANY_SHARE = 0.2;
/** With more than this share of the fleet silent, this leader is more likely cut off than they. */
const OURS_SHARE = 0.6;
/** Silence after which a machine with replicas is replaced: in reports, and no less than a lost answer and a new connection take. */
const REPLICA_REPORTS = 2.5;
const REPLICA_SILENT_MS = 10_000;

export const setTypes = (state: CoreState, types: readonly MachineType[]): void => {
  state.types.clear();
  for (const type of types) {
    state.types.set(type.name, type);
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const key = `${type.name}/${zone}/${spot ? 'spot' : 'ordinary'}`;
        const old = state.options.get(key);
        state.options.set(key, {
          key,
          type,
          zone,
          spot,
          blockedUntil: old?.blockedUntil ?? (0 as Instant),
          refusals: old?.refusals ?? 0,
          outstanding: old?.outstanding ?? new Map(),
        });
      }
    }
  }
  state.placementDue = true;
};

export const listed = (
  state: CoreState,
  askedAt: Instant,
  list: readonly ListedMachine[],
  now: Instant,
): void => {
  state.listRead = true;
  const names = new Set<MachineId>();
  for (const item of list) {
    names.add(item.id);
    if (state.gone.has(item.id)) continue;
    let m = state.machines.get(item.id);
    if (!m) {
      const rentedAt = (askedAt - item.ageS * 1000) as Instant;
      m = newMachine(item.id, item, rentedAt, now);
      state.machines.set(item.id, m);
    }
    m.listed = true;
    if (!m.endpoint) m.endpoint = item.endpoint;
    if (item.status === 'failed') m.draining = true;
    if (item.status === 'failed' && m.lostAt === null) {
      m.lostAt = now;
      m.lostWhy = 'failed';
    }
  }
  // A list may be older than the one before it: absence counts only for machines known for long enough.
  const grace = 3 * state.config.listLagMs + 2000;
  for (const m of state.machines.values()) {
    if (names.has(m.id) || askedAt - m.rentedAt < grace) continue;
    if (m.everSeen ? now - m.lastSeen > 2 * state.config.reportMs : true) {
      m.lostAt ??= now;
      m.lostWhy ||= 'not listed';
      m.draining = true;
    }
  }
};

/** The machine and everything on it is certainly gone. */
export const removeMachine = (state: CoreState, m: Machine, now: Instant): void => {
  for (const p of [...m.placements.values()]) release(state, p, now);
  m.placements.clear();
  state.machines.delete(m.id);
  state.gone.add(m.id);
  state.waiting.delete(m);
};

export const deleted = (
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
      m.deleting = false;
      m.deleteAfter = later(now, 2000 as Millis);
    }
  }
};

const noteSilence = (state: CoreState, now: Instant): void => {
  const { reportMs, leaseMs, policy } = state.config;
  const limit = policy.silentReports * reportMs;
  let silent = 0;
  let seen = 0;
  for (const m of state.machines.values()) {
    // A new leader knows some machines from the ledger alone: silent they count too, or those that a cut-off former
    // leader still holds would all be replaced after a few report periods.
    if (!m.everSeen && m.placements.size === 0) continue;
    seen += 1;
    // Counted early: of machines that all fall silent within a report period, none must be the first to be deleted.
    if (now - m.lastSeen > limit / 2) silent += 1;
  }
  // Many at once are more likely cut off or hanging than dead, or the fault is ours: they get time to come back, since a
  // replacement has to boot first. Those that died are listed as failed meanwhile.
  const many = silent > Math.max(2, seen * MANY_SHARE);
  // A replica is missed at once. Machines that hold some are few, so that replacing them is no mass deletion; unless so many
  // are silent that the fault is more likely ours, and the replicas run.
  const ours = silent > Math.max(2, seen * OURS_SHARE);
  const replicaLimit = Math.min(limit, Math.max(REPLICA_REPORTS * reportMs, REPLICA_SILENT_MS));
  const patience = (m: Machine): number => {
    if (!ours && m.everSeen && [...m.placements.values()].some(isReplica)) return replicaLimit;
    return many ? 2 * leaseMs : limit;
  };
  for (const m of state.machines.values()) {
    const quiet = now - m.lastSeen;
    const waits = m.everSeen || m.placements.size > 0;
    if (waits && m.lostAt === null && quiet > replicaLimit && quiet > patience(m)) {
      m.lostAt = now;
      m.lostWhy = 'silent';
    }
    // What it held has ended with its lease, whether it comes back or not.
    if (m.placements.size > 0 && now > leaseSurelyOver(state, m)) {
      for (const p of [...m.placements.values()]) {
        release(state, p, now);
        m.placements.delete(p.entry.attempt);
      }
      m.ready = false;
    }
  }
};

const deletions = (state: CoreState, now: Instant): Effect[] => {
  const ids: MachineId[] = [];
  const why: Record<string, number> = {};
  const { policy } = state.config;
  for (const m of state.machines.values()) {
    if (m.deleting || now < m.deleteAfter || ids.length >= DELETE_MAX) continue;
    const bootMs = (state.types.get(m.type)?.bootS ?? 60) * 1000;
    // A new leader hears of machines that have been up for long: they get a lease's time to report to it.
    const overdue = now - m.rentedAt > policy.bootGiveUp * bootMs + 15_000;
    const neverUp = !m.everSeen && overdue && now - m.knownAt > state.config.leaseMs;
    const empty = m.placements.size === 0;
    if (m.lostAt !== null || m.deaf || neverUp || (m.draining && empty)) {
      m.deleting = true;
      ids.push(m.id);
      const reason = m.deaf
        ? 'deaf'
        : m.lostAt !== null
          ? m.lostWhy
          : neverUp
            ? 'never up'
            : 'no longer needed';
      why[reason] = (why[reason] ?? 0) + 1;
    }
  }
  if (ids.length === 0) return [];
  return [
    { kind: 'note', level: 'info', text: 'giving machines up', fields: why },
    { kind: 'delete', machines: ids },
  ];
};

export const manageFleet = (state: CoreState, now: Instant): Effect[] => {
  noteSilence(state, now);
  for (const m of state.machines.values()) drainNoticed(m, now);
  returnIdle(state, now);
  return [...deletions(state, now), ...rentals(state, now)];
};
