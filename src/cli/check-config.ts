import { type Files, loadFiles } from './load.js';

export const checkConfig = async (files: Files): Promise<void> => {
  const { settings } = await loadFiles(files);
  process.stdout.write(`ok: node ${settings.node}, ${settings.teams.size} teams\n`);
};
