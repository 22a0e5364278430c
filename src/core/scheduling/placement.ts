/** Placing the waiting tasks of one job: on which machines, in which order, and within which bounds. */

import type { CoreState } from '../core-state.js';
import { ATTEMPTS_PER_REVISION, addPlacement, hasAttemptLeft } from '../lifecycle/attempts.js';
import { failsEverywhere, takePendingTask } from '../lifecycle/job-tasks.js';
import type { Job, Placement } from '../model/entities.js';
import type { AttemptId } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { LedgerEntry } from '../model/ledger-record.js';
import type { Instant } from '../model/time.js';
import {
  compareByPower,
  EPSILON,
  type FreeCapacity,
  fitsBesideReservation,
  fitsFreeCapacity,
  imageFetchMs,
  isFeasible,
  reserveShadowCapacity,
  satisfiesZoneConstraints,
  tasksWithinQuota,
} from './capacity.js';
import { runMs } from './estimates.js';
import { capacitiesForReplicas } from './services.js';

export const TEAM_LIMIT = 'team limit';
export const NO_MACHINE = 'no machine with room';

/**
 * The rooms for a job's tasks, best first: the most powerful, and among equals those that have the image, since a task starts
 * sooner there. While one job is placed rooms only fill up, so that one that was passed over need not be looked at again:
 * the work of a round follows the rooms and not rooms times tasks.
 */
function* candidates(
  state: CoreState,
  job: Job,
  capacities: readonly FreeCapacity[],
  now: Instant,
): Generator<FreeCapacity> {
  if (isService(job)) {
    const suits = capacities.filter((r) => fitsFreeCapacity(job, r) && isFeasible(job, r.machine));
    yield* capacitiesForReplicas(state, job, suits, now);
    return;
  }
  let next = 0;
  while (next < capacities.length) {
    const first = capacities[next]!;
    const without: FreeCapacity[] = [];
    for (; next < capacities.length && compareByPower(first, capacities[next]!) === 0; next += 1) {
      const capacity = capacities[next]!;
      if (!fitsFreeCapacity(job, capacity) || !isFeasible(job, capacity.machine)) continue;
      if (capacity.machine.images.has(job.spec.image)) yield capacity;
      else without.push(capacity);
    }
    yield* without;
  }
}

/** A job with one zone starts where most of it fits. */
const chooseZone = (job: Job, capacities: readonly FreeCapacity[]): string | null => {
  if (!job.spec.singleZone || job.attemptsByZone.size > 0) return null;
  const slots = new Map<string, number>();
  for (const capacity of capacities) {
    if (!fitsFreeCapacity(job, capacity) || !isFeasible(job, capacity.machine)) continue;
    const n = job.spec.cpus > 0 ? Math.floor((capacity.cpus + EPSILON) / job.spec.cpus) : 1;
    slots.set(capacity.machine.zone, (slots.get(capacity.machine.zone) ?? 0) + n);
  }
  let best: string | null = null;
  for (const [zone, n] of slots) if (best === null || n > (slots.get(best) ?? 0)) best = zone;
  return best;
};

const place = (
  state: CoreState,
  job: Job,
  capacity: FreeCapacity,
  now: Instant,
): Placement | null => {
  const index = takePendingTask(job);
  if (index === null) return null;
  if (!hasAttemptLeft(state)) {
    job.requeuedTasks.push(index);
    return null;
  }
  const attempt = (state.config.fencingToken * ATTEMPTS_PER_REVISION +
    state.nextAttemptOffset) as AttemptId;
  state.nextAttemptOffset += 1;
  const { id, team, cpus, gpus, memoryGb } = job.spec;
  const entry: LedgerEntry = { job: id, index, attempt, team, cpus, gpus, memoryGb };
  const placement: Placement = {
    entry,
    machine: capacity.machine,
    job,
    placedAt: now,
    phase: 'persisting',
    startedAt: null,
    dispatchedEpoch: null,
    stopRequest: null,
    isSuperseded: false,
    requiredProgress: null,
    segment: null,
  };
  addPlacement(state, placement);
  state.awaitingLedgerEntry.add(placement);
  capacity.machine.images.add(job.spec.image);
  capacity.slots -= 1;
  capacity.cpus -= cpus;
  capacity.gpus -= gpus;
  capacity.memoryGb -= memoryGb;
  return placement;
};

interface PlaceResult {
  readonly placed: Placement[];
  readonly blockedBy: string;
}

export const placeJob = (
  state: CoreState,
  job: Job,
  capacities: readonly FreeCapacity[],
  now: Instant,
  shadowAt: number,
  most = Number.POSITIVE_INFINITY,
): PlaceResult => {
  const placed: Placement[] = [];
  const zone = chooseZone(job, capacities);
  const suspect = failsEverywhere(job);
  let reserved = false;
  const allowed = (r: FreeCapacity): boolean => {
    if (zone !== null && r.machine.zone !== zone) return false;
    if (shadowAt === 0 || fitsBesideReservation(job, r)) return true;
    if (now + runMs(job) + imageFetchMs(job, r) <= shadowAt) return true;
    reserved = true;
    return false;
  };
  const usableNow = (r: FreeCapacity) =>
    fitsFreeCapacity(job, r) && satisfiesZoneConstraints(job, r.machine) && allowed(r);
  const order = candidates(state, job, capacities, now);
  // A service's replicas go to one machine after the other, an array's tasks fill each.
  const spread = isService(job);
  let capacity: FreeCapacity | null = null;
  while (job.pendingTasks > 0 && placed.length < most) {
    if (suspect && job.attemptsByTask.size > 0)
      return { placed, blockedBy: 'its tasks fail on every machine' };
    if (tasksWithinQuota(state, job) < 1) return { placed, blockedBy: TEAM_LIMIT };
    if (spread) capacity = null;
    while (!capacity || !usableNow(capacity)) {
      const next: IteratorResult<FreeCapacity> = order.next();
      if (next.done)
        return { placed, blockedBy: reserved ? 'room reserved for the head' : NO_MACHINE };
      capacity = next.value;
    }
    const outlasts = shadowAt === 0 || now + runMs(job) + imageFetchMs(job, capacity) > shadowAt;
    const placement = place(state, job, capacity, now);
    if (!placement) return { placed, blockedBy: 'no attempt number left' };
    if (outlasts) reserveShadowCapacity(job, capacity);
    placed.push(placement);
  }
  return { placed, blockedBy: '' };
};
