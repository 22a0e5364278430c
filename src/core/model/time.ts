/** Points and lengths of time as branded types. */
import type { Branded } from './ids.js';

/** A point on this process's steady clock, in milliseconds. */
export type Instant = Branded<number, 'Instant'>;

/** A length of time in milliseconds. */
export type Millis = Branded<number, 'Millis'>;

/** Seconds as milliseconds. */
export const seconds = (s: number): Millis => (s * 1000) as Millis;

/** The moment this much later. */
export const addMillis = (t: Instant, by: Millis): Instant => (t + by) as Instant;

/** How long ago a moment was. */
export const elapsedMillis = (t: Instant, now: Instant): Millis => (now - t) as Millis;
