/** Callers that wait for the core to reply, each under a ticket and for a bounded time. */
import type { ReplyTicket } from '../core/model/ids.js';

/** Numbers reply tickets. One counter serves every kind of caller, so a ticket names one caller. */
export class TicketCounter {
  private next = 1;

  /** The next unused ticket. */
  issue(): ReplyTicket {
    const ticket = this.next as ReplyTicket;
    this.next += 1;
    return ticket;
  }
}

/** The callers that wait for one kind of reply. Every caller is answered: no promise stays open. */
export class PendingReplies<T> {
  private readonly resolvers = new Map<ReplyTicket, (reply: T) => void>();

  constructor(
    private readonly tickets: TicketCounter,
    private readonly timeoutMs: number,
    /** The reply to callers whom nobody has answered after `timeoutMs`, or at `close`. */
    private readonly timeoutReply: T,
  ) {}

  /** Passes a new ticket to `send` and waits for the reply that is settled under it. */
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

  /** Replies to the caller under this ticket, unless it has been answered before. */
  settle(ticket: ReplyTicket, reply: T): void {
    const resolve = this.resolvers.get(ticket);
    this.resolvers.delete(ticket);
    resolve?.(reply);
  }

  /** Answers all that still wait with the time-out's reply: the core will not answer any more. */
  close(): void {
    for (const ticket of [...this.resolvers.keys()]) this.settle(ticket, this.timeoutReply);
  }
}
