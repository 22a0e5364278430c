/** Checks of single values in stored records, typed as the core's model. */
import * as v from 'valibot';

/** A text, typed as one of the core's names. */
export const brandedString = <T extends string>() =>
  v.custom<T>((input: unknown) => typeof input === 'string');

/** A whole number from 0, typed as one of the core's numbers. */
export const nonNegativeInteger = <T extends number>() =>
  v.custom<T>((input: unknown) => Number.isInteger(input) && (input as number) >= 0);

/** A quantity of something: finite, and not below 0. */
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
