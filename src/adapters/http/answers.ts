/**
 * The only module that maps results and errors to HTTP statuses and bodies. Clients depend on both,
 * and on the error texts.
 */
import type { OperatorAnswer } from '../../core/extensions/extension.js';
import type { HeartbeatDecision } from '../../ports/heartbeat-service.js';
import type { ListResult, LookupResult, SubmissionResult } from '../../ports/user-api.js';
import { encodeJobView } from '../wire/jobs.js';
import { encodeWorkerCommands } from '../wire/workers.js';

/** An HTTP answer, independent of the server that sends it. */
export interface HttpAnswer {
  readonly status: number;
  /** Serialized as JSON. */
  readonly body: unknown;
}

/** The answer to a worker's heartbeat. */
export interface HeartbeatAnswer extends HttpAnswer {
  readonly status: 200 | 400 | 421 | 503;
  readonly body: object;
}

/** Status of all answers that ask for a retry; sent with a `Retry-After` header. */
export const UNAVAILABLE_STATUS = 503;
/** Value of `Retry-After`, in seconds. */
export const RETRY_AFTER_S = '1';

const ok = (body: unknown): HttpAnswer => ({ status: 200, body });

/** Status 400: the request is invalid. */
export const badRequest = (reason: string): HttpAnswer => ({
  status: 400,
  body: { error: reason },
});

/** Status 404: the resource does not exist. */
export const notFound = (reason: string): HttpAnswer => ({ status: 404, body: { error: reason } });

/** Status 503: the client should retry. */
export const unavailable = (reason: string): HttpAnswer => ({
  status: UNAVAILABLE_STATUS,
  body: { error: reason },
});

/** For an error that no handler caught; its text is only logged. */
export const UNEXPECTED_ERROR = unavailable('fault');
/** No route matches the path. */
export const NO_SUCH_PATH = notFound('no such path');
/** The job does not exist, or belongs to another team. */
export const NO_SUCH_JOB = notFound('no such job');

/** Answers a load balancer's health check. */
export const answerHealthCheck = (isReady: boolean): HttpAnswer =>
  isReady ? ok({ ok: true }) : unavailable('starting');

/** Answers a submission: 201 only if this submission stored the job. */
export const answerSubmission = (result: SubmissionResult): HttpAnswer => {
  switch (result.kind) {
    case 'accepted':
      return { status: 201, body: encodeJobView(result.job) };
    case 'already-known':
      return ok(encodeJobView(result.job));
    case 'malformed':
      return badRequest(result.reason);
    case 'infeasible':
      return { status: 422, body: { error: result.reason } };
    case 'unavailable':
      return unavailable(result.reason);
  }
};

/** Answers a look-up or a cancellation. */
export const answerLookup = (result: LookupResult): HttpAnswer => {
  switch (result.kind) {
    case 'found':
      return ok(encodeJobView(result.job));
    case 'not-found':
      return NO_SUCH_JOB;
    case 'unavailable':
      return unavailable(result.reason);
  }
};

/** Answers with a team's unfinished jobs. */
export const answerList = (result: ListResult): HttpAnswer =>
  result.kind === 'listed'
    ? ok({ jobs: result.jobs.map(encodeJobView) })
    : unavailable(result.reason);

/** Answers with the reason why a job waits; the explanation is passed through unchanged. */
export const answerExplanation = (explanation: unknown): HttpAnswer => ok(explanation);

/** Answers an operator's call; `answer` is null if no leader answered it. */
export const answerOperatorCall = (answer: OperatorAnswer | null): HttpAnswer =>
  answer ?? unavailable('no leader to ask');

/** Answers a well-formed heartbeat. */
export const answerHeartbeat = (decision: HeartbeatDecision): HeartbeatAnswer => {
  switch (decision.kind) {
    case 'commands':
      return {
        status: 200,
        body: {
          Baton: decision.fencingToken,
          Orders: encodeWorkerCommands(decision.commands),
        },
      };
    case 'redirect':
      return { status: 421, body: decision.leader === null ? {} : { Foreman: decision.leader } };
    case 'unavailable':
      return { status: 503, body: { error: 'not now' } };
  }
};

/** Answers a malformed heartbeat. */
export const MALFORMED_HEARTBEAT: HeartbeatAnswer = { status: 400, body: { error: 'malformed' } };
/** Answers a heartbeat whose handling threw an error. */
export const HEARTBEAT_FAILED: HeartbeatAnswer = { status: 503, body: { error: 'fault' } };
