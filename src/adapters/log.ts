import pino from 'pino';

export type Log = pino.Logger;

/** Logs go to standard error, as much as LOG_LEVEL asks for. */
export const makeLog = (node: string): Log => {
  const asked = process.env.LOG_LEVEL ?? 'info';
  const level = Object.hasOwn(pino.levels.values, asked) ? asked : 'info';
  return pino({ level, base: { node } }, pino.destination({ fd: 2, sync: true }));
};
