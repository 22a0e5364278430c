/** Attempts: their numbers, and what they take of machines and teams. */

import type { CoreState } from '../core-state.js';
import { detachPlacement } from '../ledger/segments.js';
import type { AttemptPhase } from '../model/attempt.js';
import type { Placement } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import { isTaskDone } from './job-tasks.js';

/**
 * Attempt numbers that belong to one revision of the state service, so that none is ever given twice: a leader begins at
 * those of its term. Revisions at which it has stored anything since, guarded by the leader key, can become nobody's term:
 * their numbers are its own too.
 */
export const ATTEMPTS_PER_REVISION = 1_000_000;

/** Whether a number is left for another attempt. */
export const hasAttemptLeft = ({ config, nextAttemptOffset, storedRevision }: CoreState): boolean =>
  nextAttemptOffset < (storedRevision - config.fencingToken + 1) * ATTEMPTS_PER_REVISION;

export const occupiesMachine = (phase: AttemptPhase): boolean => phase !== 'ended';

/** Counts an attempt on its machine, against its team and in its job. */
export const addPlacement = (state: CoreState, placement: Placement): void => {
  const { entry, machine, job } = placement;
  machine.placements.set(entry.attempt, placement);
  machine.attemptCount += 1;
  machine.usedCpus += entry.cpus;
  machine.usedGpus += entry.gpus;
  machine.usedMemoryGb += entry.memoryGb;
  const usage = state.teamUsage.get(entry.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += entry.cpus;
  usage.gpus += entry.gpus;
  state.teamUsage.set(entry.team, usage);
  if (job) {
    const others = job.attemptsByTask.get(entry.index);
    if (others) others.push(placement);
    else {
      job.attemptsByTask.set(entry.index, [placement]);
      if (!isTaskDone(job, entry.index)) job.pendingTasks -= 1;
    }
    job.attemptsByZone.set(machine.zone, (job.attemptsByZone.get(machine.zone) ?? 0) + 1);
  }
};

/**
 * The attempt is certainly not on its machine any more: gives back what it held. `reported`: it has ended by itself or
 * by a command, as its machine says.
 */
export const releasePlacement = (
  state: CoreState,
  placement: Placement,
  now: Instant,
  how: 'reported' | 'gone' = 'gone',
): void => {
  const { entry, machine, job } = placement;
  if (!occupiesMachine(placement.phase)) return;
  state.extensions?.observe({ kind: 'released', attempt: placement, how });
  placement.phase = 'ended';
  state.awaitingLedgerEntry.delete(placement);
  detachPlacement(state, placement);
  machine.usedCpus -= entry.cpus;
  machine.usedGpus -= entry.gpus;
  machine.usedMemoryGb -= entry.memoryGb;
  const usage = state.teamUsage.get(entry.team);
  if (usage) {
    usage.cpus -= entry.cpus;
    usage.gpus -= entry.gpus;
  }
  if (job && placement.isSuperseded) job.supersededAttempts -= 1;
  if (job) {
    const left = (job.attemptsByTask.get(entry.index) ?? []).filter((other) => other !== placement);
    if (left.length > 0) job.attemptsByTask.set(entry.index, left);
    else {
      job.attemptsByTask.delete(entry.index);
      if (job.attemptsByTask.size === 0) job.idleSince = now;
      if (!isTaskDone(job, entry.index)) {
        job.pendingTasks += 1;
        job.requeuedTasks.push(entry.index);
      }
    }
    const inZone = (job.attemptsByZone.get(machine.zone) ?? 1) - 1;
    if (inZone > 0) job.attemptsByZone.set(machine.zone, inZone);
    else job.attemptsByZone.delete(machine.zone);
  }
  machine.attemptCount -= 1;
  if (machine.attemptCount <= 0) {
    machine.idleSince = now;
    machine.usedCpus = 0;
    machine.usedGpus = 0;
    machine.usedMemoryGb = 0;
  }
  state.isRoundDue = true;
};
