/** Drain settings for tests, parsed from a settings file's text. */
import { parseDrainSettings } from '../../src/adapters/settings-parser.js';
import type { DrainSettings } from '../../src/core/settings.js';

const TEAMS = new Set(['blue', 'green']);

/** Parses settings; throws if they are faulty. */
export const settingsOf = (text: string): DrainSettings => {
  const settings = parseDrainSettings(text, TEAMS);
  if ('error' in settings) throw new Error(settings.error);
  return settings;
};

/** Stops all checkpointing work instead of letting it end, so that budgets are always in use. */
export const TIGHT_BUDGETS = `
  (drain (let-end-s 0) (ready-timeout-s 30) (stalled-after-s 20)
    (budgets (team blue (at-once 2)) (team green (at-once 1) (within 60 3))))`;
