/** Stores the leader's batches in order, in transactions within the key-value store's limits. */

import type { Log } from '../adapters/logging/log.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { RecordWrite } from '../core/model/extension-record.js';
import type { FencingToken, Revision, SegmentKey } from '../core/model/ids.js';
import type { StoreOperation } from '../core/model/ledger-record.js';
import type { MachineLossWrite } from '../core/model/machine-loss.js';
import type { KeyValueStore, Mutation } from '../ports/key-value-store.js';
import { GuardedWriter } from './guarded-writer.js';
import { type SegmentWrite, splitSegment } from './segment-splitting.js';
import {
  completionKey,
  encodeCompletion,
  encodeMachineLosses,
  encodeSegment,
  extensionKey,
  jobKey,
  machineLossKey,
} from './stored-records.js';

/** The store to write to, and the fencing token that guards every write. */
export interface BatchWriterOptions {
  readonly store: KeyValueStore;
  readonly fencingToken: FencingToken;
  readonly log: Log;
  readonly jitter: Jitter;
  /** Configured maximum per transaction; the store may accept fewer. */
  readonly maxMutations?: number;
}

/**
 * Outcome of a batch. The store rejects `refused` operations at any size; all others are stored.
 * After `leadership-lost`, part of the batch may be stored.
 */
export type StoreBatchResult =
  | { readonly kind: 'stored'; readonly refused: readonly StoreOperation[] }
  | { readonly kind: 'leadership-lost' };

/** Mutations that must share one transaction. Units are stored in order. */
interface WriteUnit {
  readonly operation: StoreOperation;
  readonly mutations: readonly Mutation[];
}

const segmentMutation = (operation: SegmentWrite): Mutation => ({
  put: operation.key,
  value: encodeSegment(operation),
});

const segmentUnit = (operation: SegmentWrite): WriteUnit => ({
  operation,
  mutations: [segmentMutation(operation)],
});

const countMutations = (units: readonly WriteUnit[]): number =>
  units.reduce((sum, unit) => sum + unit.mutations.length, 0);

/** Writes the batches of one leader term under its fencing token. */
export class BatchWriter {
  private readonly writer: GuardedWriter;
  private readonly log: Log;
  private maxMutations: number;
  /** Keys of each split segment's pieces, by the segment's key in the core. */
  private readonly pieces = new Map<SegmentKey, SegmentKey[]>();
  /** Number of units that the store rejected alone as too large. */
  private oversizedUnits = 0;
  private hasLoggedTooLarge = false;

  constructor({ store, fencingToken, log, jitter, maxMutations }: BatchWriterOptions) {
    this.writer = new GuardedWriter({ store, fencingToken, jitter });
    this.log = log;
    this.maxMutations = maxMutations ?? Number.POSITIVE_INFINITY;
  }

  /** Last known revisions of keys, as in `GuardedWriter`. */
  get keyRevisions(): Map<string, Revision> {
    return this.writer.keyRevisions;
  }

  /** Revision of the newest transaction known to be stored under this token. */
  get lastRevision(): Revision {
    return this.writer.lastRevision;
  }

  /** Stops retries; a batch whose outcome is still unknown returns `leadership-lost`. */
  stop(): void {
    this.writer.stop();
  }

  /** Stores a batch, retrying until its outcome is known or `stop` is called. */
  async storeBatch(operations: readonly StoreOperation[]): Promise<StoreBatchResult> {
    const refused: StoreOperation[] = [];
    const remaining = this.toWriteUnits(operations);
    while (remaining.length > 0) {
      const units = remaining.splice(0, this.countUnitsForNextTransaction(remaining));
      if (!(await this.store(units, refused))) return { kind: 'leadership-lost' };
    }
    return { kind: 'stored', refused };
  }

  /** Number of leading units that fit in one transaction, as far as known; at least one. */
  private countUnitsForNextTransaction(units: readonly WriteUnit[]): number {
    let count = 0;
    let mutations = 0;
    for (const unit of units) {
      mutations += unit.mutations.length;
      if (count > 0 && mutations > this.maxMutations) break;
      count += 1;
    }
    return count;
  }

  private toWriteUnits(operations: readonly StoreOperation[]): WriteUnit[] {
    return operations.flatMap((operation) =>
      this.toMutationGroups(operation)
        .filter((mutations) => mutations.length > 0)
        .map((mutations) => ({ operation, mutations })),
    );
  }

