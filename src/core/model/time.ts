/** Points in time and durations as branded types. */
import type { Branded } from './ids.js';

/** A point on this process's steady (monotonic) clock, in milliseconds. */
export type Instant = Branded<number, 'Instant'>;

/** A duration in milliseconds. */
export type Millis = Branded<number, 'Millis'>;

/** Converts seconds to milliseconds. */
export const seconds = (count: number): Millis => (count * 1000) as Millis;

/** The instant `by` after `instant`. */
export const addMillis = (instant: Instant, by: Millis): Instant => (instant + by) as Instant;

/**
 * The instant rounded down to whole milliseconds. V8 keeps such a number within the object that
 * holds it, which matters where there is an object for each attempt.
 */
export const wholeMillis = (instant: Instant): Instant => Math.floor(instant) as Instant;

/** The time from `since` to `now`; negative if `since` is later. */
export const elapsedMillis = (since: Instant, now: Instant): Millis => (now - since) as Millis;
