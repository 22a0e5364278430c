/**
 * The one place that maps results and errors to HTTP statuses and bodies. Clients rely on both, and
 * on the words.
 */
import type { OperatorAnswer } from '../../core/extensions/extension.js';
import type { HeartbeatDecision } from '../../ports/heartbeat-service.js';
import type { ListResult, LookupResult, SubmissionResult } from '../../ports/user-api.js';
import { encodeJobView } from '../wire/jobs.js';
import { encodeWorkerCommands } from '../wire/workers.js';

/** What a request is answered. */
export interface HttpAnswer {
  readonly status: number;
  /** Becomes JSON. */
  readonly body: unknown;
}

/** What a worker is answered. */
export interface HeartbeatReply extends HttpAnswer {
  readonly status: 200 | 400 | 421 | 503;
  readonly body: object;
}

/** The status of every answer that asks the client to try again; it goes out with `Retry-After`. */
export const UNAVAILABLE_STATUS = 503;
/** Seconds after which a client that was answered 503 may ask again. */
export const RETRY_AFTER_S = '1';

const ok = (body: unknown): HttpAnswer => ({ status: 200, body });

/** The request itself is wrong. */
export const badRequest = (reason: string): HttpAnswer => ({
  status: 400,
  body: { error: reason },
});

/** What the path names does not exist. */
export const notFound = (reason: string): HttpAnswer => ({ status: 404, body: { error: reason } });

/** Not now: the client asks again. */
export const unavailable = (reason: string): HttpAnswer => ({
  status: UNAVAILABLE_STATUS,
  body: { error: reason },
});

/** An error that no handler caught. Its text is for the log alone. */
export const UNEXPECTED_ERROR = unavailable('fault');
/** No such path is served. */
export const NO_SUCH_PATH = notFound('no such path');
/** The job does not exist, or is not the asking team's. */
export const NO_SUCH_JOB = notFound('no such job');

/** A load balancer's check. */
export const answerHealthCheck = (isReady: boolean): HttpAnswer =>
  isReady ? ok({ ok: true }) : unavailable('starting');

/** A submission: 201 only for a job that was stored by it. */
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

/** A look-up or a cancellation. */
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

/** A team's jobs. */
export const answerList = (result: ListResult): HttpAnswer =>
  result.kind === 'listed'
    ? ok({ jobs: result.jobs.map(encodeJobView) })
    : unavailable(result.reason);

/** Why a job waits; the explanation is told as it is. */
export const answerExplanation = (explanation: unknown): HttpAnswer => ok(explanation);

/** An operator's call; null when no leader answered it. */
export const answerOperatorCall = (answer: OperatorAnswer | null): HttpAnswer =>
  answer ?? unavailable('no leader to ask');

/** A heartbeat that could be read. */
export const answerHeartbeat = (decision: HeartbeatDecision): HeartbeatReply => {
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

/** A heartbeat that cannot be read. */
export const MALFORMED_HEARTBEAT: HeartbeatReply = { status: 400, body: { error: 'malformed' } };
/** A heartbeat whose handling failed. */
export const HEARTBEAT_FAILED: HeartbeatReply = { status: 503, body: { error: 'fault' } };
