/** Cancellation of jobs: idempotent, and answered only once the job's end is stored. */

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
  for (const placements of job.attemptsByTask.values())
    for (const placement of placements) machines.add(placement.machine);
  return machines;
};

/**
 * Kills all attempts of an ended job, also without a valid lease: see `belongsToEndedJob`. An
 * attempt that has a kill without grace already keeps it, so that it is not sent again too soon.
 */
export const killAllAttempts = (job: Job, now: Instant, effects: Effect[]): void => {
  for (const placements of job.attemptsByTask.values())
    for (const placement of placements)
      if (placement.stopRequest?.graceS !== 0) requestImmediateKill(placement);
  for (const machine of machinesOf(job)) dispatchKills(machine, now, effects);
};

/** Answers all users who asked for the job to be cancelled with the outcome that is stored. */
export const settleCancellations = (job: Job, outcome: JobOutcome, effects: Effect[]): void => {
  for (const ticket of job.cancellationTickets)
    effects.push({ kind: 'cancellation-settled', ticket, outcome });
  job.cancellationTickets = [];
};

/**
 * Cancels a job that has not ended; the first end decided stands. `ticket` names the answer that
 * the user waits for, which comes once the end is stored, or at once where the job is unknown.
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
  // Nothing that its tasks do from now on is of use, so they are killed before the end is stored:
  // another node may tell users of the stored end before this leader learns of it, and this leader
  // may never learn of it. Should the write fail, the tasks run again.
  killAllAttempts(job, now, effects);
};
