/**
 * Builds the batches in which the leader stores what it has decided: completions, attempts,
 * progress, compaction, deletions of obsolete segments, and writes of extensions.
 */

import type { CoreState } from '../core-state.js';
import { MAX_WRITES_PER_REQUEST } from '../extensions/extension.js';
import type { Effect } from '../model/effect.js';
import type { Job, ProgressChunk } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import { BatchDraft, isLongLived } from './batch-draft.js';
import { compactSparseSegments } from './compaction.js';

/** Progress only spares work after a failover: it may wait this long for other writes. */
const MAX_PROGRESS_DELAY_MS = 700;
/** A completion writes the job's terminal state and deletes the job's own record. */
const COMPLETION_MUTATIONS = 2;
const COMPLETION_BYTES = 300;
/** Share of a batch that completions may fill while starts wait for their ledger entry. */
const COMPLETION_SHARE = 0.5;
/** Share of a batch that extensions may fill: starts and ends must not wait for them. */
const EXTENSION_SHARE = 0.25;
const MAX_DELETIONS_PER_BATCH = 8;
/** With this many obsolete segments a batch is made for their deletion alone. */
const MIN_DELETIONS_ALONE = 4;

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
 * Progress that is not due only fills up what is written anyway: written with every batch, it
 * would take most of the mutations.
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
    // A new leader looks for no attempts of tasks that it reads as done. While another attempt may
    // be on a machine, and counts against its team, the task is not stored as done.
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
  if (!draft.hasWrites && obsoleteSegments.size < MIN_DELETIONS_ALONE) return;
  // While starts wait for their entries nothing is moved: short attempts end by themselves.
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
  // A group is stored together, and the smallest share must hold one.
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

/** Builds one batch if there is something to store; the next one waits until this one is stored. */
export const buildNextBatch = (state: CoreState, now: Instant, effects: Effect[]): void => {
  if (state.pendingBatch) return;
  const draft = new BatchDraft(state);
  addCompletions(state, draft);
  // Replicas first: there are few, and somebody waits for each.
  addPlacements(state, draft, true);
  addPlacements(state, draft, false);
  addProgress(state, draft, now);
  addCompactionAndDeletions(state, draft);
  addExtensionWrites(state, draft);
  const operations = draft.finish();
  if (operations.length === 0) return;
  state.nextBatch += 1;
  state.pendingBatch = draft.batch;
  effects.push({ kind: 'store-batch', batch: draft.batch.id, operations });
};
