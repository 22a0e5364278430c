/**
 * Codecs for the messages between controllers. Older and newer versions run side by side, so wire
 * names never change, and an answer of an unknown form counts as no answer.
 */
import * as v from 'valibot';
import type { OperatorAnswer } from '../../core/extensions/extension.js';
import { RECOVERING_TEXT } from '../../core/lifecycle/job-view.js';
import type { FencingToken, JobId, NodeId } from '../../core/model/ids.js';
import type { JobView, LookupResult, SubmissionResult } from '../../ports/user-api.js';
import { NO_LEADER_TEXT } from '../jobs/job-views.js';

// ---- jobs ------------------------------------------------------------------------------------

const jobViewSchema = v.object({
  id: v.string(),
  team: v.string(),
  status: v.picklist(['queued', 'running', 'done', 'cancelled']),
  done: v.number(),
  running: v.number(),
  // Optional, because early versions do not send these fields.
  shape: v.optional(v.picklist(['array', 'service'])),
  tasks: v.optional(v.number()),
  waiting: v.optional(v.string()),
});

/** Decodes a job view, or returns null; wire names equal field names, so there is no encoder. */
export const decodeJobView = (answer: unknown): JobView | null => {
  const result = v.safeParse(jobViewSchema, answer);
  return result.success ? (result.output as JobView) : null;
};

/** Earlier versions say `queued` with these texts without knowing whether a task runs. */
const DOUBTFUL_TEXTS: readonly (string | undefined)[] = [NO_LEADER_TEXT, RECOVERING_TEXT];

const isDoubtful = ({ status, waiting }: JobView): boolean =>
  status === 'queued' && DOUBTFUL_TEXTS.includes(waiting);

/** Marks a view that earlier versions would also send without knowing that it is true. */
export const encodeKnownView = (job: JobView): object =>
  isDoubtful(job) ? { ...job, known: true } : job;

const markSchema = v.object({ known: v.literal(true) });

/** Decodes a view that the peer knows to be true; null for any other answer. */
export const decodeKnownView = (answer: unknown): JobView | null => {
  const job = decodeJobView(answer);
  return job && isDoubtful(job) && !v.is(markSchema, answer) ? null : job;
};

/** What the leader knows of a job that is not ended. */
export type LeaderView =
  | { readonly kind: 'viewed'; readonly job: JobView }
  /** The job's record is stored, and no task of it was ever placed. */
  | { readonly kind: 'never-placed' }
  /** The leader answers, but does not know. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unanswered' };

const NEVER_PLACED = 'unplaced';

/** Encodes the leader's view; null if it has none or does not know. */
export const encodeLeaderView = (
  view: JobView | 'never-placed' | 'unknown' | null,
): object | string | null => {
  if (view === 'never-placed') return NEVER_PLACED;
  return view === 'unknown' || view === null ? null : encodeKnownView(view);
};

/** Decodes the leader's view; `undefined` stands for no answer. */
export const decodeLeaderView = (answer: unknown, id: JobId): LeaderView => {
  if (answer === undefined) return { kind: 'unanswered' };
  if (answer === NEVER_PLACED) return { kind: 'never-placed' };
  const job = decodeKnownView(answer);
  return job?.id === id ? { kind: 'viewed', job } : { kind: 'unknown' };
};

const NOT_FOUND = 'absent';
const UNAVAILABLE = 'later';

/** Encodes a look-up result as the job view, or a constant without one. */
export const encodeLookup = (result: LookupResult): object | string => {
  switch (result.kind) {
    case 'found':
      return encodeKnownView(result.job);
    case 'not-found':
      return NOT_FOUND;
    case 'unavailable':
      return UNAVAILABLE;
  }
};

/** Decodes a look-up result; null if unavailable, in doubt, invalid or for another job. */
export const decodeLookup = (answer: unknown, id: JobId): LookupResult | null => {
  if (answer === NOT_FOUND) return { kind: 'not-found' };
  const job = decodeKnownView(answer);
  return job?.id === id ? { kind: 'found', job } : null;
};

/** Wire names of the kinds of submission results. */
const ADMISSION_KINDS = {
  accepted: 'accepted',
  'already-known': 'known',
  malformed: 'malformed',
  infeasible: 'impossible',
  unavailable: 'later',
} as const satisfies Record<SubmissionResult['kind'], string>;

/** Encodes an admission result for the requesting peer. */
export const encodeAdmission = (result: SubmissionResult): object => {
  const kind = ADMISSION_KINDS[result.kind];
  return 'job' in result
    ? { kind, view: encodeKnownView(result.job) }
    : { kind, reason: result.reason };
};

const admissionSchema = v.object({
  kind: v.picklist([ADMISSION_KINDS.accepted, ADMISSION_KINDS['already-known']]),
  view: v.unknown(),
});

/** Decodes an admission result; null unless the job is accepted, now or before, in a known state. */
export const decodeAdmission = (answer: unknown, id: JobId): SubmissionResult | null => {
  const result = v.safeParse(admissionSchema, answer);
  const job = result.success ? decodeKnownView(result.output.view) : null;
  if (!result.success || job?.id !== id) return null;
  const isNew = result.output.kind === ADMISSION_KINDS.accepted;
  return { kind: isNew ? 'accepted' : 'already-known', job };
};

// ---- health ----------------------------------------------------------------------------------

/** Health that a controller reports to its peers. */
export interface PeerHealth {
  /** The controller's last known leader; null if unknown. */
  readonly leader: NodeId | null;
  /** The highest fencing token known to the controller. */
  readonly fencingToken: FencingToken;
  /** Number of workers that it has recently redirected while not leading. */
  readonly redirectedWorkers: number;
  /** Whether the key-value store answers the controller. */
  readonly reachesStore: boolean;
}

const healthSchema = v.object({
  leader: v.nullable(v.string()),
  term: v.pipe(v.number(), v.integer()),
  workers: v.pipe(v.number(), v.integer()),
  state: v.optional(v.boolean(), false),
});

/** Encodes this node's health for a peer. */
export const encodeHealth = (health: PeerHealth): v.InferOutput<typeof healthSchema> => ({
  leader: health.leader,
  term: health.fencingToken,
  workers: health.redirectedWorkers,
  state: health.reachesStore,
});

/** Decodes a peer's health; null if missing or invalid. */
export const decodeHealth = (answer: unknown): PeerHealth | null => {
  const result = v.safeParse(healthSchema, answer);
  if (!result.success) return null;
  const { leader, term, workers, state } = result.output;
  return {
    leader: leader as NodeId | null,
    fencingToken: term as FencingToken,
    redirectedWorkers: workers,
    reachesStore: state,
  };
};

// ---- operators -------------------------------------------------------------------------------

const operatorAnswerSchema = v.object({
  status: v.pipe(v.number(), v.integer(), v.minValue(200), v.maxValue(599)),
  body: v.record(v.string(), v.unknown()),
});

/** Decodes an extension's answer; null if missing or invalid. */
export const decodeOperatorAnswer = (answer: unknown): OperatorAnswer | null => {
  const result = v.safeParse(operatorAnswerSchema, answer);
  return result.success ? result.output : null;
};
