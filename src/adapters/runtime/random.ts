/** Random numbers, from a seeded generator so that tests are reproducible. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Randomizes delays, so that controllers that fail together do not retry together. */
export class Jitter {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a random duration from half to one and a half times `ms`. */
  apply(ms: number): number {
    return ms * (0.5 + uniformFloat64(this.generator));
  }
}
