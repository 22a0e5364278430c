/** Placement of one job's pending tasks: the choice and order of machines, and the limits. */

import type { CoreState } from '../core-state.js';
import { addPlacement, hasUnusedAttemptNumber, nextAttemptNumber } from '../lifecycle/attempts.js';
import { failsEverywhere, takePendingTask } from '../lifecycle/job-tasks.js';
import { AttemptEntry } from '../model/attempt-entry.js';
import type { Job, Placement } from '../model/entities.js';
import type { ZoneName } from '../model/ids.js';
import { isService } from '../model/job.js';
import { type Instant, wholeMillis } from '../model/time.js';
import { countAttemptsWithinMemory } from './attempt-room.js';
import {
  allocateFreeCapacity,
  compareByMachineSize,
  countTasksWithinQuota,
  EPSILON,
  estimateImageFetchMs,
  type FreeCapacity,
  fitsFreeCapacity,
  fitsShadowCapacity,
  isFeasible,
  reserveShadowCapacity,
  type SchedulingContext,
  satisfiesZoneConstraints,
} from './capacity.js';
import { estimateRunMs } from './estimates.js';
import { spreadReplicas } from './replica-spreading.js';

/** Waiting reason shown to users: the team's quota allows no more tasks. */
export const TEAM_QUOTA_REASON = 'team limit';
/** Waiting reason shown to users: no feasible machine has the capacity. */
export const NO_MACHINE_REASON = 'no machine with room';

/** Waiting reason shown to users: the controllers have no memory for more tasks at a time. */
export const MEMORY_REASON = 'controllers cannot track more tasks';

/** Limits on the placement of a job in one phase of a round. */
export interface PlacementLimits {
  /** The shadow time of the head's reservation; null if there is none to respect. */
  readonly shadowTime: Instant | null;
  readonly maxTasks: number;
}

/** No reservation to respect, and as many tasks as fit. */
export const NO_LIMITS: PlacementLimits = { shadowTime: null, maxTasks: Number.POSITIVE_INFINITY };

/** The placements of a job, and why tasks still wait: '' if none do or `maxTasks` is reached. */
export interface PlacementResult {
  readonly placed: Placement[];
  readonly waitingReason: string;
}

/**
 * The machines for an array's tasks, best first: the largest, and among equally large ones those
 * with the image, where a task starts sooner. Free capacity only shrinks while a job is placed, so
 * a skipped machine is never examined again: the cost of a round grows with the number of machines,
 * not with machines times tasks.
 */
function* listArrayCandidates(
  job: Job,
  capacities: readonly FreeCapacity[],
): Generator<FreeCapacity, undefined> {
  let index = 0;
  let largest = capacities[index];
  while (largest) {
    const withoutImage: FreeCapacity[] = [];
    let capacity: FreeCapacity | undefined = largest;
    while (capacity && compareByMachineSize(largest, capacity) === 0) {
      if (fitsFreeCapacity(job, capacity) && isFeasible(job, capacity.machine)) {
        if (capacity.machine.images.has(job.spec.image)) yield capacity;
        else withoutImage.push(capacity);
      }
      index += 1;
      capacity = capacities[index];
    }
    yield* withoutImage;
    largest = capacity;
  }
}

/** The machines for a service's replicas, one per replica; see `spreadReplicas`. */
function* listReplicaCandidates(
  context: SchedulingContext,
  job: Job,
  capacities: readonly FreeCapacity[],
): Generator<FreeCapacity, undefined> {
  const feasible = capacities.filter(
    (capacity) => fitsFreeCapacity(job, capacity) && isFeasible(job, capacity.machine),
  );
  yield* spreadReplicas(context, job, feasible);
}

/** For a `singleZone` job without attempts, the zone with processors for most tasks; else null. */
const chooseZone = (job: Job, capacities: readonly FreeCapacity[]): ZoneName | null => {
  if (!job.spec.singleZone || job.attemptsByZone.size > 0) return null;
  const tasksByZone = new Map<ZoneName, number>();
  for (const capacity of capacities) {
    if (!fitsFreeCapacity(job, capacity) || !isFeasible(job, capacity.machine)) continue;
    const { zone } = capacity.machine;
    const tasks = job.spec.cpus > 0 ? Math.floor((capacity.cpus + EPSILON) / job.spec.cpus) : 1;
    tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasks);
  }
  let best: ZoneName | null = null;
  let bestTasks = 0;
  for (const [zone, tasks] of tasksByZone) {
    if (best !== null && tasks <= bestTasks) continue;
    best = zone;
    bestTasks = tasks;
  }
  return best;
};

