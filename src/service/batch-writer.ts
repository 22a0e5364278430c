/** Stores the leader's batches, one after the other, in transactions that the store takes. */

import type { Log } from '../adapters/logging/log.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { RecordWrite } from '../core/model/extension-record.js';
import type { FencingToken, Revision, SegmentKey } from '../core/model/ids.js';
import type { StoreOperation } from '../core/model/ledger-record.js';
import type { KeyValueStore, Mutation } from '../ports/key-value-store.js';
import { GuardedWriter } from './guarded-writer.js';
import { type SegmentWrite, splitSegment } from './segment-splitting.js';
import {
  completionKey,
  encodeCompletion,
  encodeSegment,
  extensionKey,
  jobKey,
} from './stored-records.js';

/** What the batch writer works with. */
export interface BatchWriterOptions {
  readonly store: KeyValueStore;
  readonly fencingToken: FencingToken;
  readonly log: Log;
  readonly jitter: Jitter;
  /** Mutations of one transaction, by the settings; the store may turn out to take fewer. */
  readonly maxMutations?: number;
}

/**
 * What became of a batch. `refused`: the operations that the store takes in no size; all others are
 * stored. After `leadership-lost` some of the batch may be stored.
 */
export type StoreBatchResult =
  | { readonly kind: 'stored'; readonly refused: readonly StoreOperation[] }
  | { readonly kind: 'leadership-lost' };

/** Mutations that are stored together; units are stored in their order. */
interface WriteUnit {
  readonly operation: StoreOperation;
  readonly mutations: readonly Mutation[];
}

const segmentUnit = (operation: SegmentWrite): WriteUnit => ({
  operation,
  mutations: [{ put: operation.key, value: encodeSegment(operation) }],
});

const countMutations = (units: readonly WriteUnit[]): number =>
  units.reduce((sum, unit) => sum + unit.mutations.length, 0);

/** Writes batches under one fencing token. */
export class BatchWriter {
  private readonly writer: GuardedWriter;
  private readonly log: Log;
  private maxMutations: number;
  /** Segments that had to be split: the keys of their pieces, by the key that the core knows. */
  private readonly pieces = new Map<SegmentKey, SegmentKey[]>();
  /** How many units the store has refused as too large on their own. */
  private oversizedUnits = 0;
  private hasLoggedTooLarge = false;

  constructor({ store, fencingToken, log, jitter, maxMutations }: BatchWriterOptions) {
    this.writer = new GuardedWriter({ store, fencingToken, jitter });
    this.log = log;
    this.maxMutations = maxMutations ?? Number.POSITIVE_INFINITY;
  }

  /** Revision of each key that this leader has read or written. */
  get keyRevisions(): Map<string, Revision> {
    return this.writer.keyRevisions;
  }

  /** Revision of the newest transaction that is known to be stored under this token. */
  get lastRevision(): Revision {
    return this.writer.lastRevision;
  }

  /** Ends retries: a batch of unknown outcome then counts as lost. */
  stop(): void {
    this.writer.stop();
  }

  /** Stores a batch; until the outcome is known, it goes on trying. */
  async storeBatch(operations: readonly StoreOperation[]): Promise<StoreBatchResult> {
    const refused: StoreOperation[] = [];
    const remaining = this.toWriteUnits(operations);
    while (remaining.length > 0) {
      const units = remaining.splice(0, this.countUnitsForNextTransaction(remaining));
      if (!(await this.store(units, refused))) return { kind: 'leadership-lost' };
    }
    return { kind: 'stored', refused };
  }

  /** How many of the first units the store is known to take in one transaction; at least one. */
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
    const units: WriteUnit[] = [];
    for (const operation of operations) {
      switch (operation.kind) {
        case 'job-completion':
          units.push({
            operation,
            mutations: [
              { put: completionKey(operation.job), value: encodeCompletion(operation) },
              { del: jobKey(operation.job) },
            ],
          });
          break;
        case 'write-extension-records': {
          const mutations = this.toExtensionMutations(operation.extension, operation.writes);
          if (mutations.length > 0) units.push({ operation, mutations });
          break;
        }
        case 'write-segment':
          units.push(segmentUnit(operation));
          break;
        case 'delete-segment':
          // Each piece on its own: a segment may have more pieces than one transaction takes.
          for (const key of this.pieces.get(operation.key) ?? [operation.key])
            if (this.keyRevisions.has(key)) units.push({ operation, mutations: [{ del: key }] });
          this.pieces.delete(operation.key);
          break;
      }
    }
    return units;
  }

  /** A deletion of what is not there is left out. */
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
   * Stores units in one transaction, or in smaller ones where the store refuses it as too large:
   * its limits may have fallen below what any setting said. What was refused is never sent again
   * unchanged. False when leadership is lost.
   */
  private async store(units: readonly WriteUnit[], refused: StoreOperation[]): Promise<boolean> {
    const outcome = await this.writer.write(units.flatMap((unit) => unit.mutations));
    if (outcome !== 'too-large') return outcome === 'stored';
    if (!this.hasLoggedTooLarge) {
      this.hasLoggedTooLarge = true;
      this.log.info({ mutations: countMutations(units) }, 'batch too large, splitting it');
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
    // Where each unit was taken as it is, the number of mutations was at fault.
    if (this.oversizedUnits === oversizedBefore)
      this.maxMutations = Math.min(this.maxMutations, countMutations(firstHalf));
    return true;
  }

  /** Stores a segment that is too large on its own in pieces; refuses any other operation. */
  private async storeInPieces(
    operation: StoreOperation,
    refused: StoreOperation[],
  ): Promise<boolean> {
    this.oversizedUnits += 1;
    const segments = operation.kind === 'write-segment' ? splitSegment(operation) : null;
    if (operation.kind !== 'write-segment' || !segments) {
      this.log.error({ operation: operation.kind }, 'operation refused in any size');
      refused.push(operation);
      return true;
    }
    for (const segment of segments) {
      if (!(await this.store([segmentUnit(segment)], refused))) return false;
      this.recordPiece(operation.key, segment.key);
    }
    return true;
  }

  /** The core knows a segment by one key; its pieces are deleted when it is. */
  private recordPiece(whole: SegmentKey, piece: SegmentKey): void {
    const known = this.pieces.get(whole) ?? [];
    for (const key of this.pieces.get(piece) ?? [piece]) known.push(key);
    this.pieces.delete(piece);
    this.pieces.set(whole, known);
  }
}
