/** Reading, parsing and error reporting shared by the settings, policy and extension files. */

import { readFileSync } from 'node:fs';
import parseExpression from 's-expression';

/** A configuration file is unreadable or invalid. The message is one line for operators. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** Reads a file. Throws a `SettingsError` whose message begins with `subject`, the file's kind. */
export const readConfigurationFile = (path: string, subject: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const { message } = error as Error;
    throw new SettingsError(`${subject}: cannot read ${path}: ${message}`, { cause: error });
  }
};

/** Parses one S-expression; `;` begins a comment. Returns an `Error` if the syntax is invalid. */
export const parseSExpression = (text: string): unknown =>
  parseExpression(text.replace(/;[^\n]*/g, '').trim());
