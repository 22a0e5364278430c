/** Which machines to rent, replace and return. */
import { mayUseMachine, tasksWithinLimit, zoneAllows } from './capacity.js';
import { leaseSurelyOver } from './leases.js';
import { isReplica, ordinaryNeed } from './services.js';
import {
  type CoreState,
  type Job,
  type Machine,
  newMachine,
  occupies,
  type RentOption,
  release,
  SUSPECT_MACHINES,
} from './state.js';
import {
  type Effect,
  type Instant,
  isService,
  type ListedMachine,
  later,
  type MachineId,
  type MachineType,
  type Millis,
  type RequestName,
  seconds,
} from './types.js';

const RENT_MAX = 50;
/** Requests under way at once; the cloud's rate is shared with lists and deletions. */
const RENT_AT_ONCE = 4;
const DELETE_MAX = 100;
/** More silent machines than this share of the fleet, its usual spare room, are not replaced at once. */
const MANY_SHARE = 0.2;
/** With more than this share of the fleet silent, this leader is more likely cut off than they. */
const OURS_SHARE = 0.6;
/** Silence after which a machine with replicas is replaced: in reports, and no less than a lost answer and a new connection take. */
const REPLICA_REPORTS = 2.5;
const REPLICA_SILENT_MS = 10_000;
const RENT_ANSWER_MS = 15_000 as Millis;

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

const counted = (m: Machine): boolean =>
  !m.draining && !m.cordoned && !m.deaf && !m.deleting && m.lostAt === null && m.noticeUntil === null;

