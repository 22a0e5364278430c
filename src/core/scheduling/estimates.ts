/** How long attempts should run, and when those that run should end. */
import type { Job, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';

/** How long a task of the job should run; a replica runs until its service is cancelled. */
export const runMs = (job: Job): number =>
  isService(job) ? Number.POSITIVE_INFINITY : job.spec.estimateS * 1000;

/** When a running attempt should end by its estimate; an overrun counts as ending soon. */
export const estimatedEnd = (placement: Placement, now: Instant): number => {
  const estimate = placement.job ? runMs(placement.job) : 0;
  // A task that is being stopped ends once it has saved.
  if (placement.stopRequest)
    return (
      now +
      Math.min(placement.stopRequest.graceS, placement.job?.spec.checkpointWriteS ?? 0) * 1000 +
      500
    );
  const end = (placement.startedAt ?? placement.placedAt) + estimate;
  return Math.max(end, now + Math.max(1000, estimate / 4));
};
