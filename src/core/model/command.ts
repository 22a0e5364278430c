/** Inputs of the core: everything that may change its state. */

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
import type { OperatorCall } from './operator-call.js';
import type { Instant } from './time.js';

/** An input of the core. Those that wait for an answer carry a ticket, which an effect returns. */
export type Command =
  /** An accepted job; also at recovery, and more than once. */
  | { readonly kind: 'job'; readonly spec: JobSpec; readonly submittedAt: Instant }
  /** Recovery, in this order: jobs, progress, attempts, records of extensions, completion. */
  | ({ readonly kind: 'recovered-progress'; readonly segment: SegmentKey } & ProgressRow)
  | ({ readonly kind: 'recovered-attempts'; readonly segment: SegmentKey } & LedgerRow)
  /** A ledger segment that cannot be read: what it entered may be on any machine. */
  | { readonly kind: 'unreadable-segment'; readonly segment: SegmentKey }
  /** All that the store held has been told. */
  | { readonly kind: 'recovery-completed' }
  | { readonly kind: 'cancel-job'; readonly job: JobId; readonly ticket: ReplyTicket }
  /** The ticket is null where a worker's reply to commands brought the heartbeat. */
  | {
      readonly kind: 'heartbeat';
      readonly heartbeat: Heartbeat;
      readonly ticket: ReplyTicket | null;
    }
  | {
      readonly kind: 'batch-stored';
      /** The batch's number, from its `store-batch` effect. */
      readonly batch: number;
      /** Operations that the store takes in no size; the others of the batch are stored. */
      readonly refused?: readonly StoreOperation[];
      /** The newest revision stored under this term. */
      readonly revision?: Revision;
    }
  | { readonly kind: 'machine-types'; readonly types: readonly MachineType[] }
  /** The cloud's list, as it answered a question of that time. */
  | {
      readonly kind: 'machines-listed';
      readonly requestedAt: Instant;
      readonly machines: readonly ListedMachine[];
    }
  | {
      readonly kind: 'provision-result';
      readonly request: ProvisionRequestId;
      readonly result: ProvisionOutcome;
      /** The machines that it brought, perhaps fewer than were asked for. */
      readonly machines: readonly MachineId[];
    }
  /** Without `ok` it is not known whether the machines are deleted. */
  | {
      readonly kind: 'deletion-result';
      readonly machines: readonly MachineId[];
      readonly ok: boolean;
    }
  /** What the store holds for an extension, at recovery. */
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
  /** Time has passed. */
  | { readonly kind: 'tick' };
