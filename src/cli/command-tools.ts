/** What commands of optional packages use: questions to a daemon, and output. */

import { parseEndpoint } from '../adapters/configuration/settings.js';
import { HttpClient } from '../adapters/outbound/http-client.js';
import type { CommandTools } from '../core/extensions/extension-package.js';

const ANSWER_MS = 8000;

export const commandTools: CommandTools = {
  ask: async (at, method, path, body) => {
    const client = new HttpClient(parseEndpoint(at), 1);
    const reply = await client.call(method, path, body, ANSWER_MS);
    client.close();
    return reply.kind === 'none' ? null : { status: reply.status, body: reply.body };
  },
  print: (text) => process.stdout.write(`${text}\n`),
  complain: (text) => process.stderr.write(`robinspread: ${text}\n`),
  setExitCode: (code) => {
    process.exitCode = code;
  },
};