interface MachineSearch {
  readonly job: Job;
  readonly now: Instant;
  readonly shadowTime: Instant | null;
  /** The only zone to use, from `chooseZone`; null for no such limit. */
  readonly zone: ZoneName | null;
  readonly candidates: Generator<FreeCapacity, undefined>;
  /** The machine of the task placed last. */
  currentMachine: FreeCapacity | undefined;
  /** Whether a machine had capacity that is reserved for the queue head. */
  isBlockedByReservation: boolean;
}

/** Whether a task placed now would end by the shadow time, including its image fetch. */
const endsByShadowTime = (search: MachineSearch, capacity: FreeCapacity): boolean => {
  const { job, now, shadowTime } = search;
  return (
    shadowTime !== null &&
    now + estimateRunMs(job) + estimateImageFetchMs(job, capacity) <= shadowTime
  );
};

/** Whether a task fits, meets the zone constraints and does not delay the queue head. */
const canPlaceNextTask = (search: MachineSearch, capacity: FreeCapacity): boolean => {
  const { job, zone, shadowTime } = search;
  if (!fitsFreeCapacity(job, capacity)) return false;
  if (!satisfiesZoneConstraints(job, capacity.machine)) return false;
  if (zone !== null && capacity.machine.zone !== zone) return false;
  if (shadowTime === null || fitsShadowCapacity(job, capacity)) return true;
  if (endsByShadowTime(search, capacity)) return true;
  search.isBlockedByReservation = true;
  return false;
};

/** The machine for the job's next task; undefined if no candidate is left. */
const selectNextMachine = (search: MachineSearch): FreeCapacity | undefined => {
  // A service's replicas each take the next candidate; an array's tasks fill a machine first.
  let capacity = isService(search.job) ? undefined : search.currentMachine;
  while (!capacity || !canPlaceNextTask(search, capacity)) {
    capacity = search.candidates.next().value;
    if (!capacity) return undefined;
  }
  search.currentMachine = capacity;
  return capacity;
};

/** Places the job's next task on the machine; null if no task or attempt number is left. */
const placeTask = (
  { state, now }: SchedulingContext,
  job: Job,
  capacity: FreeCapacity,
): Placement | null => {
  const index = takePendingTask(job);
  if (index === null) return null;
  if (!hasUnusedAttemptNumber(state)) {
    job.requeuedTasks.push(index);
    return null;
  }
  const attempt = nextAttemptNumber(state);
  state.nextAttemptOffset += 1;
  const placement: Placement = {
    entry: new AttemptEntry(job.spec, index, attempt),
    machine: capacity.machine,
    job,
    placedAt: wholeMillis(now),
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
  allocateFreeCapacity(job, capacity);
  return placement;
};

/** The limit that leaves no further task of the job; null if the limits leave one. */
export const explainLimit = (state: CoreState, job: Job): string | null => {
  if (countTasksWithinQuota(state, job) < 1) return TEAM_QUOTA_REASON;
  return countAttemptsWithinMemory(state, job) < 1 ? MEMORY_REASON : null;
};

/** The reason why no further task may start, regardless of free capacity; null if one may. */
const explainRefusal = (
  state: CoreState,
  job: Job,
  isFailingEverywhere: boolean,
): string | null => {
  // A job that fails everywhere runs one task at a time.
  if (isFailingEverywhere && job.attemptsByTask.size > 0) return 'its tasks fail on every machine';
  return explainLimit(state, job);
};

const explainNoMachine = ({ isBlockedByReservation }: MachineSearch): string =>
  isBlockedByReservation ? 'room reserved for the head' : NO_MACHINE_REASON;

/** Places as many of the job's pending tasks as limits, team quota and free capacity allow. */
export const placeJob = (
  context: SchedulingContext,
  job: Job,
  capacities: readonly FreeCapacity[],
  { shadowTime, maxTasks }: PlacementLimits,
): PlacementResult => {
  const { state, now } = context;
  const placed: Placement[] = [];
  const isFailingEverywhere = failsEverywhere(job);
  const search: MachineSearch = {
    job,
    now,
    shadowTime,
    zone: chooseZone(job, capacities),
    candidates: isService(job)
      ? listReplicaCandidates(context, job, capacities)
      : listArrayCandidates(job, capacities),
    currentMachine: undefined,
    isBlockedByReservation: false,
  };
  while (job.pendingTasks > 0 && placed.length < maxTasks) {
    const refusal = explainRefusal(state, job, isFailingEverywhere);
    if (refusal !== null) return { placed, waitingReason: refusal };
    const capacity = selectNextMachine(search);
    if (!capacity) return { placed, waitingReason: explainNoMachine(search) };
    const outlastsShadowTime = !endsByShadowTime(search, capacity);
    const placement = placeTask(context, job, capacity);
    if (!placement) return { placed, waitingReason: 'no attempt number left' };
    if (outlastsShadowTime) reserveShadowCapacity(job, capacity);
    placed.push(placement);
  }
  return { placed, waitingReason: '' };
};
