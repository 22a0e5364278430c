/**
 * The score of a waiting job: the weighted sum of aging, deadline, scarcity and shortness, plus the
 * job's own priority, which is not in the paper.
 *
 * The formulas are those of Capannini et al., "Backfilling Strategies for Scheduling Streams of
 * Jobs on Computational Farms" (scheduler BF UNMOD, heuristics Aging, Deadline, Licenses and Wait
 * Minimization). Each function documents where it deviates.
 */

import type { MachineTypeName } from '../model/ids.js';
import { isService, type JobSpec, PRIORITY_LEVEL } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Policy } from '../model/policy.js';
import type { Instant } from '../model/time.js';

const MS_PER_HOUR = 3_600_000;

/** The part of a waiting job that its scores depend on. */
export interface WaitingJob {
  readonly spec: JobSpec;
  readonly submittedAt: Instant;
  /** Number of tasks that wait for a machine. */
  readonly pendingTasks: number;
}

/** A job's weighted scores. These names are part of the `explain` response. */
export interface JobScores {
  readonly aging: number;
  readonly deadline: number;
  readonly scarcity: number;
  readonly shortness: number;
  /** The score of the job's own priority. */
  readonly level: number;
  readonly total: number;
}

/** Scarcity of GPU types, which take the role of licences in the paper. */
export interface GpuScarcity {
  /** Requested GPUs over those in the fleet, for each type: ρ(l) of the paper. */
  readonly requestRatios: ReadonlyMap<MachineTypeName, number>;
  /** Number of types with enough GPUs for all requests, at least 1: d of the paper. */
  readonly ampleTypeCount: number;
}

/** What the scores depend on besides the jobs. `fleetGpus`: number of GPUs in the fleet by type. */
export interface RankingInput {
  readonly types: ReadonlyMap<MachineTypeName, MachineType>;
  readonly fleetGpus: ReadonlyMap<MachineTypeName, number>;
  readonly now: Instant;
  readonly policy: Policy;
}

/** Values computed once per ranking for all jobs. */
export interface ScoringContext extends RankingInput {
  readonly scarcity: GpuScarcity;

  /** The shortest estimate in the queue, in seconds. */
  readonly shortestEstimateS: number;
}

/** The machine types with enough GPUs for a task of the job; none if it needs none. */
const findGpuTypes = (
  spec: JobSpec,
  types: ReadonlyMap<MachineTypeName, MachineType>,
): MachineTypeName[] => {
  if (spec.gpus <= 0) return [];
  const names = spec.machineTypes ?? [...types.keys()];
  return names.filter((name) => (types.get(name)?.gpus ?? 0) >= spec.gpus);
};

/** ρ(l) = requests(l) / total(l) for each requested GPU type, and the number with ρ ≤ 1. */
export const measureScarcity = (
  waiting: Iterable<WaitingJob>,
  { types, fleetGpus }: Pick<RankingInput, 'types' | 'fleetGpus'>,
): GpuScarcity => {
  const requests = new Map<MachineTypeName, number>();
  for (const job of waiting) {
    for (const type of findGpuTypes(job.spec, types)) {
      requests.set(type, (requests.get(type) ?? 0) + job.spec.gpus * job.pendingTasks);
    }
  }
  const requestRatios = new Map<MachineTypeName, number>();
  let ampleTypeCount = 0;
  for (const [type, requested] of requests) {
    const ratio = requested / Math.max(fleetGpus.get(type) ?? 0, 1);
    requestRatios.set(type, ratio);
    if (ratio <= 1) ampleTypeCount += 1;
  }
  return { requestRatios, ampleTypeCount: Math.max(ampleTypeCount, 1) };
};

/**
 * Aging: age factor · (now − submission), which prevents starvation. Here, the age factor is in
 * points per hour.
 */
export const scoreAging = (
  { submittedAt }: Pick<WaitingJob, 'submittedAt'>,
  now: Instant,
  policy: Policy,
): number => (policy.ageFactor * (now - submittedAt)) / MS_PER_HOUR;

/**
 * Deadline, without its weight. With te the estimated end, over = k · estimate and the threshold
 * ts = deadline − over: min for te < ts; min + (max − min) / over · (te − ts) up to the deadline; 0
 * after it. Not in the paper: jobs without a deadline, and services, which have no end, score 0.
 */
