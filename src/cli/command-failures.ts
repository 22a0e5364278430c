/** How commands fail: the errors that end them, and the exit codes that operators' scripts read. */

import { SettingsError } from '../adapters/configuration/configuration-file.js';

/** Exit codes of the program. */
export const EXIT_CODES = {
  /** A controller did not answer, refused a request, or this controller cannot go on. */
  failed: 1,
  /** A file that was handed over cannot be read or has a fault. */
  invalidFile: 2,
} as const;

/** A controller did not answer a command's request. */
export class NoAnswerError extends Error {
  override readonly name = 'NoAnswerError';

  constructor(endpoint: string, reason: string) {
    super(`no answer from ${endpoint}: ${reason}`);
  }
}

/** Writes one line to standard error, for operators. */
export const writeError = (text: string): void => {
  process.stderr.write(`robinspread: ${text}\n`);
};

/** Ends a command: one line and an exit code for errors that operators can act on, else throws. */
export const handleCommandError = (error: unknown): void => {
  if (error instanceof SettingsError) {
    writeError(error.message);
    process.exit(EXIT_CODES.invalidFile);
  }
  if (!(error instanceof NoAnswerError)) throw error;
  writeError(error.message);
  process.exitCode = EXIT_CODES.failed;
};
