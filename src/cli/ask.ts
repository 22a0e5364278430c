import { parseEndpoint } from '../adapters/configuration/settings.js';
import { HttpClient } from '../adapters/outbound/http-client.js';

const ask = async (at: string, path: string): Promise<void> => {
  const client = new HttpClient(parseEndpoint(at), 1);
  const reply = await client.call('GET', path, undefined, 5000);
  client.close();
  if (reply.kind === 'none') {
    process.stderr.write(`robinspread: no answer from ${at}: ${reply.reason}\n`);
    process.exitCode = 1;
    return;
  }
  process.stdout.write(`${JSON.stringify(reply.body, null, 2)}\n`);
  if (reply.status !== 200) process.exitCode = 1;
};

export const explain = (job: string, at: string): Promise<void> =>
  ask(at, `/api/jobs/${encodeURIComponent(job)}/explain`);

export const jobs = (team: string, at: string): Promise<void> =>
  ask(at, `/api/jobs?team=${encodeURIComponent(team)}`);
