/** The record of the leader: which controller leads. */
import * as v from 'valibot';

const leaderSchema = v.object({ node: v.string(), life: v.string() });

/** `node`: the controller's name; `life`: its process, which has a new one after each start. */
export type LeaderRecord = v.InferOutput<typeof leaderSchema>;

/** null for a record that cannot be read. */
export const decodeLeader = (value: unknown): LeaderRecord | null => {
  const parsed = v.safeParse(leaderSchema, value);
  return parsed.success ? parsed.output : null;
};
