/** Inputs of the core: everything that may change its state. */

import type { OperatorCall } from '../extensions/extension.js';
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
import type { ListedMachine, MachineType } from './machine.js';
import type { Instant } from './time.js';

/** An input of the core. */
export type Command =
  | { readonly kind: 'job'; readonly spec: JobSpec; readonly submittedAt: Instant }
  | ({ readonly kind: 'recovered-progress'; readonly segment: SegmentKey } & ProgressRow)
  | ({ readonly kind: 'recovered-attempts'; readonly segment: SegmentKey } & LedgerRow)
  /** A ledger record that cannot be read: what it entered may be anywhere. */
  | { readonly kind: 'unreadable-segment'; readonly segment: SegmentKey }
  | { readonly kind: 'recovery-completed' }
  | { readonly kind: 'cancel-job'; readonly job: JobId; readonly ticket: ReplyTicket }
  | {
      readonly kind: 'heartbeat';
      readonly heartbeat: Heartbeat;
      readonly ticket: ReplyTicket | null;
    }
  /** `refused`: changes that the state service takes in no size; the others of the batch are stored. */
  | {
      readonly kind: 'batch-stored';
      readonly batch: number;
      readonly refused?: readonly StoreOperation[];
      /** The newest revision stored under this term. */
      readonly revision?: Revision;
    }
  | { readonly kind: 'machine-types'; readonly types: readonly MachineType[] }
  | {
      readonly kind: 'machines-listed';
      readonly askedAt: Instant;
      readonly machines: readonly ListedMachine[];
    }
  | {
      readonly kind: 'provision-result';
      readonly request: ProvisionRequestId;
      readonly result: 'ok' | 'refused' | 'unknown';
      readonly machines: readonly MachineId[];
    }
  | {
      readonly kind: 'deletion-result';
      readonly machines: readonly MachineId[];
      readonly ok: boolean;
    }
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
  | { readonly kind: 'tick' };
