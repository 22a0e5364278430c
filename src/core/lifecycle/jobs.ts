/** Jobs: their arrival, their end, and what happens to their tasks. */

import type { CoreState } from '../core-state.js';
import { quarantineFaultyMachine } from '../fleet/scale-in.js';
import { detachChunk } from '../ledger/segments.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import type { JobId, ReplyTicket } from '../model/ids.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import {
  createJob,
  FAILED_MACHINES_LIMIT,
  failsEverywhere,
  getOrCreateChunk,
  isTaskDone,
} from './job-tasks.js';
import { dispatchKills } from './worker-commands.js';

/** Longer than a read, a watch or an unanswered write can be under way. */
const ENDED_KEPT_MS = 120_000;

/** A watch, a read or the answer to a write may tell of a job after its end: taken up then, its tasks would start again. */
export const addJob = (state: CoreState, spec: Job['spec'], submittedAt: Instant): void => {
  if (state.jobs.has(spec.id) || state.recentlyEndedJobs.has(spec.id)) return;
  const job = createJob(spec, submittedAt, state.config);
  state.jobs.set(spec.id, job);
  state.isRoundDue = true;
};

const settle = (job: Job, effects: Effect[]): void => {
  const outcome = job.terminalState === 'cancelled' ? 'cancelled' : 'done';
  for (const ticket of job.cancellationTickets)
    effects.push({ kind: 'cancellation-settled', ticket, outcome });
  job.cancellationTickets = [];
};

export const cancelJob = (
  state: CoreState,
  id: JobId,
  ticket: ReplyTicket,
  now: Instant,
  effects: Effect[],
): void => {
  const job = state.jobs.get(id);
  if (!job) {
    effects.push({ kind: 'cancellation-settled', ticket, outcome: null });
    return;
  }
  job.cancellationTickets.push(ticket);
  if (job.terminalState !== 'none') return;
  job.terminalState = 'cancelled';
  state.unsavedCompletions.add(job);
  // Nothing that its tasks do from now on is of use to anybody: they are killed at once. Another node may tell of the stored
  // end before this one learns of it, and may never learn of it; should the write fail, the tasks run again.
  killAll(job, now, effects);
};

/** Also without a valid lease: see `ofEndedJob` in orders. */
const killAll = (job: Job, now: Instant, effects: Effect[]): void => {
  for (const placements of job.attemptsByTask.values()) {
    for (const placement of placements)
      if (placement.stopRequest?.graceS !== 0) placement.stopRequest = { graceS: 0, sentAt: null };
  }
  for (const machine of machinesOf(job)) dispatchKills(machine, effects, now);
};

export const completeStoredJob = (
  state: CoreState,
  job: Job,
  now: Instant,
  effects: Effect[],
): void => {
  state.jobs.delete(job.spec.id);
  for (const [id, at] of state.recentlyEndedJobs) {
    if (now - at < ENDED_KEPT_MS) break;
    state.recentlyEndedJobs.delete(id);
  }
  state.recentlyEndedJobs.set(job.spec.id, now);
  for (const chunk of job.chunks.values()) detachChunk(state, chunk);
  if (state.queueHead === job.spec.id) state.queueHead = null;
  const outcome = job.terminalState === 'cancelled' ? 'cancelled' : 'done';
  effects.push({
    kind: 'job-ended',
    job: job.spec.id,
    outcome,
    tasks: job.spec.tasks,
    team: job.spec.team,
  });
  settle(job, effects);
  killAll(job, now, effects);
  for (const machine of state.machines.values()) machine.failedJobs.delete(job.spec.id);
  state.isRoundDue = true;
};

const machinesOf = (job: Job): Set<Machine> => {
  const machines = new Set<Machine>();
  for (const placements of job.attemptsByTask.values())
    for (const placement of placements) machines.add(placement.machine);
  return machines;
};

