/** What commands of optional packages use: questions to a daemon, and output. */
import { HttpClient } from '../adapters/http-client.js';
import { parseEndpoint } from '../adapters/settings.js';
import type { CommandTools } from '../core/extension-package.js';

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
