/** Definitions shared by the record codecs. */
import * as v from 'valibot';

/** The share of the key-value store's maximum value size that one record may fill. */
export const MAX_RECORD_SHARE = 0.9;

/** An integer of 0 or more. */
export const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A non-empty string. */
export const textSchema = v.pipe(v.string(), v.minLength(1));
