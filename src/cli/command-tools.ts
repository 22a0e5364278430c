/** Functions for commands of optional packages: requests to a controller, and output. */

import { parseEndpoint } from '../adapters/configuration/settings.js';
import { HttpClient } from '../adapters/outbound/http-client.js';
import type { CommandTools } from '../core/extensions/extension-package.js';
import { writeError } from './command-failures.js';

const ANSWER_TIMEOUT_MS = 8000;

/** Implements `CommandTools` with HTTP, standard output and standard error. */
export const commandTools: CommandTools = {
  sendRequest: async (endpoint, method, path, body) => {
    const client = new HttpClient(parseEndpoint(endpoint), 1);
    const result = await client.send({ method, path, body, timeoutMs: ANSWER_TIMEOUT_MS });
    client.close();
    return result.kind === 'none' ? null : { status: result.status, body: result.body };
  },
  print: (text) => process.stdout.write(`${text}\n`),
  printError: writeError,
  setExitCode: (code) => {
    process.exitCode = code;
  },
};
