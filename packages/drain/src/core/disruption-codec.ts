/**
 * Codec of disruption records. A record holds several disruptions as rows without field names,
 * since the key-value store limits the size of a value and the rate of writes.
 */
import type { AttemptId, JobId, TaskIndex, TeamName } from '@robinspread/extension-api';
import * as v from 'valibot';
import type { Disruption } from './disruption.js';
import { countSchema, textSchema } from './record-schemas.js';

/** The key prefix of disruption records. */
export const DISRUPTIONS_PREFIX = 'b/';

/** The key of a leader's n-th record; the fencing token makes it unique. */
export const disruptionsKey = (fencingToken: number, n: number): string =>
  `${DISRUPTIONS_PREFIX}${fencingToken}-${n}`;

const disruptionSchema = v.tuple([
  textSchema,
  countSchema,
  countSchema,
  v.string(),
  v.string(),
  v.number(),
  v.boolean(),
]);
const disruptionsSchema = v.array(disruptionSchema);

type DisruptionRow = [
  job: string,
  index: number,
  attempt: number,
  team: string,
  jobClass: string,
  startedAt: number,
  isVoluntary: boolean,
];

const encodeDisruption = (disruption: Disruption): DisruptionRow => [
  disruption.job,
  disruption.index,
  disruption.attempt,
  disruption.team,
  disruption.jobClass,
  disruption.startedAt,
  disruption.isVoluntary,
];

const decodeDisruption = (recordKey: string, row: DisruptionRow): Disruption => {
  const [job, index, attempt, team, jobClass, startedAt, isVoluntary] = row;
  return {
    job: job as JobId,
    index: index as TaskIndex,
    attempt: attempt as AttemptId,
    team: team as TeamName,
    jobClass,
    startedAt,
    isVoluntary,
    phase: isVoluntary ? 'granted' : 'stopped',
    recordKey,
    grantedAt: null,
    isInherited: true,
  };
};

/** Encodes disruptions as the value of one record. */
export const encodeDisruptions = (disruptions: readonly Disruption[]): DisruptionRow[] =>
  disruptions.map(encodeDisruption);

/** Decodes the disruptions of a record; null if it is malformed. */
export const decodeDisruptions = (key: string, value: unknown): Disruption[] | null => {
  const result = v.safeParse(disruptionsSchema, value);
  if (!result.success) return null;
  return result.output.map((row) => decodeDisruption(key, row));
};
