/** This node's share of the key-value store's rates, which the store may lower without notice. */
import { RateLimiter } from '../outbound/rate-limiter.js';
import { steadyNow } from '../runtime/clock.js';

/** Requests and changed keys per second. */
interface Rates {
  readonly rps: number;
  readonly writeRps: number;
}

/** A node's share before and after the store lowers its limits, which only 429 answers show. */
export interface RateShares extends Rates {
  readonly lowered: Rates;
}

/**
 * How long the lowered rates apply after a 429 answer. The normal rates are then tried again, in
 * case the store did not lower its limits.
 */
const LOWERED_RATES_DURATION_MS = 20_000;

/** The rate limiters of one client; 429 answers lower both rates for a while. */
export class StoreRates {
  readonly requests: RateLimiter;
  readonly writes: RateLimiter;
  private loweredUntil = 0;
  private writeScale = 1;

  constructor(private readonly shares: RateShares) {
    this.requests = new RateLimiter(shares.rps, shares.rps);
    this.writes = new RateLimiter(shares.writeRps, shares.writeRps);
  }

  /** Whether the lowered rates apply. */
  get usesLoweredRates(): boolean {
    return steadyNow() < this.loweredUntil;
  }

  /** Must be called for each answer, with whether it was 429. */
  recordAnswer(refusedForRate: boolean): void {
    if (refusedForRate) this.loweredUntil = steadyNow() + LOWERED_RATES_DURATION_MS;
    this.applyRates();
  }

  /** Multiplies the write rate by `scale` from now on. */
  scaleWriteRate(scale: number): void {
    this.writeScale = scale;
    this.applyRates();
  }

  private applyRates(): void {
    const { rps, writeRps } = this.usesLoweredRates ? this.shares.lowered : this.shares;
    this.requests.setRate(rps);
    this.writes.setRate(writeRps * this.writeScale);
  }
}