  /** The operation's mutations, in groups that must each share one transaction. */
  private toMutationGroups(operation: StoreOperation): Mutation[][] {
    switch (operation.kind) {
      case 'job-completion': {
        const put = completionKey(operation.job);
        return [[{ put, value: encodeCompletion(operation) }, { del: jobKey(operation.job) }]];
      }
      case 'write-extension-records':
        return [this.toExtensionMutations(operation.extension, operation.writes)];
      case 'write-machine-losses':
        return [this.toMachineLossMutations(operation)];
      case 'write-segment':
        return [[segmentMutation(operation)]];
      case 'delete-segment':
        return this.toSegmentDeletions(operation.key);
    }
  }

  /** One group per piece: a segment may have more pieces than one transaction allows. */
  private toSegmentDeletions(segment: SegmentKey): Mutation[][] {
    const keys = this.pieces.get(segment) ?? [segment];
    this.pieces.delete(segment);
    return keys.filter((key) => this.keyRevisions.has(key)).map((key) => [{ del: key }]);
  }

  /** Omits the deletion of a page that is not stored. */
  private toMachineLossMutations({ page, content }: MachineLossWrite): Mutation[] {
    const key = machineLossKey(page);
    if (content) return [{ put: key, value: encodeMachineLosses(content) }];
    return this.keyRevisions.has(key) ? [{ del: key }] : [];
  }

  /** Omits deletions of keys that are not stored. */
  private toExtensionMutations(extension: string, writes: readonly RecordWrite[]): Mutation[] {
    const mutations: Mutation[] = [];
    for (const { key, value } of writes) {
      const storedKey = extensionKey(extension, key);
      if (value !== null) mutations.push({ put: storedKey, value });
      else if (this.keyRevisions.has(storedKey)) mutations.push({ del: storedKey });
    }
    return mutations;
  }

  /**
   * Stores units in one transaction, or in smaller ones if the store rejects that as too large: the
   * store's limits may be below all configured values. A rejected transaction is never resent
   * unchanged. Returns false if leadership is lost.
   */
  private async store(units: readonly WriteUnit[], refused: StoreOperation[]): Promise<boolean> {
    const outcome = await this.writer.write(units.flatMap((unit) => unit.mutations));
    if (outcome !== 'too-large') return outcome === 'stored';
    if (!this.hasLoggedTooLarge) {
      this.hasLoggedTooLarge = true;
      this.log.info(
        { mutations: countMutations(units) },
        'store rejected a transaction as too large; splitting the batch',
      );
    }
    if (units.length > 1) return this.storeHalves(units, refused);
    const [unit] = units;
    return unit ? this.storeInPieces(unit.operation, refused) : true;
  }

  private async storeHalves(
    units: readonly WriteUnit[],
    refused: StoreOperation[],
  ): Promise<boolean> {
    const middle = Math.ceil(units.length / 2);
    const firstHalf = units.slice(0, middle);
    const oversizedBefore = this.oversizedUnits;
    if (!(await this.store(firstHalf, refused))) return false;
    if (!(await this.store(units.slice(middle), refused))) return false;
    // No single unit was too large, so the number of mutations caused the rejection.
    if (this.oversizedUnits === oversizedBefore)
      this.maxMutations = Math.min(this.maxMutations, countMutations(firstHalf));
    return true;
  }

  /** Stores an oversized segment in pieces; refuses other operations and unsplittable segments. */
  private async storeInPieces(
    operation: StoreOperation,
    refused: StoreOperation[],
  ): Promise<boolean> {
    this.oversizedUnits += 1;
    const segments = operation.kind === 'write-segment' ? splitSegment(operation) : null;
    if (operation.kind !== 'write-segment' || !segments) {
      this.log.error(
        { operation: operation.kind },
        'store rejects an operation at any size; it is not stored',
      );
      refused.push(operation);
      return true;
    }
    for (const segment of segments) {
      if (!(await this.store([segmentUnit(segment)], refused))) return false;
      this.recordPiece(operation.key, segment.key);
    }
    return true;
  }

  /** Records a stored piece's keys, which are deleted with the segment. */
  private recordPiece(whole: SegmentKey, piece: SegmentKey): void {
    const known = this.pieces.get(whole) ?? [];
    for (const key of this.pieces.get(piece) ?? [piece]) known.push(key);
    this.pieces.delete(piece);
    this.pieces.set(whole, known);
  }
}
