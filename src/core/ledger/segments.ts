/** Segments of the placement ledger: what each still holds, and when it becomes obsolete. */
import type { CoreConfig, CoreState } from '../core-state.js';
import type { LedgerSegment, Placement, ProgressChunk } from '../model/entities.js';
import type { FencingToken, SegmentKey } from '../model/ids.js';

/** Bound of a segment's value where the store would take more: a long write holds up its batch. */
const MAX_SEGMENT_BYTES = 14_000;
/** Share of a value that a segment fills: sizes are estimated, and the store counts its own way. */
const VALUE_FILL_SHARE = 0.96;

/** How many bytes a segment's value may have, within the settings' bound for any value. */
export const maxSegmentBytes = ({ maxValueBytes }: CoreConfig): number =>
  Math.min(maxValueBytes * VALUE_FILL_SHARE, MAX_SEGMENT_BYTES);

/** Where segments stand in the key-value store. */
export const SEGMENT_PREFIX = 'l/';

/** The key of a term's segment of that number. The fencing token in it keeps every key new. */
export const segmentKey = (fencingToken: FencingToken, number: number): SegmentKey =>
  `${SEGMENT_PREFIX}${fencingToken}/${number}` as SegmentKey;

/** A segment that holds nothing yet. */
export const createSegment = (key: SegmentKey): LedgerSegment => ({
  key,
  placements: new Set(),
  chunks: new Map(),
  initialRowCount: 0,
});

/** The segment of that key, added as the newest one if it is not known. */
export const getOrCreateSegment = (state: CoreState, key: SegmentKey): LedgerSegment => {
  let segment = state.segments.get(key);
  if (!segment) {
    segment = createSegment(key);
    state.segments.set(key, segment);
  }
  return segment;
};

/** How many attempts and chunks a segment still speaks for. */
export const liveRowCount = ({ placements, chunks }: LedgerSegment): number =>
  placements.size + chunks.size;

/** Marks a segment for deletion once nothing in it matters. */
export const markSegmentIfObsolete = (state: CoreState, segment: LedgerSegment): void => {
  // During recovery a segment that seems empty may have rows yet to be read.
  if (!state.isRecovered || liveRowCount(segment) > 0) return;
  if (state.segments.delete(segment.key)) state.obsoleteSegments.add(segment.key);
};

/** From now on another segment speaks for the attempt, or none needs to. */
export const detachPlacement = (state: CoreState, placement: Placement): void => {
  const { segment } = placement;
  placement.segment = null;
  if (segment?.placements.delete(placement)) markSegmentIfObsolete(state, segment);
};

/** From now on another segment tells the chunk's progress, or none needs to. */
export const detachChunk = (state: CoreState, chunk: ProgressChunk): void => {
  const { segment } = chunk;
  chunk.segment = null;
  if (segment?.chunks.delete(chunk)) markSegmentIfObsolete(state, segment);
};
