/** Which machines to rent, and what the cloud answers. */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Effect } from '../model/effect.js';
import type { InstancePool, Job, Machine } from '../model/entities.js';
import type { MachineId, ProvisionRequestId } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import { isFeasible, satisfiesZoneConstraints, tasksWithinQuota } from '../scheduling/capacity.js';
import { NO_MACHINE } from '../scheduling/placement.js';
import { isReplica, onDemandCpusForServices } from '../scheduling/services.js';
import { countsAsSupply, measureDemand, requestedMachines } from './demand.js';
import { createMachine } from './machine-health.js';

const MAX_MACHINES_PER_REQUEST = 50;
/** Requests under way at once; the cloud's rate is shared with lists and deletions. */
const MAX_CONCURRENT_REQUESTS = 4;
const RENT_ANSWER_MS = 15_000 as Millis;

export const handleProvisionResult = (
  state: CoreState,
  request: ProvisionRequestId,
  result: 'ok' | 'refused' | 'unknown',
  ids: readonly MachineId[],
  now: Instant,
): void => {
  if (
    state.extensions?.handleProvisionResult({
      kind: 'provision-result',
      request,
      result,
      machines: ids,
    })
  )
    return;
  for (const option of state.instancePools.values()) {
    const count = option.outstandingRequests.get(request)?.count;
    if (count === undefined) continue;
    option.outstandingRequests.delete(request);
    if (result === 'ok') {
      const { type, zone, spot } = option;
      for (const id of ids) {
        if (state.deletedMachines.has(id) || state.machines.has(id)) continue;
        const m = createMachine(id, { endpoint: '', type: type.name, zone, spot }, now, now);
        m.isProvisionedThisTerm = true;
        state.machines.set(id, m);
      }
    }
    if (result === 'ok' && ids.length >= count) option.refusals = 0;
    else {
      option.refusals = Math.min(option.refusals + 1, 4);
      option.retryAt = addMillis(now, seconds(4 * option.refusals));
    }
  }
};

/** Cheapest per processor first; of equals the more powerful. */
const byPrice = (a: InstancePool, b: InstancePool): number => {
  const price = (o: InstancePool) =>
    (o.spot ? o.type.spotPrice : o.type.price) / Math.max(o.type.cpus, 0.1);
  return price(a) - price(b) || b.type.cpus - a.type.cpus || (a.key < b.key ? -1 : 1);
};

