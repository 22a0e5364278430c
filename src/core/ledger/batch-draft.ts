/** Construction of a batch within its limits of size. */

import type { CoreState } from '../core-state.js';
import type { Batch, Job, LedgerSegment, Placement, ProgressChunk } from '../model/entities.js';
import type { SegmentKey } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { StoreOperation } from '../model/ledger-record.js';
import type { Instant } from '../model/time.js';
import { SegmentDraft } from './segment-draft.js';
import { maxSegmentBytes, segmentKey } from './segments.js';

/** Maximum size of a batch's values: well below the limit of one transaction. */
const MAX_BATCH_BYTES = 40_000;
/**
 * A batch may have this many mutations even if a transaction may have fewer. It is then stored in
 * several transactions: with a batch for each, every one would cost a step of the command loop.
 */
const MIN_MUTATIONS_BY_TRANSACTION = 24;
/** A batch takes effect after its last mutation: all must be written within this time. */
const MAX_BATCH_WRITE_S = 0.5;
/** A batch may have this many mutations however low the write rate is. */
const MIN_MUTATIONS_BY_RATE = 4;

/**
 * Whether the attempt is a service's replica, which lasts as long as its job. Replicas get segments
 * of their own, which do not become sparse as short attempts end.
 */
export const isLongLived = (placement: Placement): boolean =>
  placement.job !== null && isService(placement.job);

const maxMutationsOf = ({ config }: CoreState): number =>
  Math.min(
    Math.max(config.maxTransactionOperations, MIN_MUTATIONS_BY_TRANSACTION),
    Math.max(MIN_MUTATIONS_BY_RATE, Math.ceil(config.storeWritesPerSecond * MAX_BATCH_WRITE_S)),
  );

/** A batch under construction, whose additions update the ledger's part of the state at once. */
export class BatchDraft {
  /** The changes to apply once the batch is stored. */
  readonly batch: Batch;
  /** Completions and extension writes; `finish` appends segments and deletions. */
  readonly operations: StoreOperation[] = [];
  /** Segments that this batch writes. */
  readonly newSegments = new Set<LedgerSegment>();
  readonly maxMutations: number;
  /** Mutations in the batch so far. */
  mutations = 0;
  private readonly segmentDrafts: SegmentDraft[] = [];
  private readonly obsoleteKeys: SegmentKey[] = [];
  private readonly maxSegmentBytes: number;
  /** Size of everything but the open segments, in bytes. */
  private closedBytes = 0;
  /** The segments that accept further rows, by the lifetime of their rows. */
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

  /** Whether the batch is stored in any case, so that optional writes may be added. */
  get hasWrites(): boolean {
    return this.segmentDrafts.length > 0 || this.operations.length > 0;
  }

  get hasNewSegments(): boolean {
    return this.segmentDrafts.length > 0;
  }

  get hasOpenShortLivedSegment(): boolean {
    return this.openShortLived !== null;
  }

  /** Adds an operation with its mutations and its approximate size in bytes. */
  addOperation(operation: StoreOperation, mutations: number, bytes = 0): void {
    this.operations.push(operation);
    this.mutations += mutations;
    this.closedBytes += bytes;
  }

  /** Records an attempt in an open segment, else in a new one; false when the batch is full. */
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

  /** Records a chunk's progress in an open or new segment; false when the batch is full. */
  recordProgress(job: Job, number: number, chunk: ProgressChunk): boolean {
    if (this.recordProgressInOpenSegment(job, number, chunk)) return true;
    const next = this.draftSegment();
    if (!next?.recordProgress(job, number, chunk)) return false;
    this.closedBytes += this.openShortLived?.bytes ?? 0;
    this.openShortLived = next;
    this.addSegment(next);
    return true;
  }

  /** Records a chunk's progress if it fits in the open short-lived segment. */
  recordProgressInOpenSegment(job: Job, number: number, chunk: ProgressChunk): boolean {
    return this.openShortLived?.recordProgress(job, number, chunk) ?? false;
  }

  /** Deletes an obsolete segment from the store, after all writes of this batch. */
  deleteSegment(key: SegmentKey): void {
    this.obsoleteKeys.push(key);
    this.mutations += 1;
  }

  /** Returns all operations in the order in which to store them. */
  finish(now: Instant): readonly StoreOperation[] {
    const recordedAtMs = Math.round(now + this.state.config.wallClockOffsetMs);
    for (const draft of this.segmentDrafts) this.operations.push(draft.toOperation(recordedAtMs));
    for (const key of this.obsoleteKeys) this.operations.push({ kind: 'delete-segment', key });
    return this.operations;
  }

  /** Drafts another segment; null if it does not fit in the batch. */
  private draftSegment(): SegmentDraft | null {
    const openBytes = (this.openShortLived?.bytes ?? 0) + (this.openLongLived?.bytes ?? 0);
    if (this.mutations + 1 > this.maxMutations) return null;
    if (this.closedBytes + openBytes > MAX_BATCH_BYTES) return null;
    const { config, nextSegment } = this.state;
    const key = segmentKey(config.fencingToken, nextSegment);
    return new SegmentDraft(this.state, key, this.maxSegmentBytes);
  }

  /** Adds a draft that holds its first row; one too small for that row uses no segment key. */
  private addSegment(draft: SegmentDraft): void {
    const { segment } = draft;
    this.state.nextSegment += 1;
    this.mutations += 1;
    this.segmentDrafts.push(draft);
    this.newSegments.add(segment);
    this.state.segments.set(segment.key, segment);
  }
}
