/**
 * Scale-out: provisions on-demand machines for services that must not use spot, then machines for
 * total demand, then for jobs that only few instance pools suit.
 */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Effect } from '../model/effect.js';
import type { InstancePool, Job, Machine } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Instant } from '../model/time.js';
import { countFreeAttempts } from '../scheduling/attempt-room.js';
import {
  countTasksWithinQuota,
  isFeasible,
  satisfiesZoneConstraints,
} from '../scheduling/capacity.js';
import { NO_MACHINE_REASON } from '../scheduling/placement.js';
import { updateReservedOnDemandCpus } from '../scheduling/service-reservation.js';
import { isLiveReplica } from '../scheduling/services.js';
import {
  addOnDemandSupply,
  countRequestedMachines,
  isSupply,
  machineCpus,
  measureDemand,
} from './demand.js';
import {
  expireProvisionRequests,
  MAX_CONCURRENT_REQUESTS,
  MIN_COUNTED_CPUS,
  type ProvisionContext,
  requestCapacity,
} from './provision-requests.js';

/** Wait after which an array blocked by a reservation for services gets capacity of its own. */
const RESERVED_CAPACITY_WAIT_MS = 45_000;
/** Maximum number of jobs examined individually per tick; bounds the tick's duration. */
const MAX_JOBS_EXAMINED = 50;

interface ScaleOutContext extends ProvisionContext {
  /** All pools, the cheapest per processor first. */
  readonly pools: readonly InstancePool[];
  /** Unfinished jobs with pending tasks. */
  readonly jobs: readonly Job[];
}

const pricePerCpu = ({ spot, type }: InstancePool): number =>
  (spot ? type.spotPrice : type.price) / Math.max(type.cpus, MIN_COUNTED_CPUS);

/** Orders pools by price per processor, then larger machines first. */
const compareByPrice = (a: InstancePool, b: InstancePool): number =>
  pricePerCpu(a) - pricePerCpu(b) || b.type.cpus - a.type.cpus || (a.key < b.key ? -1 : 1);

