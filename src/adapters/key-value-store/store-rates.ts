/** This node's share of the key-value store's rates, which the store may lower unannounced. */
import { RateLimiter } from '../outbound/rate-limiter.js';
import { steadyNow } from '../runtime/clock.js';

/** Requests and changed keys a second. */
interface Rates {
  readonly rps: number;
  readonly writeRps: number;
}

/** A node's share, now and once the store has lowered its limits, which only its refusals tell. */
export interface RateShares extends Rates {
  readonly lowered: Rates;
}

/**
 * After a refusal for the rate the lower share holds for this long. Should the limits be as before,
 * the higher share returns.
 */
const LOWERED_FOR_MS = 20_000;

/** Limits requests and changes to the share. */
export class StoreRates {
  readonly requests: RateLimiter;
  readonly writes: RateLimiter;
  private loweredUntil = 0;
  private writeScale = 1;

  constructor(private readonly shares: RateShares) {
    this.requests = new RateLimiter(shares.rps, shares.rps);
    this.writes = new RateLimiter(shares.writeRps, shares.writeRps);
  }

  /** Whether it keeps to the lower share. */
  get usesLoweredRates(): boolean {
    return steadyNow() < this.loweredUntil;
  }

  /** Takes note of each answer: refused for the rate, or not. */
  recordAnswer(refusedForRate: boolean): void {
    if (refusedForRate) this.loweredUntil = steadyNow() + LOWERED_FOR_MS;
    this.applyRates();
  }

  /** From now on this many times the share of the write rate. */
  scaleWrites(scale: number): void {
    this.writeScale = scale;
    this.applyRates();
  }

  private applyRates(): void {
    const { rps, writeRps } = this.usesLoweredRates ? this.shares.lowered : this.shares;
    this.requests.setRate(rps);
    this.writes.setRate(writeRps * this.writeScale);
  }
}
