/** The key-value store: what survives every leader, with late, lost and split transactions. */
import type { SegmentKey } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { StoreOperation } from '../../../src/core/model/ledger-record.js';
import { encodeSegment } from '../../../src/service/stored-records.js';
import type { Leader } from './leaders.js';
import type { RuleChecks } from './rule-checks.js';
import { INITIAL_LIMITS, REDUCED_LIMITS } from './settings.js';
import type { Simulation } from './simulation.js';

/** What is stored. */
export interface StoredData {
  /** Unfinished jobs. */
  readonly jobs: Map<string, { readonly spec: JobSpec; readonly at: number }>;
  /** How jobs ended. */
  readonly completions: Map<string, string>;
  /** Ledger segments, as the text that the store would hold. */
  readonly ledger: Map<SegmentKey, string>;
  /** Records of extensions, likewise. */
  readonly records: Map<string, string>;
  /** The fencing token of the leader that may write. */
  fencingToken: number;
}

/** A store that holds nothing yet. */
export const createStoredData = (): StoredData => ({
  jobs: new Map(),
  completions: new Map(),
  ledger: new Map(),
  records: new Map(),
  fencingToken: 10,
});

/** Carries out what leaders store. */
export class ModelKeyValueStore {
  constructor(
    private readonly sim: Simulation,
    readonly data: StoredData,
    private readonly checks: RuleChecks,
  ) {}

  /** Draws how long a request takes: now and then 15 to 40 times as long; none passes in an outage. */
  delay(): number {
    const { sim } = this;
    const { storeDownUntil, storeSlowUntil } = sim.faultTimes;
    const outage = Math.max(0, storeDownUntil - sim.now);
    return outage + (sim.now < storeSlowUntil ? sim.int(300, 4000) : sim.delay());
  }

  /** Now and then a transaction, or its answer, is late by seconds. */
  private drawLateness(): number {
    const { sim } = this;
    const isLate = sim.now < sim.faultTimes.lateWritesUntil && sim.chance(20);
    return isLate ? sim.int(2000, 12_000) : 0;
  }

  /** In as many transactions as it takes, one by one; any may be the last that is carried out. */
  persist(leader: Leader, ops: readonly StoreOperation[], onStored: () => void): void {
    const { sim } = this;
    const { compoundFaults } = sim.counters;
    const lateMs = this.drawLateness();
    if (ops.length === 0) {
      if (lateMs > 0) compoundFaults.answeredLate += 1;
      sim.after(lateMs, onStored);
      return;
    }
    if (lateMs > 0) compoundFaults.writtenLate += 1;
    sim.after(lateMs + this.delay(), () => {
      // Every leader transaction is guarded by the leader key: a late one fails.
      if (leader.fencingToken !== this.data.fencingToken) return;
      // An old leader is refused what is too large, and tries for ever; until the next takes over
      // nothing starts.
      if (leader.isPreviousVersion && sim.now >= sim.limitsReducedAt) return;
      const written = this.writeTransaction(leader, ops);
      if (written < ops.length) sim.counters.splitBatches += 1;
      this.persist(leader, ops.slice(written), onStored);
    });
  }

  /** Writes as many operations as one transaction takes, and returns how many those are. */
  private writeTransaction(leader: Leader, ops: readonly StoreOperation[]): number {
    const { maxTransactionOperations } = leader.isPreviousVersion ? INITIAL_LIMITS : REDUCED_LIMITS;
    let changes = 0;
    for (const [n, op] of ops.entries()) {
      changes += op.kind === 'job-completion' ? 2 : 1;
      if (changes > maxTransactionOperations) return n;
      this.write(op, leader);
    }
    return ops.length;
  }

  private write(op: StoreOperation, { isPreviousVersion: isOldVersion }: Leader): void {
    const { data } = this;
    const { problems } = this.sim;
    switch (op.kind) {
      case 'write-segment': {
        if (data.ledger.has(op.key)) problems.push(`record written twice ${op.key}`);
        const text = JSON.stringify(encodeSegment(op));
        if (text.length > (isOldVersion ? INITIAL_LIMITS : REDUCED_LIMITS).maxValueBytes)
          problems.push(`record of ${text.length} bytes`);
        data.ledger.set(op.key, text);
        return;
      }
      case 'delete-segment':
        if (!data.ledger.delete(op.key)) problems.push(`record dropped twice ${op.key}`);
        return;
      case 'write-extension-records':
        for (const { key, value } of op.writes) this.writeRecord(`${op.extension}/${key}`, value);
        return;
      case 'job-completion': {
        const before = data.completions.get(op.job);
        if (before && before !== op.outcome) problems.push(`went_back ${op.job}`);
        data.completions.set(op.job, op.outcome);
        data.jobs.delete(op.job);
        if (op.outcome === 'cancelled') this.checks.recordCancellation(op.job);
      }
    }
  }

  private writeRecord(key: string, value: unknown): void {
    if (value === null) {
      this.data.records.delete(key);
      return;
    }
    const text = JSON.stringify(value);
    if (text.length > REDUCED_LIMITS.maxValueBytes)
      this.sim.problems.push(`record ${key} of ${text.length} bytes`);
    this.data.records.set(key, text);
  }
}
