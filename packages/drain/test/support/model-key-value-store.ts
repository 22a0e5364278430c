/** Model of the key-value store: the data that outlive a leader. */
import type { JobId, SegmentKey } from '../../../../src/core/model/ids.js';
import type { JobSpec } from '../../../../src/core/model/job.js';
import type { StoreOperation } from '../../../../src/core/model/ledger-record.js';
import type { MachineLossPage } from '../../../../src/core/model/machine-loss.js';
import type { Faults } from './faults.js';

export const MAX_VALUE_BYTES = 1024;

type SegmentWrite = Extract<StoreOperation, { kind: 'write-segment' }>;
type RecordWrites = Exclude<
  StoreOperation,
  { kind: 'write-segment' | 'delete-segment' | 'job-completion' | 'write-machine-losses' }
>;

/** Stores jobs, the placement ledger, completions and extension records. */
export class ModelKeyValueStore {
  readonly jobs = new Map<string, JobSpec>();
  /** The outcome of each finished job. */
  readonly completions = new Map<string, string>();
  readonly ledger = new Map<SegmentKey, SegmentWrite>();
  /** Findings on machines that do not answer, by page. */
  readonly machineLosses = new Map<number, MachineLossPage>();
  /** Extension records, by key without the prefix. */
  readonly records = new Map<string, unknown>();
  /** The writes of records in order, each as its keys joined by `+`. */
  readonly recordWrites: string[] = [];

  constructor(
    private readonly faults: Faults,
    private readonly violations: string[],
  ) {}

  isUnfinished(job: JobId): boolean {
    return this.jobs.has(job);
  }

  /** Stores operations in order; false if a fault crashes the leader at one of them. */
  storeAll(operations: readonly StoreOperation[]): boolean {
    return operations.every((operation) => this.store(operation));
  }

  private store(operation: StoreOperation): boolean {
    switch (operation.kind) {
      case 'write-segment':
        this.ledger.set(operation.key, operation);
        return true;
      case 'delete-segment':
        this.ledger.delete(operation.key);
        return true;
      case 'job-completion':
        this.jobs.delete(operation.job);
        this.completions.set(operation.job, operation.outcome);
        return true;
      case 'write-machine-losses':
        if (operation.content) this.machineLosses.set(operation.page, operation.content);
        else this.machineLosses.delete(operation.page);
        return true;
      default:
        return this.storeRecords(operation);
    }
  }

  private storeRecords({ writes }: RecordWrites): boolean {
    const { crashLeaderAtWrite, crashLeaderAfterWrite } = this.faults;
    const isCrashWrite = this.recordWrites.length + 1 === crashLeaderAtWrite;
    if (isCrashWrite && !crashLeaderAfterWrite) return false;
    for (const { key, value } of writes) {
      if (value === null) this.records.delete(key);
      else this.records.set(key, JSON.parse(JSON.stringify(value)));
      if (JSON.stringify(value).length > MAX_VALUE_BYTES)
        this.violations.push(`record larger than MAX_VALUE_BYTES: ${key}`);
    }
    this.recordWrites.push(writes.map(({ key }) => key).join('+'));
    return !isCrashWrite;
  }
}
