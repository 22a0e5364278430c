/** The key-value store: data that outlives leaders, with late, lost and split transactions. */
import type { SegmentKey } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { StoreOperation } from '../../../src/core/model/ledger-record.js';
import type { MachineLossWrite } from '../../../src/core/model/machine-loss.js';
import { encodeMachineLosses, encodeSegment } from '../../../src/service/stored-records.js';
import type { Leader } from './leaders.js';
import type { RuleChecks } from './rule-checks.js';
import { INITIAL_LIMITS, REDUCED_LIMITS } from './settings.js';
import type { Simulation } from './simulation.js';

/** The stored data. */
export interface StoredData {
  /** Unfinished jobs. */
  readonly jobs: Map<string, { readonly spec: JobSpec; readonly submittedAt: number }>;
  /** Outcomes of ended jobs. */
  readonly completions: Map<string, string>;
  /** Ledger segments, as JSON texts. */
  readonly ledger: Map<SegmentKey, string>;
  /** Findings on machines that do not answer: pages as JSON texts. */
  readonly machineLosses: Map<number, string>;
  /** Records of extensions, as JSON texts. */
  readonly records: Map<string, string>;
  /** The fencing token of the leader that may write. */
  fencingToken: number;
}

/** Returns an empty store. */
export const createStoredData = (): StoredData => ({
  jobs: new Map(),
  completions: new Map(),
  ledger: new Map(),
  machineLosses: new Map(),
  records: new Map(),
  fencingToken: 10,
});

/** Executes the transactions of leaders. */
export class ModelKeyValueStore {
  constructor(
    private readonly sim: Simulation,
    readonly data: StoredData,
    private readonly checks: RuleChecks,
  ) {}

  /** Draws a request's delay: 15 to 40 times as long in slow periods; past the end of an outage. */
  delay(): number {
    const { sim } = this;
    const { storeDownUntil, storeSlowUntil } = sim.faultTimes;
    const outage = Math.max(0, storeDownUntil - sim.now);
    return outage + (sim.now < storeSlowUntil ? sim.int(300, 4000) : sim.delay());
  }

  /** Draws an extra delay of a transaction or its answer: mostly 0, sometimes seconds. */
  private drawExtraDelayMs(): number {
    const { sim } = this;
    const isLate = sim.now < sim.faultTimes.lateWritesUntil && sim.chance(20);
    return isLate ? sim.int(2000, 12_000) : 0;
  }

  /** Writes a batch in sequential transactions; any may be the last that is executed. */
  persist(leader: Leader, ops: readonly StoreOperation[], onStored: () => void): void {
    const { sim } = this;
    const { compoundFaults } = sim.counters;
    const lateMs = this.drawExtraDelayMs();
    if (ops.length === 0) {
      if (lateMs > 0) compoundFaults.answeredLate += 1;
      sim.after(lateMs, onStored);
      return;
    }
    if (lateMs > 0) compoundFaults.writtenLate += 1;
    sim.after(lateMs + this.delay(), () => {
      // Leader transactions are guarded by the leader key: those of a former leader fail.
      if (leader.fencingToken !== this.data.fencingToken) return;
      // A leader of the previous version retries rejected transactions for ever; nothing starts
      // until the next leader takes over.
      if (leader.isPreviousVersion && sim.now >= sim.limitsReducedAt) return;
      const written = this.writeTransaction(leader, ops);
      if (written < ops.length) sim.counters.splitBatches += 1;
      this.persist(leader, ops.slice(written), onStored);
    });
  }

  /** Writes as many operations as fit into a transaction; returns their number. */
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

  private write(op: StoreOperation, { isPreviousVersion }: Leader): void {
    const { data } = this;
    const { problems } = this.sim;
    switch (op.kind) {
      case 'write-segment': {
        if (data.ledger.has(op.key)) problems.push(`ledger segment written twice: ${op.key}`);
        const text = JSON.stringify(encodeSegment(op));
        if (text.length > (isPreviousVersion ? INITIAL_LIMITS : REDUCED_LIMITS).maxValueBytes)
          problems.push(`ledger segment over the size limit: ${text.length} bytes`);
        data.ledger.set(op.key, text);
        return;
      }
      case 'delete-segment':
        if (!data.ledger.delete(op.key)) problems.push(`ledger segment deleted twice: ${op.key}`);
        return;
      case 'write-machine-losses':
        if (!isPreviousVersion) this.writeMachineLosses(op);
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

  private writeMachineLosses({ page, content }: MachineLossWrite): void {
    if (content === null) {
      this.data.machineLosses.delete(page);
      return;
    }
    const text = JSON.stringify(encodeMachineLosses(content));
    if (text.length > REDUCED_LIMITS.maxValueBytes)
      this.sim.problems.push(`page of lost machines over the size limit: ${text.length} bytes`);
    this.data.machineLosses.set(page, text);
  }

  private writeRecord(key: string, value: unknown): void {
    if (value === null) {
      this.data.records.delete(key);
      return;
    }
    const text = JSON.stringify(value);
    if (text.length > REDUCED_LIMITS.maxValueBytes)
      this.sim.problems.push(`extension record ${key} over the size limit: ${text.length} bytes`);
    this.data.records.set(key, text);
  }
}
