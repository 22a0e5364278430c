/** Attempt numbers, and the accounting of attempts by machine, team, job and zone. */

import type { CoreState } from '../core-state.js';
import { detachPlacement } from '../ledger/segments.js';
import type { AttemptPhase, AttemptRelease } from '../model/attempt.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import type { AttemptId, ZoneName } from '../model/ids.js';
import type { LedgerEntry } from '../model/ledger-record.js';
import type { Instant } from '../model/time.js';
import { isTaskDone } from './job-tasks.js';

/**
 * Attempt numbers reserved for each revision of the key-value store, so that none is used twice.
 * A leader starts with those of its fencing token, a revision. Later ones that it wrote, guarded by
 * the leader key, cannot become another leader's fencing token, so it may use their numbers too.
 */
export const ATTEMPTS_PER_REVISION = 1_000_000;
/**
 * From this revision on fewer are reserved: numbers must stay below 2^53, where they are exact. They
 * last for another 72 billion revisions.
 */
const SCARCE_FROM_REVISION = 9_000_000_000;
const SCARCE_ATTEMPTS_PER_REVISION = 100;

/** The first attempt number that is reserved for a revision. */
const firstAttemptNumber = (revision: number): number => {
  const ampleRevisions = Math.min(revision, SCARCE_FROM_REVISION);
  const scarceRevisions = revision - ampleRevisions;
  return ampleRevisions * ATTEMPTS_PER_REVISION + scarceRevisions * SCARCE_ATTEMPTS_PER_REVISION;
};

/** The number that the next attempt gets; all present attempts have lower ones. */
export const nextAttemptNumber = ({ config, nextAttemptOffset }: CoreState): AttemptId =>
  (firstAttemptNumber(config.fencingToken) + nextAttemptOffset) as AttemptId;

/** Whether this leader has a number for another attempt. */
export const hasUnusedAttemptNumber = (state: CoreState): boolean => {
  const next = nextAttemptNumber(state);
  return next < firstAttemptNumber(state.storedRevision + 1) && next <= Number.MAX_SAFE_INTEGER;
};

/** Whether an attempt in this phase may be on its machine, so its resources count as used. */
export const occupiesMachine = (phase: AttemptPhase): boolean => phase !== 'ended';

/** Requests a kill without grace for a checkpoint. Until the attempt ends, resources stay used. */
export const requestImmediateKill = (placement: Placement): void => {
  placement.stopRequest = { graceS: 0, sentAt: null };
};

const addToZone = ({ attemptsByZone }: Job, zone: ZoneName): void => {
  attemptsByZone.set(zone, (attemptsByZone.get(zone) ?? 0) + 1);
};

const removeFromZone = ({ attemptsByZone }: Job, zone: ZoneName): void => {
  const remaining = (attemptsByZone.get(zone) ?? 1) - 1;
  if (remaining > 0) attemptsByZone.set(zone, remaining);
  else attemptsByZone.delete(zone);
};

/** Counts the machine's attempts in `zone` instead, when a heartbeat corrects its zone. */
export const moveAttemptsToZone = (machine: Machine, zone: ZoneName): void => {
  for (const { job, phase } of machine.placements.values()) {
    if (!job || !occupiesMachine(phase)) continue;
    removeFromZone(job, machine.zone);
    addToZone(job, zone);
  }
};

const addMachineUsage = (machine: Machine, entry: LedgerEntry): void => {
  machine.attemptCount += 1;
  machine.usedCpus += entry.cpus;
  machine.usedGpus += entry.gpus;
  machine.usedMemoryGb += entry.memoryGb;
};

const subtractMachineUsage = (machine: Machine, entry: LedgerEntry, now: Instant): void => {
  machine.attemptCount -= 1;
  machine.usedCpus -= entry.cpus;
  machine.usedGpus -= entry.gpus;
  machine.usedMemoryGb -= entry.memoryGb;
  if (machine.attemptCount > 0) return;
  machine.idleSince = now;
  // Floating-point sums drift, so the usage of an empty machine is reset to exactly 0.
  machine.usedCpus = 0;
  machine.usedGpus = 0;
  machine.usedMemoryGb = 0;
};

const addTeamUsage = (state: CoreState, entry: LedgerEntry): void => {
  const usage = state.teamUsage.get(entry.team);
  if (!usage) {
    state.teamUsage.set(entry.team, { cpus: entry.cpus, gpus: entry.gpus });
    return;
  }
  usage.cpus += entry.cpus;
  usage.gpus += entry.gpus;
};

const subtractTeamUsage = (state: CoreState, entry: LedgerEntry): void => {
  const usage = state.teamUsage.get(entry.team);
  if (!usage) return;
  usage.cpus -= entry.cpus;
  usage.gpus -= entry.gpus;
};

const addToJob = (job: Job, placement: Placement): void => {
  const isFirst = job.attemptsByTask.add(placement);
  if (isFirst && !isTaskDone(job, placement.entry.index)) job.pendingTasks -= 1;
  addToZone(job, placement.machine.zone);
};

/** A task whose last attempt is removed becomes pending again, unless it is done. */
const removeFromJob = (job: Job, placement: Placement, now: Instant): void => {
  const { index } = placement.entry;
  if (placement.isSuperseded) job.supersededAttempts -= 1;
  removeFromZone(job, placement.machine.zone);
  if (!job.attemptsByTask.remove(placement)) return;
  if (job.attemptsByTask.size === 0) job.idleSince = now;
  if (isTaskDone(job, index)) return;
  job.pendingTasks += 1;
  job.requeuedTasks.push(index);
};

/** Adds an attempt to the usage of its machine, its team's quota and its job. */
export const addPlacement = (state: CoreState, placement: Placement): void => {
  const { entry, machine, job } = placement;
  machine.placements.set(entry.attempt, placement);
  state.trackedAttempts += 1;
  addMachineUsage(machine, entry);
  addTeamUsage(state, entry);
  if (job) addToJob(job, placement);
};

/** Drops an ended attempt that its machine need not reap, or has reaped. */
export const forgetPlacement = (state: CoreState, { entry, machine }: Placement): void => {
  if (machine.placements.delete(entry.attempt)) state.trackedAttempts -= 1;
};

/**
 * Ends an attempt that is certainly no longer on its machine, and releases its resources and quota.
 */
export const releasePlacement = (
  state: CoreState,
  placement: Placement,
  now: Instant,
  release: AttemptRelease = 'gone',
): void => {
  const { entry, machine, job } = placement;
  if (!occupiesMachine(placement.phase)) return;
  state.extensions?.observe({ kind: 'released', attempt: placement, release });
  placement.phase = 'ended';
  state.awaitingLedgerEntry.delete(placement);
  detachPlacement(state, placement);
  subtractTeamUsage(state, entry);
  if (job) removeFromJob(job, placement, now);
  subtractMachineUsage(machine, entry, now);
  state.isRoundDue = true;
};
