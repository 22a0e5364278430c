/** Randomness, from a seeded generator so that tests can repeat it. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Spreads retries, so that controllers that fail at once do not all come back at once. */
export class Jitter {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A length of time between half of `ms` and one and a half times it. */
  apply(ms: number): number {
    return ms * (0.5 + uniformFloat64(this.generator));
  }
}
