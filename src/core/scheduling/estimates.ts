/** Estimated run times of tasks, and expected ends of running attempts. */
import type { Job, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';

/** Time from a stopping attempt's checkpoint write until it leaves its machine. */
const STOP_OVERHEAD_MS = 500;
/** The least remaining run time assumed for an attempt, as a share of its estimate. */
const MIN_REMAINING_SHARE = 1 / 4;
/** The least remaining run time assumed for any attempt. */
const MIN_REMAINING_MS = 1000;

/** The estimated run time of a task of the job, in milliseconds; infinite for a replica. */
export const estimateRunMs = (job: Job): number =>
  isService(job) ? Number.POSITIVE_INFINITY : job.spec.estimateS * 1000;

/**
 * When an attempt is expected to end, as an `Instant`; infinite for a replica that is not being
 * stopped. An attempt that overruns its estimate is expected to end soon.
 */
export const estimateEnd = (placement: Placement, now: Instant): number => {
  const { job, stopRequest } = placement;
  if (stopRequest) {
    const checkpointS = Math.min(stopRequest.graceS, job?.spec.checkpointWriteS ?? 0);
    return now + checkpointS * 1000 + STOP_OVERHEAD_MS;
  }
  const estimateMs = job ? estimateRunMs(job) : 0;
  const end = (placement.startedAt ?? placement.placedAt) + estimateMs;
  return Math.max(end, now + Math.max(MIN_REMAINING_MS, estimateMs * MIN_REMAINING_SHARE));
};
