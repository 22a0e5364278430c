/**
 * How many attempts the controllers can keep track of. Each takes memory in the leader, and again
 * in its successor, which reads all of them: beyond the memory's limit both would end.
 */
import type { CoreState } from '../core-state.js';
import type { Job } from '../model/entities.js';

/** Heap that the leader keeps for one attempt. */
export const ATTEMPT_BYTES = 400;
/** Heap that the leader keeps for one machine. */
export const MACHINE_BYTES = 4096;
/** Heap that the leader keeps for one unfinished job. */
export const JOB_BYTES = 2560;
/** However many machines and jobs there are, this share is for attempts: some tasks always run. */
const MIN_ATTEMPTS_SHARE = 0.5;

/**
 * A job may hold up to this many times the attempts that are left for all jobs (a dynamic
 * threshold), so that the next job finds some left.
 */
const MAX_HELD_PER_FREE_ATTEMPT = 8;
/** Share of the attempts that is kept for the first tasks of jobs, so that every job begins. */
const FIRST_TASKS_SHARE = 1 / 16;

/** How many attempts the memory has room for in all, beside the machines and jobs. */
const countAttemptLimit = ({ config, machines, jobs }: CoreState): number => {
  const otherBytes = machines.size * MACHINE_BYTES + jobs.size * JOB_BYTES;
  const attemptBytes = Math.max(
    config.maxStateBytes - otherBytes,
    config.maxStateBytes * MIN_ATTEMPTS_SHARE,
  );
  return Math.floor(attemptBytes / ATTEMPT_BYTES);
};

/** How many more attempts the memory has room for; negative if there are more than that. */
export const countFreeAttempts = (state: CoreState): number =>
  countAttemptLimit(state) - state.trackedAttempts;

/** How many more attempts of the job the memory has room for, with some left for other jobs. */
export const countAttemptsWithinMemory = (state: CoreState, job: Job): number => {
  const limit = countAttemptLimit(state);
  const free = limit - state.trackedAttempts;
  if (free <= 0) return 0;
  const held = job.attemptsByTask.size;
  const shared = free - limit * FIRST_TASKS_SHARE;
  // After n more attempts, held + n may be at most the factor times (shared - n).
  const share = (MAX_HELD_PER_FREE_ATTEMPT * shared - held) / (MAX_HELD_PER_FREE_ATTEMPT + 1);
  return Math.max(held === 0 ? 1 : 0, Math.floor(share));
};
