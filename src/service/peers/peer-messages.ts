/**
 * The messages between controllers: between their names on the link and those used inside. Older
 * and newer versions run side by side, so that the names on the link never change, and an answer of
 * an unknown form counts as none.
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
  // The first version does not send these.
  shape: v.optional(v.picklist(['array', 'service'])),
  tasks: v.optional(v.number()),
  waiting: v.optional(v.string()),
});

/** A peer's view of a job. Views travel under their inner names, so that there is no encoder. */
export const decodeJobView = (answer: unknown): JobView | null => {
  const result = v.safeParse(jobViewSchema, answer);
  return result.success ? (result.output as JobView) : null;
};

const NOT_FOUND = 'absent';
const UNAVAILABLE = 'later';

/** A look-up as it goes over the link: the view itself, or one of two words. */
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

/** A peer's look-up of the job, or null when it says nothing of use. */
export const decodeLookup = (answer: unknown, id: JobId): LookupResult | null => {
  if (answer === NOT_FOUND) return { kind: 'not-found' };
  const job = decodeJobView(answer);
  return job?.id === id ? { kind: 'found', job } : null;
};

/** Kinds of submission results on the link. */
const ADMISSION_KINDS = {
  accepted: 'accepted',
  'already-known': 'known',
  malformed: 'malformed',
  infeasible: 'impossible',
  unavailable: 'later',
} as const satisfies Record<SubmissionResult['kind'], string>;

/** An admission as it goes over the link. */
export const encodeAdmission = (result: SubmissionResult): object => {
  const kind = ADMISSION_KINDS[result.kind];
  return 'job' in result ? { kind, view: result.job } : { kind, reason: result.reason };
};

const admissionSchema = v.object({
  kind: v.picklist([ADMISSION_KINDS.accepted, ADMISSION_KINDS['already-known']]),
  view: jobViewSchema,
});

/** A peer's admission of the job, or null when it did not admit it. */
export const decodeAdmission = (answer: unknown, id: JobId): SubmissionResult | null => {
  const result = v.safeParse(admissionSchema, answer);
  if (!result.success || result.output.view.id !== id) return null;
  const { kind, view } = result.output;
  const isNew = kind === ADMISSION_KINDS.accepted;
  return { kind: isNew ? 'accepted' : 'already-known', job: view as JobView };
};

// ---- health ----------------------------------------------------------------------------------

/** What a controller tells its peers of itself. */
export interface PeerHealth {
  /** Who leads, as far as it knows. */
  readonly leader: NodeId | null;
  /** The highest fencing token it has heard of. */
  readonly fencingToken: FencingToken;
  /** How many workers have lately turned to it while it did not lead. */
  readonly redirectedWorkers: number;
  /** The key-value store answers it. */
  readonly reachesStore: boolean;
}

const healthSchema = v.object({
  leader: v.nullable(v.string()),
  term: v.pipe(v.number(), v.integer()),
  workers: v.pipe(v.number(), v.integer()),
  state: v.optional(v.boolean(), false),
});

/** A node's health as it goes over the link. */
export const encodeHealth = (health: PeerHealth): v.InferOutput<typeof healthSchema> => ({
  leader: health.leader,
  term: health.fencingToken,
  workers: health.redirectedWorkers,
  state: health.reachesStore,
});

/** A peer's health, or null when it does not tell it. */
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

/** An extension's answer that the leader passes back under its inner names, or null. */
export const decodeOperatorAnswer = (answer: unknown): OperatorAnswer | null => {
  const result = v.safeParse(operatorAnswerSchema, answer);
  return result.success ? result.output : null;
};
