/**
 * One scheduling round: flexible backfilling, BF UNMOD. The head of the queue keeps its rank until it
 * has started and reserves the room it misses up to the shadow time; the others start by score where
 * they leave that room alone or end before the shadow time.
 */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT, failsEverywhere } from '../lifecycle/job-tasks.js';
import type { Job, Placement } from '../model/entities.js';
import type { MachineTypeName } from '../model/ids.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import type { Instant } from '../model/time.js';
import {
  capacitiesWithRoom,
  type FreeCapacity,
  fitsFreeCapacity,
  freeCapacities,
  isFeasible,
  reserveShadowCapacity,
  satisfiesZoneConstraints,
  smallestRequirementOf,
  tasksWithinQuota,
} from './capacity.js';
import { NO_MACHINE, placeJob, TEAM_LIMIT } from './placement.js';
import { preemptForHead, preemptForReplicas } from './preemption.js';
import { reserveForHead } from './reservation.js';
import { type RankedJob, rankJobs } from './scoring.js';
import {
  hasQueuePrecedence,
  replicasToEvict,
  requestEviction,
  reserveMachinesForServices,
} from './services.js';

export interface Round {
  readonly placed: Placement[];
  readonly ranked: RankedJob<Job>[];
}

const fleetGpus = (state: CoreState): Map<MachineTypeName, number> => {
  const total = new Map<MachineTypeName, number>();
  for (const machine of state.machines.values()) {
    const gpus = state.types.get(machine.type)?.gpus ?? 0;
    if (gpus > 0) total.set(machine.type, (total.get(machine.type) ?? 0) + gpus);
  }
  return total;
};

const FAILURES_FORGOTTEN_MS = 60_000;

/** A machine that failed a job may be the only one that suits it, and be sound again: the job does not shun it for good. */
const forgetFailures = (job: Job, now: Instant): void => {
  if (isService(job) || job.failedMachines.size >= FAILED_MACHINES_LIMIT) return;
  if (now - job.lastFailureAt > FAILURES_FORGOTTEN_MS) job.failedMachines.clear();
};

/** Jobs that wait, ranked; those whose tasks fail everywhere are left out until their pause is over. */
export const rankWaitingJobs = (state: CoreState, now: Instant): RankedJob<Job>[] => {
  const waiting: Job[] = [];
  for (const job of state.jobs.values()) {
    if (job.terminalState !== 'none' || job.pendingTasks <= 0) continue;
    forgetFailures(job, now);
    if (now < job.retryAt) {
      job.waitingReason = 'pausing after failures';
      continue;
    }
    waiting.push(job);
  }
  return rankJobs(waiting, state.types, fleetGpus(state), now, state.config.policy);
};

/**
 * A replica whose machine is about to go is stopped as soon as room elsewhere is held for it, in this round and in each until
 * it is proven gone: then it starts, ahead of the queue or by its rank.
 */
const reserveForMoves = (
  leaving: readonly Placement[],
  capacities: readonly FreeCapacity[],
): void => {
  for (const placement of leaving) {
    const job = placement.job!;
    const capacity = capacities.find(
      (r) =>
        fitsFreeCapacity(job, r) &&
        isFeasible(job, r.machine) &&
        (r.machine.zone === placement.machine.zone || satisfiesZoneConstraints(job, r.machine)),
    );
    if (!capacity) continue;
    capacity.slots -= 1;
    capacity.cpus -= job.spec.cpus;
    capacity.gpus -= job.spec.gpus;
    capacity.memoryGb -= job.spec.memoryGb;
    reserveShadowCapacity(job, capacity);
    requestEviction(placement);
  }
};

/**
 * Before a new leader's wait is over, critical services alone are placed, on machines that have answered it: each replica is
 * missed at once, what may run where is known from the ledger, and it is not the order among arrays that the wait is for.
 */
export const placeWaitingReplicas = (state: CoreState, now: Instant): Round => {
  const placed: Placement[] = [];
  let waits = false;
  for (const job of state.jobs.values())
    waits ||= hasQueuePrecedence(job) && job.pendingTasks > 0 && job.terminalState === 'none';
  if (!waits) return { placed, ranked: [] };
  const ranked = rankWaitingJobs(state, now).filter(({ job }) => hasQueuePrecedence(job));
  const capacities = freeCapacities(state, now);
  for (const { job } of ranked) placed.push(...placeJob(state, job, capacities, now, 0).placed);
  return { placed, ranked };
};

/**
 * A job of which nothing has been on a machine for so long gets one task where there is room that the ranking leaves free, also if it
 * is reserved for the head or kept for services: no job is to wait for 90 s beside room that it could have.
 */
const STARVING_MS = 75_000;
const placeStarving = (
  state: CoreState,
  ranked: readonly RankedJob<Job>[],
  capacities: readonly FreeCapacity[],
  now: Instant,
): Placement[] => {
  const placed: Placement[] = [];
  for (const { job } of ranked) {
    if (job.attemptsByTask.size > 0 || now - job.idleSince < STARVING_MS) continue;
    job.isStarving = true;
    placed.push(...placeJob(state, job, capacities, now, 0, 1).placed);
    job.isStarving = false;
  }
  return placed;
};

