/** Loads the files that commands are given. */

import { DEFAULT_POLICY, loadPolicy } from '../adapters/configuration/policy.js';
import { loadSettings, type Settings } from '../adapters/configuration/settings.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { Policy } from '../core/model/policy.js';
import { loadExtension } from './extensions.js';

/** The files of a controller, as paths. */
export interface ConfigurationPaths {
  /** The platform's settings. */
  readonly config: string;
  /** The operators' policy; the default one without it. */
  readonly policy?: string;
  /** Files that enable optional packages. */
  readonly enable?: readonly string[];
}

/** The files' contents, checked. */
export interface LoadedConfiguration {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly extensions: readonly ExtensionModule[];
}

/** Loads and checks all files. Throws a `SettingsError` for the first fault. */
export const loadConfiguration = async (
  files: ConfigurationPaths,
): Promise<LoadedConfiguration> => {
  const settings = loadSettings(files.config);
  const policy = files.policy === undefined ? DEFAULT_POLICY : loadPolicy(files.policy);
  const extensions: ExtensionModule[] = [];
  for (const path of files.enable ?? []) extensions.push(await loadExtension(path, settings));
  return { settings, policy, extensions };
};
