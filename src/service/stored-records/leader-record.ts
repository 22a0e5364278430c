/** The record of the current leader. */
import * as v from 'valibot';

const leaderSchema = v.object({ node: v.string(), life: v.string() });

/** `node` is the controller's name; `life` identifies its process and is new after each start. */
export type LeaderRecord = v.InferOutput<typeof leaderSchema>;

/** Returns null if the record is invalid. */
export const decodeLeader = (value: unknown): LeaderRecord | null => {
  const parsed = v.safeParse(leaderSchema, value);
  return parsed.success ? parsed.output : null;
};
