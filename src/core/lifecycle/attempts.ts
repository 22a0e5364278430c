/** Attempts: their numbers, and what they take of machines and teams. */

import { leaveSegment } from '../ledger/segments.js';
import type { CoreState, Phase, Placement } from '../state.js';
import type { Instant } from '../types.js';
import { isDone } from './job-tasks.js';

/**
 * Attempt numbers that belong to one revision of the state service, so that none is ever given twice: a leader begins at
 * those of its term. Revisions at which it has stored anything since, guarded by the leader key, can become nobody's term:
 * their numbers are its own too.
 */
export const ATTEMPTS_PER_REVISION = 1_000_000;

/** Whether a number is left for another attempt. */
export const hasAttemptLeft = ({ config, nextAttempt, storedRevision }: CoreState): boolean =>
  nextAttempt < (storedRevision - config.term + 1) * ATTEMPTS_PER_REVISION;

export const occupies = (phase: Phase): boolean => phase !== 'ended';

/** Counts an attempt on its machine, against its team and in its job. */
export const addPlacement = (state: CoreState, p: Placement): void => {
  const { entry, machine, job } = p;
  machine.placements.set(entry.attempt, p);
  machine.occupied += 1;
  machine.usedCpus += entry.cpus;
  machine.usedGpus += entry.gpus;
  machine.usedMemoryGb += entry.memoryGb;
  const usage = state.usage.get(entry.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += entry.cpus;
  usage.gpus += entry.gpus;
  state.usage.set(entry.team, usage);
  if (job) {
    const others = job.held.get(entry.index);
    if (others) others.push(p);
    else {
      job.held.set(entry.index, [p]);
      if (!isDone(job, entry.index)) job.pending -= 1;
    }
    job.heldByZone.set(machine.zone, (job.heldByZone.get(machine.zone) ?? 0) + 1);
  }
};

/**
 * The attempt is certainly not on its machine any more: gives back what it held. `reported`: it has ended by itself or
 * by a command, as its machine says.
 */
export const release = (
  state: CoreState,
  p: Placement,
  now: Instant,
  how: 'reported' | 'gone' = 'gone',
): void => {
  const { entry, machine, job } = p;
  if (!occupies(p.phase)) return;
  state.extensions?.observe({ kind: 'released', attempt: p, how });
  p.phase = 'ended';
  state.toEnter.delete(p);
  leaveSegment(state, p);
  machine.usedCpus -= entry.cpus;
  machine.usedGpus -= entry.gpus;
  machine.usedMemoryGb -= entry.memoryGb;
  const usage = state.usage.get(entry.team);
  if (usage) {
    usage.cpus -= entry.cpus;
    usage.gpus -= entry.gpus;
  }
  if (job && p.superseded) job.superseded -= 1;
  if (job) {
    const left = (job.held.get(entry.index) ?? []).filter((other) => other !== p);
    if (left.length > 0) job.held.set(entry.index, left);
    else {
      job.held.delete(entry.index);
      if (job.held.size === 0) job.idleSince = now;
      if (!isDone(job, entry.index)) {
        job.pending += 1;
        job.returned.push(entry.index);
      }
    }
    const inZone = (job.heldByZone.get(machine.zone) ?? 1) - 1;
    if (inZone > 0) job.heldByZone.set(machine.zone, inZone);
    else job.heldByZone.delete(machine.zone);
  }
  machine.occupied -= 1;
  if (machine.occupied <= 0) {
    machine.idleSince = now;
    machine.usedCpus = 0;
    machine.usedGpus = 0;
    machine.usedMemoryGb = 0;
  }
  state.placementDue = true;
};
