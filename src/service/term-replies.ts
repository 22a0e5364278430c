/** Callers that wait for the core during a leader term, by kind of request. */
import type { OperatorAnswer } from '../core/extensions/extension.js';
import type { JobOutcome } from '../core/model/job.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import { PendingReplies, TicketCounter } from './pending-replies.js';

/** Maximum waits of callers. */
const TIMEOUT_MS = {
  /** A worker's request times out after 4 s. */
  heartbeat: 3700,
  cancellation: 2700,
  /** An operator's change is stored before the answer. */
  operatorCall: 3500,
} as const;

/** Outcome of a cancellation at the leader. */
export type CancellationOutcome =
  /** The job's completion is stored. */
  | { readonly kind: 'ended'; readonly outcome: JobOutcome }
  /**
   * The leader lists no such unfinished job: it has ended, was never accepted, or was accepted by
   * another controller a moment ago.
   */
  | { readonly kind: 'unknown-job' }
  /** The job's completion may still be stored later. */
  | { readonly kind: 'timed-out' };

/** Owns all callers that wait during one term; the effect runner settles them. */
export class TermReplies {
  private readonly tickets = new TicketCounter();
  /** Commands for the worker; null if its heartbeat cannot be answered now. */
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
  /** null if the extension does not answer in time. */
  readonly operatorReplies = new PendingReplies<OperatorAnswer | null>(
    this.tickets,
    TIMEOUT_MS.operatorCall,
    null,
  );

  /** Answers all waiting callers as timed out. */
  close(): void {
    this.heartbeatReplies.close();
    this.cancellationReplies.close();
    this.operatorReplies.close();
  }
}
