/** Asking a running attempt to leave its machine, with time to write a checkpoint. */

import type { Job, Placement } from '../model/entities.js';

/** An attempt whose job is known and not over. */
export type AttemptWithJob = Placement & { readonly job: Job };

/** Seconds beyond the nominal time of a checkpoint write, so that a slow write still ends. */
const CHECKPOINT_WRITE_MARGIN_S = 5;

/** Requests that the attempt stops, unless that is requested already; the task then waits again. */
export const requestStop = (attempt: AttemptWithJob): void => {
  const { checkpointIntervalS, checkpointWriteS } = attempt.job.spec;
  attempt.stopRequest ??= {
    graceS: checkpointIntervalS > 0 ? checkpointWriteS + CHECKPOINT_WRITE_MARGIN_S : 0,
    sentAt: null,
  };
};
