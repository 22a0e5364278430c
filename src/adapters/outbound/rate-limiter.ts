/** A token bucket whose waiting line is bounded: overload becomes a refusal, not growing memory. */
import { steadyNow } from '../runtime/clock.js';

/** Grants tokens at a steady rate, and lets at most `maxWaiting` callers wait for theirs. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;
  private waiting = 0;

  constructor(
    private ratePerSecond: number,
    private burst: number,
    private readonly maxWaiting = 200,
  ) {
    this.tokens = burst;
    this.refilledAt = steadyNow();
  }

  /** From now on this many tokens a second, with a burst of one second's worth. */
  setRate(ratePerSecond: number): void {
    if (ratePerSecond === this.ratePerSecond) return;
    this.ratePerSecond = ratePerSecond;
    this.burst = ratePerSecond;
  }

  /** Takes tokens at once, going into debt; returns how long to wait for them, in ms. */
  private reserve(count: number): number {
    const now = steadyNow();
    const refill = ((now - this.refilledAt) / 1000) * this.ratePerSecond;
    this.tokens = Math.min(this.burst, this.tokens + refill);
    this.refilledAt = now;
    this.tokens -= count;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.ratePerSecond) * 1000;
  }

  /** Takes tokens without waiting for them: for requests that must not be late. */
  acquireImmediately(count: number): void {
    this.reserve(count);
  }

  /** Waits for tokens; false, at once, if that took over `maxWaitMs` or the line is full. */
  async acquire(count: number, maxWaitMs: number): Promise<boolean> {
    const waitMs = this.reserve(count);
    if (waitMs === 0) return true;
    if (waitMs > maxWaitMs || this.waiting >= this.maxWaiting) {
      this.tokens += count;
      return false;
    }
    this.waiting += 1;
    await new Promise((resolve) => setTimeout(resolve, waitMs));
    this.waiting -= 1;
    return true;
  }
}
