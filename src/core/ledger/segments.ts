/** Records of the placement ledger: what stays in each, and when it may go. */
import type { Chunk, CoreConfig, CoreState, Placement, Segment } from '../state.js';
import type { SegmentKey, Term } from '../types.js';

const RECORD_BYTES = 14_000;

/** What a ledger record may hold, by the settings' bound for a value. */
export const recordBytes = ({ valueBytes }: CoreConfig): number =>
  Math.min(valueBytes * 0.96, RECORD_BYTES);

/** Where ledger records stand in the state service; the term in the name keeps every name new. */
export const SEGMENTS = 'l/';
export const segmentKey = (term: Term, n: number): SegmentKey =>
  `${SEGMENTS}${term}/${n}` as SegmentKey;

export const openSegment = (state: CoreState, key: SegmentKey): Segment => {
  let segment = state.segments.get(key);
  if (!segment) {
    segment = { key, placements: new Set(), chunks: new Map(), size: 0 };
    state.segments.set(key, segment);
  }
  return segment;
};

/** Drops the record once nothing in it matters. */
export const settleSegment = (state: CoreState, segment: Segment): void => {
  // While the ledger is read, a record that seems spent may have rows yet to come.
  if (
    !state.loaded ||
    segment.placements.size + segment.chunks.size > 0 ||
    !state.segments.delete(segment.key)
  )
    return;
  state.deadSegments.add(segment.key);
};

/** From now on another record speaks for the attempt, or none needs to. */
export const leaveSegment = (state: CoreState, p: Placement): void => {
  const { segment } = p;
  p.segment = null;
  if (segment?.placements.delete(p)) settleSegment(state, segment);
};

export const leaveChunkSegment = (state: CoreState, chunk: Chunk): void => {
  const { segment } = chunk;
  chunk.segment = null;
  if (segment?.chunks.delete(chunk)) settleSegment(state, segment);
};
