/** Inputs of the core, which alone change its state. */

import type { ExtensionRecord } from './extension-record.js';
import type { Heartbeat } from './heartbeat.js';
import type {
  JobId,
  MachineId,
  ProvisionRequestId,
  ReplyTicket,
  Revision,
  SegmentKey,
} from './ids.js';
import type { JobSpec } from './job.js';
import type { LedgerRow, ProgressRow, StoreOperation } from './ledger-record.js';
import type { ListedMachine, MachineType, ProvisionOutcome } from './machine.js';
import type { GoneAttempts, UnresponsivePeriod } from './machine-loss.js';
import type { OperatorCall } from './operator-call.js';
import type { Instant } from './time.js';

/** An input of the core. A command's ticket is also in the effect that answers it. */
export type Command =
  /** An accepted job, also during recovery; it may be repeated. */
  | { readonly kind: 'job'; readonly spec: JobSpec; readonly submittedAt: Instant }
  /**
   * Recovery sends jobs, findings on lost machines, progress, attempts, extension records and
   * completion in this order.
   */
  | {
      readonly kind: 'recovered-machine-losses';
      readonly page: number;
      readonly unresponsive: readonly ({ readonly machine: MachineId } & UnresponsivePeriod)[];
      readonly gone: readonly GoneAttempts[];
      readonly writtenAt: Instant;
    }
  | ({ readonly kind: 'recovered-progress'; readonly segment: SegmentKey } & ProgressRow)
  | ({
      readonly kind: 'recovered-attempts';
      readonly segment: SegmentKey;
      /** When they were recorded, or somewhat later; null or absent if unknown. */
      readonly recordedAt?: Instant | null;
    } & LedgerRow)
  /** An unreadable ledger segment: its attempts may be on any machine. */
  | { readonly kind: 'unreadable-segment'; readonly segment: SegmentKey }
  /** The whole stored state has been sent. */
  | { readonly kind: 'recovery-completed' }
  | { readonly kind: 'cancel-job'; readonly job: JobId; readonly ticket: ReplyTicket }
  /** The ticket is null if the heartbeat came in a worker's response to `send-commands`. */
  | {
      readonly kind: 'heartbeat';
      readonly heartbeat: Heartbeat;
      readonly ticket: ReplyTicket | null;
    }
  | {
      readonly kind: 'batch-stored';
      /** The batch's number, from its `store-batch` effect. */
      readonly batch: number;
      /** Operations that the store refused even when split; all others are stored. */
      readonly refused?: readonly StoreOperation[];
      /** The newest revision stored under this term. */
      readonly revision?: Revision;
    }
  | { readonly kind: 'machine-types'; readonly types: readonly MachineType[] }
  /** The cloud's machine list, from a request sent at `requestedAt`. */
  | {
      readonly kind: 'machines-listed';
      readonly requestedAt: Instant;
      readonly machines: readonly ListedMachine[];
    }
  | {
      readonly kind: 'provision-result';
      readonly request: ProvisionRequestId;
      readonly result: ProvisionOutcome;
      /** The provisioned machines, which may be fewer than requested. */
      readonly machines: readonly MachineId[];
    }
  /** If `ok` is false, it is unknown whether the machines are deleted. */
  | {
      readonly kind: 'deletion-result';
      readonly machines: readonly MachineId[];
      readonly ok: boolean;
    }
  /** An extension's stored records, during recovery. */
  | {
      readonly kind: 'extension-records';
      readonly extension: string;
      readonly records: readonly ExtensionRecord[];
    }
  | {
      readonly kind: 'operator-call';
      readonly extension: string;
      readonly call: OperatorCall;
      readonly ticket: ReplyTicket;
    }
  /** No input: runs periodic work. */
  | { readonly kind: 'tick' };
