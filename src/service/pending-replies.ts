/** Callers that wait for a reply of the core, each with a ticket and for a bounded time. */
import type { ReplyTicket } from '../core/model/ids.js';

/** Issues reply tickets. One counter serves all kinds of callers, so that tickets are unique. */
export class TicketCounter {
  private next = 1;

  issue(): ReplyTicket {
    const ticket = this.next as ReplyTicket;
    this.next += 1;
    return ticket;
  }
}

/** Callers that wait for one kind of reply. Each gets one: no promise stays pending. */
export class PendingReplies<T> {
  private readonly resolvers = new Map<ReplyTicket, (reply: T) => void>();

  constructor(
    private readonly tickets: TicketCounter,
    private readonly timeoutMs: number,
    /** Reply to callers that have none after `timeoutMs`, or at `close`. */
    private readonly timeoutReply: T,
  ) {}

  /** Passes a new ticket to `send` and returns the reply that is settled under it. */
  request(send: (ticket: ReplyTicket) => void): Promise<T> {
    const ticket = this.tickets.issue();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.settle(ticket, this.timeoutReply), this.timeoutMs);
      this.resolvers.set(ticket, (reply) => {
        clearTimeout(timer);
        resolve(reply);
      });
      send(ticket);
    });
  }

  /** Replies to the caller with this ticket, unless it already has a reply. */
  settle(ticket: ReplyTicket, reply: T): void {
    const resolve = this.resolvers.get(ticket);
    this.resolvers.delete(ticket);
    resolve?.(reply);
  }

  /** Gives all waiting callers the time-out reply: the core will not reply any more. */
  close(): void {
    for (const ticket of [...this.resolvers.keys()]) this.settle(ticket, this.timeoutReply);
  }
}
