/** How much memory the leader's state may take on this machine. */
import { getHeapStatistics } from 'node:v8';

const BYTES_PER_MB = 1_000_000;
/** Heap that is no part of the state: the program, requests in progress and young objects. */
const OTHER_HEAP_BYTES = 64 * BYTES_PER_MB;
/** Share of the remaining heap that is filled: garbage and gaps take the rest. */
const HEAP_FILL_SHARE = 0.85;
/** Memory of the process that is no part of the state: that heap, the runtime and sockets. */
const OTHER_PROCESS_BYTES = 90 * BYTES_PER_MB;
/** However small the machine, the state gets this much. */
const MIN_STATE_BYTES = 8 * BYTES_PER_MB;

/**
 * The bytes for the leader's state, from the process's memory quota in megabytes and V8's limit of
 * its heap in bytes. The lower of the two decides.
 */
export const maxStateBytes = (
  memoryMb: number,
  heapLimitBytes = getHeapStatistics().heap_size_limit,
): number => {
  const withinHeap = (heapLimitBytes - OTHER_HEAP_BYTES) * HEAP_FILL_SHARE;
  const withinProcess = memoryMb * BYTES_PER_MB - OTHER_PROCESS_BYTES;
  return Math.max(MIN_STATE_BYTES, Math.min(withinHeap, withinProcess));
};
