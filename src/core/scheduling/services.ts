/**
 * Predicates on services and replicas. Backfilling depends on estimated ends and a replica has
 * none, so services have their own rules: see docs/design.md, "Services", and the modules
 * service-reservation, replica-spreading and replica-eviction.
 */

import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import type { AttemptWithJob } from './stop-requests.js';

/**
 * Whether the job is a critical service: its replicas are placed ahead of the queue, those of other
 * services by rank.
 */
export const hasQueuePrecedence = (job: Job): boolean =>
  isService(job) && PRIORITY_LEVEL[job.spec.priority] === PRIORITY_LEVEL.critical;

/** Whether the attempt is a replica of an unfinished service and has not ended. */
export const isLiveReplica = (placement: Placement): placement is AttemptWithJob =>
  placement.job !== null &&
  isService(placement.job) &&
  placement.job.terminalState === 'none' &&
  occupiesMachine(placement.phase);

/** Whether the machine is being reclaimed, drained or cordoned, so that replicas must leave it. */
export const isBeingVacated = (machine: Machine): boolean =>
  (machine.reclaimAt !== null || machine.isDraining || machine.isCordoned) &&
  machine.lostAt === null &&
  !machine.isDeleting;
