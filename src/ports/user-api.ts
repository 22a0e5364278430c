/** The port for users: submission, queries and cancellation of jobs. */
import type { JobId, TeamName } from '../core/model/ids.js';
import type { JobOutcome, JobShape, JobSpec } from '../core/model/job.js';

/** A job as reported to users and peers. */
export interface JobView {
  readonly id: JobId;
  readonly team: TeamName;
  /** Absent if only a completion or an unreadable record is stored. */
  readonly shape?: JobShape | undefined;
  /** Number of tasks, or desired replicas of a service. */
  readonly tasks?: number | undefined;
  readonly status: 'queued' | 'running' | JobOutcome;
  /** Number of completed tasks. */
  readonly done: number;
  /** Number of running tasks. */
  readonly running: number;
  /** Why the job waits, as text for the user. */
  readonly waiting?: string;
}

/** The job to submit, or a text that names the first invalid field of the request body. */
export type SubmissionRequest = JobSpec | { readonly error: string };

/** Why a submission is permanently rejected. */
export type SubmissionRefusal =
  /** The body is not a valid job. */
  | { readonly kind: 'malformed'; readonly reason: string }
  /** The job could never run on this cluster. */
  | { readonly kind: 'infeasible'; readonly reason: string };

/** Result of a submission, which the user may always repeat safely. */
export type SubmissionResult =
  /** This submission has stored the job. */
  | { readonly kind: 'accepted'; readonly job: JobView }
  /** The id was accepted before, whatever the body of this request. */
  | { readonly kind: 'already-known'; readonly job: JobView }
  | SubmissionRefusal
  /** The job is not known to be stored; the user must retry. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Result of a job look-up; `not-found` only if the key-value store confirms it. */
export type LookupResult =
  | { readonly kind: 'found'; readonly job: JobView }
  | { readonly kind: 'not-found' }
  /** Neither the leader nor the key-value store answered; the user must retry. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Why a job waits. */
export type ExplainResult =
  /** The leader's explanation, with the fields of the HTTP response. */
  | { readonly kind: 'explained'; readonly explanation: unknown }
  /** No leader lists the job as unfinished; only its state can be reported. */
  | { readonly kind: 'unexplained' };

/** A team's unfinished jobs. */
export type ListResult =
  | { readonly kind: 'listed'; readonly jobs: readonly JobView[] }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Answers users' requests on any controller. */
export interface UserApi {
  /** Stores a job; idempotent by job id. */
  submit(id: JobId, request: SubmissionRequest): Promise<SubmissionResult>;
  lookUp(id: JobId): Promise<LookupResult>;
  explain(id: JobId): Promise<ExplainResult>;
  list(team: TeamName): Promise<ListResult>;
  /** Cancels a job. Returns it as `cancelled` only once that is stored; idempotent. */
  cancel(id: JobId): Promise<LookupResult>;
}
