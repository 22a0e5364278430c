/** What a controller offers to users: submission, queries and cancellation of jobs. */
import type { JobId, TeamName } from '../core/model/ids.js';
import type { JobOutcome, JobShape, JobSpec } from '../core/model/job.js';

/** What users and peers are told of a job. */
export interface JobView {
  readonly id: JobId;
  readonly team: TeamName;
  /** Absent where only the job's end, or a record that cannot be read, is left of it. */
  readonly shape?: JobShape | undefined;
  /** Its tasks, or the replicas it wants. */
  readonly tasks?: number | undefined;
  readonly status: 'queued' | 'running' | JobOutcome;
  /** Tasks that are done. */
  readonly done: number;
  /** Tasks that run at this moment. */
  readonly running: number;
  /** Why it waits, in words. */
  readonly waiting?: string;
}

/** The job to submit, or what is wrong with the body that came in its place. */
export type SubmissionRequest = JobSpec | { readonly fault: string };

/** Why a submission is refused for good. */
export type SubmissionRefusal =
  /** The body is not a job. */
  | { readonly kind: 'malformed'; readonly reason: string }
  /** The job could never run on this cluster. */
  | { readonly kind: 'infeasible'; readonly reason: string };

/** How a submission ended. */
export type SubmissionResult =
  /** Stored just now. */
  | { readonly kind: 'accepted'; readonly job: JobView }
  /** Its id was accepted before, whatever the body says now. */
  | { readonly kind: 'already-known'; readonly job: JobView }
  | SubmissionRefusal
  /** Nothing is known to be stored: the user asks again. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** What is known of a job. `not-found` is said only on the word of the key-value store. */
export type LookupResult =
  | { readonly kind: 'found'; readonly job: JobView }
  | { readonly kind: 'not-found' }
  /** Neither the leader nor the key-value store answered: the user asks again. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Why a job waits. */
export type ExplainResult =
  /** The explanation as the leader gives it; its fields are those of the HTTP answer. */
  | { readonly kind: 'explained'; readonly explanation: unknown }
  /** No leader knows the job as unfinished: its state is all there is to tell. */
  | { readonly kind: 'unexplained' };

/** A team's unfinished jobs. */
export type ListResult =
  | { readonly kind: 'listed'; readonly jobs: readonly JobView[] }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Answers users' requests, at any controller. */
export interface UserApi {
  /** Accepts a job once it is stored; idempotent by the job's id. */
  submit(id: JobId, request: SubmissionRequest): Promise<SubmissionResult>;
  lookUp(id: JobId): Promise<LookupResult>;
  explain(id: JobId): Promise<ExplainResult>;
  list(team: TeamName): Promise<ListResult>;
  /** Found as `cancelled` only once that is stored; idempotent. */
  cancel(id: JobId): Promise<LookupResult>;
}
