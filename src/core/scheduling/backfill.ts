/**
 * One scheduling round: flexible backfilling, scheduler BF UNMOD of the paper cited in scoring.ts.
 * The queue head stays head until its tasks are placed; those that do not fit yet get capacity
 * reserved at the shadow time, their expected start. Other jobs are placed by score, outside that
 * reservation or where they end by the shadow time.
 *
 * The phases are defined in the order in which `runSchedulingRound` runs them; each allocates from
 * the capacity that earlier ones left free.
 */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT, failsEverywhere } from '../lifecycle/job-tasks.js';
import type { Job, Placement } from '../model/entities.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import { type Instant, seconds } from '../model/time.js';
import { countAttemptsWithinMemory } from './attempt-room.js';
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
  explainLimit,
  NO_LIMITS,
  NO_MACHINE_REASON,
  type PlacementLimits,
  type PlacementResult,
  placeJob,
} from './placement.js';
import { preemptForHead, preemptForReplicas } from './preemption.js';
import { isFirstTaskOverdue, rankWaitingJobs } from './ranking.js';
import { evictReplicas, findReplicasToEvict } from './replica-eviction.js';
import { reserveForHead } from './reservation.js';
import type { RankedJob } from './scoring.js';
import { reserveMachinesForServices } from './service-reservation.js';
import { hasQueuePrecedence } from './services.js';

/**
 * A job is starving once it has had no attempt on a machine for this long. This is below the 90 s
 * after which operators count a wait next to free capacity as a fault.
 */
const STARVING_AFTER_MS = 75_000;

/** Multiple of `firstTaskAfterS` after which a first task is placed even before the queue head. */
const FIRST_TASK_BEFORE_HEAD_FACTOR = 1.5;

/** The placements of one round, and the waiting jobs by rank. */
export interface SchedulingRound {
  readonly placed: Placement[];
  readonly ranked: RankedJob<Job>[];
}

/** State shared by the phases of one round. */
interface RoundContext extends SchedulingContext {
  readonly ranked: readonly RankedJob<Job>[];
  readonly queueHead: Job | null;
  /** The free capacity of every schedulable machine. */
  readonly capacities: readonly FreeCapacity[];
  readonly smallest: SmallestRequirement;
  /** Those `capacities` in which some pending task may still fit; updated by the phases. */
  usable: readonly FreeCapacity[];
  readonly placed: Placement[];
}

/** Places tasks of the job and adds them to the round's placements. */
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

/** How many of the job's pending tasks the team's quota and the memory would still allow. */
const countUnplacedWithinLimits = (state: CoreState, job: Job): number =>
  Math.min(
    job.pendingTasks,
    countTasksWithinQuota(state, job),
    countAttemptsWithinMemory(state, job),
  );

/**
 * Whether the job may be queue head. A job that fails everywhere may not: aging would make it head
 * eventually, and it must not reserve capacity. A service may not: no estimate says when all its
 * replicas could start, so it could stay head forever.
 */
const mayBeQueueHead = (job: Job): boolean =>
  job.failedMachines.size < FAILED_MACHINES_LIMIT && !isService(job);

/** The previous round's head if it still waits, otherwise the best ranked job that may be head. */
const chooseQueueHead = (state: CoreState, ranked: readonly RankedJob<Job>[]): Job | null => {
  const previousHead = ranked.find(
    ({ job }) => job.spec.id === state.queueHead && mayBeQueueHead(job),
  );
  const head = previousHead ?? ranked.find(({ job }) => mayBeQueueHead(job));
  return head?.job ?? null;
};

/**
 * Places replicas of critical services ahead of the queue; replicas that fit nowhere preempt.
 * Replicas whose machine is gone restart on the machines reserved for services.
 */
const placeCriticalReplicas = (context: RoundContext): void => {
  const { state, now, ranked, capacities, smallest } = context;
  const criticalServices = ranked.filter(({ job }) => hasQueuePrecedence(job));
  for (const { job } of criticalServices) {
    const result = placeInRound(context, job, filterUsable(capacities, smallest), NO_LIMITS);
    job.waitingReason = result.waitingReason;
    const unplaced = countUnplacedWithinLimits(state, job);
    if (unplaced > 0 && !failsEverywhere(job)) preemptForReplicas(job, unplaced, capacities, now);
  }
  // Reserves the new replicas' machines, so that no array's image is fetched there meanwhile.
  if (context.placed.length > 0) reserveMachinesForServices(state, now);
};

/**
 * Places a task of each job that has waited at least `minWaitS` for its first one, except the queue
 * head and critical services. Shortness ranks large arrays last, and a missed deadline scores 0, so
 * under sustained overload such a job would never start.
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

/** Places the queue head; reserves capacity for its unplaced tasks, which sets the shadow time. */
const placeQueueHead = (context: RoundContext): void => {
  const { state, now, queueHead, capacities } = context;
  if (!queueHead) return;
  const result = placeInRound(context, queueHead, context.usable, NO_LIMITS);
  queueHead.waitingReason = result.waitingReason;
  const unplaced = countUnplacedWithinLimits(state, queueHead);
  if (unplaced <= 0) return;
  if (mayPreempt(state, queueHead, now)) preemptForHead(queueHead, unplaced, capacities, now);
  state.shadowTime = reserveForHead(queueHead, unplaced, capacities, now);
};

/** Whether `requirementsKey` alone decides on which machines tasks of the job fit. */
const isComparableByRequirements = ({ spec, failedMachines }: Job): boolean =>
  !spec.singleZone && !spec.spreadZones && failedMachines.size === 0;

const explainUnplaced = (state: CoreState, job: Job): string =>
  explainLimit(state, job) ?? NO_MACHINE_REASON;

/** Backfills the other jobs by rank, without delaying the queue head's reservation. */
const backfillOthers = (context: RoundContext): void => {
  const { state, ranked, queueHead, smallest } = context;
  const limits = { ...NO_LIMITS, shadowTime: state.shadowTime };
  // Free capacity only shrinks, so another job with the same key would find no machine either.
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
 * Places one task of each starving job on capacity that is still free, even if it is reserved for
 * the queue head or for services, so that no job waits for long while a machine could run it.
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

/** Runs one round: places pending tasks, chooses the queue head and sets the shadow time. */
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
  // Successive heads may use up all capacity, so a long overdue first task goes before the head.
  placeOverdueFirstTasks(context, firstTaskAfterS * FIRST_TASK_BEFORE_HEAD_FACTOR);
  placeQueueHead(context);
  placeOverdueFirstTasks(context, firstTaskAfterS);
  backfillOthers(context);
  placeStarvingJobs(context);
  // The head has no pending tasks left: the next round chooses a new one by score.
  if (queueHead && queueHead.pendingTasks <= 0) state.queueHead = null;
  return { placed, ranked };
};

/**
 * Places replicas of critical services only, on machines that have acknowledged the new leader,
 * while it waits for the other workers to report. A missing replica does harm at once; none is
 * placed twice, as the ledger lists the attempts that may run; only the order among arrays needs
 * the wait.
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
