import pino from 'pino';

export type Log = pino.Logger;

/** Logs go to standard error, as much as LOG_LEVEL asks for. */
export const makeLog = (node: string): Log => {
  const asked = process.env.LOG_LEVEL ?? 'info';
  const level = Object.hasOwn(pino.levels.values, asked) ? asked : 'info';
  return pino({ level, base: { node } }, pino.destination({ fd: 2, sync: true }));
};

/** Most different things said once; beyond that nothing new is said, so that a flood of them stays out of log and memory. */
const MOST_SAID = 1000;

/** Says a thing only the first time, by its key: what is malformed mostly comes again with every report. */
export class Once {
  private readonly said = new Set<string>();

  first(key: string): boolean {
    if (this.said.has(key) || this.said.size >= MOST_SAID) return false;
    this.said.add(key);
    return true;
  }
}
