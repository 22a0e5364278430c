/** The command that checks the files a controller would start with. */

import { type Files, loadFiles } from './load.js';

/** Prints whether the files are sound. Throws a `SettingsError` where they are not. */
export const checkConfig = async (files: Files): Promise<void> => {
  const { settings } = await loadFiles(files);
  process.stdout.write(`ok: node ${settings.node}, ${settings.teams.size} teams\n`);
};
