/** The two exceptions to running tasks to their end: for an urgent head, and for replicas of critical services. */

import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Job, Placement } from '../model/entities.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import type { Instant } from '../model/time.js';
import {
  type FreeCapacity,
  fitsResources,
  isFeasible,
  resourcesWithout,
  satisfiesZoneConstraints,
} from './capacity.js';

/** Shorter runs are not cut: a start that is stopped so soon is of no use. */
const LEAST_RUN_MS = 31_000;
/** Tasks that may be stopped for a head of this level: of lower priority, and no more is lost than the saving takes. */
const mayStop = (placement: Placement, level: number, now: Instant): boolean =>
  placement.job !== null &&
  placement.stopRequest === null &&
  placement.phase === 'running' &&
  placement.startedAt !== null &&
  now - placement.startedAt >= LEAST_RUN_MS &&
  PRIORITY_LEVEL[placement.job.spec.priority] < level &&
  placement.job.spec.checkpointIntervalS > 0;

/**
 * The one exception to running tasks to their end: small tasks take up every processor that comes free, so that on a
 * full fleet an urgent head with larger ones waits for long. It stops tasks of lower priority that save their
 * progress, as many as it takes, and its reservation keeps the room for it.
 */
export const preemptForHead = (
  job: Job,
  missing: number,
  capacities: readonly FreeCapacity[],
  now: Instant,
): void => {
  const level = PRIORITY_LEVEL[job.spec.priority];
  const { cpus, gpus, memoryGb } = job.spec;
  let left = missing;
  const open: { capacity: FreeCapacity; victims: Placement[] }[] = [];
  for (const capacity of capacities) {
    if (!isFeasible(job, capacity.machine) || !satisfiesZoneConstraints(job, capacity.machine))
      continue;
    const victims: Placement[] = [];
    let stopping = false;
    for (const placement of capacity.machine.placements.values()) {
      if (placement.stopRequest && occupiesMachine(placement.phase)) stopping = true;
      else if (mayStop(placement, level, now)) victims.push(placement);
    }
    // Room that is already being made counts first.
    if (stopping) {
      const soon = resourcesWithout(
        capacity,
        [...capacity.machine.placements.values()].filter(
          (placement) => placement.stopRequest && occupiesMachine(placement.phase),
        ),
      );
      while (left > 0 && fitsResources(job, soon)) {
        soon.cpus -= cpus;
        soon.gpus -= gpus;
        soon.memoryGb -= memoryGb;
        left -= 1;
      }
    } else if (victims.length > 0) open.push({ capacity, victims });
  }
  for (const { capacity, victims } of open) {
    if (left <= 0) return;
    const soon = resourcesWithout(capacity, []);
    let stopped: Placement[] = [];
    for (const placement of victims) {
      if (left <= 0) break;
      soon.cpus += placement.entry.cpus;
      soon.gpus += placement.entry.gpus;
      soon.memoryGb += placement.entry.memoryGb;
      stopped.push(placement);
      if (!fitsResources(job, soon)) continue;
      // Only once a task of the head fits is anything stopped for it.
      for (const victim of stopped)
        victim.stopRequest = { graceS: (victim.job?.spec.checkpointWriteS ?? 0) + 5, sentAt: null };
      stopped = [];
      while (left > 0 && fitsResources(job, soon)) {
        soon.cpus -= cpus;
        soon.gpus -= gpus;
        soon.memoryGb -= memoryGb;
        left -= 1;
      }
    }
  }
};

/** Replicas that find no room stop what loses least, as little as it takes for one replica after the other. */
export const preemptForReplicas = (
  job: Job,
  missing: number,
  capacities: readonly FreeCapacity[],
  now: Instant,
): void => {
  const level = PRIORITY_LEVEL[job.spec.priority];
  let left = missing;
  const options: { victims: Placement[]; loss: number }[] = [];
  for (const capacity of capacities) {
    if (!isFeasible(job, capacity.machine) || !satisfiesZoneConstraints(job, capacity.machine))
      continue;
    const all = [...capacity.machine.placements.values()].filter((placement) =>
      occupiesMachine(placement.phase),
    );
    // Room that is already being made counts first.
    const stopping = all.filter((placement) => placement.stopRequest);
    if (stopping.length > 0 && fitsResources(job, resourcesWithout(capacity, stopping))) {
      left -= 1;
      continue;
    }
    const lower = all
      .filter(
        (placement) =>
          placement.job &&
          !placement.stopRequest &&
          !isService(placement.job) &&
          PRIORITY_LEVEL[placement.job.spec.priority] < level,
      )
      .map((placement) => ({ p: placement, loss: lossMs(placement, now) }))
      .sort((a, b) => a.loss - b.loss);
    const victims: Placement[] = [];
    let loss = 0;
    for (const { p, loss: one } of lower) {
      victims.push(p);
      loss += one;
      if (!fitsResources(job, resourcesWithout(capacity, victims))) continue;
      options.push({ victims, loss });
      break;
    }
  }
  options.sort((a, b) => a.loss - b.loss);
  for (const { victims } of options) {
    if (left <= 0) return;
    left -= 1;
    for (const placement of victims) {
      const saves = (placement.job?.spec.checkpointIntervalS ?? 0) > 0;
      placement.stopRequest = {
        graceS: saves ? (placement.job?.spec.checkpointWriteS ?? 0) + 5 : 0,
        sentAt: null,
      };
    }
  }
};

/** The run time that is lost when an attempt is stopped. */
const lossMs = (placement: Placement, now: Instant): number => {
  if (placement.startedAt === null) return 0;
  const ran = now - placement.startedAt;
  const save =
    (placement.job?.spec.checkpointIntervalS ?? 0) > 0
      ? (placement.job?.spec.checkpointWriteS ?? 0) * 1000
      : Number.POSITIVE_INFINITY;
  return Math.min(ran, save);
};
