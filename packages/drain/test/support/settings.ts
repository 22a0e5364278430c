/** Settings for tests, read as operators write them. */
import { parseDrainSettings } from '../../src/adapters/settings-parser.js';
import type { DrainSettings } from '../../src/core/settings.js';

const TEAMS = new Set(['blue', 'green']);

/** The settings of a file; throws when it is faulty. */
export const settingsOf = (text: string): DrainSettings => {
  const settings = parseDrainSettings(text, TEAMS);
  if ('fault' in settings) throw new Error(settings.fault);
  return settings;
};

/** Nothing is let end that could be stopped, so that budgets are in use all the time. */
export const TIGHT_BUDGETS = `
  (drain (let-end-s 0) (ready-timeout-s 30) (stalled-after-s 20)
    (budgets (team blue (at-once 2)) (team green (at-once 1) (within 60 3))))`;
