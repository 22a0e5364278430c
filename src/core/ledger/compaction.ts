/** Compaction of the placement ledger. */

import type { CoreState } from '../core-state.js';
import type { LedgerSegment } from '../model/entities.js';
import type { BatchDraft } from './batch-draft.js';
import { liveRowCount } from './segments.js';

/** A segment is sparse when at most this share of its initial rows is live. */
const SPARSE_SHARE = 0.4;
const MAX_SEGMENTS_PER_BATCH = 6;

const isSparse = (segment: LedgerSegment): boolean =>
  liveRowCount(segment) <= segment.initialRowCount * SPARSE_SHARE;

/** Moves a segment's live rows into the batch's segments; false if some could not be moved. */
const moveRows = (segment: LedgerSegment, draft: BatchDraft): boolean => {
  for (const placement of [...segment.placements]) {
    if (!draft.recordPlacement(placement)) return false;
  }
  for (const [chunk, { job, number }] of [...segment.chunks]) {
    // The chunk's bits may mark a task as done whose superseded attempt is still on a machine.
    if (job.supersededAttempts > 0) return false;
    if (!draft.recordProgress(job, number, chunk)) return false;
  }
  return true;
};

/**
 * Moves live rows of sparse segments, the oldest first, to new ones, so that a few long tasks do
 * not keep many segments that a new leader would have to read. The batch writes moved rows before
 * it deletes their old segment. A segment larger than the current limit is moved in parts.
 */
export const compactSparseSegments = (state: CoreState, draft: BatchDraft): void => {
  let compacted = 0;
  for (const segment of [...state.segments.values()]) {
    if (compacted >= MAX_SEGMENTS_PER_BATCH) return;
    if (draft.newSegments.has(segment) || !isSparse(segment)) continue;
    compacted += 1;
    if (!moveRows(segment, draft)) return;
  }
};
