/** The clocks of this process: a steady one for leases and timeouts, and the time of day. */

import type { Instant } from '../../core/model/time.js';

/**
 * Reads the steady clock, in milliseconds; every lease and timeout counts on it. It is not
 * `performance.now()`: that loads all of Node's performance hooks, which delays the start.
 */
export const steadyNow = (): Instant => {
  const [seconds, nanoseconds] = process.hrtime();
  return (seconds * 1e3 + nanoseconds / 1e6) as Instant;
};

/**
 * Turns another node's time of day, in milliseconds since 1970, into an instant on this process's
 * steady clock. It is off by as much as the two nodes' clocks are.
 */
export const fromTimeOfDay = (timeOfDayMs: number): Instant =>
  (steadyNow() - (Date.now() - timeOfDayMs)) as Instant;

/** Resolves after this many milliseconds. */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));
