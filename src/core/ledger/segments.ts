/** Records of the placement ledger: what stays in each, and when it may go. */
import type { CoreConfig, CoreState } from '../core-state.js';
import type { LedgerSegment, Placement, ProgressChunk } from '../model/entities.js';
import type { FencingToken, SegmentKey } from '../model/ids.js';

const RECORD_BYTES = 14_000;

/** What a ledger record may hold, by the settings' bound for a value. */
export const maxSegmentBytes = ({ maxValueBytes }: CoreConfig): number =>
  Math.min(maxValueBytes * 0.96, RECORD_BYTES);

/** Where ledger records stand in the state service; the term in the name keeps every name new. */
export const SEGMENT_PREFIX = 'l/';
export const segmentKey = (fencingToken: FencingToken, n: number): SegmentKey =>
  `${SEGMENT_PREFIX}${fencingToken}/${n}` as SegmentKey;

export const getOrCreateSegment = (state: CoreState, key: SegmentKey): LedgerSegment => {
  let segment = state.segments.get(key);
  if (!segment) {
    segment = { key, placements: new Set(), chunks: new Map(), initialSize: 0 };
    state.segments.set(key, segment);
  }
  return segment;
};

/** Drops the record once nothing in it matters. */
export const dropSegmentIfObsolete = (state: CoreState, segment: LedgerSegment): void => {
  // While the ledger is read, a record that seems spent may have rows yet to come.
  if (
    !state.isRecovered ||
    segment.placements.size + segment.chunks.size > 0 ||
    !state.segments.delete(segment.key)
  )
    return;
  state.obsoleteSegments.add(segment.key);
};

/** From now on another record speaks for the attempt, or none needs to. */
export const detachPlacement = (state: CoreState, placement: Placement): void => {
  const { segment } = placement;
  placement.segment = null;
  if (segment?.placements.delete(placement)) dropSegmentIfObsolete(state, segment);
};

export const detachChunk = (state: CoreState, chunk: ProgressChunk): void => {
  const { segment } = chunk;
  chunk.segment = null;
  if (segment?.chunks.delete(chunk)) dropSegmentIfObsolete(state, segment);
};
