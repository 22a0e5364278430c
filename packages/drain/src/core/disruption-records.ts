/** Rows of disruptions in the state service: written before a stop, dropped when they count for nothing any more. */
import type { Moment } from '@robinspread/extension-api';
import type { BudgetLedger, Disruption } from './budget.js';
import type { RecordStore } from './record-store.js';
import { disruptionsKey, writeDisruptions } from './records.js';
import type { Turn } from './turn.js';

/** Of a value, how much rows of one record may fill. */
const RECORD_SHARE = 0.9;
const EMPTY_BYTES = 2;

export class DisruptionRecords {
  /** Keys that are stored, or are being stored. */
  private readonly keys = new Set<string>();
  private nextRecord = 1;

  constructor(
    private readonly budget: BudgetLedger,
    private readonly store: RecordStore,
  ) {}

  /** Takes over what a former leader stored. */
  load(disruptions: readonly Disruption[]): void {
    for (const disruption of disruptions) {
      this.budget.disruptions.set(disruption.attempt, disruption);
      if (disruption.record !== null) this.keys.add(disruption.record);
    }
  }

  /** What this record tells of may be stopped from now on. */
  stored(key: string, moment: Moment): void {
    if (!this.keys.has(key)) return;
    for (const disruption of this.budget.disruptions.values()) {
      if (disruption.record === key) this.budget.grant(disruption, moment);
    }
  }

  /** The state service takes it in no size: what it tells of is not stopped. */
  refused(key: string): void {
    if (!this.keys.delete(key)) return;
    for (const disruption of [...this.budget.disruptions.values()]) {
      if (disruption.record === key) this.budget.withdraw(disruption.attempt);
    }
  }

  /** Writes what no record tells of yet, in as few records as hold it, and drops those of which nothing counts. */
  update(turn: Turn): void {
    this.writeNew(turn);
    this.dropSpent(turn);
  }

  private writeNew(turn: Turn): void {
    let rows: Disruption[] = [];
    let bytes = EMPTY_BYTES;
    const most = turn.fleet.maxValueBytes * RECORD_SHARE;
    for (const disruption of this.budget.disruptions.values()) {
      if (disruption.record !== null) continue;
      const size = Buffer.byteLength(JSON.stringify(writeDisruptions([disruption])));
      if (bytes + size > most) {
        this.write(rows, turn);
        rows = [];
        bytes = EMPTY_BYTES;
      }
      rows.push(disruption);
      bytes += size;
    }
    this.write(rows, turn);
  }

  private write(rows: readonly Disruption[], turn: Turn): void {
    if (rows.length === 0) return;
    const key = disruptionsKey(turn.fleet.fencingToken, this.nextRecord);
    this.nextRecord += 1;
    for (const row of rows) row.record = key;
    this.keys.add(key);
    turn.requests.push(this.store.write({ key, value: writeDisruptions(rows) }));
  }

  private dropSpent(turn: Turn): void {
    const live = new Set<string | null>();
    for (const { record } of this.budget.disruptions.values()) live.add(record);
    for (const key of this.keys) {
      if (live.has(key) || !this.store.isStored(key)) continue;
      this.keys.delete(key);
      turn.requests.push(this.store.write({ key, value: null }));
    }
  }
}
