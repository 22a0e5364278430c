/**
 * Preemption for an urgent queue head, and for replicas of critical services. The scheduler of the
 * paper (see scoring.ts) has none: it always runs tasks to their end.
 */

import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import type { Instant } from '../model/time.js';
import {
  type FreeCapacity,
  fitsResources,
  isFeasible,
  measureFreeResourcesWithout,
  type Resources,
  satisfiesZoneConstraints,
} from './capacity.js';
import { type AttemptWithJob, requestStop } from './stop-requests.js';

/** Run time before a task may be preempted for the head: sooner, its start would be wasted. */
const MIN_RUN_BEFORE_PREEMPTION_MS = 31_000;

const writesCheckpoints = (job: Job): boolean => job.spec.checkpointIntervalS > 0;

/** Whether the attempt is being stopped. Its capacity counts, or each round would stop more. */
const isStopping = (placement: Placement): boolean =>
  placement.stopRequest !== null && occupiesMachine(placement.phase);

/** Whether the attempt has lower priority and loses at most the time of a checkpoint write. */
const isPreemptibleForHead = (
  placement: Placement,
  headLevel: number,
  now: Instant,
): placement is AttemptWithJob =>
  placement.job !== null &&
  placement.stopRequest === null &&
  placement.phase === 'running' &&
  placement.startedAt !== null &&
  now - placement.startedAt >= MIN_RUN_BEFORE_PREEMPTION_MS &&
  PRIORITY_LEVEL[placement.job.spec.priority] < headLevel &&
  writesCheckpoints(placement.job);

/** The attempts on the machine that the head may preempt; null if any is being stopped. */
const findPreemptibleForHead = (
  machine: Machine,
  headLevel: number,
  now: Instant,
): AttemptWithJob[] | null => {
  const preemptible: AttemptWithJob[] = [];
  for (const placement of machine.placements.values()) {
    if (isStopping(placement)) return null;
    if (isPreemptibleForHead(placement, headLevel, now)) preemptible.push(placement);
  }
  return preemptible;
};

/** Deducts as many tasks of the job from `free` as fit, up to the limit; returns how many. */
const allocateFittingTasks = (job: Job, free: Resources, limit: number): number => {
  const { cpus, gpus, memoryGb } = job.spec;
  let tasks = 0;
  while (tasks < limit && fitsResources(job, free)) {
    free.cpus -= cpus;
    free.gpus -= gpus;
    free.memoryGb -= memoryGb;
    tasks += 1;
  }
  return tasks;
};

/**
 * Stops attempts on one machine, in the given order, until the head's unplaced tasks fit; returns
 * how many fit. No attempt is stopped unless that lets another task of the head fit.
 */
const preemptOnMachine = (
  head: Job,
  unplacedTasks: number,
  capacity: FreeCapacity,
  preemptible: readonly AttemptWithJob[],
): number => {
  const free = measureFreeResourcesWithout(capacity, []);
  let remaining = unplacedTasks;
  let candidates: AttemptWithJob[] = [];
  for (const attempt of preemptible) {
    if (remaining <= 0) break;
    free.cpus += attempt.entry.cpus;
    free.gpus += attempt.entry.gpus;
    free.memoryGb += attempt.entry.memoryGb;
    candidates.push(attempt);
    if (!fitsResources(head, free)) continue;
    for (const victim of candidates) requestStop(victim);
    candidates = [];
    remaining -= allocateFittingTasks(head, free, remaining);
  }
  return unplacedTasks - remaining;
};

/**
 * Preempts for an urgent head. Without it, small tasks would take every processor released on a
 * full fleet, and a head with larger tasks would wait for long. Stops as many attempts of lower
 * priority as needed, if they write checkpoints; the reservation keeps their capacity for the head.
 */
