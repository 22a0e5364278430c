import { type Files, loadFiles } from './load.js';

export const checkConfig = (files: Files): void => {
  const { settings } = loadFiles(files);
  process.stdout.write(`ok: node ${settings.node}, ${settings.teams.size} teams\n`);
};
