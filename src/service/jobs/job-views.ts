/** Job views built from stored records, for nodes without the leader's state. */
import type { JobId } from '../../core/model/ids.js';
import type { JobSpec } from '../../core/model/job.js';
import type { JobView, LookupResult } from '../../ports/user-api.js';
import type { JobCompletion } from '../stored-records.js';

/** Result when neither the leader nor the key-value store answers. */
export const STORE_UNAVAILABLE = {
  kind: 'unavailable',
  reason: 'state service away',
} as const satisfies LookupResult;

/** Result when no controller knows whether a task of the unfinished job runs. */
export const PROGRESS_UNKNOWN = {
  kind: 'unavailable',
  reason: 'not known now whether its tasks run',
} as const satisfies LookupResult;

/** What a view says of the wait of a job that the leader did not describe. */
export const NO_LEADER_TEXT = 'no leader to ask';

/** View of an ended job; `done` is 0 after a cancellation, as the number is not stored. */
export const viewOfCompletion = (id: JobId, completion: JobCompletion): JobView => ({
  id,
  team: completion.team,
  status: completion.outcome,
  done: completion.outcome === 'done' ? completion.tasks : 0,
  running: 0,
});

/** View of an accepted job of which no task runs or has ended. */
export const viewOfAcceptedJob = ({ id, team, shape, tasks }: JobSpec): JobView => ({
  id,
  team,
  shape,
  tasks,
  status: 'queued',
  done: 0,
  running: 0,
});
