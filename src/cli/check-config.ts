/** The command that checks the files a controller would start with. */

import { type ConfigurationPaths, loadConfiguration } from './load.js';

/** Prints whether the files are sound. Throws a `SettingsError` where they are not. */
export const checkConfig = async (files: ConfigurationPaths): Promise<void> => {
  const { settings } = await loadConfiguration(files);
  process.stdout.write(`ok: node ${settings.node}, ${settings.teams.size} teams\n`);
};
