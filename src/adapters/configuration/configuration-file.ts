/** What the files of operators and platform share: how they are read, and their faults. */

import { readFileSync } from 'node:fs';
import parseExpression from 's-expression';

/** A fault of a file handed over. Its message is one line for operators, who need no stack. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** Reads a file. Throws a `SettingsError` that begins with `subject`, what the file is for. */
export const readConfigurationFile = (path: string, subject: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const { message } = error as Error;
    throw new SettingsError(`${subject}: cannot read ${path}: ${message}`, { cause: error });
  }
};

/** Parses one S-expression; `;` begins a comment. Returns an `Error` for a fault of its syntax. */
export const parseSExpression = (text: string): unknown =>
  parseExpression(text.replace(/;[^\n]*/g, '').trim());
