/** The command that validates a controller's configuration files. */

import { type ConfigurationPaths, loadConfiguration } from './load.js';

/** Prints a summary if all files are valid, else throws a `SettingsError`. */
export const checkConfig = async (files: ConfigurationPaths): Promise<void> => {
  const { settings } = await loadConfiguration(files);
  process.stdout.write(`ok: node ${settings.node}, ${settings.teams.size} teams\n`);
};
