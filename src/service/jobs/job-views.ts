/** Views of jobs made from stored records, for nodes that do not hold the leader's state. */
import type { JobId } from '../../core/model/ids.js';
import type { JobSpec } from '../../core/model/job.js';
import type { JobView, LookupResult } from '../../ports/user-api.js';
import type { JobCompletion } from '../stored-records.js';

/** What users are told when neither the leader nor the key-value store answers. */
export const STORE_UNAVAILABLE = {
  kind: 'unavailable',
  reason: 'state service away',
} as const satisfies LookupResult;

/** A job that has ended. */
export const viewOfCompletion = (id: JobId, completion: JobCompletion): JobView => ({
  id,
  team: completion.team,
  status: completion.outcome,
  done: completion.outcome === 'done' ? completion.tasks : 0,
  running: 0,
});

/** A job that is accepted, and of which nothing more is known here. */
export const viewOfAcceptedJob = ({ id, team, shape, tasks }: JobSpec): JobView => ({
  id,
  team,
  shape,
  tasks,
  status: 'queued',
  done: 0,
  running: 0,
});
