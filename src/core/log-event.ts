/** What the core has to say to the log. */
import type { Effect } from './model/effect.js';

export const logEvent = (
  effects: Effect[],
  level: 'info' | 'debug',
  text: string,
  fields: Record<string, unknown>,
): void => {
  effects.push({ kind: 'log', level, text, fields });
};
