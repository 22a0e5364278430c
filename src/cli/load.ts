import {
  DEFAULT_POLICY,
  loadPolicy,
  loadSettings,
  type Settings,
  SettingsError,
} from '../adapters/configuration/settings.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { Policy } from '../core/model/policy.js';
import { loadExtension } from './extensions.js';

export interface Files {
  readonly config: string;
  readonly policy?: string;
  /** Files that enable optional packages. */
  readonly enable?: readonly string[];
}

export interface Loaded {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly extensions: readonly ExtensionModule[];
}

/** All files, checked; a fault is one clear line and exit code 2. */
export const loadFiles = async (files: Files): Promise<Loaded> => {
  try {
    const settings = loadSettings(files.config);
    const policy = files.policy === undefined ? DEFAULT_POLICY : loadPolicy(files.policy);
    const extensions: ExtensionModule[] = [];
    for (const path of files.enable ?? []) extensions.push(await loadExtension(path, settings));
    return { settings, policy, extensions };
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`robinspread: ${error.message}\n`);
    process.exit(2);
  }
};
