/** The log of this process, and what keeps repeated events out of it. */

import pino from 'pino';

/** A logger: an event name and structured fields. */
export type Log = pino.Logger;

const STANDARD_ERROR = 2;
const DEFAULT_LEVEL = 'info';

/** Creates the process's log, on standard error, at the level that LOG_LEVEL asks for. */
export const createLog = (node: string): Log => {
  const requested = process.env.LOG_LEVEL ?? DEFAULT_LEVEL;
  const level = Object.hasOwn(pino.levels.values, requested) ? requested : DEFAULT_LEVEL;
  return pino({ level, base: { node } }, pino.destination({ fd: STANDARD_ERROR, sync: true }));
};

/** Keys remembered; beyond that no new one is let through: a flood stays out of log and memory. */
const MAX_KEYS = 1000;

/** Lets each key through once: what is malformed mostly comes again with every heartbeat. */
export class LogDeduplicator {
  private readonly seenKeys = new Set<string>();

  /** Whether this is the first time that the key comes, and there is still space for it. */
  isFirstOccurrence(key: string): boolean {
    if (this.seenKeys.has(key) || this.seenKeys.size >= MAX_KEYS) return false;
    this.seenKeys.add(key);
    return true;
  }
}
