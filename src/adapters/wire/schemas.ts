/** Value checks that the wire formats of users, workers and the cloud share. */
import * as v from 'valibot';

/** An amount of a resource, of money or of seconds; the bound keeps sums exact. */
export const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e12));

/** A name that is only shown and compared. */
export const label = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

/**
 * A name that becomes part of a key of the key-value store: the store would refuse other
 * characters each time, so that the batch which holds one could never be stored.
 */
export const keyLabel = v.pipe(v.string(), v.regex(/^[\w.-]{1,120}$/));

/** A counter or an identifier that is a number. */
export const count = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);
