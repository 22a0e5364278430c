/**
 * The codec of records of disruptions, several to a record, as rows without field names: the
 * key-value store bounds the size of a value and the changes in a second.
 */
import type { AttemptId, JobId, TaskIndex, TeamName } from '@robinspread/extension-api';
import * as v from 'valibot';
import type { Disruption } from './disruption.js';
import { countSchema, textSchema } from './record-schemas.js';

/** The prefix of the keys of these records. */
export const DISRUPTIONS_PREFIX = 'b/';

/** The key of a leader's n-th record of disruptions; the fencing token keeps leaders apart. */
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

/** One disruption as it is stored. */
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

/** The record of some disruptions. */
export const encodeDisruptions = (rows: readonly Disruption[]): DisruptionRow[] =>
  rows.map(encodeDisruption);

/** The disruptions of a record; null: it cannot be read. */
export const decodeDisruptions = (key: string, value: unknown): Disruption[] | null => {
  const result = v.safeParse(disruptionsSchema, value);
  if (!result.success) return null;
  return result.output.map((row) => decodeDisruption(key, row));
};