export const runSchedulingRound = (state: CoreState, now: Instant): Round => {
  const ranked = rankWaitingJobs(state, now);
  const leaving = replicasToEvict(state, now);
  const placed: Placement[] = [];
  state.shadowTime = null;
  if (ranked.length === 0 && leaving.length === 0) {
    state.queueHead = null;
    return { placed, ranked };
  }
  reserveMachinesForServices(state, now);
  // A job that fails everywhere grows old and would seize the head: it may wait, but not reserve.
  // Nor may a service: no estimate tells when it could start in full, and it could hold the head for ever.
  const canHead = (job: Job) => job.failedMachines.size < FAILED_MACHINES_LIMIT && !isService(job);
  let head = ranked.find((r) => r.job.spec.id === state.queueHead && canHead(r.job)) ?? null;
  head ??= ranked.find((r) => canHead(r.job)) ?? null;
  state.queueHead = head?.job.spec.id ?? null;
  const capacities = freeCapacities(state, now);
  const least = smallestRequirementOf(ranked);
  // Replicas that are back from a machine that went find the room that was held for them.
  const first = ranked.filter(({ job }) => hasQueuePrecedence(job));
  for (const { job } of first) {
    const result = placeJob(state, job, capacitiesWithRoom(capacities, least), now, 0);
    for (const placement of result.placed) placed.push(placement);
    job.waitingReason = result.blockedBy;
    const missing = Math.min(job.pendingTasks, tasksWithinQuota(state, job));
    if (missing > 0 && !failsEverywhere(job)) preemptForReplicas(job, missing, capacities, now);
  }
  // Where replicas have just been placed no array is to start beside them, whose images would be fetched at the same time.
  if (placed.length > 0) reserveMachinesForServices(state, now);
  reserveForMoves(leaving, capacities);
  let open = capacitiesWithRoom(capacities, least);
  let shadowAt = 0;
  const { firstTaskAfterS } = state.config.policy;
  /** The first task of each job but the head that has waited this long and of which nothing has begun. */
  const firstTasks = (waitedS: number) => {
    for (const { job } of ranked) {
      if (now - job.submittedAt < waitedS * 1000 || job === head?.job || hasQueuePrecedence(job))
        continue;
      if (job.attemptsByTask.size > 0 || job.doneCount > 0) continue;
      if (open.length === 0) return;
      const result = placeJob(state, job, open, now, shadowAt, 1);
      for (const placement of result.placed) placed.push(placement);
      if (result.placed.length > 0) open = capacitiesWithRoom(open, least);
    }
  };
  // Shortness ranks large arrays last, and deadlines that have passed count for nothing: under lasting overload such a
  // job would never begin. One that has waited long gets its first task ahead of the others, around the head; where heads
  // take up all that comes free, one that has waited half as long again gets it even so.
  firstTasks(firstTaskAfterS * 1.5);
  if (head) {
    const result = placeJob(state, head.job, open, now, 0);
    for (const placement of result.placed) placed.push(placement);
    head.job.waitingReason = result.blockedBy;
    const missing = Math.min(head.job.pendingTasks, tasksWithinQuota(state, head.job));
    if (missing > 0) {
      const { preemptionMinPriority, preemptionDelayS } = state.config.policy;
      const waited = now - head.job.submittedAt >= preemptionDelayS * 1000;
      if (waited && PRIORITY_LEVEL[head.job.spec.priority] >= preemptionMinPriority)
        preemptForHead(head.job, missing, capacities, now);
      for (const capacity of capacities) {
        capacity.shadowCpus = capacity.cpus;
        capacity.shadowGpus = capacity.gpus;
        capacity.shadowMemoryGb = capacity.memoryGb;
      }
      shadowAt = reserveForHead(head.job, missing, capacities, now);
      if (shadowAt > 0) state.shadowTime = shadowAt as Instant;
    }
  }
  firstTasks(firstTaskAfterS);
  /** Needs that found no machine: in this round rooms only shrink, so that equal needs find none either. */
  const hopeless = new Set<string>();
  for (const { job } of ranked) {
    if (job === head?.job || hasQueuePrecedence(job)) continue;
    const plain = !job.spec.singleZone && !job.spec.spreadZones && job.failedMachines.size === 0;
    if (open.length === 0 || (plain && hopeless.has(job.requirementsKey))) {
      job.waitingReason = tasksWithinQuota(state, job) < 1 ? TEAM_LIMIT : NO_MACHINE;
      continue;
    }
    const result = placeJob(state, job, open, now, shadowAt);
    for (const placement of result.placed) placed.push(placement);
    job.waitingReason = result.blockedBy;
    if (plain && result.blockedBy === NO_MACHINE) hopeless.add(job.requirementsKey);
    if (result.placed.length > 0) open = capacitiesWithRoom(open, least);
  }
  for (const placement of placeStarving(state, ranked, capacitiesWithRoom(capacities, least), now))
    placed.push(placement);
  // The head has started: the next round names a new one by score.
  if (head && head.job.pendingTasks <= 0) state.queueHead = null;
  return { placed, ranked };
};
