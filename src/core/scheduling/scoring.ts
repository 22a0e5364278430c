/**
 * The weighted score of a waiting job: aging, deadline, scarcity and shortness
 * (Capannini et al., "Backfilling Strategies for Scheduling Streams of Jobs on Computational Farms").
 */

import type { MachineTypeName } from '../model/ids.js';
import { isService, type JobSpec, PRIORITY_LEVEL } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Policy } from '../model/policy.js';
import type { Instant } from '../model/time.js';

export interface WaitingJob {
  readonly spec: JobSpec;
  readonly submittedAt: Instant;
  /** Tasks that wait for a machine. */
  readonly pendingTasks: number;
}

export interface JobScores {
  readonly aging: number;
  readonly deadline: number;
  readonly scarcity: number;
  readonly shortness: number;
  readonly level: number;
  readonly total: number;
}

export interface Scarcity {
  /** Requests over total for each GPU type, the kind that stands for a licence. */
  readonly ratio: ReadonlyMap<MachineTypeName, number>;
  /** How many kinds are ample, at least 1. */
  readonly ample: number;
}

const gpuKinds = (
  spec: JobSpec,
  types: ReadonlyMap<MachineTypeName, MachineType>,
): MachineTypeName[] => {
  if (spec.gpus <= 0) return [];
  const names = spec.machineTypes ?? [...types.keys()];
  return names.filter((name) => (types.get(name)?.gpus ?? 0) >= spec.gpus);
};

/** `total` holds the GPUs of each type that the fleet has now. */
export const measureScarcity = (
  waiting: Iterable<WaitingJob>,
  types: ReadonlyMap<MachineTypeName, MachineType>,
  total: ReadonlyMap<MachineTypeName, number>,
): Scarcity => {
  const requests = new Map<MachineTypeName, number>();
  for (const job of waiting) {
    for (const kind of gpuKinds(job.spec, types)) {
      requests.set(kind, (requests.get(kind) ?? 0) + job.spec.gpus * job.pendingTasks);
    }
  }
  const ratio = new Map<MachineTypeName, number>();
  let ample = 0;
  for (const [kind, asked] of requests) {
    const value = asked / Math.max(total.get(kind) ?? 0, 1);
    ratio.set(kind, value);
    if (value <= 1) ample += 1;
  }
  return { ratio, ample: Math.max(ample, 1) };
};

export const deadlineScore = (
  spec: JobSpec,
  submittedAt: Instant,
  now: Instant,
  policy: Policy,
): number => {
  if (spec.deadlineS === null || spec.shape === 'service') return 0;
  const estimate = spec.estimateS * 1000;
  const deadline = submittedAt + spec.deadlineS * 1000;
  const over = policy.deadlineEstimateFactor * estimate;
  const threshold = deadline - over;
  const end = now + estimate;
  if (end > deadline) return 0;
  if (end < threshold || over <= 0) return policy.deadlineScoreMin;
  return (
    policy.deadlineScoreMin +
    ((policy.deadlineScoreMax - policy.deadlineScoreMin) / over) * (end - threshold)
  );
};

/**
 * An array's estimate, for shortness: what its waiting tasks take one after the other. A service has no end: it is never the
 * shortest, and gets nothing for shortness.
 */
export const jobEstimateS = (job: WaitingJob): number =>
  isService(job) ? Number.POSITIVE_INFINITY : job.spec.estimateS * job.pendingTasks;

export const scoreJob = (
  job: WaitingJob,
  shortestS: number,
  scarcity: Scarcity,
  types: ReadonlyMap<MachineTypeName, MachineType>,
  now: Instant,
  policy: Policy,
): JobScores => {
  const aging = (policy.ageFactor * (now - job.submittedAt)) / 3_600_000;
  const deadline = policy.deadlineWeight * deadlineScore(job.spec, job.submittedAt, now, policy);
  let rare = 0;
  for (const kind of gpuKinds(job.spec, types)) {
    const value = scarcity.ratio.get(kind) ?? 0;
    rare += value > 1 ? scarcity.ample * value : value;
  }
  const scarce = policy.scarcityWeight * rare;
  const work = jobEstimateS(job);
  const share = work === Number.POSITIVE_INFINITY ? 0 : work > 0 ? shortestS / work : 1;
  const shortness = policy.shortnessWeight * share;
  const level = policy.priorityWeight * PRIORITY_LEVEL[job.spec.priority];
  const total = aging + deadline + scarce + shortness + level;
  return { aging, deadline, scarcity: scarce, shortness, level, total };
};

export interface RankedJob<T extends WaitingJob> {
  readonly job: T;
  readonly scores: JobScores;
}

/** Highest score first; the earlier submission, then the id, decide ties. */
export const rankJobs = <T extends WaitingJob>(
  waiting: readonly T[],
  types: ReadonlyMap<MachineTypeName, MachineType>,
  total: ReadonlyMap<MachineTypeName, number>,
  now: Instant,
  policy: Policy,
): RankedJob<T>[] => {
  const scarcity = measureScarcity(waiting, types, total);
  let shortest = Number.POSITIVE_INFINITY;
  for (const job of waiting) shortest = Math.min(shortest, jobEstimateS(job));
  return waiting
    .map((job) => ({ job, scores: scoreJob(job, shortest, scarcity, types, now, policy) }))
    .sort(
      (a, b) =>
        b.scores.total - a.scores.total ||
        a.job.submittedAt - b.job.submittedAt ||
        (a.job.spec.id < b.job.spec.id ? -1 : 1),
    );
};
