/** Outputs of the core, which the service carries out. */

import type { JobId, MachineId, ReplyTicket, TeamName } from './ids.js';
import type { JobOutcome } from './job.js';
import type { StoreOperation } from './ledger-record.js';
import type { LogRecord } from './log-record.js';
import type { ProvisionRequest } from './machine.js';
import type { OperatorAnswer } from './operator-call.js';
import type { KillCommand, WorkerCommand } from './worker-command.js';

/** An output of the core. */
export type Effect =
  /** `commands` is null when this leader refuses the heartbeat. */
  | {
      readonly kind: 'reply-to-heartbeat';
      readonly ticket: ReplyTicket;
      readonly commands: readonly WorkerCommand[] | null;
    }
  /** Stores the operations in this order; answered by `batch-stored`. */
  | {
      readonly kind: 'store-batch';
      /** The batch's number under this term. */
      readonly batch: number;
      readonly operations: readonly StoreOperation[];
    }
  /** Answers a cancellation; `outcome` is null if no such job is unfinished. */
  | {
      readonly kind: 'cancellation-settled';
      readonly ticket: ReplyTicket;
      readonly outcome: JobOutcome | null;
    }
  /** The job's completion is stored. */
  | {
      readonly kind: 'job-ended';
      readonly job: JobId;
      readonly outcome: JobOutcome;
      readonly tasks: number;
      readonly team: TeamName;
    }
  /** Answered by `provision-result`. */
  | ({ readonly kind: 'provision' } & ProvisionRequest)
  /** Answered by `deletion-result`. */
  | { readonly kind: 'delete-machines'; readonly machines: readonly MachineId[] }
  | {
      readonly kind: 'operator-answer';
      readonly ticket: ReplyTicket;
      readonly answer: OperatorAnswer;
    }
  /** Sends kills before the machine's next heartbeat, valid for this agent epoch only. */
  | {
      readonly kind: 'send-commands';
      readonly machine: MachineId;
      /** `host:port`. */
      readonly endpoint: string;
      readonly agentEpoch: number;
      readonly commands: readonly KillCommand[];
    }
  | ({ readonly kind: 'log' } & LogRecord);

/** What a leader may do: everything, only renew workers' leases and send kills, or nothing. */
export type Authority = 'lead' | 'keep-alive' | 'none';
