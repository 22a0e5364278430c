/** Requests to stop an attempt, with a grace period for writing a checkpoint. */

import type { Job, Placement } from '../model/entities.js';

/** An attempt whose job is known and unfinished. */
export type AttemptWithJob = Placement & { readonly job: Job };

/** Seconds beyond the nominal time of a checkpoint write, so that a slow write still ends. */
const CHECKPOINT_WRITE_MARGIN_S = 5;

/** Requests a stop, unless one is requested already; the task is requeued once the attempt ends. */
export const requestStop = (attempt: AttemptWithJob): void => {
  const { checkpointIntervalS, checkpointWriteS } = attempt.job.spec;
  attempt.stopRequest ??= {
    graceS: checkpointIntervalS > 0 ? checkpointWriteS + CHECKPOINT_WRITE_MARGIN_S : 0,
    sentAt: null,
  };
};
