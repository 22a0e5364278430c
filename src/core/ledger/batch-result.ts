/** Handles the result of a batch: stored, or stored except for refused operations. */

import type { CoreState } from '../core-state.js';
import { forgetPlacement, releasePlacement } from '../lifecycle/attempts.js';
import { completeStoredJob } from '../lifecycle/jobs.js';
import type { Command } from '../model/command.js';
import type { Effect } from '../model/effect.js';
import type { Batch } from '../model/entities.js';
import type { AttemptId, JobId } from '../model/ids.js';
import type { StoreOperation } from '../model/ledger-record.js';
import { addMillis, type Instant, type Millis } from '../model/time.js';

/** Delay before a job is placed again after the store refused the entry of its attempt. */
const RETRY_DELAY_AFTER_REFUSAL_MS = 30_000 as Millis;

interface RefusedJobsAndAttempts {
  readonly jobs: ReadonlySet<JobId>;
  readonly attempts: ReadonlySet<AttemptId>;
}

/** Returns the jobs and attempts whose progress, completion or entry was not stored. */
const refusedJobsAndAttempts = (refused: readonly StoreOperation[]): RefusedJobsAndAttempts => {
  const jobs = new Set<JobId>();
  const attempts = new Set<AttemptId>();
  for (const operation of refused) {
    if (operation.kind === 'job-completion') jobs.add(operation.job);
    if (operation.kind !== 'write-segment') continue;
    for (const { entries } of operation.machines)
      for (const { attempt } of entries) attempts.add(attempt);
    for (const { job } of operation.progress) jobs.add(job);
  }
  return { jobs, attempts };
};

/** Requeues tasks of attempts with refused entries: these were never sent to a machine. */
const requeueRefusedAttempts = (
  state: CoreState,
  batch: Batch,
  attempts: ReadonlySet<AttemptId>,
  now: Instant,
): void => {
  for (const placement of [...batch.recordedPlacements]) {
    const { attempt } = placement.entry;
    if (!attempts.has(attempt) || placement.phase !== 'persisting') continue;
    if (placement.job) placement.job.retryAt = addMillis(now, RETRY_DELAY_AFTER_REFUSAL_MS);
    releasePlacement(state, placement, now);
    forgetPlacement(state, placement);
  }
};

/** Removes refused operations' changes from the batch; its other changes take effect. */
const handleRefusedOperations = (
  state: CoreState,
  batch: Batch,
  refused: readonly StoreOperation[],
  now: Instant,
): void => {
  const { jobs, attempts } = refusedJobsAndAttempts(refused);
  requeueRefusedAttempts(state, batch, attempts, now);
  for (const operation of refused) {
    if (operation.kind !== 'write-extension-records') continue;
    batch.extensionWrites = batch.extensionWrites.filter(
      ({ writes }) => writes !== operation.writes,
    );
    state.extensions?.handleStoreResult(operation, 'refused');
  }
  batch.progress = batch.progress.filter(({ job }) => !jobs.has(job.spec.id));
  batch.completedJobs = batch.completedJobs.filter((job) => !jobs.has(job.spec.id));
};

/** Applies the changes of the pending batch; the late result of another batch is ignored. */
export const handleBatchStored = (
  state: CoreState,
  command: Extract<Command, { kind: 'batch-stored' }>,
  now: Instant,
  effects: Effect[],
): void => {
  const { revision, refused } = command;
  if (revision !== undefined && revision > state.storedRevision) state.storedRevision = revision;
  const batch = state.pendingBatch;
  if (!batch || batch.id !== command.batch) return;
  state.pendingBatch = null;
  if (refused && refused.length > 0) handleRefusedOperations(state, batch, refused, now);
  for (const placement of batch.recordedPlacements)
    if (placement.phase === 'persisting') placement.phase = 'dispatched';
  for (const { job, chunk: number, version } of batch.progress) {
    const chunk = job.chunks.get(number);
    if (chunk) chunk.storedVersion = Math.max(chunk.storedVersion, version);
  }
  for (const writes of batch.extensionWrites) state.extensions?.handleStoreResult(writes, 'stored');
  for (const job of batch.completedJobs) completeStoredJob(state, job, now, effects);
};
