/** The record of a job's completion, which replaces the job record. */
import * as v from 'valibot';
import type { TeamName } from '../../core/model/ids.js';
import type { JobOutcome } from '../../core/model/job.js';
import { brandedString } from './validators.js';

const completionSchema = v.object({
  /** Outcome. */
  o: v.picklist(['done', 'cancelled']),
  /** Number of tasks. */
  n: v.number(),
  /** Team. */
  t: brandedString<TeamName>(),
});

/** Outcome of an ended job, with the fields that its view still has. */
export interface JobCompletion {
  readonly outcome: JobOutcome;
  /** Number of tasks of the job. */
  readonly tasks: number;
  readonly team: TeamName;
}

/** Encodes a completion with its short stored field names. */
export const encodeCompletion = ({
  outcome,
  tasks,
  team,
}: JobCompletion): v.InferInput<typeof completionSchema> => ({ o: outcome, n: tasks, t: team });

/** Returns null if the record is invalid. */
export const decodeCompletion = (value: unknown): JobCompletion | null => {
  const parsed = v.safeParse(completionSchema, value);
  if (!parsed.success) return null;
  const { o: outcome, n: tasks, t: team } = parsed.output;
  return { outcome, tasks, team };
};
