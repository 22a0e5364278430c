/** The record of a job's completion: all that is kept of a job that has ended. */
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

/** How a job ended, with what its status still shows. */
export interface JobCompletion {
  readonly outcome: JobOutcome;
  /** Number of tasks that the job had. */
  readonly tasks: number;
  readonly team: TeamName;
}

/** The stored form of a completion. */
export const encodeCompletion = ({
  outcome,
  tasks,
  team,
}: JobCompletion): v.InferInput<typeof completionSchema> => ({ o: outcome, n: tasks, t: team });

/** null for a record that cannot be read. */
export const decodeCompletion = (value: unknown): JobCompletion | null => {
  const parsed = v.safeParse(completionSchema, value);
  if (!parsed.success) return null;
  const { o: outcome, n: tasks, t: team } = parsed.output;
  return { outcome, tasks, team };
};
