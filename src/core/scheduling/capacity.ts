/**
 * What machines have free in one scheduling round, which jobs may use it, and what a team's limit still allows.
 */

import { usable } from '../fleet/machine-health.js';
import { SUSPECT_MACHINES } from '../lifecycle/job-tasks.js';
import type { CoreState, Job, Machine, Placement } from '../state.js';
import { type Instant, isService, type MachineType } from '../types.js';
import type { Ranked } from './scoring.js';

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
export const morePowerful = (a: FreeCapacity, b: FreeCapacity): number =>
  b.type.gpus - a.type.gpus || b.type.cpus - a.type.cpus || b.type.memoryGb - a.type.memoryGb;

/** Usable machines, the most powerful first. */
export const freeCapacities = (state: CoreState, now: Instant): FreeCapacity[] => {
  const capacities: FreeCapacity[] = [];
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (!type || !usable(state, machine, now)) continue;
    const cpus = type.cpus - machine.usedCpus;
    const gpus = type.gpus - machine.usedGpus;
    const memoryGb = type.memoryGb - machine.usedMemoryGb;
    const shadow = { shadowCpus: cpus, shadowGpus: gpus, shadowMemoryGb: memoryGb };
    const slots = state.config.maxPerMachine - machine.placements.size;
    capacities.push({ machine, type, slots, cpus, gpus, memoryGb, ...shadow });
  }
  return capacities.sort((a, b) => morePowerful(a, b) || (a.machine.id < b.machine.id ? -1 : 1));
};

/** Whether the job's own demands and failures let it use the machine, whatever is free on it. */
export const mayUseMachine = (job: Job, machine: Machine): boolean => {
  const { spec } = job;
  if (spec.types && !spec.types.includes(machine.type)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  if (machine.spot && !spec.spotOk) return false;
  if (isService(job)) return true;
  if (machine.kept && spec.spotOk && !job.starving) return false;
  return !(job.failedOn.size < SUSPECT_MACHINES && job.failedOn.has(machine.id));
};

/** The zone rules, given where the job's other tasks may be at this moment. */
export const zoneAllows = (job: Job, machine: Pick<Machine, 'zone'>): boolean => {
  const { spec, heldByZone } = job;
  if (
    spec.oneZone &&
    heldByZone.size > 0 &&
    !(heldByZone.size === 1 && heldByZone.has(machine.zone))
  ) {
    return false;
  }
  if (spec.scatter && (heldByZone.get(machine.zone) ?? 0) >= Math.ceil(spec.tasks / 2))
    return false;
  return true;
};

/** Whether a task of the job fits beside what is on the machine now. */
export const fitsNow = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.slots > 0 && fitsIn(job, capacity);

/** Whether a task of the job leaves the head's reservation alone. */
export const fitsShadow = (job: Job, capacity: FreeCapacity): boolean =>
  capacity.shadowCpus + EPSILON >= job.spec.cpus &&
  capacity.shadowGpus + EPSILON >= job.spec.gpus &&
  capacity.shadowMemoryGb + EPSILON >= job.spec.memoryGb;

/** Counts a task against what is free at the shadow time. */
export const takeShadow = (job: Job, capacity: FreeCapacity): void => {
  capacity.shadowCpus -= job.spec.cpus;
  capacity.shadowGpus -= job.spec.gpus;
  capacity.shadowMemoryGb -= job.spec.memoryGb;
};

/** How many more tasks the team's limit allows. */
export const tasksWithinLimit = (state: CoreState, job: Job): number => {
  const team = state.config.teams.get(job.spec.team);
  if (!team) return 0;
  const used = state.usage.get(team.name) ?? { cpus: 0, gpus: 0 };
  let tasks = Number.POSITIVE_INFINITY;
  if (job.spec.cpus > 0)
    tasks = Math.min(tasks, (team.cpusMax - used.cpus + EPSILON) / job.spec.cpus);
  if (job.spec.gpus > 0)
    tasks = Math.min(tasks, (team.gpusMax - used.gpus + EPSILON) / job.spec.gpus);
  return Math.max(0, Math.floor(tasks));
};

/** How long the machine fetches the job's image before a task starts. */
export const fetchMs = (job: Job, capacity: FreeCapacity): number =>
  capacity.machine.images.has(job.spec.image)
    ? 0
    : (job.spec.imageGb / Math.max(capacity.type.fetchGbPerS, 0.01)) * 1000;

/** The least that any waiting job takes: a machine with less is of no use in this round. */
export interface SmallestNeed {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The smallest need, resource by resource. */
export const smallestNeedOf = (ranked: readonly Ranked<Job>[]): SmallestNeed => {
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
export const stillUseful = (
  capacities: readonly FreeCapacity[],
  least: SmallestNeed,
): FreeCapacity[] =>
  capacities.filter(
    (c) =>
      c.slots > 0 &&
      c.cpus + EPSILON >= least.cpus &&
      c.gpus + EPSILON >= least.gpus &&
      c.memoryGb + EPSILON >= least.memoryGb,
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
export const fitsIn = (job: Job, space: Resources): boolean =>
  space.cpus + EPSILON >= job.spec.cpus &&
  space.gpus + EPSILON >= job.spec.gpus &&
  space.memoryGb + EPSILON >= job.spec.memoryGb;