const suitsPool = (job: Job, option: InstancePool): boolean => {
  const { spec } = job;
  const { type, zone, spot } = option;
  if (spec.machineTypes && !spec.machineTypes.includes(type.name)) return false;
  if ((spec.zone !== null && spec.zone !== zone) || (spot && !spec.allowsSpot)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

const provisionFrom = (
  state: CoreState,
  options: readonly InstancePool[],
  cpus: number,
  now: Instant,
  effects: Effect[],
): void => {
  let underWay = effects.length;
  for (const o of state.instancePools.values()) underWay += o.outstandingRequests.size;
  // Capacity shows only when asked for: several kinds are asked at once, each for its part of what is missing,
  // the cheapest several times over when one request cannot hold its part.
  const open = options.filter((o) => now >= o.retryAt).slice(0, MAX_CONCURRENT_REQUESTS);
  const part = cpus / Math.max(open.length, 1);
  let missing = cpus;
  for (const option of open) {
    const size = Math.max(option.type.cpus, 0.1);
    let due = Math.min(missing, part);
    // A kind that was refused lately is tried with one request, not with several in vain.
    const atOnce = option.refusals > 0 ? 1 : MAX_CONCURRENT_REQUESTS;
    while (
      due > 0 &&
      underWay < MAX_CONCURRENT_REQUESTS &&
      option.outstandingRequests.size < atOnce
    ) {
      const count = Math.min(MAX_MACHINES_PER_REQUEST, Math.max(1, Math.ceil(due / size)));
      state.nextProvisionRequest += 1;
      const request =
        `r-${state.config.fencingToken}-${state.nextProvisionRequest}` as ProvisionRequestId;
      option.outstandingRequests.set(request, { count, askedAt: now });
      underWay += 1;
      effects.push({
        kind: 'provision',
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
const provisionOnDemand = (
  state: CoreState,
  options: readonly InstancePool[],
  now: Instant,
): Effect[] => {
  const effects: Effect[] = [];
  const need = onDemandCpusForServices(state, now);
  if (need <= 0) return effects;
  let supply = 0;
  for (const m of state.machines.values()) {
    if (!m.spot && countsAsSupply(m)) supply += state.types.get(m.type)?.cpus ?? 0;
  }
  const services = [...state.jobs.values()].filter((job) => isService(job) && !job.spec.allowsSpot);
  const useful = options.filter(
    (o) => !o.spot && (services.length === 0 || services.some((j) => suitsPool(j, o))),
  );
  for (const o of useful) supply += requestedMachines(o) * o.type.cpus;
  if (supply < need) provisionFrom(state, useful, need - supply, now, effects);
  return effects;
};

/** A service is not tried on other machines while the one that fails it counts as enough; several that do are not to blame. */
const failedThere = (job: Job, m: Machine): boolean =>
  isService(job) && job.failedMachines.size < FAILED_MACHINES_LIMIT && job.failedMachines.has(m.id);

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
    if (m.isReservedForServices) cpus += (state.types.get(m.type)?.cpus ?? 0) - m.usedCpus;
  }
  return cpus;
};

/** An array whose tasks wait though a machine has room for them that is kept for services. */
const waitsBesideKept = (state: CoreState, job: Job, now: Instant): boolean => {
  if (isService(job) || !job.spec.allowsSpot || job.waitingReason !== NO_MACHINE) return false;
  if (now - job.submittedAt < BESIDE_KEPT_MS || tasksWithinQuota(state, job) < 1) return false;
  for (const m of state.machines.values()) {
    const type = m.isReservedForServices ? state.types.get(m.type) : undefined;
    if (
      !type ||
      !satisfiesZoneConstraints(job, m) ||
      (job.spec.zone !== null && job.spec.zone !== m.zone)
    )
      continue;
    const room = { cpus: type.cpus - m.usedCpus, gpus: type.gpus - m.usedGpus };
    if (job.spec.cpus <= room.cpus && job.spec.gpus <= room.gpus) return true;
  }
  return false;
};

/** The rentals that are due. */
export const planScaleOut = (state: CoreState, now: Instant): Effect[] => {
  const effects: Effect[] = [];
  if (!state.hasReadMachineList) return effects;
  for (const option of state.instancePools.values()) {
    for (const [request, { askedAt }] of option.outstandingRequests) {
      if (now - askedAt > RENT_ANSWER_MS) option.outstandingRequests.delete(request);
    }
  }
  const options = [...state.instancePools.values()].sort(byPrice);
  effects.push(...provisionOnDemand(state, options, now));
  const need = measureDemand(state, now);
  const jobs = [...state.jobs.values()].filter(
    (j) => j.terminalState === 'none' && j.pendingTasks > 0,
  );
  // What is kept for services is no supply for work that may not use it.
  const keptFree = freeOnKept(state);
  const keptIsMissed = keptFree > 0 && jobs.some((job) => waitsBesideKept(state, job, now));
  const supply = need.supply - (keptIsMissed ? keptFree : 0);
  if (supply < need.cpus) {
    const useful =
      jobs.length > 0 ? options.filter((o) => jobs.some((j) => suitsPool(j, o))) : options;
    provisionFrom(state, useful, need.cpus - supply, now, effects);
  }
  // Jobs that only a few kinds of machine suit: see that at least their own share of those is there.
  let checked = 0;
  const suited = new Set<string>();
  for (const job of jobs) {
    if (effects.length >= MAX_CONCURRENT_REQUESTS || checked >= 50) break;
    checked += 1;
    const limit = Math.min(job.pendingTasks, tasksWithinQuota(state, job));
    // A service that fails where it is alone may run elsewhere; an array that pauses has failed on several machines.
    if (limit <= 0 || (now < job.retryAt && !isService(job))) continue;
    const plain = !job.spec.singleZone && !job.spec.spreadZones;
    if (plain && suited.has(job.requirementsKey)) continue;
    // A service that must be spread waits for good where all machines are in a zone that has its half.
    let there = options.some(
      (o) =>
        o.outstandingRequests.size > 0 && suitsPool(job, o) && satisfiesZoneConstraints(job, o),
    );
    for (const m of there ? [] : state.machines.values()) {
      const type = state.types.get(m.type);
      if (!type || !countsAsSupply(m) || !isFeasible(job, m) || !satisfiesZoneConstraints(job, m))
        continue;
      if (failedThere(job, m) || !fitsBesideReplicas(job, m, type)) continue;
      there = true;
      break;
    }
    if (there) {
      if (plain) suited.add(job.requirementsKey);
      continue;
    }
    const suits = options.filter((o) => suitsPool(job, o) && satisfiesZoneConstraints(job, o));
    provisionFrom(state, suits, limit * Math.max(job.spec.cpus, 0.1), now, effects);
  }
  return effects;
};
