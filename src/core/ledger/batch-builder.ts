/**
 * Builds the batches in which the leader stores its decisions: completions, attempts, progress,
 * compaction, deletions of segments, and extensions' writes.
 */

import type { CoreState } from '../core-state.js';
import { MAX_WRITES_PER_REQUEST } from '../extensions/extension.js';
import { takeMachineLossWrites } from '../fleet/machine-losses.js';
import type { Effect } from '../model/effect.js';
import type { Job, ProgressChunk } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import { BatchDraft, isLongLived } from './batch-draft.js';
import { compactSparseSegments } from './compaction.js';
import { maxSegmentBytes } from './segments.js';

/** How long progress may wait for other writes: storing it only saves work after a failover. */
const MAX_PROGRESS_DELAY_MS = 700;
/** A completion writes the job's outcome and deletes the job's record. */
const COMPLETION_MUTATIONS = 2;
const COMPLETION_BYTES = 300;
/** Share of a batch's mutations for completions while attempts wait for their ledger entry. */
const COMPLETION_SHARE = 0.5;
/** Share of a batch for extensions' writes, which must not delay starts and completions. */
const EXTENSION_SHARE = 0.25;
const MAX_DELETIONS_PER_BATCH = 8;
/** With this many obsolete segments, a batch is built for deletions alone. */
const MIN_DELETIONS_FOR_OWN_BATCH = 4;

const addCompletions = (state: CoreState, draft: BatchDraft): void => {
  const { maxMutations } = draft;
  const limit = state.awaitingLedgerEntry.size > 0 ? maxMutations * COMPLETION_SHARE : maxMutations;
  for (const job of state.unsavedCompletions) {
    if (draft.mutations > 0 && draft.mutations + COMPLETION_MUTATIONS > limit) return;
    const outcome = job.terminalState === 'cancelled' ? 'cancelled' : 'done';
    const { id, tasks, team } = job.spec;
    draft.addOperation(
      { kind: 'job-completion', job: id, outcome, tasks, team },
      COMPLETION_MUTATIONS,
      COMPLETION_BYTES,
    );
    draft.batch.completedJobs.push(job);
    state.unsavedCompletions.delete(job);
  }
};

const addPlacements = (state: CoreState, draft: BatchDraft, longLived: boolean): void => {
  for (const placement of state.awaitingLedgerEntry) {
    if (isLongLived(placement) !== longLived) continue;
    if (!draft.recordPlacement(placement)) return;
    state.awaitingLedgerEntry.delete(placement);
    if (placement.phase === 'persisting') draft.batch.recordedPlacements.push(placement);
  }
};

const chunkOf = (job: Job, number: number): ProgressChunk => {
  const chunk = job.chunks.get(number);
  if (!chunk) throw new Error(`job ${job.spec.id} has no progress chunk ${number}`);
  return chunk;
};

/**
 * Adds unsaved progress, but until it is due, only to a segment that is written anyway: a segment
 * for progress in every batch would take most of the mutations.
 */
const addProgress = (state: CoreState, draft: BatchDraft, now: Instant): void => {
  const { unsavedProgress, unsavedProgressSince } = state;
  const isDue =
    unsavedProgressSince !== null && now - unsavedProgressSince >= MAX_PROGRESS_DELAY_MS;
  if (!isDue && !draft.hasOpenShortLivedSegment) return;
  for (const [key, { job, chunk: number }] of unsavedProgress) {
    if (!state.jobs.has(job.spec.id) || job.terminalState !== 'none') {
      unsavedProgress.delete(key);
      continue;
    }
    // A new leader recovers no attempts of tasks stored as done. So progress is not stored while a
    // superseded attempt may be on a machine, where it counts against its team's quota.
    if (job.supersededAttempts > 0) continue;
    const chunk = chunkOf(job, number);
    const isRecorded = isDue
      ? draft.recordProgress(job, number, chunk)
      : draft.recordProgressInOpenSegment(job, number, chunk);
    if (!isRecorded) break;
    unsavedProgress.delete(key);
    draft.batch.progress.push({ job, chunk: number, version: chunk.version });
  }
  if (unsavedProgress.size === 0) state.unsavedProgressSince = null;
};

const addCompactionAndDeletions = (state: CoreState, draft: BatchDraft): void => {
  const { obsoleteSegments } = state;
  if (!draft.hasWrites && obsoleteSegments.size < MIN_DELETIONS_FOR_OWN_BATCH) return;
  // No compaction while attempts wait for entries: rows of short attempts soon become obsolete.
  if (draft.hasNewSegments && state.awaitingLedgerEntry.size === 0)
    compactSparseSegments(state, draft);
  let deletions = 0;
  for (const key of obsoleteSegments) {
    if (deletions >= MAX_DELETIONS_PER_BATCH || draft.mutations >= draft.maxMutations) return;
    deletions += 1;
    draft.deleteSegment(key);
    obsoleteSegments.delete(key);
  }
};

const addExtensionWrites = (state: CoreState, draft: BatchDraft): void => {
  const pending = state.extensions?.pendingWrites;
  if (!pending) return;
  const room = draft.maxMutations - draft.mutations;
  // A group of writes is stored atomically, so even the smallest share must fit one.
  const limit = Math.max(MAX_WRITES_PER_REQUEST, Math.floor(room * EXTENSION_SHARE));
  let mutations = 0;
  for (let next = pending[0]; next; next = pending[0]) {
    if (mutations + next.writes.length > limit) return;
    mutations += next.writes.length;
    pending.shift();
    draft.batch.extensionWrites.push(next);
    draft.addOperation({ kind: 'write-extension-records', ...next }, next.writes.length);
  }
};

const addMachineLosses = (state: CoreState, draft: BatchDraft, now: Instant): void => {
  const room = draft.maxMutations - draft.mutations;
  for (const write of takeMachineLossWrites(state, maxSegmentBytes(state.config), room, now))
    draft.addOperation({ kind: 'write-machine-losses', ...write }, 1);
};

/** Builds a batch if there is something to store and no batch is being stored. */
export const buildNextBatch = (state: CoreState, now: Instant, effects: Effect[]): void => {
  if (state.pendingBatch) return;
  const draft = new BatchDraft(state);
  addCompletions(state, draft);
  // Replicas first: they are few, and users wait for each of them.
  addPlacements(state, draft, true);
  addPlacements(state, draft, false);
  addProgress(state, draft, now);
  addCompactionAndDeletions(state, draft);
  addMachineLosses(state, draft, now);
  addExtensionWrites(state, draft);
  const operations = draft.finish(now);
  if (operations.length === 0) return;
  state.nextBatch += 1;
  state.pendingBatch = draft.batch;
  effects.push({ kind: 'store-batch', batch: draft.batch.id, operations });
};
