/** Rows of the placement ledger, and the operations of one batch. */

import type { RecordWrite } from './extension-record.js';
import type { AttemptId, JobId, MachineId, SegmentKey, TaskIndex, TeamName } from './ids.js';
import type { JobOutcome } from './job.js';
import type { MachineAttributes } from './machine.js';

/** What the ledger holds of one attempt: enough to count it when its job is gone. */
export interface LedgerEntry {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
  readonly team: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Attempts that one ledger segment enters on one machine. */
export interface LedgerRow {
  readonly machine: MachineId;
  readonly attributes: MachineAttributes;
  readonly entries: readonly LedgerEntry[];
}

/**
 * Which tasks of one chunk of a job are done: the whole chunk each time, so that the newest row
 * tells all of it.
 */
export interface ProgressRow {
  readonly job: JobId;
  /** The chunk's first task, a multiple of 8. */
  readonly firstTask: number;
  /** One bit for each task, the lowest bit of the first byte for the first task; 1 for done. */
  readonly bits: Uint8Array;
}

/** One operation of a batch. Each is stored whole; the batch may take several transactions. */
export type StoreOperation =
  /** A new ledger segment: what one batch entered and finished, over many machines and jobs. */
  | {
      readonly kind: 'write-segment';
      readonly key: SegmentKey;
      readonly machines: readonly LedgerRow[];
      readonly progress: readonly ProgressRow[];
    }
  /** Deletes an obsolete segment. */
  | { readonly kind: 'delete-segment'; readonly key: SegmentKey }
  /** Records of an extension, stored together. */
  | {
      readonly kind: 'write-extension-records';
      readonly extension: string;
      readonly writes: readonly RecordWrite[];
    }
  /** Stores how a job ended, and deletes the job's own record. */
  | {
      readonly kind: 'job-completion';
      readonly job: JobId;
      readonly outcome: JobOutcome;
      readonly tasks: number;
      readonly team: TeamName;
    };
