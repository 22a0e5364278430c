/** Clocks: the steady (monotonic) clock for leases and timeouts, and the time of day. */

import type { Instant } from '../../core/model/time.js';

/**
 * Reads the steady clock, in ms. `performance.now()` is not used, since it loads all of Node's
 * performance hooks, which delays the start-up.
 */
export const steadyNow = (): Instant => {
  const [seconds, nanoseconds] = process.hrtime();
  return (seconds * 1e3 + nanoseconds / 1e6) as Instant;
};

/**
 * Converts another node's time of day, in milliseconds since 1970, to an instant on this process's
 * steady clock. The error is the difference between the two nodes' times of day.
 */
export const fromTimeOfDay = (timeOfDayMs: number): Instant =>
  (steadyNow() - (Date.now() - timeOfDayMs)) as Instant;

/** Resolves after at least `ms` milliseconds. */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));
