/**
 * One scheduling round: flexible backfilling, the paper's BF UNMOD (see scoring.ts). The head of
 * the queue keeps its rank until it has started, and reserves the capacity it misses up to the
 * shadow time; the others start by score where they leave that capacity alone or end before the
 * shadow time.
 *
 * The phases stand in the order of `runSchedulingRound`; each takes from the free capacity what the
 * earlier ones have left.
 */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT, failsEverywhere } from '../lifecycle/job-tasks.js';
import type { Job, Placement } from '../model/entities.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import { type Instant, seconds } from '../model/time.js';
import {
  countTasksWithinQuota,
  type FreeCapacity,
  filterUsable,
  findSmallestRequirement,
  measureFreeCapacities,
  type SchedulingContext,
  type SmallestRequirement,
} from './capacity.js';
import {
  NO_LIMITS,
  NO_MACHINE_REASON,
  type PlacementLimits,
  type PlacementResult,
  placeJob,
  TEAM_QUOTA_REASON,
} from './placement.js';
import { preemptForHead, preemptForReplicas } from './preemption.js';
import { isFirstTaskOverdue, rankWaitingJobs } from './ranking.js';
import { evictReplicas, findReplicasToEvict } from './replica-eviction.js';
import { reserveForHead } from './reservation.js';
import type { RankedJob } from './scoring.js';
import { reserveMachinesForServices } from './service-reservation.js';
import { hasQueuePrecedence } from './services.js';

/**
 * A job of which nothing has been on a machine for so long is starving. It stays under the 90 s
 * after which operators count waiting beside free capacity as a fault.
 */
const STARVING_AFTER_MS = 75_000;

/**
 * After this many times the wait for a first task, the job gets it even ahead of the queue head.
 */
const FIRST_TASK_BEFORE_HEAD_FACTOR = 1.5;

/** What a round has placed, and the waiting jobs by rank. */
export interface SchedulingRound {
  readonly placed: Placement[];
  readonly ranked: RankedJob<Job>[];
}

/** What the phases of one round share. */
interface RoundContext extends SchedulingContext {
  readonly ranked: readonly RankedJob<Job>[];
  readonly queueHead: Job | null;
  /** The free capacity of all schedulable machines. */
  readonly capacities: readonly FreeCapacity[];
  readonly smallest: SmallestRequirement;
  /** The capacities on which some waiting task may still fit; set after the replicas are placed. */
  usable: readonly FreeCapacity[];
  readonly placed: Placement[];
}

/** Places tasks of the job and adds them to what the round has placed. */
const placeInRound = (
  context: RoundContext,
  job: Job,
  capacities: readonly FreeCapacity[],
  limits: PlacementLimits,
): PlacementResult => {
  const result = placeJob(context, job, capacities, limits);
  for (const placement of result.placed) context.placed.push(placement);
  return result;
};

/** How many waiting tasks of the job its team's quota would allow. */
const countUnplacedWithinQuota = (state: CoreState, job: Job): number =>
  Math.min(job.pendingTasks, countTasksWithinQuota(state, job));

/**
 * Not a job that fails everywhere: it grows old and would seize the head; it may wait, but not
 * reserve. Nor a service: no estimate tells when it could start in full, so that it could hold the
 * head for ever.
 */
const mayBeQueueHead = (job: Job): boolean =>
  job.failedMachines.size < FAILED_MACHINES_LIMIT && !isService(job);

/** The former head while it waits, otherwise the job of the highest rank that may be head. */
const chooseQueueHead = (state: CoreState, ranked: readonly RankedJob<Job>[]): Job | null => {
  const previousHead = ranked.find(
    ({ job }) => job.spec.id === state.queueHead && mayBeQueueHead(job),
  );
  const head = previousHead ?? ranked.find(({ job }) => mayBeQueueHead(job));
  return head?.job ?? null;
};

/**
 * Places replicas of critical services, ahead of the queue; what is missing preempts. Replicas that
 * come back from a machine that went find the capacity that was reserved for them.
 */
const placeCriticalReplicas = (context: RoundContext): void => {
  const { state, now, ranked, capacities, smallest } = context;
  const criticalServices = ranked.filter(({ job }) => hasQueuePrecedence(job));
  for (const { job } of criticalServices) {
    const result = placeInRound(context, job, filterUsable(capacities, smallest), NO_LIMITS);
    job.waitingReason = result.waitingReason;
    const unplaced = countUnplacedWithinQuota(state, job);
    if (unplaced > 0 && !failsEverywhere(job)) preemptForReplicas(job, unplaced, capacities, now);
  }
  // No array is to start beside replicas just placed: its image would be fetched at the same time.
  if (context.placed.length > 0) reserveMachinesForServices(state, now);
};

/**
 * Places the first task of each job but the head that has waited this long and of which nothing has
 * begun. Shortness ranks large arrays last, and a deadline that has passed counts for nothing:
 * under lasting overload such a job would never begin.
 */
const placeOverdueFirstTasks = (context: RoundContext, minWaitS: number): void => {
  const { state, now, ranked, queueHead, smallest } = context;
  const minWaitMs = seconds(minWaitS);
  const limits = { shadowTime: state.shadowTime, maxTasks: 1 };
  for (const { job } of ranked) {
    if (job === queueHead || hasQueuePrecedence(job)) continue;
    if (!isFirstTaskOverdue(job, minWaitMs, now)) continue;
    if (context.usable.length === 0) return;
    const { placed } = placeInRound(context, job, context.usable, limits);
    if (placed.length > 0) context.usable = filterUsable(context.usable, smallest);
  }
};

