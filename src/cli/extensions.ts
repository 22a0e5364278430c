/**
 * Optional packages. Each is a bundle of its own beside the program, loaded only when a file names
 * it or one of its commands is called; the program runs the same where there are none.
 */

import {
  parseSExpression,
  readConfigurationFile,
  SettingsError,
} from '../adapters/configuration/configuration-file.js';
import type { Settings } from '../adapters/configuration/settings.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { ExtensionPackage } from '../core/extensions/extension-package.js';

type PackageLoader = () => Promise<{ readonly extensionPackage: ExtensionPackage }>;

/** By the name that begins a package's file, and that its commands stand under. */
const PACKAGE_LOADERS: ReadonlyMap<string, PackageLoader> = new Map([
  ['drain', () => import('@robinspread/drain')],
]);

/** Loads the package of this name; null where there is none. */
export const loadPackage = async (name: string | undefined): Promise<ExtensionPackage | null> => {
  const load = name === undefined ? undefined : PACKAGE_LOADERS.get(name);
  return load ? (await load()).extensionPackage : null;
};

/** Loads the package that a file enables, as the file configures it. Throws a `SettingsError`. */
export const loadExtension = async (path: string, settings: Settings): Promise<ExtensionModule> => {
  const text = readConfigurationFile(path, 'extension');
  const form = parseSExpression(text);
  const name = Array.isArray(form) ? String(form[0]) : '';
  const extensionPackage = await loadPackage(name);
  if (!extensionPackage)
    throw new SettingsError(`extension: ${path} begins with no known name: (NAME ...)`);
  const teams = new Set<string>(settings.teams.keys());
  const configured = extensionPackage.configure(text, { teams });
  if ('fault' in configured) throw new SettingsError(configured.fault);
  return configured;
};
