/** What the program loads of an optional package: its configuration and its commands. */
import type { Command } from 'commander';
import type { ExtensionModule } from './extension.js';

/** What commands of a package may use. */
export interface CommandTools {
  /** Asks a daemon; null when it does not answer. */
  ask(
    at: string,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<{ readonly status: number; readonly body: unknown } | null>;
  print(text: string): void;
  /** One line on standard error. */
  complain(text: string): void;
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
