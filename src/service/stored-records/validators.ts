/** Schemas for single values in stored records, with the types of the core's model. */
import * as v from 'valibot';

/** A string, typed as one of the core's branded strings. */
export const brandedString = <T extends string>() =>
  v.custom<T>((input: unknown) => typeof input === 'string');

/** An integer of at least 0, typed as one of the core's branded numbers. */
export const nonNegativeInteger = <T extends number>() =>
  v.custom<T>((input: unknown) => Number.isInteger(input) && (input as number) >= 0);

/** A finite number of at least 0. */
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
