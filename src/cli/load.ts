import {
  DEFAULT_POLICY,
  loadPolicy,
  loadSettings,
  type Settings,
  SettingsError,
} from '../adapters/settings.js';
import type { Policy } from '../core/types.js';

export interface Files {
  readonly config: string;
  readonly policy?: string;
}

/** Both files, checked; a fault is one clear line and exit code 2. */
export const loadFiles = (files: Files): { settings: Settings; policy: Policy } => {
  try {
    const settings = loadSettings(files.config);
    const policy = files.policy === undefined ? DEFAULT_POLICY : loadPolicy(files.policy);
    return { settings, policy };
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`robinspread: ${error.message}\n`);
    process.exit(2);
  }
};
