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
  for (const pool of state.instancePools.values()) {
    const count = pool.outstandingRequests.get(request)?.count;
    if (count === undefined) continue;
    pool.outstandingRequests.delete(request);
    if (result === 'ok') {
      const { type, zone, spot } = pool;
      for (const id of ids) {
        if (state.deletedMachines.has(id) || state.machines.has(id)) continue;
        const machine = createMachine(id, { endpoint: '', type: type.name, zone, spot }, now, now);
        machine.isProvisionedThisTerm = true;
        state.machines.set(id, machine);
      }
    }
    if (result === 'ok' && ids.length >= count) pool.refusals = 0;
    else {
      pool.refusals = Math.min(pool.refusals + 1, 4);
      pool.retryAt = addMillis(now, seconds(4 * pool.refusals));
    }
  }
};

/** Cheapest per processor first; of equals the more powerful. */
const byPrice = (a: InstancePool, b: InstancePool): number => {
  const price = (pool: InstancePool) =>
    (pool.spot ? pool.type.spotPrice : pool.type.price) / Math.max(pool.type.cpus, 0.1);
  return price(a) - price(b) || b.type.cpus - a.type.cpus || (a.key < b.key ? -1 : 1);
};

const suitsPool = (job: Job, pool: InstancePool): boolean => {
  const { spec } = job;
  const { type, zone, spot } = pool;
  if (spec.machineTypes && !spec.machineTypes.includes(type.name)) return false;
  if ((spec.zone !== null && spec.zone !== zone) || (spot && !spec.allowsSpot)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

const provisionFrom = (
  state: CoreState,
  pools: readonly InstancePool[],
  cpus: number,
  now: Instant,
  effects: Effect[],
): void => {
  let underWay = effects.length;
  for (const pool of state.instancePools.values()) underWay += pool.outstandingRequests.size;
  // Capacity shows only when asked for: several kinds are asked at once, each for its part of what is missing,
  // the cheapest several times over when one request cannot hold its part.
  const open = pools.filter((pool) => now >= pool.retryAt).slice(0, MAX_CONCURRENT_REQUESTS);
  const part = cpus / Math.max(open.length, 1);
  let missing = cpus;
  for (const pool of open) {
    const size = Math.max(pool.type.cpus, 0.1);
    let due = Math.min(missing, part);
    // A kind that was refused lately is tried with one request, not with several in vain.
    const atOnce = pool.refusals > 0 ? 1 : MAX_CONCURRENT_REQUESTS;
    while (
      due > 0 &&
      underWay < MAX_CONCURRENT_REQUESTS &&
      pool.outstandingRequests.size < atOnce
    ) {
      const count = Math.min(MAX_MACHINES_PER_REQUEST, Math.max(1, Math.ceil(due / size)));
      state.nextProvisionRequest += 1;
      const request =
        `r-${state.config.fencingToken}-${state.nextProvisionRequest}` as ProvisionRequestId;
      pool.outstandingRequests.set(request, { count, askedAt: now });
      underWay += 1;
      effects.push({
        kind: 'provision',
        request,
        type: pool.type.name,
        zone: pool.zone,
        spot: pool.spot,
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
  pools: readonly InstancePool[],
  now: Instant,
): Effect[] => {
  const effects: Effect[] = [];
  const need = onDemandCpusForServices(state, now);
  if (need <= 0) return effects;
  let supply = 0;
  for (const machine of state.machines.values()) {
    if (!machine.spot && countsAsSupply(machine))
      supply += state.types.get(machine.type)?.cpus ?? 0;
  }
  const services = [...state.jobs.values()].filter((job) => isService(job) && !job.spec.allowsSpot);
  const useful = pools.filter(
    (pool) => !pool.spot && (services.length === 0 || services.some((job) => suitsPool(job, pool))),
  );
  for (const pool of useful) supply += requestedMachines(pool) * pool.type.cpus;
  if (supply < need) provisionFrom(state, useful, need - supply, now, effects);
  return effects;
};

/** A service is not tried on other machines while the one that fails it counts as enough; several that do are not to blame. */
const failedThere = (job: Job, machine: Machine): boolean =>
  isService(job) &&
  job.failedMachines.size < FAILED_MACHINES_LIMIT &&
  job.failedMachines.has(machine.id);

/** Arrays' tasks end and make room; replicas of other services do not. */
const fitsBesideReplicas = (job: Job, machine: Machine, type: MachineType): boolean => {
  let { cpus, gpus, memoryGb } = type;
  for (const placement of machine.placements.values()) {
    if (!isReplica(placement)) continue;
    cpus -= placement.entry.cpus;
    gpus -= placement.entry.gpus;
    memoryGb -= placement.entry.memoryGb;
  }
  return job.spec.cpus <= cpus && job.spec.gpus <= gpus && job.spec.memoryGb <= memoryGb;
};

/** Work that has waited this long for room that is kept for services gets machines of its own. */
const BESIDE_KEPT_MS = 45_000;

/** Processors that are free on machines kept for services. */
const freeOnKept = (state: CoreState): number => {
  let cpus = 0;
  for (const machine of state.machines.values()) {
    if (machine.isReservedForServices)
      cpus += (state.types.get(machine.type)?.cpus ?? 0) - machine.usedCpus;
  }
  return cpus;
};

/** An array whose tasks wait though a machine has room for them that is kept for services. */
const waitsBesideKept = (state: CoreState, job: Job, now: Instant): boolean => {
  if (isService(job) || !job.spec.allowsSpot || job.waitingReason !== NO_MACHINE) return false;
  if (now - job.submittedAt < BESIDE_KEPT_MS || tasksWithinQuota(state, job) < 1) return false;
  for (const machine of state.machines.values()) {
    const type = machine.isReservedForServices ? state.types.get(machine.type) : undefined;
    if (
      !type ||
      !satisfiesZoneConstraints(job, machine) ||
      (job.spec.zone !== null && job.spec.zone !== machine.zone)
    )
      continue;
    const room = { cpus: type.cpus - machine.usedCpus, gpus: type.gpus - machine.usedGpus };
    if (job.spec.cpus <= room.cpus && job.spec.gpus <= room.gpus) return true;
  }
  return false;
};

/** The rentals that are due. */
export const planScaleOut = (state: CoreState, now: Instant): Effect[] => {
  const effects: Effect[] = [];
  if (!state.hasReadMachineList) return effects;
  for (const pool of state.instancePools.values()) {
    for (const [request, { askedAt }] of pool.outstandingRequests) {
      if (now - askedAt > RENT_ANSWER_MS) pool.outstandingRequests.delete(request);
    }
  }
  const pools = [...state.instancePools.values()].sort(byPrice);
  effects.push(...provisionOnDemand(state, pools, now));
  const need = measureDemand(state, now);
  const jobs = [...state.jobs.values()].filter(
    (job) => job.terminalState === 'none' && job.pendingTasks > 0,
  );
  // What is kept for services is no supply for work that may not use it.
  const keptFree = freeOnKept(state);
  const keptIsMissed = keptFree > 0 && jobs.some((job) => waitsBesideKept(state, job, now));
  const supply = need.supply - (keptIsMissed ? keptFree : 0);
  if (supply < need.cpus) {
    const useful =
      jobs.length > 0 ? pools.filter((pool) => jobs.some((job) => suitsPool(job, pool))) : pools;
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
    let there = pools.some(
      (pool) =>
        pool.outstandingRequests.size > 0 &&
        suitsPool(job, pool) &&
        satisfiesZoneConstraints(job, pool),
    );
    for (const machine of there ? [] : state.machines.values()) {
      const type = state.types.get(machine.type);
      if (
        !type ||
        !countsAsSupply(machine) ||
        !isFeasible(job, machine) ||
        !satisfiesZoneConstraints(job, machine)
      )
        continue;
      if (failedThere(job, machine) || !fitsBesideReplicas(job, machine, type)) continue;
      there = true;
      break;
    }
    if (there) {
      if (plain) suited.add(job.requirementsKey);
      continue;
    }
    const suits = pools.filter(
      (pool) => suitsPool(job, pool) && satisfiesZoneConstraints(job, pool),
    );
    provisionFrom(state, suits, limit * Math.max(job.spec.cpus, 0.1), now, effects);
  }
  return effects;
};
