/**
 * Disruption records in the key-value store: written before the attempts are stopped, deleted once
 * none of their disruptions counts.
 */
import type { Moment } from '@robinspread/extension-api';
import type { BudgetLedger } from './budget-ledger.js';
import type { DecisionContext } from './decision-context.js';
import type { Disruption } from './disruption.js';
import { disruptionsKey, encodeDisruptions } from './disruption-codec.js';
import type { PendingWrites } from './pending-writes.js';
import { MAX_RECORD_SHARE } from './record-schemas.js';

const EMPTY_RECORD_BYTES = 2;

/** Writes and deletes disruption records; a disruption is granted once its record is stored. */
export class DisruptionRecords {
  /** Keys of records that are stored or being stored. */
  private readonly keys = new Set<string>();
  private nextRecord = 1;

  constructor(
    private readonly budget: BudgetLedger,
    private readonly writes: PendingWrites,
  ) {}

  /** Loads the disruptions that previous leaders stored. */
  load(disruptions: readonly Disruption[]): void {
    for (const disruption of disruptions) {
      this.budget.disruptions.set(disruption.attempt, disruption);
      if (disruption.recordKey !== null) this.keys.add(disruption.recordKey);
    }
  }

  /** Grants the disruptions of a record that has been stored. */
  handleStored(key: string, moment: Moment): void {
    if (!this.keys.has(key)) return;
    for (const disruption of this.budget.disruptions.values()) {
      if (disruption.recordKey === key) this.budget.grant(disruption, moment);
    }
  }

  /** Withdraws the disruptions of a record that the key-value store refused as too large. */
  handleRefused(key: string): void {
    if (!this.keys.delete(key)) return;
    for (const disruption of [...this.budget.disruptions.values()]) {
      if (disruption.recordKey === key) this.budget.withdraw(disruption.attempt);
    }
  }

  /** Writes records of new disruptions, and deletes unneeded records. */
  update(context: DecisionContext): void {
    this.writeUnrecorded(context);
    this.deleteUnneeded(context);
  }

  /** Uses as few records as possible, since the key-value store limits the rate of writes. */
  private writeUnrecorded(context: DecisionContext): void {
    let batch: Disruption[] = [];
    let bytes = EMPTY_RECORD_BYTES;
    const maxBytes = context.fleet.maxValueBytes * MAX_RECORD_SHARE;
    for (const disruption of this.budget.disruptions.values()) {
      if (disruption.recordKey !== null) continue;
      const rowBytes = Buffer.byteLength(JSON.stringify(encodeDisruptions([disruption])));
      if (bytes + rowBytes > maxBytes) {
        this.writeRecord(batch, context);
        batch = [];
        bytes = EMPTY_RECORD_BYTES;
      }
      batch.push(disruption);
      bytes += rowBytes;
    }
    this.writeRecord(batch, context);
  }

  private writeRecord(
    disruptions: readonly Disruption[],
    { fleet, requests }: DecisionContext,
  ): void {
    if (disruptions.length === 0) return;
    const key = disruptionsKey(fleet.fencingToken, this.nextRecord);
    this.nextRecord += 1;
    for (const disruption of disruptions) disruption.recordKey = key;
    this.keys.add(key);
    requests.push(this.writes.requestWrite({ key, value: encodeDisruptions(disruptions) }));
  }

  private deleteUnneeded({ requests }: DecisionContext): void {
    const needed = new Set<string | null>();
    for (const { recordKey } of this.budget.disruptions.values()) needed.add(recordKey);
    for (const key of this.keys) {
      if (needed.has(key) || !this.writes.isStored(key)) continue;
      this.keys.delete(key);
      requests.push(this.writes.requestWrite({ key, value: null }));
    }
  }
}
