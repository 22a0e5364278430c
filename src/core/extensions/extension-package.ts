/** Entry points of an optional package: its configuration parser and its commands. */
import type { Command } from 'commander';
import type { ExtensionModule } from './extension.js';

/** Functions that the program provides to a package's commands. */
export interface CommandTools {
  /** Sends a request to the daemon at `host:port`; returns null when it does not answer. */
  sendRequest(
    at: string,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<{ readonly status: number; readonly body: unknown } | null>;
  /** Prints to standard output. */
  print(text: string): void;
  /** Prints one line to standard error. */
  printError(text: string): void;
  setExitCode(code: number): void;
}

/** An optional package. */
export interface ExtensionPackage {
  /** Parses its file under `deploy/`, or returns a one-line error that names an invalid field. */
  configure(
    text: string,
    known: { readonly teams: ReadonlySet<string> },
  ): ExtensionModule | { readonly error: string };
  /** Adds its commands to the program. */
  addCommands(program: Command, tools: CommandTools): void;
}
