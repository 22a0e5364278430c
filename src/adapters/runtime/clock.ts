/** The clocks of this process. */
import type { Instant } from '../../core/model/time.js';

/**
 * The steady clock: every lease and time-out counts on it. Not `performance.now()`, whose module is loaded with all of Node's
 * performance hooks when it is first used.
 */
export const steadyNow = (): Instant => {
  const [seconds, nanoseconds] = process.hrtime();
  return (seconds * 1e3 + nanoseconds / 1e6) as Instant;
};

/** Turns a time of day from another node into an instant here; it may be off by the clocks' bound. */
export const fromTimeOfDay = (wallMs: number): Instant =>
  (steadyNow() - (Date.now() - wallMs)) as Instant;

export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));