export const markTaskDone = (
  state: CoreState,
  job: Job,
  placement: Placement,
  now: Instant,
): void => {
  const { index } = placement.entry;
  if (index >= job.spec.tasks) return;
  const chunk = getOrCreateChunk(job, index);
  const number = Math.floor(index / job.tasksPerChunk);
  if (!isTaskDone(job, index)) {
    const at = index % job.tasksPerChunk;
    chunk.bits[at >> 3] = (chunk.bits[at >> 3] ?? 0) | (1 << (at & 7));
    chunk.version += 1;
    job.doneCount += 1;
    state.unsavedProgress.set(`${job.spec.id}/${number}`, { job, chunk: number });
    state.unsavedProgressSince ??= now;
    for (const other of job.attemptsByTask.get(index) ?? []) {
      if (other === placement) continue;
      other.stopRequest = { graceS: 0, sentAt: null };
      if (!other.isSuperseded) job.supersededAttempts += 1;
      other.isSuperseded = true;
    }
    if (job.doneCount >= job.spec.tasks && job.terminalState === 'none') {
      job.terminalState = 'done';
      state.unsavedCompletions.add(job);
    }
  }
  placement.requiredProgress = { chunk: number, version: chunk.version };
  job.failedMachines.clear();
  job.consecutiveFailures = 0;
};

/** A replica that ran for this long was sound: its end says nothing against its service. */
const SOUND_RUN_MS = 30_000;
/** After this long without a failure a service's pauses start anew. */
const FAILURES_FORGOTTEN_MS = 120_000;
const SOUND_PAUSE_MS = 3000 as Millis;

/**
 * A replica has ended by itself, for whatever cause: it runs again, elsewhere where it can. One that ends soon after its start
 * counts as failed, so that a service which ends at once everywhere pauses for longer and longer.
 */
export const recordReplicaExit = (
  state: CoreState,
  job: Job,
  placement: Placement,
  failed: boolean,
  now: Instant,
  effects: Effect[],
): void => {
  if (now - job.lastFailureAt > FAILURES_FORGOTTEN_MS) {
    job.failedMachines.clear();
    job.consecutiveFailures = 0;
  }
  job.lastFailureAt = now;
  const sound = placement.startedAt !== null && now - placement.startedAt >= SOUND_RUN_MS;
  if (sound) job.failedMachines.add(placement.machine.id);
  else recordTaskFailure(state, job, placement.machine, now, effects);
  // With others of it running it is sound, but it need not be tried without a pause where it fails.
  if (!sound && job.consecutiveFailures >= FAILED_MACHINES_LIMIT && !failsEverywhere(job))
    job.retryAt = addMillis(now, SOUND_PAUSE_MS);
  // An end without an error says nothing against the machine.
  if (!failed) placement.machine.failedJobs.delete(job.spec.id);
};

export const recordTaskFailure = (
  state: CoreState,
  job: Job,
  machine: Machine,
  now: Instant,
  effects: Effect[],
): void => {
  job.consecutiveFailures += 1;
  job.lastFailureAt = now;
  job.failedMachines.add(machine.id);
  machine.failedJobs.add(job.spec.id);
  if (failsEverywhere(job)) {
    // The job's own mistake: the machines are not to blame, and it must neither hold the head nor burn them.
    for (const other of state.machines.values()) other.failedJobs.delete(job.spec.id);
    const pause = Math.min(
      60,
      2 ** Math.min(job.consecutiveFailures - FAILED_MACHINES_LIMIT + 1, 6),
    );
    job.retryAt = addMillis(now, seconds(Math.max(2, pause)));
    if (state.queueHead === job.spec.id) state.queueHead = null;
    logEvent(effects, 'info', 'job fails on every machine, pausing', {
      job: job.spec.id,
      pauseS: pause,
    });
  } else if (quarantineFaultyMachine(state, machine, now)) {
    logEvent(effects, 'info', 'machine fails tasks of several jobs, replacing it', {
      machine: machine.id,
    });
  }
};
