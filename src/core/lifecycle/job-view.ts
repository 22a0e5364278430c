/** Views of a job for users and operators: its status, and why it waits. */

import type { CoreState } from '../core-state.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import type { JobId, TeamName } from '../model/ids.js';
import type { JobOutcome, JobShape, Priority } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { countTasksWithinQuota } from '../scheduling/capacity.js';
import { rankWaitingJobs } from '../scheduling/ranking.js';
import type { JobScores } from '../scheduling/scoring.js';
import { failsEverywhere } from './job-tasks.js';

/** A reported state may lag behind by this much; only an end is never reported late by a lag. */
export const MAX_STATE_LAG_MS = 3000;

/** An unfinished job as users see it. */
export interface CoreJobView {
  readonly id: JobId;
  readonly team: TeamName;
  readonly shape: JobShape;
  /** Number of tasks, or of the replicas that a service is to have. */
  readonly tasks: number;
  readonly status: 'queued' | 'running' | JobOutcome;
  readonly done: number;
  readonly running: number;
  /** Why tasks of the job wait, in words for users; absent if none waits. */
  readonly waiting?: string;
}

/** Why a job has its place in the queue, for operators; fields as in the HTTP response. */
export interface JobExplanation {
  readonly id: JobId;
  readonly team: TeamName;
  readonly shape: JobShape;
  readonly tasks: number;
  readonly priority: Priority;
  readonly done: number;
  readonly running: number;
  readonly waitingTasks: number;
  /** Tasks with attempts that may be on a machine. */
  readonly heldTasks: number;
  readonly waiting: string;
  /** Position among the waiting jobs, from 1; null if the job does not wait. */
  readonly rank: number | null;
  readonly ofJobs: number;
  readonly scores: JobScores | null;
  readonly head: JobId | null;
  /** Seconds until the shadow time, the expected start of the head; null if unknown. */
  readonly headShadowInS: number | null;
  /** Further tasks that the team's quota allows. */
  readonly teamLimitLeavesTasks: number;
  readonly failsEverywhere: boolean;
  readonly machinesBooting: number;
}

/** Why a job waits during a new leader's recovery, as text for users. */
export const RECOVERING_TEXT = 'a new leader waits for the workers to report';

type WaitReason =
  | { readonly kind: 'not-waiting' }
  | { readonly kind: 'recovering' }
  | { readonly kind: 'backing-off' }
  | { readonly kind: 'quota-used-up' }
  | {
      readonly kind: 'queued';
      /** From the last scheduling round; empty if none has considered the job yet. */
      readonly waitingReason: string;
      readonly isQueueHead: boolean;
    };

const NOT_WAITING: WaitReason = { kind: 'not-waiting' };
const RECOVERING: WaitReason = { kind: 'recovering' };
const BACKING_OFF: WaitReason = { kind: 'backing-off' };
const QUOTA_USED_UP: WaitReason = { kind: 'quota-used-up' };

/** A worker sends its next heartbeat at the latest after this many heartbeat intervals. */
const MAX_HEARTBEAT_INTERVALS = 1.25;

const isRunning = ({ phase }: Placement): boolean =>
  phase === 'running' || phase === 'checkpointing';

const countRunningTasks = (job: Job): number => job.attemptsByTask.countTasks(isRunning);

/** Whether a heartbeat is overdue by more than the permitted lag of a reported state. */
const isSilent = ({ config }: CoreState, machine: Machine, now: Instant): boolean =>
  now - machine.lastHeartbeatAt >
  config.heartbeatIntervalMs * MAX_HEARTBEAT_INTERVALS + MAX_STATE_LAG_MS;

/** Whether the task may be running although its machine has not reported that to this leader. */
const mayRunUnreported = (state: CoreState, placement: Placement, now: Instant): boolean => {
  const { phase, machine, dispatchedEpoch } = placement;
  switch (phase) {
    case 'unconfirmed':
      return true;
    case 'dispatched':
      return dispatchedEpoch !== null && isSilent(state, machine, now);
    case 'fetching':
      return isSilent(state, machine, now);
    default:
      return false;
  }
};

/** The job's status, or null if this leader does not know whether a task runs. */
const determineStatus = (
  state: CoreState,
  job: Job,
  running: number,
  now: Instant,
): 'queued' | 'running' | null => {
  if (running > 0) return 'running';
  // An unreadable segment may hold attempts of any job.
  if (state.unreadableSegments.size > 0) return null;
  const mayRun = job.attemptsByTask.some((attempt) => mayRunUnreported(state, attempt, now));
  return mayRun ? null : 'queued';
};

const countBootingMachines = (state: CoreState): number => {
  let booting = 0;
  for (const machine of state.machines.values()) if (!machine.hasReported) booting += 1;
  return booting;
};

const findWaitReason = (state: CoreState, job: Job, now: Instant): WaitReason => {
  if (job.pendingTasks <= 0) return NOT_WAITING;
  if (!state.isRecovered || now < state.schedulingStartsAt) return RECOVERING;
  if (now < job.retryAt) return BACKING_OFF;
  if (countTasksWithinQuota(state, job) < 1) return QUOTA_USED_UP;
  return {
    kind: 'queued',
    waitingReason: job.waitingReason,
    isQueueHead: state.queueHead === job.spec.id,
  };
};

