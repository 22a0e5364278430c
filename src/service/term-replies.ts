/** The callers of a leader's term that wait for the core, by what they asked for. */
import type { OperatorAnswer } from '../core/extensions/extension.js';
import type { JobOutcome } from '../core/model/job.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import { PendingReplies, TicketCounter } from './pending-replies.js';

/** How long callers are kept waiting, in milliseconds. */
const TIMEOUT_MS = {
  /** A worker gives an answer up after 4 s. */
  heartbeat: 3700,
  cancellation: 2700,
  /** What an operator asks for is stored before the answer. */
  operatorCall: 3500,
} as const;

/** How a cancellation ended on the leader. */
export type CancellationOutcome =
  /** The job's end is stored. */
  | { readonly kind: 'ended'; readonly outcome: JobOutcome }
  /**
   * The leader does not know it as unfinished: it has ended, was never accepted, or was accepted by
   * another controller a moment ago.
   */
  | { readonly kind: 'unknown-job' }
  /** Its end may still be stored. */
  | { readonly kind: 'timed-out' };

/** Owns all callers that wait during one term; the effect runner settles them. */
export class TermReplies {
  private readonly tickets = new TicketCounter();
  /** Commands for the worker; null when it cannot be answered now. */
  readonly heartbeatReplies = new PendingReplies<readonly WorkerCommand[] | null>(
    this.tickets,
    TIMEOUT_MS.heartbeat,
    null,
  );
  readonly cancellationReplies = new PendingReplies<CancellationOutcome>(
    this.tickets,
    TIMEOUT_MS.cancellation,
    { kind: 'timed-out' },
  );
  /** null when the extension does not answer in time. */
  readonly operatorReplies = new PendingReplies<OperatorAnswer | null>(
    this.tickets,
    TIMEOUT_MS.operatorCall,
    null,
  );

  /** Answers all that wait as timed out. */
  close(): void {
    this.heartbeatReplies.close();
    this.cancellationReplies.close();
    this.operatorReplies.close();
  }
}
