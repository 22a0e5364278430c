/** Segments of the placement ledger: their live rows, and when a segment becomes obsolete. */
import type { CoreConfig, CoreState } from '../core-state.js';
import type { LedgerSegment, Placement, ProgressChunk } from '../model/entities.js';
import type { FencingToken, SegmentKey } from '../model/ids.js';

/** Maximum size of a segment even if the store accepts more: a large write delays its batch. */
const MAX_SEGMENT_BYTES = 14_000;
/** Share of the maximum value size: sizes are estimates, and the store may count differently. */
const VALUE_FILL_SHARE = 0.96;

/** Maximum size of a segment's value, in bytes. */
export const maxSegmentBytes = ({ maxValueBytes }: CoreConfig): number =>
  Math.min(maxValueBytes * VALUE_FILL_SHARE, MAX_SEGMENT_BYTES);

/** Key prefix of segments in the key-value store. */
export const SEGMENT_PREFIX = 'l/';

/** Key of a term's segment by number; the fencing token makes keys unique across terms. */
export const segmentKey = (fencingToken: FencingToken, number: number): SegmentKey =>
  `${SEGMENT_PREFIX}${fencingToken}/${number}` as SegmentKey;

/** Creates an empty segment without adding it to the core state. */
export const createSegment = (key: SegmentKey): LedgerSegment => ({
  key,
  placements: new Set(),
  chunks: new Map(),
  initialRowCount: 0,
});

/** Returns the segment with this key, added as the newest one if it is unknown. */
export const getOrCreateSegment = (state: CoreState, key: SegmentKey): LedgerSegment => {
  let segment = state.segments.get(key);
  if (!segment) {
    segment = createSegment(key);
    state.segments.set(key, segment);
  }
  return segment;
};

/** Number of live rows: attempts and chunks whose current row the segment holds. */
export const liveRowCount = ({ placements, chunks }: LedgerSegment): number =>
  placements.size + chunks.size;

/** Marks a segment for deletion if it has no live rows. */
export const markSegmentIfObsolete = (state: CoreState, segment: LedgerSegment): void => {
  // During recovery, a segment without live rows may have rows that are not yet read.
  if (!state.isRecovered || liveRowCount(segment) > 0) return;
  if (state.segments.delete(segment.key)) state.obsoleteSegments.add(segment.key);
};

/** Removes an attempt from its segment: its row moves, or the attempt has ended. */
export const detachPlacement = (state: CoreState, placement: Placement): void => {
  const { segment } = placement;
  placement.segment = null;
  if (segment?.placements.delete(placement)) markSegmentIfObsolete(state, segment);
};

/** Removes a chunk from its segment: its row moves, or its job has ended. */
export const detachChunk = (state: CoreState, chunk: ProgressChunk): void => {
  const { segment } = chunk;
  chunk.segment = null;
  if (segment?.chunks.delete(chunk)) markSegmentIfObsolete(state, segment);
};
