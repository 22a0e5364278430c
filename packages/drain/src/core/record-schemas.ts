/** What the codecs of the package's records have in common. */
import * as v from 'valibot';

/** How much of the largest value of the key-value store one record may fill. */
export const MAX_RECORD_SHARE = 0.9;

/** A whole number from 0. */
export const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A text that is not empty. */
export const textSchema = v.pipe(v.string(), v.minLength(1));
