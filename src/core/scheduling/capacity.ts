/**
 * What machines have free in one scheduling round, which jobs may use it, and what a team's limit still allows.
 */

import type { CoreState } from '../core-state.js';
import { isSchedulable } from '../fleet/machine-health.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Instant } from '../model/time.js';
import type { RankedJob } from './scoring.js';

/** A machine's free capacity: what is free now, and what the head's reservation leaves free at the shadow time. */
export interface FreeCapacity {
  readonly machine: Machine;
  readonly type: MachineType;
  /** Attempts that it may still take on. */
  slots: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  shadowCpus: number;
  shadowGpus: number;
  shadowMemoryGb: number;
}

/** Sums of fractions of a processor may be off by this much. */
export const EPSILON = 1e-6;

/** Orders machines by power, the most powerful first. */
export const compareByPower = (a: FreeCapacity, b: FreeCapacity): number =>
  b.type.gpus - a.type.gpus || b.type.cpus - a.type.cpus || b.type.memoryGb - a.type.memoryGb;

/** Usable machines, the most powerful first. */
export const freeCapacities = (state: CoreState, now: Instant): FreeCapacity[] => {
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
  return capacities.sort((a, b) => compareByPower(a, b) || (a.machine.id < b.machine.id ? -1 : 1));
};

/** Whether the job's own demands and failures let it use the machine, whatever is free on it. */
export const isFeasible = (job: Job, machine: Machine): boolean => {
  const { spec } = job;
  if (spec.machineTypes && !spec.machineTypes.includes(machine.type)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  if (machine.spot && !spec.allowsSpot) return false;
  if (isService(job)) return true;
  if (machine.isReservedForServices && spec.allowsSpot && !job.isStarving) return false;
  return !(job.failedMachines.size < FAILED_MACHINES_LIMIT && job.failedMachines.has(machine.id));
};

/** The zone rules, given where the job's other tasks may be at this moment. */
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

/** Whether a task of the job fits beside what is on the machine now. */
export const fitsFreeCapacity = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.slots > 0 && fitsResources(job, capacity);

/** Whether a task of the job leaves the head's reservation alone. */
export const fitsBesideReservation = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.shadowCpus + EPSILON >= job.spec.cpus &&
  capacity.shadowGpus + EPSILON >= job.spec.gpus &&
  capacity.shadowMemoryGb + EPSILON >= job.spec.memoryGb;

/** Counts a task against what is free at the shadow time. */
export const reserveShadowCapacity = (job: Job, capacity: FreeCapacity): void => {
  capacity.shadowCpus -= job.spec.cpus;
  capacity.shadowGpus -= job.spec.gpus;
  capacity.shadowMemoryGb -= job.spec.memoryGb;
};

/** How many more tasks the team's limit allows. */
export const tasksWithinQuota = (state: CoreState, job: Job): number => {
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

/** How long the machine fetches the job's image before a task starts. */
export const imageFetchMs = (job: Job, capacity: FreeCapacity): number =>
  capacity.machine.images.has(job.spec.image)
    ? 0
    : (job.spec.imageGb / Math.max(capacity.type.fetchGbPerS, 0.01)) * 1000;

/** The least that any waiting job takes: a machine with less is of no use in this round. */
export interface SmallestRequirement {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The smallest need, resource by resource. */
export const smallestRequirementOf = (ranked: readonly RankedJob<Job>[]): SmallestRequirement => {
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
export const capacitiesWithRoom = (
  capacities: readonly FreeCapacity[],
  least: SmallestRequirement,
): FreeCapacity[] =>
  capacities.filter(
    (capacity) =>
      capacity.slots > 0 &&
      capacity.cpus + EPSILON >= least.cpus &&
      capacity.gpus + EPSILON >= least.gpus &&
      capacity.memoryGb + EPSILON >= least.memoryGb,
  );

/** An amount of each resource. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What a machine has free once these attempts have left it. */
export const resourcesWithout = (
  capacity: FreeCapacity,
  leaving: readonly Placement[],
): Resources => {
  const { cpus, gpus, memoryGb } = capacity;
  const space = { cpus, gpus, memoryGb };
  for (const { entry } of leaving) {
    space.cpus += entry.cpus;
    space.gpus += entry.gpus;
    space.memoryGb += entry.memoryGb;
  }
  return space;
};

/** Whether a task of the job fits into these resources. */
export const fitsResources = (job: Job, space: Resources): boolean =>
  space.cpus + EPSILON >= job.spec.cpus &&
  space.gpus + EPSILON >= job.spec.gpus &&
  space.memoryGb + EPSILON >= job.spec.memoryGb;
