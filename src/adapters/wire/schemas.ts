/** Schemas shared by the wire formats of users, workers and the cloud. */
import * as v from 'valibot';

/** An amount of a resource, of money or of seconds. The upper bound keeps sums exact. */
export const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e12));

/** A name that is only displayed and compared. */
export const label = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

/**
 * A name that becomes part of a key in the key-value store. The store rejects other characters, so
 * a batch with such a key could never be stored.
 */
export const keyLabel = v.pipe(v.string(), v.regex(/^[\w.-]{1,120}$/));

/** A counter or a numeric identifier. */
export const count = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);
