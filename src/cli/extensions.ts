/**
 * Optional packages. Each is a bundle of its own beside the program, loaded only when a file names it or one of its commands is
 * called: without them the program loads and does what it would if they did not exist.
 */
import { readFileSync } from 'node:fs';
import parseExpression from 's-expression';
import { type Settings, SettingsError } from '../adapters/configuration/settings.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { ExtensionPackage } from '../core/extensions/extension-package.js';

type Loader = () => Promise<{ readonly extensionPackage: ExtensionPackage }>;

/** By the name that begins a package's file, and that its commands stand under. */
const PACKAGES: Readonly<Record<string, Loader>> = {
  drain: () => import('@robinspread/drain'),
};

/** The package of this name, or null. */
export const loadPackage = async (name: string | undefined): Promise<ExtensionPackage | null> => {
  if (name === undefined || !Object.hasOwn(PACKAGES, name)) return null;
  return (await PACKAGES[name]!()).extensionPackage;
};

const readFile = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`extension: cannot read ${path}: ${(error as Error).message}`);
  }
};

/** The package that a file enables, as the file configures it. */
export const loadExtension = async (path: string, settings: Settings): Promise<ExtensionModule> => {
  const text = readFile(path);
  const form: unknown = parseExpression(text.replace(/;[^\n]*/g, '').trim());
  const name = Array.isArray(form) ? String(form[0]) : '';
  const loaded = await loadPackage(name);
  if (!loaded) throw new SettingsError(`extension: ${path} begins with no known name: (NAME ...)`);
  const configured = loaded.configure(text, { teams: new Set<string>(settings.teams.keys()) });
  if ('fault' in configured) throw new SettingsError(configured.fault);
  return configured;
};
