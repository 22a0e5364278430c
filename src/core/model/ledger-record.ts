/** Rows of the placement ledger, and the operations of one batch. */

import type { RecordWrite } from './extension-record.js';
import type { AttemptId, JobId, MachineId, SegmentKey, TaskIndex, TeamName } from './ids.js';
import type { JobOutcome } from './job.js';
import type { MachineAttributes } from './machine.js';
import type { MachineLossWrite } from './machine-loss.js';

/** Ledger entry of an attempt, sufficient to count its resources when its job is gone. */
export interface LedgerEntry {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
  readonly team: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The attempts on one machine that a ledger segment records. */
export interface LedgerRow {
  readonly machine: MachineId;
  readonly attributes: MachineAttributes;
  readonly entries: readonly LedgerEntry[];
}

/**
 * Which tasks of a chunk of a job are done. A row always covers the whole chunk, so that the newest
 * row suffices.
 */
export interface ProgressRow {
  readonly job: JobId;
  /** The chunk's first task, a multiple of 8. */
  readonly firstTask: number;
  /** One bit per task, the first task in the lowest bit of the first byte; 1 means done. */
  readonly bits: Uint8Array;
}

/** Operation of a batch, stored atomically unless split; a batch may take several transactions. */
export type StoreOperation =
  /** Writes a new ledger segment, with attempts and progress of several machines and jobs. */
  | {
      readonly kind: 'write-segment';
      readonly key: SegmentKey;
      readonly machines: readonly LedgerRow[];
      readonly progress: readonly ProgressRow[];
      /** Time of day of the write, in milliseconds since 1970; absent if unknown. */
      readonly recordedAtTimeOfDayMs?: number;
    }
  /** Deletes an obsolete segment. */
  | { readonly kind: 'delete-segment'; readonly key: SegmentKey }
  /** Writes a page of findings on machines that do not answer; null deletes it. */
  | ({
      readonly kind: 'write-machine-losses';
    } & MachineLossWrite)
  /** Writes records of an extension. */
  | {
      readonly kind: 'write-extension-records';
      readonly extension: string;
      readonly writes: readonly RecordWrite[];
    }
  /** Stores a job's outcome and deletes the job's own record. */
  | {
      readonly kind: 'job-completion';
      readonly job: JobId;
      readonly outcome: JobOutcome;
      readonly tasks: number;
      readonly team: TeamName;
    };