export const rented = (
  state: CoreState,
  request: RequestName,
  result: 'ok' | 'refused' | 'unknown',
  ids: readonly MachineId[],
  now: Instant,
): void => {
  if (state.extensions?.rented({ kind: 'rented', request, result, machines: ids })) return;
  for (const option of state.options.values()) {
    const asked = option.outstanding.get(request)?.count;
    if (asked === undefined) continue;
    option.outstanding.delete(request);
    if (result === 'ok') {
      const { type, zone, spot } = option;
      for (const id of ids) {
        if (state.gone.has(id) || state.machines.has(id)) continue;
        const m = newMachine(id, { endpoint: '', type: type.name, zone, spot }, now, now);
        m.ownRental = true;
        state.machines.set(id, m);
      }
    }
    if (result === 'ok' && ids.length >= asked) option.refusals = 0;
    else {
      option.refusals = Math.min(option.refusals + 1, 4);
      option.blockedUntil = later(now, seconds(4 * option.refusals));
    }
  }
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

export const deleted = (state: CoreState, ids: readonly MachineId[], ok: boolean, now: Instant): void => {
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

/** Machines of a kind that are being asked for. */
const asked = (option: RentOption): number => {
  let count = 0;
  for (const request of option.outstanding.values()) count += request.count;
  return count;
};

interface Need {
  readonly cpus: number;
  readonly supply: number;
}

const measure = (state: CoreState, now: Instant): Need => {
  const { policy, teams } = state.config;
  const byTeam = new Map<string, number>();
  for (const job of state.jobs.values()) {
    if (job.final !== 'none' || (now < job.retryAt && !isService(job))) continue;
    const cpus = (job.spec.tasks - job.doneCount) * job.spec.cpus;
    byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + cpus);
    state.lastWorkAt = now;
  }
  let demand = 0;
  let guarantees = 0;
  for (const team of teams.values()) {
    demand += Math.min(byTeam.get(team.name) ?? 0, team.cpusMax);
    guarantees += team.cpus;
  }
  let supply = 0;
  for (const m of state.machines.values()) if (counted(m)) supply += state.types.get(m.type)?.cpus ?? 0;
  for (const o of state.options.values()) supply += asked(o) * o.type.cpus;
  const busy = now - state.lastWorkAt < policy.idleReturnS * 1000;
  const standing = busy ? policy.standingShare * guarantees : 0;
  return { cpus: Math.max(demand * policy.headroom, standing), supply };
};

/** Cheapest per processor first; of equals the more powerful. */
const byPrice = (a: RentOption, b: RentOption): number => {
  const price = (o: RentOption) => (o.spot ? o.type.spotPrice : o.type.price) / Math.max(o.type.cpus, 0.1);
  return price(a) - price(b) || b.type.cpus - a.type.cpus || (a.key < b.key ? -1 : 1);
};

const optionSuits = (job: Job, option: RentOption): boolean => {
  const { spec } = job;
  const { type, zone, spot } = option;
  if (spec.types && !spec.types.includes(type.name)) return false;
  if ((spec.zone !== null && spec.zone !== zone) || (spot && !spec.spotOk)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

const rentFrom = (
  state: CoreState,
  options: readonly RentOption[],
  cpus: number,
  now: Instant,
  effects: Effect[],
): void => {
  let underWay = effects.length;
  for (const o of state.options.values()) underWay += o.outstanding.size;
  // Capacity shows only when asked for: several kinds are asked at once, each for its part of what is missing,
  // the cheapest several times over when one request cannot hold its part.
  const open = options.filter((o) => now >= o.blockedUntil).slice(0, RENT_AT_ONCE);
  const part = cpus / Math.max(open.length, 1);
  let missing = cpus;
  for (const option of open) {
    const size = Math.max(option.type.cpus, 0.1);
    let due = Math.min(missing, part);
    // A kind that was refused lately is tried with one request, not with several in vain.
    const atOnce = option.refusals > 0 ? 1 : RENT_AT_ONCE;
    while (due > 0 && underWay < RENT_AT_ONCE && option.outstanding.size < atOnce) {
      const count = Math.min(RENT_MAX, Math.max(1, Math.ceil(due / size)));
      state.nextRequest += 1;
      const request = `r-${state.config.term}-${state.nextRequest}` as RequestName;
      option.outstanding.set(request, { count, askedAt: now });
      underWay += 1;
      effects.push({
        kind: 'rent',
        request,
        type: option.type.name,
        zone: option.zone,
        spot: option.spot,
        count,
      });
      due -= count * size;
      missing -= count * size;
    }
  }
};

/** Ordinary machines for what may use no others; cheap ones would be asked for first. */
const rentOrdinary = (state: CoreState, options: readonly RentOption[], now: Instant): Effect[] => {
  const effects: Effect[] = [];
  const need = ordinaryNeed(state, now);
  if (need <= 0) return effects;
  let supply = 0;
  for (const m of state.machines.values()) {
    if (!m.spot && counted(m)) supply += state.types.get(m.type)?.cpus ?? 0;
  }
  const services = [...state.jobs.values()].filter((job) => isService(job) && !job.spec.spotOk);
  const useful = options.filter(
    (o) => !o.spot && (services.length === 0 || services.some((j) => optionSuits(j, o))),
  );
  for (const o of useful) supply += asked(o) * o.type.cpus;
  if (supply < need) rentFrom(state, useful, need - supply, now, effects);
  return effects;
};

/** A service is not tried on other machines while the one that fails it counts as enough; several that do are not to blame. */
const failedThere = (job: Job, m: Machine): boolean =>
  isService(job) && job.failedOn.size < SUSPECT_MACHINES && job.failedOn.has(m.id);

/** Arrays' tasks end and make room; replicas of other services do not. */
const fitsBesideReplicas = (job: Job, m: Machine, type: MachineType): boolean => {
  let { cpus, gpus, memoryGb } = type;
  for (const p of m.placements.values()) {
    if (!isReplica(p)) continue;
    cpus -= p.entry.cpus;
    gpus -= p.entry.gpus;
    memoryGb -= p.entry.memoryGb;
  }
  return job.spec.cpus <= cpus && job.spec.gpus <= gpus && job.spec.memoryGb <= memoryGb;
};

const rentals = (state: CoreState, now: Instant): Effect[] => {
  const effects: Effect[] = [];
  if (!state.listRead) return effects;
  for (const option of state.options.values()) {
    for (const [request, { askedAt }] of option.outstanding) {
      if (now - askedAt > RENT_ANSWER_MS) option.outstanding.delete(request);
    }
  }
  const options = [...state.options.values()].sort(byPrice);
  effects.push(...rentOrdinary(state, options, now));
  const need = measure(state, now);
  const jobs = [...state.jobs.values()].filter((j) => j.final === 'none' && j.pending > 0);
  if (need.supply < need.cpus) {
    const useful = jobs.length > 0 ? options.filter((o) => jobs.some((j) => optionSuits(j, o))) : options;
    rentFrom(state, useful, need.cpus - need.supply, now, effects);
  }
  // Jobs that only a few kinds of machine suit: see that at least their own share of those is there.
  let checked = 0;
  const suited = new Set<string>();
  for (const job of jobs) {
    if (effects.length >= RENT_AT_ONCE || checked >= 50) break;
    checked += 1;
    const limit = Math.min(job.pending, tasksWithinLimit(state, job));
    // A service that fails where it is alone may run elsewhere; an array that pauses has failed on several machines.
    if (limit <= 0 || (now < job.retryAt && !isService(job))) continue;
    const plain = !job.spec.oneZone && !job.spec.scatter;
    if (plain && suited.has(job.needs)) continue;
    // A service that must be spread waits for good where all machines are in a zone that has its half.
    let there = options.some((o) => o.outstanding.size > 0 && optionSuits(job, o) && zoneAllows(job, o));
    for (const m of there ? [] : state.machines.values()) {
      const type = state.types.get(m.type);
      if (!type || !counted(m) || !mayUseMachine(job, m) || !zoneAllows(job, m)) continue;
      if (failedThere(job, m) || !fitsBesideReplicas(job, m, type)) continue;
      there = true;
      break;
    }
    if (there) {
      if (plain) suited.add(job.needs);
      continue;
    }
    const suits = options.filter((o) => optionSuits(job, o) && zoneAllows(job, o));
    rentFrom(state, suits, limit * Math.max(job.spec.cpus, 0.1), now, effects);
  }
  return effects;
};

const returnIdle = (state: CoreState, now: Instant): void => {
  const need = measure(state, now);
  let spare = need.supply - need.cpus;
  let ordinary = -ordinaryNeed(state, now);
  for (const m of state.machines.values()) {
    if (!m.spot && counted(m)) ordinary += state.types.get(m.type)?.cpus ?? 0;
  }
  for (const m of state.machines.values()) {
    if (spare <= 0) return;
    if (!counted(m) || !m.everSeen || m.placements.size > 0) continue;
    if (now - m.idleSince < state.config.policy.idleReturnS * 1000) continue;
    const cpus = state.types.get(m.type)?.cpus ?? 0;
    if (cpus > spare || (!m.spot && cpus > ordinary)) continue;
    if (state.extensions && !state.extensions.mayReturn(m)) continue;
    spare -= cpus;
    if (!m.spot) ordinary -= cpus;
    m.draining = true;
  }
};

/** A machine that fails tasks of several jobs is faulty: no more work for it, then it is replaced. */
export const quarantine = (state: CoreState, m: Machine, now: Instant): boolean => {
  if (m.draining || m.failedJobs.size < 2) return false;
  let drained = 0;
  for (const other of state.machines.values()) if (other.draining) drained += 1;
  if (drained > Math.max(1, state.machines.size * 0.2)) return false;
  m.draining = true;
  m.deleteAfter = now;
  return true;
};

/** A machine about to be taken: tasks that cannot end in time save or start again elsewhere at once. */
export const drainNoticed = (m: Machine, now: Instant): void => {
  if (m.noticeUntil === null) return;
  const left = m.noticeUntil - now;
  for (const p of m.placements.values()) {
    // Services move once there is room for them elsewhere.
    if (!occupies(p.phase) || p.kill || (p.job && isService(p.job))) continue;
    const estimate = (p.job?.spec.estimateS ?? 0) * 1000;
    const end = p.phase === 'running' && p.startedAt !== null ? p.startedAt + estimate : now + estimate;
    if (end <= now + left) continue;
    const saves = (p.job?.spec.checkpointS ?? 0) > 0;
    p.kill = { graceS: saves ? Math.max(0, left / 1000 - 0.5) : 0, sentAt: null };
  }
};

export const manageFleet = (state: CoreState, now: Instant): Effect[] => {
  noteSilence(state, now);
  for (const m of state.machines.values()) drainNoticed(m, now);
  returnIdle(state, now);
  return [...deletions(state, now), ...rentals(state, now)];
};