/** The text for users, which must not change; empty if no task waits. */
const describeWaitReason = (state: CoreState, reason: WaitReason): string => {
  switch (reason.kind) {
    case 'not-waiting':
      return '';
    case 'recovering':
      return RECOVERING_TEXT;
    case 'backing-off':
      return 'pausing after failed tasks';
    case 'quota-used-up':
      return 'team limit';
    case 'queued': {
      const waitingReason = reason.waitingReason || 'next round';
      const text = reason.isQueueHead ? `${waitingReason} (head of the queue)` : waitingReason;
      const booting = countBootingMachines(state);
      return booting > 0 ? `${text}; ${booting} machines booting` : text;
    }
  }
};

const explainWait = (state: CoreState, job: Job, now: Instant): string =>
  describeWaitReason(state, findWaitReason(state, job, now));

const viewListedJob = (state: CoreState, job: Job, now: Instant): CoreJobView | null => {
  const { id, team, shape, tasks } = job.spec;
  const running = countRunningTasks(job);
  const status = determineStatus(state, job, running, now);
  if (status === null) return null;
  const waiting = explainWait(state, job, now);
  return {
    id,
    team,
    shape,
    tasks,
    status,
    done: Math.min(job.doneCount, tasks),
    running,
    ...(waiting ? { waiting } : {}),
  };
};

/**
 * The job as users see it. Returns null if this leader does not list it as unfinished, does not
 * know whether a task of it runs, or has decided its end without knowing that it is stored: the
 * key-value store must be read then. Another node may have reported the stored end already, which
 * "running" would contradict.
 */
export const viewJob = (state: CoreState, id: JobId, now: Instant): CoreJobView | null => {
  const job = state.jobs.get(id);
  return job?.terminalState === 'none' ? viewListedJob(state, job, now) : null;
};

/**
 * What this leader knows of a job whose record a caller has just read in the key-value store: no
 * end of it was stored then. `never-placed`: no task of it can run. `unknown`: a task may run.
 * Returns null before the stored state is recovered.
 */
export const viewRecordedJob = (
  state: CoreState,
  id: JobId,
  now: Instant,
): CoreJobView | 'never-placed' | 'unknown' | null => {
  if (!state.isRecovered) return null;
  const job = state.jobs.get(id);
  if (job) return viewListedJob(state, job, now) ?? 'unknown';
  const isPlaceable = state.unreadableSegments.size > 0 || state.recentlyEndedJobs.has(id);
  return isPlaceable ? 'unknown' : 'never-placed';
};

/**
 * The job as users see it, if a machine that is heard reports that a task of it runs; else null. A
 * former leader may say so too, as long as workers report to it.
 */
export const viewReportedJob = (state: CoreState, id: JobId, now: Instant): CoreJobView | null => {
  const job = state.jobs.get(id);
  if (!job) return null;
  const isReported = job.attemptsByTask.some(
    (attempt) => isRunning(attempt) && !isSilent(state, attempt.machine, now),
  );
  return isReported ? viewListedJob(state, job, now) : null;
};

/** How far an unfinished job has come: for a leader that reports on all of its jobs. */
export interface JobProgress {
  readonly id: JobId;
  /** null if this leader does not know whether a task runs. */
  readonly status: 'queued' | 'running' | null;
  readonly done: number;
  readonly running: number;
}

/** The progress of all jobs that have begun or may have; every other listed job is queued. */
export const listJobProgress = (state: CoreState, now: Instant): JobProgress[] => {
  const begun: JobProgress[] = [];
  for (const job of state.jobs.values()) {
    if (job.doneCount === 0 && job.attemptsByTask.size === 0) continue;
    const running = countRunningTasks(job);
    const status = determineStatus(state, job, running, now);
    if (status === 'queued' && job.doneCount === 0) continue;
    begun.push({
      id: job.spec.id,
      status,
      done: Math.min(job.doneCount, job.spec.tasks),
      running,
    });
  }
  return begun;
};

const secondsToShadowTime = ({ shadowTime }: CoreState, now: Instant): number | null =>
  shadowTime === null ? null : Math.max(0, (shadowTime - now) / 1000);

/** Explains the job's place in the queue; null if this leader does not list it as unfinished. */
export const explainJob = (state: CoreState, id: JobId, now: Instant): JobExplanation | null => {
  const job = state.jobs.get(id);
  if (job?.terminalState !== 'none') return null;
  const ranked = rankWaitingJobs(state, now);
  const position = ranked.findIndex((candidate) => candidate.job === job);
  return {
    id,
    team: job.spec.team,
    shape: job.spec.shape,
    tasks: job.spec.tasks,
    priority: job.spec.priority,
    done: job.doneCount,
    running: countRunningTasks(job),
    waitingTasks: job.pendingTasks,
    heldTasks: job.attemptsByTask.size,
    waiting: explainWait(state, job, now),
    rank: position < 0 ? null : position + 1,
    ofJobs: ranked.length,
    scores: ranked[position]?.scores ?? null,
    head: state.queueHead,
    headShadowInS: secondsToShadowTime(state, now),
    teamLimitLeavesTasks: Math.min(countTasksWithinQuota(state, job), job.spec.tasks),
    failsEverywhere: failsEverywhere(job),
    machinesBooting: countBootingMachines(state),
  };
};
