/** Points and lengths of time as branded types. */
import type { Branded } from './ids.js';

/** A point on this process's steady clock, in milliseconds. */
export type Instant = Branded<number, 'Instant'>;

/** A length of time in milliseconds. */
export type Millis = Branded<number, 'Millis'>;

/** Seconds as milliseconds. */
export const seconds = (count: number): Millis => (count * 1000) as Millis;

/** The point that much later. */
export const addMillis = (instant: Instant, by: Millis): Instant => (instant + by) as Instant;

/** The time from a point until now. */
export const elapsedMillis = (since: Instant, now: Instant): Millis => (now - since) as Millis;
