/**
 * Reconciles the leader's attempts with the tasks that a machine reports: unknown attempts are
 * added, known ones change phase or end, and those proven absent are released.
 */

import type { CoreState } from '../core-state.js';
import { logEvent } from '../log-event.js';
import { AttemptEntry, type TaskRequest } from '../model/attempt-entry.js';
import type { Effect } from '../model/effect.js';
import type { Job, LedgerSegment, Machine, Placement } from '../model/entities.js';
import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';
import type { JobId, TeamName } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { LedgerEntry } from '../model/ledger-record.js';
import { addMillis, type Instant, type Millis, seconds, wholeMillis } from '../model/time.js';
import {
  addPlacement,
  forgetPlacement,
  releasePlacement,
  requestImmediateKill,
} from './attempts.js';
import type { HeartbeatEvidence } from './heartbeat-evidence.js';
import { markTaskDone } from './job-completion.js';
import { isTaskDone } from './job-tasks.js';
import { recordReplicaExit, recordTaskFailure } from './task-failures.js';

/** How long a machine that refused a task for lack of resources gets no more work. */
const SATURATION_PAUSE_MS = 1500 as Millis;

/** Pause of a job after a worker refused a start because it found no such job or task. */
const UNKNOWN_TASK_PAUSE_MS = seconds(2);

/**
 * Adds an attempt that this leader did not place, from a former leader's ledger or a heartbeat.
 * `segment` is the ledger segment with its entry, or null.
 */
export const recoverPlacement = (
  state: CoreState,
  machine: Machine,
  entry: LedgerEntry,
  now: Instant,
  segment: LedgerSegment | null,
): Placement => {
  // An attempt whose job, or whose task index in it, is unknown is only counted and killed.
  const knownJob = state.jobs.get(entry.job);
  const job = knownJob && entry.index < knownJob.spec.tasks ? knownJob : null;
  const placement: Placement = {
    entry,
    machine,
    job,
    placedAt: wholeMillis(now),
    phase: 'unconfirmed',
    startedAt: null,
    dispatchedEpoch: null,
    stopRequest: job ? null : { graceS: 0, sentAt: null },
    isSuperseded: false,
    requiredProgress: null,
    segment,
  };
  segment?.placements.add(placement);
  addPlacement(state, placement);
  return placement;
};

/** The request of a job that is unknown: nothing of it can be counted. */
const unknownRequest = (id: JobId): TaskRequest => ({
  id,
  team: '' as TeamName,
  cpus: 0,
  gpus: 0,
  memoryGb: 0,
});

/**
 * Adds an attempt known only from a heartbeat, and queues its ledger entry. It is killed if its
 * task has another attempt or is done already, since no task may run twice.
 */
const recoverReportedAttempt = (
  state: CoreState,
  machine: Machine,
  task: TaskStatus,
  now: Instant,
): Placement => {
  const request = state.jobs.get(task.job)?.spec ?? unknownRequest(task.job);
  const entry = new AttemptEntry(request, task.index, task.attempt);
  const placement = recoverPlacement(state, machine, entry, now, null);
  const { job } = placement;
  const hasOtherAttempts = (job?.attemptsByTask.get(entry.index) ?? []).length > 1;
  const isTaskAlreadyDone = task.phase !== 'ended' && job !== null && isTaskDone(job, entry.index);
  if (hasOtherAttempts || isTaskAlreadyDone) requestImmediateKill(placement);
  state.awaitingLedgerEntry.add(placement);
  return placement;
};

const logReplicaRunning = (placement: Placement, now: Instant, effects: Effect[]): void => {
  const { entry, machine, placedAt } = placement;
  logEvent(effects, 'debug', 'replica running', {
    jobId: entry.job,
    taskIndex: entry.index,
    machineId: machine.id,
    afterMs: Math.round(now - placedAt),
  });
};

const handleActiveTask = (
  placement: Placement,
  phase: Exclude<TaskStatus['phase'], 'ended'>,
  now: Instant,
  effects: Effect[],
): void => {
  const { job, machine } = placement;
  if (phase === 'running' && placement.startedAt === null) {
    placement.startedAt = wholeMillis(now);
    if (job && isService(job)) logReplicaRunning(placement, now, effects);
  }
  placement.phase = phase;
  if (job) machine.images.add(job.spec.image);
};

