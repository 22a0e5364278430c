/**
 * Loads optional packages: separate bundles in the program's directory, each loaded only when a
 * file enables it or one of its commands is called. The program also runs without them.
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

/** By package name, which is also the first atom of the package's file and its command. */
const PACKAGE_LOADERS: ReadonlyMap<string, PackageLoader> = new Map([
  ['drain', () => import('@robinspread/drain')],
]);

/** Loads a package by name; null if there is none. */
export const loadPackage = async (name: string | undefined): Promise<ExtensionPackage | null> => {
  const load = name === undefined ? undefined : PACKAGE_LOADERS.get(name);
  return load ? (await load()).extensionPackage : null;
};

/** Loads and configures the package that a file enables. Throws a `SettingsError` if invalid. */
export const loadExtension = async (path: string, settings: Settings): Promise<ExtensionModule> => {
  const text = readConfigurationFile(path, 'extension');
  const form = parseSExpression(text);
  const name = Array.isArray(form) ? String(form[0]) : '';
  const extensionPackage = await loadPackage(name);
  if (!extensionPackage)
    throw new SettingsError(`extension: ${path} begins with no known name: (NAME ...)`);
  const teams = new Set<string>(settings.teams.keys());
  const configured = extensionPackage.configure(text, { teams });
  if ('error' in configured) throw new SettingsError(configured.error);
  return configured;
};
