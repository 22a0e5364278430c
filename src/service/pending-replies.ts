/** Callers that wait for the core to answer, each under a ticket and for a bounded time. */
import type { Ticket } from '../core/types.js';

/** Numbers tickets; one counter serves all kinds, so that a ticket names one caller. */
export class TicketCounter {
  private next = 1;

  take(): Ticket {
    const ticket = this.next as Ticket;
    this.next += 1;
    return ticket;
  }
}

export class PendingAnswers<T> {
  private readonly waiting = new Map<Ticket, (answer: T) => void>();

  constructor(
    private readonly tickets: TicketCounter,
    private readonly timeoutMs: number,
    /** The answer to callers that nobody answers in time. */
    private readonly late: T,
  ) {}

  /** Waits for the answer to what is sent with the ticket. */
  ask(send: (ticket: Ticket) => void): Promise<T> {
    const ticket = this.tickets.take();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.answer(ticket, this.late), this.timeoutMs);
      this.waiting.set(ticket, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      send(ticket);
    });
  }

  /** Answers a caller, if it still waits. */
  answer(ticket: Ticket, answer: T): void {
    const resolve = this.waiting.get(ticket);
    this.waiting.delete(ticket);
    resolve?.(answer);
  }

  /** Nobody will answer any more. */
  close(): void {
    for (const ticket of [...this.waiting.keys()]) this.answer(ticket, this.late);
  }
}
