/** Placing the waiting tasks of one job: on which machines, in which order, and within which bounds. */

import { ATTEMPTS_PER_REVISION, addPlacement, hasAttemptLeft } from '../lifecycle/attempts.js';
import { failsEverywhere, takePending } from '../lifecycle/job-tasks.js';
import type { CoreState, Job, Placement } from '../state.js';
import { type Attempt, type Instant, isService, type LedgerEntry } from '../types.js';
import {
  EPSILON,
  type FreeCapacity,
  fetchMs,
  fitsNow,
  fitsShadow,
  mayUseMachine,
  morePowerful,
  takeShadow,
  tasksWithinLimit,
  zoneAllows,
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
    const suits = capacities.filter((r) => fitsNow(job, r) && mayUseMachine(job, r.machine));
    yield* capacitiesForReplicas(state, job, suits, now);
    return;
  }
  let next = 0;
  while (next < capacities.length) {
    const first = capacities[next]!;
    const without: FreeCapacity[] = [];
    for (; next < capacities.length && morePowerful(first, capacities[next]!) === 0; next += 1) {
      const capacity = capacities[next]!;
      if (!fitsNow(job, capacity) || !mayUseMachine(job, capacity.machine)) continue;
      if (capacity.machine.images.has(job.spec.image)) yield capacity;
      else without.push(capacity);
    }
    yield* without;
  }
}

/** A job with one zone starts where most of it fits. */
const chooseZone = (job: Job, capacities: readonly FreeCapacity[]): string | null => {
  if (!job.spec.oneZone || job.heldByZone.size > 0) return null;
  const slots = new Map<string, number>();
  for (const capacity of capacities) {
    if (!fitsNow(job, capacity) || !mayUseMachine(job, capacity.machine)) continue;
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
  const index = takePending(job);
  if (index === null) return null;
  if (!hasAttemptLeft(state)) {
    job.returned.push(index);
    return null;
  }
  const attempt = (state.config.term * ATTEMPTS_PER_REVISION + state.nextAttempt) as Attempt;
  state.nextAttempt += 1;
  const { id, team, cpus, gpus, memoryGb } = job.spec;
  const entry: LedgerEntry = { job: id, index, attempt, team, cpus, gpus, memoryGb };
  const placement: Placement = {
    entry,
    machine: capacity.machine,
    job,
    placedAt: now,
    phase: 'entering',
    startedAt: null,
    sentIn: null,
    kill: null,
    superseded: false,
    needs: null,
    segment: null,
  };
  addPlacement(state, placement);
  state.toEnter.add(placement);
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
    if (shadowAt === 0 || fitsShadow(job, r)) return true;
    if (now + runMs(job) + fetchMs(job, r) <= shadowAt) return true;
    reserved = true;
    return false;
  };
  const usableNow = (r: FreeCapacity) =>
    fitsNow(job, r) && zoneAllows(job, r.machine) && allowed(r);
  const order = candidates(state, job, capacities, now);
  // A service's replicas go to one machine after the other, an array's tasks fill each.
  const spread = isService(job);
  let capacity: FreeCapacity | null = null;
  while (job.pending > 0 && placed.length < most) {
    if (suspect && job.held.size > 0)
      return { placed, blockedBy: 'its tasks fail on every machine' };
    if (tasksWithinLimit(state, job) < 1) return { placed, blockedBy: TEAM_LIMIT };
    if (spread) capacity = null;
    while (!capacity || !usableNow(capacity)) {
      const next: IteratorResult<FreeCapacity> = order.next();
      if (next.done)
        return { placed, blockedBy: reserved ? 'room reserved for the head' : NO_MACHINE };
      capacity = next.value;
    }
    const outlasts = shadowAt === 0 || now + runMs(job) + fetchMs(job, capacity) > shadowAt;
    const placement = place(state, job, capacity, now);
    if (!placement) return { placed, blockedBy: 'no attempt number left' };
    if (outlasts) takeShadow(job, capacity);
    placed.push(placement);
  }
  return { placed, blockedBy: '' };
};
