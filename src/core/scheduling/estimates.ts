/** How long attempts should run, and when those that run should end. */
import type { Job, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';

/**
 * An attempt that is being stopped leaves its machine this long after its checkpoint is written.
 */
const STOP_OVERHEAD_MS = 500;
/** An attempt that outlasts its estimate is taken to last this share of the estimate longer. */
const OVERRUN_SHARE = 1 / 4;
/** The least that a running attempt is taken to last, whatever its estimate. */
const MIN_REMAINING_MS = 1000;

/** How long a task of the job should run, in milliseconds: without end for a replica. */
export const estimateRunMs = (job: Job): number =>
  isService(job) ? Number.POSITIVE_INFINITY : job.spec.estimateS * 1000;

/**
 * When an attempt should end by its estimate, as an `Instant`; infinite for a replica. An overrun
 * counts as ending soon.
 */
export const estimateEnd = (placement: Placement, now: Instant): number => {
  const { job, stopRequest } = placement;
  if (stopRequest) {
    const checkpointS = Math.min(stopRequest.graceS, job?.spec.checkpointWriteS ?? 0);
    return now + checkpointS * 1000 + STOP_OVERHEAD_MS;
  }
  const estimateMs = job ? estimateRunMs(job) : 0;
  const end = (placement.startedAt ?? placement.placedAt) + estimateMs;
  return Math.max(end, now + Math.max(MIN_REMAINING_MS, estimateMs * OVERRUN_SHARE));
};
