/** What users and teams are told of a job: its state, and why it waits. */

import type { CoreState } from '../core-state.js';
import type { Job } from '../model/entities.js';
import type { JobId, TeamName } from '../model/ids.js';
import type { JobOutcome, JobShape } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { tasksWithinQuota } from '../scheduling/capacity.js';
import { rankWaitingJobs } from '../scheduling/ranking.js';
import { failsEverywhere } from './job-tasks.js';

export interface CoreJobView {
  readonly id: JobId;
  readonly team: TeamName;
  readonly shape: JobShape;
  /** Its tasks, or the replicas it wants. */
  readonly tasks: number;
  readonly status: 'queued' | 'running' | JobOutcome;
  readonly done: number;
  readonly running: number;
  readonly waiting?: string;
}

const runningTasks = (job: Job): number => {
  let running = 0;
  for (const placements of job.attemptsByTask.values()) {
    if (
      placements.some(
        (placement) => placement.phase === 'running' || placement.phase === 'checkpointing',
      )
    )
      running += 1;
  }
  return running;
};

const whyWaiting = (state: CoreState, job: Job, now: Instant): string => {
  if (job.pendingTasks <= 0) return '';
  if (!state.isRecovered || now < state.schedulingStartsAt)
    return 'a new leader waits for the workers to report';
  if (now < job.retryAt) return 'pausing after failed tasks';
  if (tasksWithinQuota(state, job) < 1) return 'team limit';
  let booting = 0;
  for (const machine of state.machines.values()) if (!machine.hasReported) booting += 1;
  const reason = job.waitingReason || 'next round';
  const head = state.queueHead === job.spec.id ? ' (head of the queue)' : '';
  return booting > 0 ? `${reason}${head}; ${booting} machines booting` : `${reason}${head}`;
};

/**
 * null for a job this leader does not know as unfinished, or whose end is decided but not known to be stored: another node may
 * read the stored end before this one learns of it, and "running" after that would take it back. The state service is asked then.
 */
export const viewJob = (state: CoreState, id: JobId, now: Instant): CoreJobView | null => {
  const job = state.jobs.get(id);
  if (job?.terminalState !== 'none') return null;
  const running = runningTasks(job);
  const waiting = whyWaiting(state, job, now);
  return {
    id,
    team: job.spec.team,
    shape: job.spec.shape,
    tasks: job.spec.tasks,
    status: running > 0 ? 'running' : 'queued',
    done: Math.min(job.doneCount, job.spec.tasks),
    running,
    ...(waiting ? { waiting } : {}),
  };
};

export const explainJob = (state: CoreState, id: JobId, now: Instant) => {
  const job = state.jobs.get(id);
  if (!job) return null;
  const ranked = rankWaitingJobs(state, now);
  const at = ranked.findIndex((r) => r.job === job);
  let booting = 0;
  for (const machine of state.machines.values()) if (!machine.hasReported) booting += 1;
  return {
    id,
    team: job.spec.team,
    shape: job.spec.shape,
    tasks: job.spec.tasks,
    priority: job.spec.priority,
    done: job.doneCount,
    running: runningTasks(job),
    waitingTasks: job.pendingTasks,
    heldTasks: job.attemptsByTask.size,
    waiting: whyWaiting(state, job, now),
    rank: at < 0 ? null : at + 1,
    ofJobs: ranked.length,
    scores: at < 0 ? null : ranked[at]!.scores,
    head: state.queueHead,
    headShadowInS: state.shadowTime === null ? null : Math.max(0, (state.shadowTime - now) / 1000),
    teamLimitLeavesTasks: Math.min(tasksWithinQuota(state, job), job.spec.tasks),
    failsEverywhere: failsEverywhere(job),
    machinesBooting: booting,
  };
};
