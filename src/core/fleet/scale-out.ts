/**
 * Scale out: which machines to provision. First on-demand ones for services that may use no others,
 * then for demand as a whole, then for jobs that only few instance pools suit.
 */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Effect } from '../model/effect.js';
import type { InstancePool, Job, Machine } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Instant } from '../model/time.js';
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

/** Arrays that have waited this long beside capacity reserved for services get their own. */
const RESERVED_CAPACITY_WAIT_MS = 45_000;
/** Jobs whose own capacity is examined in one tick, which bounds its work. */
const MAX_JOBS_EXAMINED = 50;

/** What the steps of one tick work on. */
interface ScaleOutContext extends ProvisionContext {
  /** All pools, the cheapest first. */
  readonly pools: readonly InstancePool[];
  /** Jobs with tasks that wait for a machine. */
  readonly jobs: readonly Job[];
}

const pricePerCpu = ({ spot, type }: InstancePool): number =>
  (spot ? type.spotPrice : type.price) / Math.max(type.cpus, MIN_COUNTED_CPUS);

/** Cheapest per processor first; of equals the more powerful. */
const compareByPrice = (a: InstancePool, b: InstancePool): number =>
  pricePerCpu(a) - pricePerCpu(b) || b.type.cpus - a.type.cpus || (a.key < b.key ? -1 : 1);

/** Whether a machine of the pool, while it is empty, suits a task of the job. */
const isPoolFeasible = (job: Job, { type, zone, spot }: InstancePool): boolean => {
  const { spec } = job;
  if (spec.machineTypes && !spec.machineTypes.includes(type.name)) return false;
  if ((spec.zone !== null && spec.zone !== zone) || (spot && !spec.allowsSpot)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

/** On-demand machines first: demand as a whole would be met by cheaper ones. */
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

/** Free processors on machines that are reserved for services. */
const freeReservedCpus = (state: CoreState): number => {
  let cpus = 0;
  for (const machine of state.machines.values())
    if (machine.isReservedForServices) cpus += machineCpus(state, machine) - machine.usedCpus;
  return cpus;
};

/** Whether a task of the job would fit a machine, were it not reserved for services. */
const fitsReservedMachine = (state: CoreState, { spec }: Job, machine: Machine): boolean => {
  const type = machine.isReservedForServices ? state.types.get(machine.type) : undefined;
  return (
    type !== undefined &&
    (spec.zone === null || spec.zone === machine.zone) &&
    spec.cpus <= type.cpus - machine.usedCpus &&
    spec.gpus <= type.gpus - machine.usedGpus
  );
};

/** An array that has long waited though a machine reserved for services has capacity for it. */
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

/** Closes the gap between demand as a whole and supply, from pools that suit a waiting job. */
const provisionForDemand = (context: ScaleOutContext): void => {
  const { state, now, pools, jobs } = context;
  const { requiredCpus, suppliedCpus } = measureDemand(state, now);
  // What is reserved for services is no supply for arrays that may not use it.
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
 * A service is not tried on other machines while the one that fails it counts as capacity; once
 * several fail it, they are not to blame.
 */
const isExcludedByFailures = (job: Job, machine: Machine): boolean =>
  isService(job) &&
  job.failedMachines.size < FAILED_MACHINES_LIMIT &&
  job.failedMachines.has(machine.id);

/** Tasks of arrays end and free their capacity; replicas of other services do not. */
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

/** Whether a task of the job can start on the machine, now or once arrays' tasks there end. */
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
 * Whether a suitable machine is there or requested. Zone constraints count: a service that must be
 * spread would wait for good where all machines are in a zone that has its half.
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
 * Tasks for which machines may be provisioned. A service that fails where it is alone may run
 * elsewhere; an array that pauses has failed on several machines already.
 */
const countPlaceableTasks = (state: CoreState, job: Job, now: Instant): number =>
  now < job.retryAt && !isService(job)
    ? 0
    : Math.min(job.pendingTasks, countTasksWithinQuota(state, job));

/** Jobs that only few pools suit: where those have no supply, requests what the job needs. */
const provisionForConstrainedJobs = (context: ScaleOutContext): void => {
  const { state, now, effects, pools, jobs } = context;
  const satisfiedRequirements = new Set<string>();
  let examined = 0;
  for (const job of jobs) {
    if (effects.length >= MAX_CONCURRENT_REQUESTS || examined >= MAX_JOBS_EXAMINED) return;
    examined += 1;
    const taskLimit = countPlaceableTasks(state, job, now);
    if (taskLimit <= 0) continue;
    // Zone constraints depend on where the job's tasks are: its answer holds for no other job.
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

/** The requests for machines that are due in this tick. */
export const planScaleOut = (state: CoreState, now: Instant): Effect[] => {
  // Before the cloud's list is read, requests could repeat those of a former leader.
  if (!state.hasReadMachineList) return [];
  expireProvisionRequests(state, now);
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
