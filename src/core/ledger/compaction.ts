/** Compaction of the placement ledger: what is left of sparse segments moves into new ones. */

import type { CoreState } from '../core-state.js';
import type { LedgerSegment } from '../model/entities.js';
import type { BatchDraft } from './batch-draft.js';
import { liveRowCount } from './segments.js';

/** A segment is sparse when no more than this share of it still matters. */
const SPARSE_SHARE = 0.4;
const MAX_SEGMENTS_PER_BATCH = 6;

const isSparse = (segment: LedgerSegment): boolean =>
  liveRowCount(segment) <= segment.initialRowCount * SPARSE_SHARE;

/** Moves what a segment holds into the batch's own segments; false when not all of it could go. */
const moveRows = (segment: LedgerSegment, draft: BatchDraft): boolean => {
  for (const placement of [...segment.placements]) {
    if (!draft.recordPlacement(placement)) return false;
  }
  for (const [chunk, { job, number }] of [...segment.chunks]) {
    // Its newest bits may tell a task as done of which an attempt is still on a machine.
    if (job.supersededAttempts > 0) return false;
    if (!draft.recordProgress(job, number, chunk)) return false;
  }
  return true;
};

/**
 * Moves the rows of sparse segments, the oldest first, so that a few long tasks do not keep alive
 * many segments that a new leader would have to read. The batch moves and deletes, the deletion
 * last; a segment larger than one may be under today's limits moves in pieces.
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
