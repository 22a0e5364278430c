/** Cancellation of jobs: idempotent, and answered only after the job's end is stored. */

import type { CoreState } from '../core-state.js';
import type { Effect } from '../model/effect.js';
import type { Job, Machine } from '../model/entities.js';
import type { JobId, ReplyTicket } from '../model/ids.js';
import type { JobOutcome } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { requestImmediateKill } from './attempts.js';
import { dispatchKills } from './worker-commands.js';

const machinesOf = (job: Job): Set<Machine> => {
  const machines = new Set<Machine>();
  for (const { machine } of job.attemptsByTask.placements()) machines.add(machine);
  return machines;
};

/**
 * Kills all attempts of an ended job, even without a valid leader lease: see `belongsToEndedJob`.
 * An earlier kill request without grace is kept, so that it is not repeated too soon.
 */
export const killAllAttempts = (job: Job, now: Instant, effects: Effect[]): void => {
  for (const placement of job.attemptsByTask.placements())
    if (placement.stopRequest?.graceS !== 0) requestImmediateKill(placement);
  for (const machine of machinesOf(job)) dispatchKills(machine, now, effects);
};

/** Answers all pending requests to cancel the job with its stored outcome. */
export const settleCancellations = (job: Job, outcome: JobOutcome, effects: Effect[]): void => {
  for (const ticket of job.cancellationTickets)
    effects.push({ kind: 'cancellation-settled', ticket, outcome });
  job.cancellationTickets = [];
};

/**
 * Cancels a job, unless its end is already decided. `ticket` identifies the answer that the user
 * waits for; it is sent once the end is stored, or immediately for an unknown job.
 */
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
  // Further work of the tasks is wasted, so they are killed before the end is stored: another node
  // may report the stored end to users before this leader gets the result of its write, if it
  // ever does. If the write fails, the tasks run again.
  killAllAttempts(job, now, effects);
};