export const scoreDeadline = (
  job: Pick<WaitingJob, 'spec' | 'submittedAt'>,
  now: Instant,
  policy: Policy,
): number => {
  const { spec, submittedAt } = job;
  if (spec.deadlineS === null || isService(job)) return 0;
  const { deadlineScoreMin, deadlineScoreMax, deadlineEstimateFactor } = policy;
  const estimateMs = spec.estimateS * 1000;
  const deadline = submittedAt + spec.deadlineS * 1000;
  const overestimateMs = deadlineEstimateFactor * estimateMs;
  const threshold = deadline - overestimateMs;
  const estimatedEnd = now + estimateMs;
  if (estimatedEnd > deadline) return 0;
  if (estimatedEnd < threshold || overestimateMs <= 0) return deadlineScoreMin;
  const growth = (deadlineScoreMax - deadlineScoreMin) / overestimateMs;
  return deadlineScoreMin + growth * (estimatedEnd - threshold);
};

/**
 * Scarcity, without its weight: the paper's Licenses heuristic, Σ ρ(l) over the ample types that
 * the job may use + d · Σ ρ(l) over the scarce ones (ρ > 1), d being the number of ample types.
 * Here, GPU types take the place of licences.
 */
export const scoreScarcity = (
  spec: JobSpec,
  { types, scarcity }: Pick<ScoringContext, 'types' | 'scarcity'>,
): number => {
  let sum = 0;
  for (const type of findGpuTypes(spec, types)) {
    const ratio = scarcity.requestRatios.get(type) ?? 0;
    sum += ratio > 1 ? scarcity.ampleTypeCount * ratio : ratio;
  }
  return sum;
};

/**
 * A job's estimate for shortness, in seconds: the run time of its pending tasks one after the other
 * (the paper has no arrays). Infinite for a service, so that it is never the shortest.
 */
export const estimateJobS = (job: WaitingJob): number =>
  isService(job) ? Number.POSITIVE_INFINITY : job.spec.estimateS * job.pendingTasks;

/**
 * Shortness, without its weight: the paper's Wait Minimization heuristic, the shortest estimate in
 * the queue over the job's own. The weight is the paper's priority boost value. A service scores 0.
 */
export const scoreShortness = (job: WaitingJob, shortestEstimateS: number): number => {
  const estimateS = estimateJobS(job);
  if (estimateS === Number.POSITIVE_INFINITY) return 0;
  return estimateS > 0 ? shortestEstimateS / estimateS : 1;
};

/** Priority (not in the paper): points per level, as the other four scores ignore urgency. */
export const scorePriority = (spec: JobSpec, policy: Policy): number =>
  policy.priorityWeight * PRIORITY_LEVEL[spec.priority];

/** The weighted scores of one job, and their sum P(J). */
export const scoreJob = (job: WaitingJob, context: ScoringContext): JobScores => {
  const { now, policy } = context;
  const aging = scoreAging(job, now, policy);
  const deadline = policy.deadlineWeight * scoreDeadline(job, now, policy);
  const scarcity = policy.scarcityWeight * scoreScarcity(job.spec, context);
  const shortness = policy.shortnessWeight * scoreShortness(job, context.shortestEstimateS);
  const level = scorePriority(job.spec, policy);
  const total = aging + deadline + scarcity + shortness + level;
  return { aging, deadline, scarcity, shortness, level, total };
};

/** A waiting job with the scores that gave it its rank. */
export interface RankedJob<T extends WaitingJob> {
  readonly job: T;
  readonly scores: JobScores;
}

/** Ranks jobs, the highest score first; ties go to the earlier submission, then the lower id. */
export const rankJobs = <T extends WaitingJob>(
  waiting: readonly T[],
  input: RankingInput,
): RankedJob<T>[] => {
  let shortestEstimateS = Number.POSITIVE_INFINITY;
  for (const job of waiting) shortestEstimateS = Math.min(shortestEstimateS, estimateJobS(job));
  const context = { ...input, scarcity: measureScarcity(waiting, input), shortestEstimateS };
  return waiting
    .map((job) => ({ job, scores: scoreJob(job, context) }))
    .sort(
      (a, b) =>
        b.scores.total - a.scores.total ||
        a.job.submittedAt - b.job.submittedAt ||
        (a.job.spec.id < b.job.spec.id ? -1 : 1),
    );
};
