/** Routes for users: submission, queries and cancellation of jobs. */
import type { Context, Hono } from 'hono';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { LookupResult, UserApi } from '../../ports/user-api.js';
import type { Log } from '../logging/log.js';
import { steadyNow } from '../runtime/clock.js';
import { parseJob, parseJobId } from '../wire/jobs.js';
import {
  answerExplanation,
  answerList,
  answerLookup,
  answerSubmission,
  badRequest,
  type HttpAnswer,
  NO_SUCH_JOB,
} from './answers.js';
import { type NodeEnv, sendAnswer } from './hono-listener.js';
import { readJsonBody } from './request-body.js';

const NOT_FOUND: LookupResult = { kind: 'not-found' };

const submitJob = async (c: Context<NodeEnv>, users: UserApi, log: Log): Promise<HttpAnswer> => {
  const body = await readJsonBody(c.env.incoming);
  if (body.kind === 'malformed') return badRequest(body.reason);
  const { json } = body;
  if (typeof json !== 'object' || json === null || Array.isArray(json))
    return badRequest('body is not an object');
  const jobId = parseJobId((json as { Ref?: unknown }).Ref);
  if (!jobId) return badRequest('Ref: missing or malformed');
  const startedAt = steadyNow();
  const result = await users.submit(jobId, parseJob(json));
  const durationMs = Math.round(steadyNow() - startedAt);
  log.debug({ jobId, result: result.kind, durationMs }, 'submission handled');
  if (result.kind === 'malformed' || result.kind === 'infeasible')
    log.info({ jobId, reason: result.reason }, 'job submission rejected');
  return answerSubmission(result);
};

const listJobs = async (c: Context<NodeEnv>, users: UserApi): Promise<HttpAnswer> => {
  const team = c.req.query('team');
  return team
    ? answerList(await users.list(team as TeamName))
    : badRequest('name a team: ?team=NAME');
};

/** With ?team=NAME, other teams' jobs are reported as not found. This is not authentication. */
const lookUpInScope = async (
  c: Context<NodeEnv>,
  users: UserApi,
  id: JobId,
): Promise<LookupResult> => {
  const result = await users.lookUp(id);
  const team = c.req.query('team');
  const isOutOfScope = result.kind === 'found' && team !== undefined && result.job.team !== team;
  return isOutOfScope ? NOT_FOUND : result;
};

/** Returns null if the job is in the requested team's scope, else the answer to send. */
const checkScope = async (
  c: Context<NodeEnv>,
  users: UserApi,
  id: JobId,
): Promise<HttpAnswer | null> => {
  if (c.req.query('team') === undefined) return null;
  const result = await lookUpInScope(c, users, id);
  return result.kind === 'found' ? null : answerLookup(result);
};

const lookUpJob = async (c: Context<NodeEnv>, users: UserApi): Promise<HttpAnswer> => {
  const id = parseJobId(c.req.param('id'));
  return id ? answerLookup(await lookUpInScope(c, users, id)) : NO_SUCH_JOB;
};

const explainJob = async (c: Context<NodeEnv>, users: UserApi): Promise<HttpAnswer> => {
  const id = parseJobId(c.req.param('id'));
  if (!id) return NO_SUCH_JOB;
  const denial = await checkScope(c, users, id);
  if (denial) return denial;
  const result = await users.explain(id);
  return result.kind === 'explained'
    ? answerExplanation(result.explanation)
    : answerLookup(await lookUpInScope(c, users, id));
};

const cancelJob = async (c: Context<NodeEnv>, users: UserApi): Promise<HttpAnswer> => {
  const id = parseJobId(c.req.param('id'));
  if (!id) return NO_SUCH_JOB;
  return (await checkScope(c, users, id)) ?? answerLookup(await users.cancel(id));
};

/** Adds the routes under `/api/jobs`. */
export const addJobRoutes = (app: Hono<NodeEnv>, users: UserApi, log: Log): void => {
  app.post('/api/jobs', async (c) => sendAnswer(c, await submitJob(c, users, log)));
  app.get('/api/jobs', async (c) => sendAnswer(c, await listJobs(c, users)));
  app.get('/api/jobs/:id', async (c) => sendAnswer(c, await lookUpJob(c, users)));
  app.get('/api/jobs/:id/explain', async (c) => sendAnswer(c, await explainJob(c, users)));
  app.post('/api/jobs/:id/abort', async (c) => sendAnswer(c, await cancelJob(c, users)));
};
