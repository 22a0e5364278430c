/** What users and teams are told of a job: its state, and why it waits. */
import { rankWaiting } from '../scheduling/backfill.js';
import { tasksWithinLimit } from '../scheduling/capacity.js';
import type { CoreState, Job } from '../state.js';
import type { Instant, JobId, Outcome, Shape, TeamName } from '../types.js';
import { failsEverywhere } from './job-tasks.js';

export interface CoreJobView {
  readonly id: JobId;
  readonly team: TeamName;
  readonly shape: Shape;
  /** Its tasks, or the replicas it wants. */
  readonly tasks: number;
  readonly status: 'queued' | 'running' | Outcome;
  readonly done: number;
  readonly running: number;
  readonly waiting?: string;
}

const runningTasks = (job: Job): number => {
  let running = 0;
  for (const placements of job.held.values()) {
    if (placements.some((p) => p.phase === 'running' || p.phase === 'saving')) running += 1;
  }
  return running;
};

const whyWaiting = (state: CoreState, job: Job, now: Instant): string => {
  if (job.pending <= 0) return '';
  if (!state.loaded || now < state.placeFrom) return 'a new leader waits for the workers to report';
  if (now < job.retryAt) return 'pausing after failed tasks';
  if (tasksWithinLimit(state, job) < 1) return 'team limit';
  let booting = 0;
  for (const m of state.machines.values()) if (!m.everSeen) booting += 1;
  const reason = job.blockedBy || 'next round';
  const head = state.head === job.spec.id ? ' (head of the queue)' : '';
  return booting > 0 ? `${reason}${head}; ${booting} machines booting` : `${reason}${head}`;
};

/**
 * null for a job this leader does not know as unfinished, or whose end is decided but not known to be stored: another node may
 * read the stored end before this one learns of it, and "running" after that would take it back. The state service is asked then.
 */
export const viewJob = (state: CoreState, id: JobId, now: Instant): CoreJobView | null => {
  const job = state.jobs.get(id);
  if (job?.final !== 'none') return null;
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
  const ranked = rankWaiting(state, now);
  const at = ranked.findIndex((r) => r.job === job);
  let booting = 0;
  for (const m of state.machines.values()) if (!m.everSeen) booting += 1;
  return {
    id,
    team: job.spec.team,
    shape: job.spec.shape,
    tasks: job.spec.tasks,
    priority: job.spec.priority,
    done: job.doneCount,
    running: runningTasks(job),
    waitingTasks: job.pending,
    heldTasks: job.held.size,
    waiting: whyWaiting(state, job, now),
    rank: at < 0 ? null : at + 1,
    ofJobs: ranked.length,
    scores: at < 0 ? null : ranked[at]!.scores,
    head: state.head,
    headShadowInS: state.shadowAt === null ? null : Math.max(0, (state.shadowAt - now) / 1000),
    teamLimitLeavesTasks: Math.min(tasksWithinLimit(state, job), job.spec.tasks),
    failsEverywhere: failsEverywhere(job),
    machinesBooting: booting,
  };
};
