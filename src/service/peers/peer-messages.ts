/**
 * Codecs for the messages between controllers. Older and newer versions run side by side, so wire
 * names never change, and an answer of an unknown form counts as no answer.
 */
import * as v from 'valibot';
import type { OperatorAnswer } from '../../core/extensions/extension.js';
import type { FencingToken, JobId, NodeId } from '../../core/model/ids.js';
import type { JobView, LookupResult, SubmissionResult } from '../../ports/user-api.js';

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

const NOT_FOUND = 'absent';
const UNAVAILABLE = 'later';

/** Encodes a look-up result as the job view, or a constant without one. */
export const encodeLookup = (result: LookupResult): JobView | string => {
  switch (result.kind) {
    case 'found':
      return result.job;
    case 'not-found':
      return NOT_FOUND;
    case 'unavailable':
      return UNAVAILABLE;
  }
};

/** Decodes a look-up result; null if unavailable, invalid or for another job. */
export const decodeLookup = (answer: unknown, id: JobId): LookupResult | null => {
  if (answer === NOT_FOUND) return { kind: 'not-found' };
  const job = decodeJobView(answer);
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
  return 'job' in result ? { kind, view: result.job } : { kind, reason: result.reason };
};

const admissionSchema = v.object({
  kind: v.picklist([ADMISSION_KINDS.accepted, ADMISSION_KINDS['already-known']]),
  view: jobViewSchema,
});

/** Decodes an admission result; null unless the job is accepted, now or before. */
export const decodeAdmission = (answer: unknown, id: JobId): SubmissionResult | null => {
  const result = v.safeParse(admissionSchema, answer);
  if (!result.success || result.output.view.id !== id) return null;
  const { kind, view } = result.output;
  const isNew = kind === ADMISSION_KINDS.accepted;
  return { kind: isNew ? 'accepted' : 'already-known', job: view as JobView };
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
