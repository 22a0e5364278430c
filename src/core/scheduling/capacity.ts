/**
 * Free capacity of machines in one scheduling round, the feasibility of machines for a job, and the
 * number of tasks that a team's quota still allows.
 */

import type { CoreState } from '../core-state.js';
import { isSchedulable } from '../fleet/machine-health.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Instant } from '../model/time.js';
import type { RankedJob } from './scoring.js';

/** The state on which a round operates, and the time at which it runs. */
export interface SchedulingContext {
  readonly state: CoreState;
  readonly now: Instant;
}

/**
 * A machine's free capacity: the amounts free now, and (`shadow…`) the amounts that the queue
 * head's reservation leaves free at the shadow time.
 */
export interface FreeCapacity {
  readonly machine: Machine;
  readonly type: MachineType;
  /** Further attempts that the machine may hold; limited to bound the size of heartbeats. */
  slots: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  shadowCpus: number;
  shadowGpus: number;
  shadowMemoryGb: number;
}

/** Tolerance for rounding errors in sums of fractional resource amounts. */
export const EPSILON = 1e-6;

/** Orders machines by GPUs, then processors, then memory, the largest first. */
export const compareByMachineSize = (a: FreeCapacity, b: FreeCapacity): number =>
  b.type.gpus - a.type.gpus || b.type.cpus - a.type.cpus || b.type.memoryGb - a.type.memoryGb;

/** The free capacity of all schedulable machines, the largest first. */
export const measureFreeCapacities = (state: CoreState, now: Instant): FreeCapacity[] => {
  const capacities: FreeCapacity[] = [];
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (!type || !isSchedulable(state, machine, now)) continue;
    const cpus = type.cpus - machine.usedCpus;
    const gpus = type.gpus - machine.usedGpus;
    const memoryGb = type.memoryGb - machine.usedMemoryGb;
    const shadow = { shadowCpus: cpus, shadowGpus: gpus, shadowMemoryGb: memoryGb };
    const slots = state.config.maxAttemptsPerMachine - machine.placements.size;
    capacities.push({ machine, type, slots, cpus, gpus, memoryGb, ...shadow });
  }
  return capacities.sort(
    (a, b) => compareByMachineSize(a, b) || (a.machine.id < b.machine.id ? -1 : 1),
  );
};

/**
 * Whether the job's requirements and recent failures let it use the machine, regardless of free
 * capacity. A machine reserved for services is infeasible for arrays that may use spot machines,
 * unless they are starving.
 */
