/** Which machines to rent, and what the cloud answers. */

import { SUSPECT_MACHINES } from '../lifecycle/job-tasks.js';
import { mayUseMachine, tasksWithinLimit, zoneAllows } from '../scheduling/capacity.js';
import { NO_MACHINE } from '../scheduling/placement.js';
import { isReplica, ordinaryNeed } from '../scheduling/services.js';
import type { CoreState, Job, Machine, RentOption } from '../state.js';
import {
  type Effect,
  type Instant,
  isService,
  later,
  type MachineId,
  type MachineType,
  type Millis,
  type RequestName,
  seconds,
} from '../types.js';
import { asked, counted, measure } from './demand.js';
import { newMachine } from './machine-health.js';

const RENT_MAX = 50;
/** Requests under way at once; the cloud's rate is shared with lists and deletions. */
const RENT_AT_ONCE = 4;
const RENT_ANSWER_MS = 15_000 as Millis;

export const rented = (
  state: CoreState,
  request: RequestName,
  result: 'ok' | 'refused' | 'unknown',
  ids: readonly MachineId[],
  now: Instant,
): void => {
  if (state.extensions?.rented({ kind: 'rented', request, result, machines: ids })) return;
  for (const option of state.options.values()) {
    const count = option.outstanding.get(request)?.count;
    if (count === undefined) continue;
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
    if (result === 'ok' && ids.length >= count) option.refusals = 0;
    else {
      option.refusals = Math.min(option.refusals + 1, 4);
      option.blockedUntil = later(now, seconds(4 * option.refusals));
    }
  }
};

/** Cheapest per processor first; of equals the more powerful. */
const byPrice = (a: RentOption, b: RentOption): number => {
  const price = (o: RentOption) =>
    (o.spot ? o.type.spotPrice : o.type.price) / Math.max(o.type.cpus, 0.1);
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

/** Work that has waited this long for room that is kept for services gets machines of its own. */
const BESIDE_KEPT_MS = 45_000;

/** Processors that are free on machines kept for services. */
const freeOnKept = (state: CoreState): number => {
  let cpus = 0;
  for (const m of state.machines.values()) {
    if (m.kept) cpus += (state.types.get(m.type)?.cpus ?? 0) - m.usedCpus;
  }
  return cpus;
};

/** An array whose tasks wait though a machine has room for them that is kept for services. */
const waitsBesideKept = (state: CoreState, job: Job, now: Instant): boolean => {
  if (isService(job) || !job.spec.spotOk || job.blockedBy !== NO_MACHINE) return false;
  if (now - job.submittedAt < BESIDE_KEPT_MS || tasksWithinLimit(state, job) < 1) return false;
  for (const m of state.machines.values()) {
    const type = m.kept ? state.types.get(m.type) : undefined;
    if (!type || !zoneAllows(job, m) || (job.spec.zone !== null && job.spec.zone !== m.zone))
      continue;
    const room = { cpus: type.cpus - m.usedCpus, gpus: type.gpus - m.usedGpus };
    if (job.spec.cpus <= room.cpus && job.spec.gpus <= room.gpus) return true;
  }
  return false;
};

/** The rentals that are due. */
export const rentals = (state: CoreState, now: Instant): Effect[] => {
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
  // What is kept for services is no supply for work that may not use it.
  const keptFree = freeOnKept(state);
  const keptIsMissed = keptFree > 0 && jobs.some((job) => waitsBesideKept(state, job, now));
  const supply = need.supply - (keptIsMissed ? keptFree : 0);
  if (supply < need.cpus) {
    const useful =
      jobs.length > 0 ? options.filter((o) => jobs.some((j) => optionSuits(j, o))) : options;
    rentFrom(state, useful, need.cpus - supply, now, effects);
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
    let there = options.some(
      (o) => o.outstanding.size > 0 && optionSuits(job, o) && zoneAllows(job, o),
    );
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
