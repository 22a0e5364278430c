/** Loads the configuration files given on the command line. */

import { DEFAULT_POLICY, loadPolicy } from '../adapters/configuration/policy.js';
import { loadSettings, type Settings } from '../adapters/configuration/settings.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { Policy } from '../core/model/policy.js';
import { loadExtension } from './extensions.js';

/** Paths of a controller's configuration files, named as the options. */
export interface ConfigurationPaths {
  /** The platform's settings. */
  readonly config: string;
  /** The operators' policy; the default one applies if absent. */
  readonly policy?: string;
  /** Files that enable optional packages. */
  readonly enable?: readonly string[];
}

/** The validated contents of the files. */
export interface LoadedConfiguration {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly extensions: readonly ExtensionModule[];
}

/** Loads and validates all files. Throws a `SettingsError` for the first invalid one. */
export const loadConfiguration = async (
  files: ConfigurationPaths,
): Promise<LoadedConfiguration> => {
  const settings = loadSettings(files.config);
  const policy = files.policy === undefined ? DEFAULT_POLICY : loadPolicy(files.policy);
  const extensions: ExtensionModule[] = [];
  for (const path of files.enable ?? []) extensions.push(await loadExtension(path, settings));
  return { settings, policy, extensions };
};
