/** Drains machines in steps, within the teams' disruption budgets. */
import type { ExtensionModule, ExtensionPackage, ExtensionRoute } from '@robinspread/extension-api';
import { readSettings } from './adapters/settings-file.js';
import { addCommands } from './cli.js';
import type { DrainSettings } from './core/settings.js';
import { DrainExtension, NAME } from './drain-extension.js';

const ROUTES: readonly ExtensionRoute[] = [
  { name: 'plan', method: 'POST', path: '/api/drains/plan' },
  { name: 'start', method: 'POST', path: '/api/drains' },
  { name: 'list', method: 'GET', path: '/api/drains' },
  { name: 'status', method: 'GET', path: '/api/drains/:subject' },
  { name: 'pause', method: 'POST', path: '/api/drains/:subject/pause' },
  { name: 'resume', method: 'POST', path: '/api/drains/:subject/resume' },
  { name: 'cancel', method: 'POST', path: '/api/drains/:subject/cancel' },
  { name: 'budgets', method: 'GET', path: '/api/budgets' },
];

/** The daemon's part of the package. */
export const drainModule = (settings: DrainSettings): ExtensionModule => ({
  name: NAME,
  routes: ROUTES,
  create: () => new DrainExtension(settings),
});

export const extensionPackage: ExtensionPackage = {
  configure: (text, { teams }) => {
    const settings = readSettings(text, teams);
    return 'fault' in settings ? settings : drainModule(settings);
  },
  addCommands,
};
