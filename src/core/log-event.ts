/** Log records among the core's effects. */
import type { Effect } from './model/effect.js';
import type { LogFields, LogLevel } from './model/log-record.js';

/** Adds a log record, with the parameters explained at `LogRecord`. */
export const logEvent = (
  effects: Effect[],
  level: LogLevel,
  text: string,
  fields: LogFields,
): void => {
  effects.push({ kind: 'log', level, text, fields });
};
