/** Outputs of the core: what the service has to carry out. */

import type { OperatorAnswer } from '../extensions/extension.js';
import type { JobId, MachineId, ReplyTicket, TeamName } from './ids.js';
import type { JobOutcome } from './job.js';
import type { StoreOperation } from './ledger-record.js';
import type { ProvisionRequest } from './machine.js';
import type { WorkerCommand } from './worker-command.js';

/** An output of the core. */
export type Effect =
  | {
      readonly kind: 'reply-to-heartbeat';
      readonly ticket: ReplyTicket;
      readonly commands: readonly WorkerCommand[] | null;
    }
  | {
      readonly kind: 'store-batch';
      readonly batch: number;
      readonly ops: readonly StoreOperation[];
    }
  | {
      readonly kind: 'cancellation-settled';
      readonly ticket: ReplyTicket;
      readonly outcome: JobOutcome | null;
    }
  | {
      readonly kind: 'job-ended';
      readonly job: JobId;
      readonly outcome: JobOutcome;
      readonly tasks: number;
      readonly team: TeamName;
    }
  | ({ readonly kind: 'provision' } & ProvisionRequest)
  | { readonly kind: 'delete-machines'; readonly machines: readonly MachineId[] }
  | {
      readonly kind: 'operator-answer';
      readonly ticket: ReplyTicket;
      readonly answer: OperatorAnswer;
    }
  | {
      readonly kind: 'send-commands';
      readonly machine: MachineId;
      readonly endpoint: string;
      readonly agentEpoch: number;
      readonly commands: readonly WorkerCommand[];
    }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly text: string;
      readonly fields: Record<string, unknown>;
    };

/** What the service may do now: everything, only keep workers' leases alive, or nothing. */
export type Authority = 'lead' | 'keep-alive' | 'none';
