/**
 * What machines have free in one scheduling round, which machines are feasible for a job, what fits
 * on them, and how many tasks a team's quota still allows.
 */

import type { CoreState } from '../core-state.js';
import { isSchedulable } from '../fleet/machine-health.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Instant } from '../model/time.js';
import type { RankedJob } from './scoring.js';

/** The state that a round schedules on, and the moment for which it does. */
export interface SchedulingContext {
  readonly state: CoreState;
  readonly now: Instant;
}

/**
 * A machine's free capacity: what is free now, and (`shadow…`) what the queue head's reservation
 * leaves free at the shadow time.
 */
export interface FreeCapacity {
  readonly machine: Machine;
  readonly type: MachineType;
  /** Attempts that the machine may still take on: its heartbeats must stay readable. */
  slots: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  shadowCpus: number;
  shadowGpus: number;
  shadowMemoryGb: number;
}

/** Rounding error that sums of fractions of a processor may show. */
export const EPSILON = 1e-6;

/** Orders machines by power, the most powerful first. */
export const compareByMachineSize = (a: FreeCapacity, b: FreeCapacity): number =>
  b.type.gpus - a.type.gpus || b.type.cpus - a.type.cpus || b.type.memoryGb - a.type.memoryGb;

/** The free capacity of the machines that take work, the most powerful first. */
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
 * Whether the job's requirements and failures let it use the machine, whatever is free on it. For a
 * starving job the machines that are reserved for services are feasible, too.
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

/** Whether the zone rules allow the machine, given where the job's other tasks may be now. */
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

/** Whether a task of the job fits into what is free on the machine now. */
export const fitsFreeCapacity = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.slots > 0 && fitsResources(job, capacity);

/** Whether a task of the job fits beside the queue head's reservation. */
export const fitsShadowCapacity = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.shadowCpus + EPSILON >= job.spec.cpus &&
  capacity.shadowGpus + EPSILON >= job.spec.gpus &&
  capacity.shadowMemoryGb + EPSILON >= job.spec.memoryGb;

/** Takes a task of the job from what is free on the machine now. */
export const allocateFreeCapacity = (job: Job, capacity: FreeCapacity): void => {
  capacity.slots -= 1;
  capacity.cpus -= job.spec.cpus;
  capacity.gpus -= job.spec.gpus;
  capacity.memoryGb -= job.spec.memoryGb;
};

/** Takes a task of the job from what is free on the machine at the shadow time. */
export const reserveShadowCapacity = (job: Job, capacity: FreeCapacity): void => {
  capacity.shadowCpus -= job.spec.cpus;
  capacity.shadowGpus -= job.spec.gpus;
  capacity.shadowMemoryGb -= job.spec.memoryGb;
};

/** How many more tasks of the job its team's quota allows; none for an unknown team. */
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

/** Bounds the estimate for a machine type without a usable fetch rate. */
const MIN_FETCH_GB_PER_S = 0.01;

/** How long a machine of the type fetches these gigabytes, in milliseconds. */
export const estimateFetchMs = (gb: number, type: MachineType): number =>
  (gb / Math.max(type.fetchGbPerS, MIN_FETCH_GB_PER_S)) * 1000;

/** How long the machine fetches the job's image before a task starts, in milliseconds. */
export const estimateImageFetchMs = (job: Job, capacity: FreeCapacity): number =>
  capacity.machine.images.has(job.spec.image)
    ? 0
    : estimateFetchMs(job.spec.imageGb, capacity.type);

/** The least that any waiting task takes: a machine with less is of no use in this round. */
export interface SmallestRequirement {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The smallest requirement of all waiting jobs, resource by resource. */
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

/** The machines on which some waiting task may still fit. */
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

/** An amount of each resource. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What a machine has free once these attempts have left it. */
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

/** Whether a task of the job fits into these resources. */
export const fitsResources = (job: Job, free: Resources): boolean =>
  free.cpus + EPSILON >= job.spec.cpus &&
  free.gpus + EPSILON >= job.spec.gpus &&
  free.memoryGb + EPSILON >= job.spec.memoryGb;
