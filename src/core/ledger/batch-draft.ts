/** One batch in the making: its operations, its open segments, and how much room is left. */

import type { CoreState } from '../core-state.js';
import type { Batch, Job, LedgerSegment, Placement, ProgressChunk } from '../model/entities.js';
import type { SegmentKey } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { StoreOperation } from '../model/ledger-record.js';
import { SegmentDraft } from './segment-draft.js';
import { maxSegmentBytes, segmentKey } from './segments.js';

/** Size of a batch's values, in bytes: well below what one transaction may hold. */
const MAX_BATCH_BYTES = 40_000;
/**
 * Mutations of a batch, where one transaction takes fewer. It is then stored in several, one after
 * the other: batches of one small transaction would cost a step of the command loop for each.
 */
const MIN_MUTATIONS_BY_TRANSACTION = 24;
/** All of a batch waits for its last mutation: it holds what is written in this many seconds. */
const MAX_BATCH_WRITE_S = 0.5;
/** Whatever the write rate, a batch may have this many mutations. */
const MIN_MUTATIONS_BY_RATE = 4;

/**
 * Replicas of services stay for as long as their job. They get segments of their own, which do not
 * become sparse as short attempts end.
 */
export const isLongLived = (placement: Placement): boolean =>
  placement.job !== null && isService(placement.job);

const maxMutationsOf = ({ config }: CoreState): number =>
  Math.min(
    Math.max(config.maxTransactionOperations, MIN_MUTATIONS_BY_TRANSACTION),
    Math.max(MIN_MUTATIONS_BY_RATE, Math.ceil(config.storeWritesPerSecond * MAX_BATCH_WRITE_S)),
  );

/** A batch that is being built. Whatever is added moves in the ledger's state at once. */
export class BatchDraft {
  /** What the core has to know of the batch once it is stored. */
  readonly batch: Batch;
  /** Completions and extension writes; segments and deletions follow them in `finish`. */
  readonly operations: StoreOperation[] = [];
  /** Segments that this batch writes. */
  readonly newSegments = new Set<LedgerSegment>();
  readonly maxMutations: number;
  /** Mutations of the store's records so far. */
  mutations = 0;
  private readonly segmentDrafts: SegmentDraft[] = [];
  private readonly obsoleteKeys: SegmentKey[] = [];
  private readonly maxSegmentBytes: number;
  /** Size of all but the open segments. */
  private closedBytes = 0;
  /** The segments that take further rows, by how long their rows last. */
  private openLongLived: SegmentDraft | null = null;
  private openShortLived: SegmentDraft | null = null;

  constructor(private readonly state: CoreState) {
    this.maxMutations = maxMutationsOf(state);
    this.maxSegmentBytes = maxSegmentBytes(state.config);
    this.batch = {
      id: state.nextBatch,
      recordedPlacements: [],
      progress: [],
      completedJobs: [],
      extensionWrites: [],
    };
  }

  /** Whether something is stored anyway, so that more may go along. */
  get hasWrites(): boolean {
    return this.segmentDrafts.length > 0 || this.operations.length > 0;
  }

  get hasNewSegments(): boolean {
    return this.segmentDrafts.length > 0;
  }

  get hasOpenShortLivedSegment(): boolean {
    return this.openShortLived !== null;
  }

  /** Adds an operation of that many mutations and about that many bytes. */
  addOperation(operation: StoreOperation, mutations: number, bytes = 0): void {
    this.operations.push(operation);
    this.mutations += mutations;
    this.closedBytes += bytes;
  }

  /** Enters an attempt in an open segment, else in a new one; false when the batch is full. */
  recordPlacement(placement: Placement): boolean {
    const longLived = isLongLived(placement);
    const open = longLived ? this.openLongLived : this.openShortLived;
    if (open?.recordPlacement(placement)) return true;
    const next = this.draftSegment();
    if (!next?.recordPlacement(placement)) return false;
    this.closedBytes += open?.bytes ?? 0;
    if (longLived) this.openLongLived = next;
    else this.openShortLived = next;
    this.addSegment(next);
    return true;
  }

  /** Records a chunk's progress in an open segment, else in a new one; false: the batch is full. */
  recordProgress(job: Job, number: number, chunk: ProgressChunk): boolean {
    if (this.recordProgressInOpenSegment(job, number, chunk)) return true;
    const next = this.draftSegment();
    if (!next?.recordProgress(job, number, chunk)) return false;
    this.closedBytes += this.openShortLived?.bytes ?? 0;
    this.openShortLived = next;
    this.addSegment(next);
    return true;
  }

  /** Records a chunk's progress only where a segment that is written anyway has room. */
  recordProgressInOpenSegment(job: Job, number: number, chunk: ProgressChunk): boolean {
    return this.openShortLived?.recordProgress(job, number, chunk) ?? false;
  }

  /** Deletes an obsolete segment from the store, after all that this batch writes. */
  deleteSegment(key: SegmentKey): void {
    this.obsoleteKeys.push(key);
    this.mutations += 1;
  }

  /** The operations in the order in which they must be stored. */
  finish(): readonly StoreOperation[] {
    for (const draft of this.segmentDrafts) this.operations.push(draft.toOperation());
    for (const key of this.obsoleteKeys) this.operations.push({ kind: 'delete-segment', key });
    return this.operations;
  }

  /** null when the batch has no room for one more segment. */
  private draftSegment(): SegmentDraft | null {
    const openBytes = (this.openShortLived?.bytes ?? 0) + (this.openLongLived?.bytes ?? 0);
    if (this.mutations + 1 > this.maxMutations) return null;
    if (this.closedBytes + openBytes > MAX_BATCH_BYTES) return null;
    const { config, nextSegment } = this.state;
    const key = segmentKey(config.fencingToken, nextSegment);
    return new SegmentDraft(this.state, key, this.maxSegmentBytes);
  }

  /** Takes a drafted segment in. One that fits not even its first row never uses up a key. */
  private addSegment(draft: SegmentDraft): void {
    const { segment } = draft;
    this.state.nextSegment += 1;
    this.mutations += 1;
    this.segmentDrafts.push(draft);
    this.newSegments.add(segment);
    this.state.segments.set(segment.key, segment);
  }
}
