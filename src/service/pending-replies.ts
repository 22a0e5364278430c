/** Callers that wait for the core to answer, each under a ticket and for a bounded time. */
import type { ReplyTicket } from '../core/model/ids.js';

/** Numbers tickets; one counter serves all kinds, so that a ticket names one caller. */
export class TicketCounter {
  private next = 1;

  take(): ReplyTicket {
    const ticket = this.next as ReplyTicket;
    this.next += 1;
    return ticket;
  }
}

export class PendingReplies<T> {
  private readonly waiting = new Map<ReplyTicket, (answer: T) => void>();

  constructor(
    private readonly tickets: TicketCounter,
    private readonly timeoutMs: number,
    /** The answer to callers that nobody answers in time. */
    private readonly late: T,
  ) {}

  /** Waits for the answer to what is sent with the ticket. */
  request(send: (ticket: ReplyTicket) => void): Promise<T> {
    const ticket = this.tickets.take();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.settle(ticket, this.late), this.timeoutMs);
      this.waiting.set(ticket, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      send(ticket);
    });
  }

  /** Answers a caller, if it still waits. */
  settle(ticket: ReplyTicket, answer: T): void {
    const resolve = this.waiting.get(ticket);
    this.waiting.delete(ticket);
    resolve?.(answer);
  }

  /** Nobody will answer any more. */
  close(): void {
    for (const ticket of [...this.waiting.keys()]) this.settle(ticket, this.late);
  }
}
