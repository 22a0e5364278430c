/** Errors that end a command, and exit codes, on which operators' scripts depend. */

import { SettingsError } from '../adapters/configuration/configuration-file.js';

/** Exit codes of failed commands, except those of optional packages. */
export const EXIT_CODES = {
  /** A controller did not answer or refused a request, or this controller cannot continue. */
  failed: 1,
  /** A configuration file is unreadable or invalid. */
  invalidFile: 2,
} as const;

/** A controller did not answer a command's request. */
export class NoAnswerError extends Error {
  override readonly name = 'NoAnswerError';

  constructor(endpoint: string, reason: string) {
    super(`no answer from ${endpoint}: ${reason}`);
  }
}

/** Writes a one-line message for operators to standard error. */
export const writeError = (text: string): void => {
  process.stderr.write(`robinspread: ${text}\n`);
};

/** Prints one line and sets the exit code for errors that operators can act on; rethrows others. */
export const handleCommandError = (error: unknown): void => {
  if (error instanceof SettingsError) {
    writeError(error.message);
    process.exit(EXIT_CODES.invalidFile);
  }
  if (!(error instanceof NoAnswerError)) throw error;
  writeError(error.message);
  process.exitCode = EXIT_CODES.failed;
};
