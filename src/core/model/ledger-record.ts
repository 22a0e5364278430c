/** Rows of the placement ledger, and the changes of one batch. */

import type { RecordWrite } from './extension-record.js';
import type { AttemptId, JobId, MachineId, SegmentKey, TaskIndex, TeamName } from './ids.js';
import type { JobOutcome } from './job.js';
import type { MachineAttributes } from './machine.js';

/** What the placement ledger holds of one attempt: enough to count it when its job is gone. */
export interface LedgerEntry {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
  readonly team: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Attempts that one ledger record enters on one machine. */
export interface LedgerRow {
  readonly machine: MachineId;
  readonly attributes: MachineAttributes;
  readonly entries: readonly LedgerEntry[];
}

/** Which tasks of a part of a job are done: the whole part each time, so that the newest row says it all. */
export interface ProgressRow {
  readonly job: JobId;
  /** The first task that it speaks of, a multiple of 8. */
  readonly firstTask: number;
  readonly bits: Uint8Array;
}

/** One change of a batch. Each is stored whole; the batch may take several transactions. */
export type StoreOperation =
  /** A new ledger record: what one batch entered and finished, over many machines and jobs. */
  | {
      readonly kind: 'write-segment';
      readonly key: SegmentKey;
      readonly machines: readonly LedgerRow[];
      readonly progress: readonly ProgressRow[];
    }
  | { readonly kind: 'drop-segment'; readonly key: SegmentKey }
  /** Records of an extension, stored together. */
  | {
      readonly kind: 'write-extension-records';
      readonly extension: string;
      readonly writes: readonly RecordWrite[];
    }
  | {
      readonly kind: 'job-completion';
      readonly job: JobId;
      readonly outcome: JobOutcome;
      readonly tasks: number;
      readonly team: TeamName;
    };
