/** Eviction of replicas from machines that are being vacated. */

import type { CoreState } from '../core-state.js';
import { failsEverywhere } from '../lifecycle/job-tasks.js';
import type { Instant } from '../model/time.js';
import {
  allocateFreeCapacity,
  type FreeCapacity,
  fitsFreeCapacity,
  isFeasible,
  reserveShadowCapacity,
  satisfiesZoneConstraints,
} from './capacity.js';
import { isBeingVacated, isLiveReplica } from './services.js';
import { type AttemptWithJob, requestStop } from './stop-requests.js';

/**
 * A reclaim notice forces the eviction, and a requested eviction continues; any other needs the
 * consent of all extensions.
 */
const mayEvict = ({ extensions }: CoreState, replica: AttemptWithJob): boolean =>
  replica.machine.reclaimAt !== null ||
  replica.stopRequest !== null ||
  !extensions ||
  extensions.mayEvictReplica(replica);

/** Replicas on machines that are being vacated, of services that may be placed now. */
export const findReplicasToEvict = (state: CoreState, now: Instant): AttemptWithJob[] => {
  const replicas: AttemptWithJob[] = [];
  for (const machine of state.machines.values()) {
    if (!isBeingVacated(machine)) continue;
    for (const placement of machine.placements.values()) {
      if (!isLiveReplica(placement)) continue;
      if (now < placement.job.retryAt || failsEverywhere(placement.job)) continue;
      if (mayEvict(state, placement)) replicas.push(placement);
    }
  }
  return replicas;
};

/**
 * Evicts each replica that fits in another machine's free capacity. Each round reserves
 * capacity until the replica is confirmed to have ended; then its task is placed, ahead of the
 * queue or by rank.
 */
export const evictReplicas = (
  replicas: readonly AttemptWithJob[],
  capacities: readonly FreeCapacity[],
): void => {
  for (const replica of replicas) {
    const { job } = replica;
    const { zone } = replica.machine;
    const target = capacities.find(
      (capacity) =>
        fitsFreeCapacity(job, capacity) &&
        isFeasible(job, capacity.machine) &&
        (capacity.machine.zone === zone || satisfiesZoneConstraints(job, capacity.machine)),
    );
    if (!target) continue;
    allocateFreeCapacity(job, target);
    reserveShadowCapacity(job, target);
    requestStop(replica);
  }
};