export const isFeasible = (job: Job, machine: Machine): boolean => {
  const { spec } = job;
  if (spec.machineTypes && !spec.machineTypes.includes(machine.type)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  if (machine.spot && !spec.allowsSpot) return false;
  if (isService(job)) return true;
  if (machine.isReservedForServices && spec.allowsSpot && !job.isStarving) return false;
  return !(job.failedMachines.size < FAILED_MACHINES_LIMIT && job.failedMachines.has(machine.id));
};

/** Whether the job's zone constraints allow the machine, given the zones of its attempts. */
export const satisfiesZoneConstraints = (job: Job, machine: Pick<Machine, 'zone'>): boolean => {
  const { spec, attemptsByZone } = job;
  if (
    spec.singleZone &&
    attemptsByZone.size > 0 &&
    !(attemptsByZone.size === 1 && attemptsByZone.has(machine.zone))
  ) {
    return false;
  }
  if (spec.spreadZones && (attemptsByZone.get(machine.zone) ?? 0) >= Math.ceil(spec.tasks / 2))
    return false;
  return true;
};

/** Whether a task of the job fits in the machine's free capacity now. */
export const fitsFreeCapacity = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.slots > 0 && fitsResources(job, capacity);

/** Whether a task of the job fits in the machine's free capacity at the shadow time. */
export const fitsShadowCapacity = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.shadowCpus + EPSILON >= job.spec.cpus &&
  capacity.shadowGpus + EPSILON >= job.spec.gpus &&
  capacity.shadowMemoryGb + EPSILON >= job.spec.memoryGb;

/** Deducts one task of the job from the machine's free capacity now. */
export const allocateFreeCapacity = (job: Job, capacity: FreeCapacity): void => {
  capacity.slots -= 1;
  capacity.cpus -= job.spec.cpus;
  capacity.gpus -= job.spec.gpus;
  capacity.memoryGb -= job.spec.memoryGb;
};

/** Deducts one task of the job from the machine's free capacity at the shadow time. */
export const reserveShadowCapacity = (job: Job, capacity: FreeCapacity): void => {
  capacity.shadowCpus -= job.spec.cpus;
  capacity.shadowGpus -= job.spec.gpus;
  capacity.shadowMemoryGb -= job.spec.memoryGb;
};

/** How many more tasks of the job its team's quota allows; 0 for an unknown team. */
export const countTasksWithinQuota = (state: CoreState, job: Job): number => {
  const team = state.config.teams.get(job.spec.team);
  if (!team) return 0;
  const used = state.teamUsage.get(team.name) ?? { cpus: 0, gpus: 0 };
  let tasks = Number.POSITIVE_INFINITY;
  if (job.spec.cpus > 0)
    tasks = Math.min(tasks, (team.cpusMax - used.cpus + EPSILON) / job.spec.cpus);
  if (job.spec.gpus > 0)
    tasks = Math.min(tasks, (team.gpusMax - used.gpus + EPSILON) / job.spec.gpus);
  return Math.max(0, Math.floor(tasks));
};

/** Lower bound of the fetch rate, for machine types without a usable one. */
const MIN_FETCH_GB_PER_S = 0.01;

/** How long a machine of the type takes to fetch `gb` gigabytes, in milliseconds. */
export const estimateFetchMs = (gb: number, type: MachineType): number =>
  (gb / Math.max(type.fetchGbPerS, MIN_FETCH_GB_PER_S)) * 1000;

/** How long the machine takes to fetch the job's image, in milliseconds; 0 if it has it. */
export const estimateImageFetchMs = (job: Job, capacity: FreeCapacity): number =>
  capacity.machine.images.has(job.spec.image)
    ? 0
    : estimateFetchMs(job.spec.imageGb, capacity.type);

/** A lower bound of all pending tasks' requirements: machines with less free are skipped. */
export interface SmallestRequirement {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The minimum of each resource over all waiting jobs. */
export const findSmallestRequirement = (ranked: readonly RankedJob<Job>[]): SmallestRequirement => {
  let cpus = Number.POSITIVE_INFINITY;
  let gpus = Number.POSITIVE_INFINITY;
  let memoryGb = Number.POSITIVE_INFINITY;
  for (const { job } of ranked) {
    cpus = Math.min(cpus, job.spec.cpus);
    gpus = Math.min(gpus, job.spec.gpus);
    memoryGb = Math.min(memoryGb, job.spec.memoryGb);
  }
  return { cpus, gpus, memoryGb };
};

/** The machines on which some pending task may still fit. */
export const filterUsable = (
  capacities: readonly FreeCapacity[],
  smallest: SmallestRequirement,
): FreeCapacity[] =>
  capacities.filter(
    (capacity) =>
      capacity.slots > 0 &&
      capacity.cpus + EPSILON >= smallest.cpus &&
      capacity.gpus + EPSILON >= smallest.gpus &&
      capacity.memoryGb + EPSILON >= smallest.memoryGb,
  );

/** Amounts of each resource; `cpus` and `gpus` may be fractional. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** The machine's free resources once the excluded attempts have ended. */
export const measureFreeResourcesWithout = (
  capacity: FreeCapacity,
  excluded: readonly Placement[],
): Resources => {
  const { cpus, gpus, memoryGb } = capacity;
  const free = { cpus, gpus, memoryGb };
  for (const { entry } of excluded) {
    free.cpus += entry.cpus;
    free.gpus += entry.gpus;
    free.memoryGb += entry.memoryGb;
  }
  return free;
};

/** Whether one task of the job fits in these resources, regardless of the limit on attempts. */
export const fitsResources = (job: Job, free: Resources): boolean =>
  free.cpus + EPSILON >= job.spec.cpus &&
  free.gpus + EPSILON >= job.spec.gpus &&
  free.memoryGb + EPSILON >= job.spec.memoryGb;