const mayPreempt = (state: CoreState, head: Job, now: Instant): boolean => {
  const { preemptionMinPriority, preemptionDelayS } = state.config.policy;
  if (now - head.submittedAt < seconds(preemptionDelayS)) return false;
  return PRIORITY_LEVEL[head.spec.priority] >= preemptionMinPriority;
};

/** Places the queue head, and reserves for it what it misses: this sets the shadow time. */
const placeQueueHead = (context: RoundContext): void => {
  const { state, now, queueHead, capacities } = context;
  if (!queueHead) return;
  const result = placeInRound(context, queueHead, context.usable, NO_LIMITS);
  queueHead.waitingReason = result.waitingReason;
  const unplaced = countUnplacedWithinQuota(state, queueHead);
  if (unplaced <= 0) return;
  if (mayPreempt(state, queueHead, now)) preemptForHead(queueHead, unplaced, capacities, now);
  state.shadowTime = reserveForHead(queueHead, unplaced, capacities, now);
};

/** Whether nothing but its requirements tells the job from others with the same ones. */
const isComparableByRequirements = ({ spec, failedMachines }: Job): boolean =>
  !spec.singleZone && !spec.spreadZones && failedMachines.size === 0;

const explainUnplaced = (state: CoreState, job: Job): string =>
  countTasksWithinQuota(state, job) < 1 ? TEAM_QUOTA_REASON : NO_MACHINE_REASON;

/** Places the other jobs by rank, around the head's reservation. */
const backfillOthers = (context: RoundContext): void => {
  const { state, ranked, queueHead, smallest } = context;
  const limits = { ...NO_LIMITS, shadowTime: state.shadowTime };
  // Free capacity only shrinks within a round, so that equal requirements find no machine either.
  const unplaceableRequirements = new Set<string>();
  for (const { job } of ranked) {
    if (job === queueHead || hasQueuePrecedence(job)) continue;
    const isComparable = isComparableByRequirements(job);
    if (
      context.usable.length === 0 ||
      (isComparable && unplaceableRequirements.has(job.requirementsKey))
    ) {
      job.waitingReason = explainUnplaced(state, job);
      continue;
    }
    const { placed, waitingReason } = placeInRound(context, job, context.usable, limits);
    job.waitingReason = waitingReason;
    if (isComparable && waitingReason === NO_MACHINE_REASON)
      unplaceableRequirements.add(job.requirementsKey);
    if (placed.length > 0) context.usable = filterUsable(context.usable, smallest);
  }
};

/**
 * Places one task of each starving job in what the ranking has left free, also where that is
 * reserved for the head or for services: no job is to wait for long beside capacity that it could
 * have.
 */
const placeStarvingJobs = (context: RoundContext): void => {
  const { now, ranked, capacities, smallest } = context;
  const limits = { shadowTime: null, maxTasks: 1 };
  const usable = filterUsable(capacities, smallest);
  for (const { job } of ranked) {
    if (job.attemptsByTask.size > 0 || now - job.idleSince < STARVING_AFTER_MS) continue;
    job.isStarving = true;
    placeInRound(context, job, usable, limits);
    job.isStarving = false;
  }
};

/** Runs one round: places waiting tasks, names the queue head and sets the shadow time. */
export const runSchedulingRound = (state: CoreState, now: Instant): SchedulingRound => {
  const ranked = rankWaitingJobs(state, now);
  const replicasToEvict = findReplicasToEvict(state, now);
  const placed: Placement[] = [];
  state.shadowTime = null;
  if (ranked.length === 0 && replicasToEvict.length === 0) {
    state.queueHead = null;
    return { placed, ranked };
  }
  reserveMachinesForServices(state, now);
  const queueHead = chooseQueueHead(state, ranked);
  state.queueHead = queueHead?.spec.id ?? null;
  const capacities = measureFreeCapacities(state, now);
  const smallest = findSmallestRequirement(ranked);
  const context = {
    state,
    now,
    ranked,
    queueHead,
    capacities,
    smallest,
    usable: capacities,
    placed,
  };
  placeCriticalReplicas(context);
  evictReplicas(replicasToEvict, capacities);
  context.usable = filterUsable(capacities, smallest);
  const { firstTaskAfterS } = state.config.policy;
  // Where heads take up all that comes free, a first task that is late enough goes before the head.
  placeOverdueFirstTasks(context, firstTaskAfterS * FIRST_TASK_BEFORE_HEAD_FACTOR);
  placeQueueHead(context);
  placeOverdueFirstTasks(context, firstTaskAfterS);
  backfillOthers(context);
  placeStarvingJobs(context);
  // The head has started: the next round names a new one by score.
  if (queueHead && queueHead.pendingTasks <= 0) state.queueHead = null;
  return { placed, ranked };
};

/**
 * Places critical services alone, on machines that have answered the new leader, before its wait is
 * over: a missing replica is missed at once, the ledger tells what may run where, and the wait is
 * for the order among arrays only.
 */
export const placeCriticalReplicasOnly = (state: CoreState, now: Instant): SchedulingRound => {
  const placed: Placement[] = [];
  let isReplicaWaiting = false;
  for (const job of state.jobs.values())
    isReplicaWaiting ||=
      hasQueuePrecedence(job) && job.pendingTasks > 0 && job.terminalState === 'none';
  if (!isReplicaWaiting) return { placed, ranked: [] };
  const ranked = rankWaitingJobs(state, now).filter(({ job }) => hasQueuePrecedence(job));
  const capacities = measureFreeCapacities(state, now);
  for (const { job } of ranked)
    placed.push(...placeJob({ state, now }, job, capacities, NO_LIMITS).placed);
  return { placed, ranked };
};
