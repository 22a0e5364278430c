/** Splits a ledger segment that is too large for one value of the key-value store. */

import type { SegmentKey } from '../core/model/ids.js';
import type { StoreOperation } from '../core/model/ledger-record.js';

/** The operation that writes one ledger segment. */
export type SegmentWrite = Extract<StoreOperation, { kind: 'write-segment' }>;

type SegmentRows = Pick<SegmentWrite, 'machines' | 'progress'>;

const halves = <T>(list: readonly T[]): [readonly T[], readonly T[]] => {
  const middle = Math.ceil(list.length / 2);
  return [list.slice(0, middle), list.slice(middle)];
};

const splitRows = ({ machines, progress }: SegmentRows): [SegmentRows, SegmentRows] | null => {
  if (machines.length > 0 && progress.length > 0)
    return [
      { machines, progress: [] },
      { machines: [], progress },
    ];
  if (machines.length > 1) {
    const [first, second] = halves(machines);
    return [
      { machines: first, progress },
      { machines: second, progress },
    ];
  }
  if (progress.length > 1) {
    const [first, second] = halves(progress);
    return [
      { machines, progress: first },
      { machines, progress: second },
    ];
  }
  const [row] = machines;
  if (!row || row.entries.length < 2) return null;
  const [first, second] = halves(row.entries);
  return [
    { machines: [{ ...row, entries: first }], progress },
    { machines: [{ ...row, entries: second }], progress },
  ];
};

/** Returns two segments with new keys that divide the rows; null if these cannot be split. */
export const splitSegment = (segment: SegmentWrite): [SegmentWrite, SegmentWrite] | null => {
  const rows = splitRows(segment);
  if (!rows) return null;
  const { key } = segment;
  return [
    { ...segment, key: `${key}.0` as SegmentKey, ...rows[0] },
    { ...segment, key: `${key}.1` as SegmentKey, ...rows[1] },
  ];
};
