/** What the program loads of an optional package: its configuration and its commands. */
import type { Command } from 'commander';
import type { ExtensionModule } from './extension.js';

/** What commands of a package may use. */
export interface CommandTools {
  /** Sends a request to the daemon at `host:port`; null when it does not answer. */
  sendRequest(
    at: string,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<{ readonly status: number; readonly body: unknown } | null>;
  /** Prints on standard output. */
  print(text: string): void;
  /** Prints one line on standard error. */
  printError(text: string): void;
  /** The exit code for when the command has ended. */
  setExitCode(code: number): void;
}

/** An optional package. */
export interface ExtensionPackage {
  /** Reads its file under `deploy/`; a fault names the field in one line. */
  configure(
    text: string,
    known: { readonly teams: ReadonlySet<string> },
  ): ExtensionModule | { readonly fault: string };
  /** Adds its commands to the command line. */
  addCommands(program: Command, tools: CommandTools): void;
}
