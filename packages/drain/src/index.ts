/** Drains machines in steps, within the teams' disruption budgets. */
import type { ExtensionModule, ExtensionPackage, ExtensionRoute } from '@robinspread/extension-api';
import { parseDrainSettings } from './adapters/settings-parser.js';
import { addCommands } from './cli.js';
import type { DrainSettings } from './core/settings.js';
import { DrainExtension, EXTENSION_NAME } from './drain-extension.js';

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

/** The package's module for a controller, with the settings of its file. */
export const drainModule = (settings: DrainSettings): ExtensionModule => ({
  name: EXTENSION_NAME,
  routes: ROUTES,
  create: () => new DrainExtension(settings),
});

/** The entry point, loaded when a settings file of this package is enabled. */
export const extensionPackage: ExtensionPackage = {
  configure: (text, { teams }) => {
    const settings = parseDrainSettings(text, teams);
    return 'error' in settings ? settings : drainModule(settings);
  },
  addCommands,
};
