/** Adds jobs to the leader's state, and removes them once their end is stored. */

import type { CoreState } from '../core-state.js';
import { detachChunk } from '../ledger/segments.js';
import type { Effect } from '../model/effect.js';
import type { Job } from '../model/entities.js';
import type { JobId } from '../model/ids.js';
import type { JobSpec } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { killAllAttempts, settleCancellations } from './job-cancellation.js';
import { createJob } from './job-tasks.js';

/** Longer than a read, a watch event or an unanswered write can be in flight. */
const ENDED_JOB_RETENTION_MS = 120_000;

/**
 * Adds an admitted job, unless it is present or ended recently: a watch event, a read or the
 * response to a write may still show a job as unfinished after its end, and its tasks would run
 * again.
 */
export const addJob = (state: CoreState, spec: JobSpec, submittedAt: Instant): void => {
  if (state.jobs.has(spec.id) || state.recentlyEndedJobs.has(spec.id)) return;
  state.jobs.set(spec.id, createJob(spec, submittedAt, state.config));
  state.isRoundDue = true;
};

/** Records the job's end, and drops ends older than the retention time. */
const recordEndedJob = ({ recentlyEndedJobs }: CoreState, id: JobId, now: Instant): void => {
  for (const [ended, endedAt] of recentlyEndedJobs) {
    if (now - endedAt < ENDED_JOB_RETENTION_MS) break;
    recentlyEndedJobs.delete(ended);
  }
  recentlyEndedJobs.set(id, now);
};

/** Removes a job whose end is stored, notifies users and extensions, and kills its attempts. */
export const completeStoredJob = (
  state: CoreState,
  job: Job,
  now: Instant,
  effects: Effect[],
): void => {
  const { id, tasks, team } = job.spec;
  state.jobs.delete(id);
  recordEndedJob(state, id, now);
  for (const chunk of job.chunks.values()) detachChunk(state, chunk);
  if (state.queueHead === id) state.queueHead = null;
  const outcome = job.terminalState === 'cancelled' ? 'cancelled' : 'done';
  effects.push({ kind: 'job-ended', job: id, outcome, tasks, team });
  settleCancellations(job, outcome, effects);
  killAllAttempts(job, now, effects);
  for (const machine of state.machines.values()) machine.failedJobs.delete(id);
  state.isRoundDue = true;
};
