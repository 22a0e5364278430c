/** Commands that query a controller and print its answer. */

import { parseEndpoint } from '../adapters/configuration/settings.js';
import { HttpClient } from '../adapters/outbound/http-client.js';
import { EXIT_CODES, NoAnswerError } from './command-failures.js';

const ANSWER_TIMEOUT_MS = 5000;

/** Prints an answer as JSON. Sets a failure exit code unless its status is 200. */
const printAnswer = async (endpoint: string, path: string): Promise<void> => {
  const client = new HttpClient(parseEndpoint(endpoint), 1);
  const result = await client.send({ method: 'GET', path, timeoutMs: ANSWER_TIMEOUT_MS });
  client.close();
  if (result.kind === 'none') throw new NoAnswerError(endpoint, result.message);
  process.stdout.write(`${JSON.stringify(result.body, null, 2)}\n`);
  if (result.status !== 200) process.exitCode = EXIT_CODES.failed;
};

/** Prints why a job waits. Throws a `NoAnswerError` if the controller does not answer. */
export const explainJob = (job: string, endpoint: string): Promise<void> =>
  printAnswer(endpoint, `/api/jobs/${encodeURIComponent(job)}/explain`);

/** Prints a team's unfinished jobs. Throws as `explainJob` does. */
export const listJobs = (team: string, endpoint: string): Promise<void> =>
  printAnswer(endpoint, `/api/jobs?team=${encodeURIComponent(team)}`);