export const preemptForHead = (
  head: Job,
  unplacedTasks: number,
  capacities: readonly FreeCapacity[],
  now: Instant,
): void => {
  const headLevel = PRIORITY_LEVEL[head.spec.priority];
  let remaining = unplacedTasks;
  const options: { capacity: FreeCapacity; preemptible: AttemptWithJob[] }[] = [];
  for (const capacity of capacities) {
    const { machine } = capacity;
    if (!isFeasible(head, machine) || !satisfiesZoneConstraints(head, machine)) continue;
    const preemptible = findPreemptibleForHead(machine, headLevel, now);
    if (preemptible === null) {
      const stopping = [...machine.placements.values()].filter(isStopping);
      remaining -= allocateFittingTasks(
        head,
        measureFreeResourcesWithout(capacity, stopping),
        remaining,
      );
    } else if (preemptible.length > 0) options.push({ capacity, preemptible });
  }
  for (const { capacity, preemptible } of options) {
    if (remaining <= 0) return;
    remaining -= preemptOnMachine(head, remaining, capacity, preemptible);
  }
};

/** The run time, in milliseconds, that is lost if the attempt is stopped. */
const estimateLostRunMs = ({ job, startedAt }: AttemptWithJob, now: Instant): number => {
  if (startedAt === null) return 0;
  const checkpointMs = writesCheckpoints(job)
    ? job.spec.checkpointWriteS * 1000
    : Number.POSITIVE_INFINITY;
  return Math.min(now - startedAt, checkpointMs);
};

/** Attempts on one machine whose preemption makes a replica fit, and the run time lost. */
interface PreemptionOption {
  readonly victims: readonly AttemptWithJob[];
  readonly lossMs: number;
}

/** The machine's cheapest preemption, in lost run time, that makes a replica fit; or null. */
const findCheapestOption = (
  service: Job,
  capacity: FreeCapacity,
  attempts: readonly Placement[],
  now: Instant,
): PreemptionOption | null => {
  const serviceLevel = PRIORITY_LEVEL[service.spec.priority];
  const preemptible = attempts
    .filter(
      (placement): placement is AttemptWithJob =>
        placement.job !== null &&
        !placement.stopRequest &&
        !isService(placement.job) &&
        PRIORITY_LEVEL[placement.job.spec.priority] < serviceLevel,
    )
    .map((attempt) => ({ attempt, lossMs: estimateLostRunMs(attempt, now) }))
    .sort((a, b) => a.lossMs - b.lossMs);
  const victims: AttemptWithJob[] = [];
  let lossMs = 0;
  for (const candidate of preemptible) {
    victims.push(candidate.attempt);
    lossMs += candidate.lossMs;
    if (fitsResources(service, measureFreeResourcesWithout(capacity, victims)))
      return { victims, lossMs };
  }
  return null;
};

/**
 * Preempts for replicas of a critical service that fit nowhere: for each, stops the attempts, never
 * replicas, that make it fit on one machine at the least lost run time.
 */
export const preemptForReplicas = (
  service: Job,
  unplacedReplicas: number,
  capacities: readonly FreeCapacity[],
  now: Instant,
): void => {
  let remaining = unplacedReplicas;
  const options: PreemptionOption[] = [];
  for (const capacity of capacities) {
    const { machine } = capacity;
    if (!isFeasible(service, machine) || !satisfiesZoneConstraints(service, machine)) continue;
    const attempts = [...machine.placements.values()].filter((placement) =>
      occupiesMachine(placement.phase),
    );
    const stopping = attempts.filter(isStopping);
    if (
      stopping.length > 0 &&
      fitsResources(service, measureFreeResourcesWithout(capacity, stopping))
    ) {
      remaining -= 1;
      continue;
    }
    const option = findCheapestOption(service, capacity, attempts, now);
    if (option) options.push(option);
  }
  options.sort((a, b) => a.lossMs - b.lossMs);
  for (const { victims } of options) {
    if (remaining <= 0) return;
    remaining -= 1;
    for (const victim of victims) requestStop(victim);
  }
};
