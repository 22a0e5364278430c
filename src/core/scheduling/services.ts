/**
 * What sets services apart in scheduling. A replica has no end that could be estimated, and
 * backfilling lives on estimated ends, so that services have rules of their own: see
 * docs/design.md, "Services", and the modules service-reservation, replica-spreading and
 * replica-eviction.
 */

import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import type { AttemptWithJob } from './stop-requests.js';

/** Whether it is a critical service: its replicas are placed ahead of the queue, others in it. */
export const hasQueuePrecedence = (job: Job): boolean =>
  isService(job) && PRIORITY_LEVEL[job.spec.priority] === PRIORITY_LEVEL.critical;

/** Whether the attempt is a replica of a live service, and may be on its machine or come there. */
export const isLiveReplica = (placement: Placement): placement is AttemptWithJob =>
  placement.job !== null &&
  isService(placement.job) &&
  placement.job.terminalState === 'none' &&
  occupiesMachine(placement.phase);

/** Whether the machine will go or is to be emptied, so that replicas must leave it. */
export const isBeingVacated = (machine: Machine): boolean =>
  (machine.reclaimAt !== null || machine.isDraining || machine.isCordoned) &&
  machine.lostAt === null &&
  !machine.isDeleting;
