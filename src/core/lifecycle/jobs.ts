/** Jobs: their arrival, their end, and what happens to their tasks. */

import { quarantine } from '../fleet/scale-in.js';
import { leaveChunkSegment } from '../ledger/segments.js';
import { logEvent } from '../log-event.js';
import type { CoreState, Job, Machine, Placement } from '../state.js';
import {
  type Effect,
  type Instant,
  type JobId,
  later,
  type Millis,
  seconds,
  type Ticket,
} from '../types.js';
import { chunkOf, failsEverywhere, isDone, newJob, SUSPECT_MACHINES } from './job-tasks.js';
import { sendKills } from './worker-commands.js';

/** Longer than a read, a watch or an unanswered write can be under way. */
const ENDED_KEPT_MS = 120_000;

/** A watch, a read or the answer to a write may tell of a job after its end: taken up then, its tasks would start again. */
export const addJob = (state: CoreState, spec: Job['spec'], submittedAt: Instant): void => {
  if (state.jobs.has(spec.id) || state.endedLately.has(spec.id)) return;
  const job = newJob(spec, submittedAt, state.config);
  state.jobs.set(spec.id, job);
  state.placementDue = true;
};

const settle = (job: Job, effects: Effect[]): void => {
  const outcome = job.final === 'cancelled' ? 'cancelled' : 'done';
  for (const ticket of job.abortTickets) effects.push({ kind: 'settled', ticket, outcome });
  job.abortTickets = [];
};

export const abortJob = (
  state: CoreState,
  id: JobId,
  ticket: Ticket,
  now: Instant,
  effects: Effect[],
): void => {
  const job = state.jobs.get(id);
  if (!job) {
    effects.push({ kind: 'settled', ticket, outcome: null });
    return;
  }
  job.abortTickets.push(ticket);
  if (job.final !== 'none') return;
  job.final = 'cancelled';
  state.dirtyFinals.add(job);
  // Nothing that its tasks do from now on is of use to anybody: they are killed at once. Another node may tell of the stored
  // end before this one learns of it, and may never learn of it; should the write fail, the tasks run again.
  killAll(job, now, effects);
};

/** Also without a valid lease: see `ofEndedJob` in orders. */
const killAll = (job: Job, now: Instant, effects: Effect[]): void => {
  for (const placements of job.held.values()) {
    for (const p of placements) if (p.kill?.graceS !== 0) p.kill = { graceS: 0, sentAt: null };
  }
  for (const m of machinesOf(job)) sendKills(m, effects, now);
};

export const finishSaved = (state: CoreState, job: Job, now: Instant, effects: Effect[]): void => {
  state.jobs.delete(job.spec.id);
  for (const [id, at] of state.endedLately) {
    if (now - at < ENDED_KEPT_MS) break;
    state.endedLately.delete(id);
  }
  state.endedLately.set(job.spec.id, now);
  for (const chunk of job.chunks.values()) leaveChunkSegment(state, chunk);
  if (state.head === job.spec.id) state.head = null;
  const outcome = job.final === 'cancelled' ? 'cancelled' : 'done';
  effects.push({
    kind: 'final',
    job: job.spec.id,
    outcome,
    tasks: job.spec.tasks,
    team: job.spec.team,
  });
  settle(job, effects);
  killAll(job, now, effects);
  for (const m of state.machines.values()) m.failedJobs.delete(job.spec.id);
  state.placementDue = true;
};

const machinesOf = (job: Job): Set<Machine> => {
  const machines = new Set<Machine>();
  for (const placements of job.held.values()) for (const p of placements) machines.add(p.machine);
  return machines;
};

export const markDone = (state: CoreState, job: Job, p: Placement, now: Instant): void => {
  const { index } = p.entry;
  if (index >= job.spec.tasks) return;
  const chunk = chunkOf(job, index);
  const number = Math.floor(index / job.partTasks);
  if (!isDone(job, index)) {
    const at = index % job.partTasks;
    chunk.bits[at >> 3] = (chunk.bits[at >> 3] ?? 0) | (1 << (at & 7));
    chunk.version += 1;
    job.doneCount += 1;
    state.dirtyChunks.set(`${job.spec.id}/${number}`, { job, chunk: number });
    state.dirtySince ??= now;
    for (const other of job.held.get(index) ?? []) {
      if (other === p) continue;
      other.kill = { graceS: 0, sentAt: null };
      if (!other.superseded) job.superseded += 1;
      other.superseded = true;
    }
    if (job.doneCount >= job.spec.tasks && job.final === 'none') {
      job.final = 'done';
      state.dirtyFinals.add(job);
    }
  }
  p.needs = { chunk: number, version: chunk.version };
  job.failedOn.clear();
  job.failures = 0;
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
export const noteReplicaEnd = (
  state: CoreState,
  job: Job,
  p: Placement,
  failed: boolean,
  now: Instant,
  effects: Effect[],
): void => {
  if (now - job.failedAt > FAILURES_FORGOTTEN_MS) {
    job.failedOn.clear();
    job.failures = 0;
  }
  job.failedAt = now;
  const sound = p.startedAt !== null && now - p.startedAt >= SOUND_RUN_MS;
  if (sound) job.failedOn.add(p.machine.id);
  else noteFailure(state, job, p.machine, now, effects);
  // With others of it running it is sound, but it need not be tried without a pause where it fails.
  if (!sound && job.failures >= SUSPECT_MACHINES && !failsEverywhere(job))
    job.retryAt = later(now, SOUND_PAUSE_MS);
  // An end without an error says nothing against the machine.
  if (!failed) p.machine.failedJobs.delete(job.spec.id);
};

export const noteFailure = (
  state: CoreState,
  job: Job,
  m: Machine,
  now: Instant,
  effects: Effect[],
): void => {
  job.failures += 1;
  job.failedAt = now;
  job.failedOn.add(m.id);
  m.failedJobs.add(job.spec.id);
  if (failsEverywhere(job)) {
    // The job's own mistake: the machines are not to blame, and it must neither hold the head nor burn them.
    for (const other of state.machines.values()) other.failedJobs.delete(job.spec.id);
    const pause = Math.min(60, 2 ** Math.min(job.failures - SUSPECT_MACHINES + 1, 6));
    job.retryAt = later(now, seconds(Math.max(2, pause)));
    if (state.head === job.spec.id) state.head = null;
    logEvent(effects, 'info', 'job fails on every machine, pausing', {
      job: job.spec.id,
      pauseS: pause,
    });
  } else if (quarantine(state, m, now)) {
    logEvent(effects, 'info', 'machine fails tasks of several jobs, replacing it', {
      machine: m.id,
    });
  }
};