/** Whether a task of the job fits an empty machine of the pool. */
const isPoolFeasible = (job: Job, { type, zone, spot }: InstancePool): boolean => {
  const { spec } = job;
  if (spec.machineTypes && !spec.machineTypes.includes(type.name)) return false;
  if ((spec.zone !== null && spec.zone !== zone) || (spot && !spec.allowsSpot)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

/** Requests on-demand machines for services, as total demand is met from cheaper pools. */
const provisionForServices = (context: ScaleOutContext): void => {
  const { state, now, pools } = context;
  const requiredCpus = updateReservedOnDemandCpus(state, now);
  if (requiredCpus <= 0) return;
  const services = [...state.jobs.values()].filter((job) => isService(job) && !job.spec.allowsSpot);
  const feasible = pools.filter(
    (pool) =>
      !pool.spot &&
      (services.length === 0 || services.some((service) => isPoolFeasible(service, pool))),
  );
  let suppliedCpus = addOnDemandSupply(state, 0);
  for (const pool of feasible) suppliedCpus += countRequestedMachines(pool) * pool.type.cpus;
  if (suppliedCpus < requiredCpus) requestCapacity(context, feasible, requiredCpus - suppliedCpus);
};

const freeReservedCpus = (state: CoreState): number => {
  let cpus = 0;
  for (const machine of state.machines.values())
    if (machine.isReservedForServices) cpus += machineCpus(state, machine) - machine.usedCpus;
  return cpus;
};

/** Whether a machine reserved for services has processors and GPUs free for a task of the job. */
const fitsReservedMachine = (state: CoreState, { spec }: Job, machine: Machine): boolean => {
  const type = machine.isReservedForServices ? state.types.get(machine.type) : undefined;
  return (
    type !== undefined &&
    (spec.zone === null || spec.zone === machine.zone) &&
    spec.cpus <= type.cpus - machine.usedCpus &&
    spec.gpus <= type.gpus - machine.usedGpus
  );
};

/** Whether an array has waited long and only the reservation for services blocks it. */
const isBlockedByReservation = (state: CoreState, job: Job, now: Instant): boolean => {
  if (isService(job) || !job.spec.allowsSpot || job.waitingReason !== NO_MACHINE_REASON)
    return false;
  if (now - job.submittedAt < RESERVED_CAPACITY_WAIT_MS || countTasksWithinQuota(state, job) < 1)
    return false;
  for (const machine of state.machines.values())
    if (fitsReservedMachine(state, job, machine) && satisfiesZoneConstraints(job, machine))
      return true;
  return false;
};

/** Requests the difference between total demand and supply from pools that suit a pending job. */
const provisionForDemand = (context: ScaleOutContext): void => {
  const { state, now, pools, jobs } = context;
  const { requiredCpus, suppliedCpus } = measureDemand(state, now);
  // Capacity reserved for services is not supply for arrays that it blocks.
  const reservedCpus = freeReservedCpus(state);
  const isReservationBlocking =
    reservedCpus > 0 && jobs.some((job) => isBlockedByReservation(state, job, now));
  const usableCpus = suppliedCpus - (isReservationBlocking ? reservedCpus : 0);
  if (usableCpus >= requiredCpus) return;
  const feasible =
    jobs.length > 0 ? pools.filter((pool) => jobs.some((job) => isPoolFeasible(job, pool))) : pools;
  requestCapacity(context, feasible, requiredCpus - usableCpus);
};

/**
 * Whether a failed replica keeps the machine from counting as capacity for the service; otherwise
 * no other would be provisioned. After failures on several machines, the service is at fault.
 */
const isExcludedByFailures = (job: Job, machine: Machine): boolean =>
  isService(job) &&
  job.failedMachines.size < FAILED_MACHINES_LIMIT &&
  job.failedMachines.has(machine.id);

/** Whether a task fits beside the machine's replicas. Tasks of arrays end and are ignored. */
const fitsBesideReplicas = ({ spec }: Job, machine: Machine, type: MachineType): boolean => {
  let { cpus, gpus, memoryGb } = type;
  for (const placement of machine.placements.values()) {
    if (!isLiveReplica(placement)) continue;
    cpus -= placement.entry.cpus;
    gpus -= placement.entry.gpus;
    memoryGb -= placement.entry.memoryGb;
  }
  return spec.cpus <= cpus && spec.gpus <= gpus && spec.memoryGb <= memoryGb;
};

/** Whether a task of the job fits the machine, now or once the array tasks there have ended. */
const isMachineSuitable = (state: CoreState, job: Job, machine: Machine): boolean => {
  const type = state.types.get(machine.type);
  return (
    type !== undefined &&
    isSupply(machine) &&
    isFeasible(job, machine) &&
    satisfiesZoneConstraints(job, machine) &&
    !isExcludedByFailures(job, machine) &&
    fitsBesideReplicas(job, machine, type)
  );
};

/**
 * Whether a suitable machine exists or is requested. Zone constraints count: a service spread over
 * zones would wait forever if all machines were in a zone that already has half of its replicas.
 */
const hasSuitableSupply = ({ state, pools }: ScaleOutContext, job: Job): boolean => {
  for (const pool of pools) {
    if (
      pool.outstandingRequests.size > 0 &&
      isPoolFeasible(job, pool) &&
      satisfiesZoneConstraints(job, pool)
    )
      return true;
  }
  for (const machine of state.machines.values())
    if (isMachineSuitable(state, job, machine)) return true;
  return false;
};

/**
 * Number of tasks for which machines may be provisioned. 0 for an array in backoff, which has
 * failed on several machines; a service in backoff may still run on another machine.
 */
const countPlaceableTasks = (state: CoreState, job: Job, now: Instant): number =>
  now < job.retryAt && !isService(job)
    ? 0
    : Math.min(job.pendingTasks, countTasksWithinQuota(state, job));

/** Requests capacity for jobs that no present or requested machine suits. */
const provisionForConstrainedJobs = (context: ScaleOutContext): void => {
  const { state, now, effects, pools, jobs } = context;
  const satisfiedRequirements = new Set<string>();
  let examined = 0;
  for (const job of jobs) {
    if (effects.length >= MAX_CONCURRENT_REQUESTS || examined >= MAX_JOBS_EXAMINED) return;
    examined += 1;
    const taskLimit = countPlaceableTasks(state, job, now);
    if (taskLimit <= 0) continue;
    // Zone constraints depend on where the job's tasks run: the result holds for no other job.
    const isResultReusable = !job.spec.singleZone && !job.spec.spreadZones;
    if (isResultReusable && satisfiedRequirements.has(job.requirementsKey)) continue;
    if (hasSuitableSupply(context, job)) {
      if (isResultReusable) satisfiedRequirements.add(job.requirementsKey);
      continue;
    }
    const feasible = pools.filter(
      (pool) => isPoolFeasible(job, pool) && satisfiesZoneConstraints(job, pool),
    );
    requestCapacity(context, feasible, taskLimit * Math.max(job.spec.cpus, MIN_COUNTED_CPUS));
  }
};

/** Returns effects that provision machines: for services, total demand, and constrained jobs. */
export const planScaleOut = (state: CoreState, now: Instant): Effect[] => {
  // Before the machine list has been read, requests could duplicate those of a former leader.
  if (!state.hasReadMachineList) return [];
  expireProvisionRequests(state, now);
  // Further machines would stay empty.
  if (countFreeAttempts(state) <= 0) return [];
  const context: ScaleOutContext = {
    state,
    now,
    effects: [],
    pools: [...state.instancePools.values()].sort(compareByPrice),
    jobs: [...state.jobs.values()].filter(
      (job) => job.terminalState === 'none' && job.pendingTasks > 0,
    ),
  };
  provisionForServices(context);
  provisionForDemand(context);
  provisionForConstrainedJobs(context);
  return context.effects;
};
