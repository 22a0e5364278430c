/** The process's log, and deduplication of repeated events. */

import pino from 'pino';

/** A logger of messages with structured fields. */
export type Log = pino.Logger;

const STANDARD_ERROR = 2;
const DEFAULT_LEVEL = 'info';

/** Creates the log, on standard error, at the level in LOG_LEVEL, or `info` if that is invalid. */
export const createLog = (node: string): Log => {
  const requested = process.env.LOG_LEVEL ?? DEFAULT_LEVEL;
  const level = Object.hasOwn(pino.levels.values, requested) ? requested : DEFAULT_LEVEL;
  return pino({ level, base: { node } }, pino.destination({ fd: STANDARD_ERROR, sync: true }));
};

/** Further keys are not logged, which bounds memory use and log volume. */
const MAX_KEYS = 1000;

/** Lets each key be logged once, since malformed data mostly recurs in every heartbeat. */
export class LogDeduplicator {
  private readonly seenKeys = new Set<string>();

  /** Returns true if the key is new and fewer than `MAX_KEYS` are stored. */
  isFirstOccurrence(key: string): boolean {
    if (this.seenKeys.has(key) || this.seenKeys.size >= MAX_KEYS) return false;
    this.seenKeys.add(key);
    return true;
  }
}