/** Records the task's end for its job: as progress, a failure or a replica's exit. */
const recordTaskEnd = (
  state: CoreState,
  job: Job,
  placement: Placement,
  cause: TaskStatus['cause'],
  now: Instant,
  effects: Effect[],
): void => {
  const hasFailed = cause === 'error';
  if (isService(job)) {
    const hasExitedByItself = !placement.stopRequest && (cause === 'done' || hasFailed);
    if (hasExitedByItself) recordReplicaExit(state, job, placement, hasFailed, now, effects);
  } else if (cause === 'done' && job.terminalState === 'none') {
    markTaskDone(state, job, placement, now);
  } else if (hasFailed && !placement.stopRequest) {
    recordTaskFailure(state, job, placement.machine, now, effects);
  }
};

const logAttemptEnded = (placement: Placement, task: TaskStatus, effects: Effect[]): void => {
  logEvent(effects, 'debug', 'attempt ended', {
    jobId: placement.entry.job,
    taskIndex: placement.entry.index,
    machineId: placement.machine.id,
    cause: task.cause,
    checkpointSaved: task.checkpointSaved,
  });
};

const handleEndedTask = (
  state: CoreState,
  placement: Placement,
  task: TaskStatus,
  now: Instant,
  effects: Effect[],
): void => {
  const { job, machine } = placement;
  if (job) recordTaskEnd(state, job, placement, task.cause, now, effects);
  if (task.cause === 'no_room') machine.saturatedUntil = addMillis(now, SATURATION_PAUSE_MS);
  else if (task.cause === 'unknown' && job) job.retryAt = addMillis(now, UNKNOWN_TASK_PAUSE_MS);
  if (task.cause === 'done') machine.failedJobs.clear();
  else if (job) logAttemptEnded(placement, task, effects);
  releasePlacement(state, placement, now, 'reported');
};

const reconcileTask = (
  state: CoreState,
  placement: Placement,
  task: TaskStatus,
  now: Instant,
  effects: Effect[],
): void => {
  if (placement.phase === 'ended') return;
  if (task.phase === 'ended') handleEndedTask(state, placement, task, now, effects);
  else handleActiveTask(placement, task.phase, now, effects);
};

/**
 * Whether a start may still reach the worker. One sent in an agent epoch that has ended cannot:
 * the tasks of that epoch are gone, and replies to its heartbeats are dropped. Sent again, it would
 * run under an attempt number that may have run before.
 */
const isStartInFlight = (placement: Placement, agentEpoch: number): boolean =>
  placement.phase === 'dispatched' &&
  !placement.stopRequest &&
  (placement.dispatchedEpoch === null || placement.dispatchedEpoch === agentEpoch);

const releaseAbsentAttempts = (
  state: CoreState,
  machine: Machine,
  reportedAttempts: ReadonlySet<number>,
  now: Instant,
): void => {
  for (const placement of [...machine.placements.values()]) {
    if (reportedAttempts.has(placement.entry.attempt) || placement.phase === 'persisting') continue;
    if (isStartInFlight(placement, machine.agentEpoch)) continue;
    releasePlacement(state, placement, now);
    forgetPlacement(state, placement);
  }
};

/** Applies the status of all tasks; an authoritative heartbeat also releases absent attempts. */
export const reconcileTasks = (
  state: CoreState,
  machine: Machine,
  { tasks }: Heartbeat,
  evidence: HeartbeatEvidence,
  now: Instant,
  effects: Effect[],
): void => {
  const reportedAttempts = new Set<number>();
  for (const task of tasks) {
    reportedAttempts.add(task.attempt);
    const placement =
      machine.placements.get(task.attempt) ?? recoverReportedAttempt(state, machine, task, now);
    reconcileTask(state, placement, task, now, effects);
  }
  if (evidence === 'authoritative') releaseAbsentAttempts(state, machine, reportedAttempts, now);
};
