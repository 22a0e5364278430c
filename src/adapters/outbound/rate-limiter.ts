/** A token bucket whose waiting line is bounded, so that overload turns into a refusal and not into a heap. */
import { steadyNow } from '../runtime/clock.js';

export class RateLimiter {
  private tokens: number;
  private at: number;
  private waiting = 0;

  constructor(
    private perSecond: number,
    private burst: number,
    private readonly maxWaiting = 200,
  ) {
    this.tokens = burst;
    this.at = steadyNow();
  }

  /** From now on this many a second, with a burst of one second's worth. */
  setRate(perSecond: number): void {
    if (perSecond === this.perSecond) return;
    this.perSecond = perSecond;
    this.burst = perSecond;
  }

  /** Takes `n` tokens at once, going into debt, and tells how long to wait for them. */
  private reserve(n: number): number {
    const now = steadyNow();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    this.tokens -= n;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.perSecond) * 1000;
  }

  /** Counts without waiting: for what must not be late. */
  force(n: number): void {
    this.reserve(n);
  }

  /** False when the wait would be longer than `maxWaitMs` or the line is full. */
  async take(n: number, maxWaitMs: number): Promise<boolean> {
    const wait = this.reserve(n);
    if (wait === 0) return true;
    if (wait > maxWaitMs || this.waiting >= this.maxWaiting) {
      this.tokens += n;
      return false;
    }
    this.waiting += 1;
    await new Promise((resolve) => setTimeout(resolve, wait));
    this.waiting -= 1;
    return true;
  }
}
