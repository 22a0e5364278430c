/** A token bucket with a bounded queue: overload leads to refusals, not to memory growth. */
import { steadyNow } from '../runtime/clock.js';

/** Grants tokens at a set rate; at most `maxWaiting` callers wait at a time. */
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

  /** Sets the rate, and the burst to the tokens of one second. */
  setRate(ratePerSecond: number): void {
    if (ratePerSecond === this.ratePerSecond) return;
    this.ratePerSecond = ratePerSecond;
    this.burst = ratePerSecond;
  }

  /** Takes tokens; the balance may become negative. Returns the time until it is 0 again, in ms. */
  private reserve(count: number): number {
    const now = steadyNow();
    const refill = ((now - this.refilledAt) / 1000) * this.ratePerSecond;
    this.tokens = Math.min(this.burst, this.tokens + refill);
    this.refilledAt = now;
    this.tokens -= count;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.ratePerSecond) * 1000;
  }

  /** Takes tokens without waiting, for requests that must not be delayed. */
  acquireImmediately(count: number): void {
    this.reserve(count);
  }

  /** Waits for tokens. Returns false at once if that would exceed `maxWaitMs` or `maxWaiting`. */
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
