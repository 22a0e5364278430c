/** Machines that leave by decision: idle ones, faulty ones, and those that the cloud reclaims. */

import type { CoreState } from '../core-state.js';
import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Machine, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { updateReservedOnDemandCpus } from '../scheduling/service-reservation.js';
import { addOnDemandSupply, isSupply, machineCpus, measureDemand } from './demand.js';

/** A machine on which tasks of this many jobs failed is faulty itself. */
const FAULTY_AFTER_FAILED_JOBS = 2;
/** With more machines draining, as a share of the fleet, no further one is quarantined. */
const MAX_DRAINING_SHARE = 0.2;
/** A checkpoint before a reclaim must be written this long before the machine goes. */
const RECLAIM_MARGIN_S = 0.5;

const isIdle = (state: CoreState, machine: Machine, now: Instant): boolean =>
  isSupply(machine) &&
  machine.hasReported &&
  machine.placements.size === 0 &&
  now - machine.idleSince >= state.config.policy.scaleInAfterIdleS * 1000;

/**
 * Drains machines that have long been idle, as far as supply exceeds demand. On-demand machines
 * leave only as far as services that need those do not use them.
 */
export const scaleInIdleMachines = (state: CoreState, now: Instant): void => {
  const { suppliedCpus, requiredCpus } = measureDemand(state, now);
  let spareCpus = suppliedCpus - requiredCpus;
  let spareOnDemandCpus = addOnDemandSupply(state, -updateReservedOnDemandCpus(state, now));
  for (const machine of state.machines.values()) {
    if (spareCpus <= 0) return;
    if (!isIdle(state, machine, now)) continue;
    const cpus = machineCpus(state, machine);
    if (cpus > spareCpus || (!machine.spot && cpus > spareOnDemandCpus)) continue;
    if (state.extensions && !state.extensions.mayScaleIn(machine)) continue;
    spareCpus -= cpus;
    if (!machine.spot) spareOnDemandCpus -= cpus;
    machine.isDraining = true;
  }
};

/**
 * Drains a machine that fails tasks of several jobs; it is replaced once it is empty. No more than
 * a fifth of the fleet: failures on more are unlikely to be the machines' fault.
 */
export const quarantineFaultyMachine = (
  state: CoreState,
  machine: Machine,
  now: Instant,
): boolean => {
  if (machine.isDraining || machine.failedJobs.size < FAULTY_AFTER_FAILED_JOBS) return false;
  let draining = 0;
  for (const other of state.machines.values()) if (other.isDraining) draining += 1;
  if (draining > Math.max(1, state.machines.size * MAX_DRAINING_SHARE)) return false;
  machine.isDraining = true;
  machine.deleteNotBefore = now;
  return true;
};

/** Services are left out: they move once there is capacity for them elsewhere. */
const isEvictable = (placement: Placement): boolean =>
  occupiesMachine(placement.phase) &&
  !placement.stopRequest &&
  !(placement.job && isService(placement.job));

/** When a task ends by its estimate, if it runs on or starts now. */
const estimatedEnd = ({ job, phase, startedAt }: Placement, now: Instant): number => {
  const estimateMs = (job?.spec.estimateS ?? 0) * 1000;
  return (phase === 'running' && startedAt !== null ? startedAt : now) + estimateMs;
};

/**
 * On a machine that the cloud is about to reclaim: tasks that cannot end in time write a
 * checkpoint, or stop at once to start again elsewhere.
 */
export const evictBeforeReclaim = (machine: Machine, now: Instant): void => {
  if (machine.reclaimAt === null) return;
  const remainingMs = machine.reclaimAt - now;
  for (const placement of machine.placements.values()) {
    if (!isEvictable(placement) || estimatedEnd(placement, now) <= now + remainingMs) continue;
    const writesCheckpoints = (placement.job?.spec.checkpointIntervalS ?? 0) > 0;
    placement.stopRequest = {
      graceS: writesCheckpoints ? Math.max(0, remainingMs / 1000 - RECLAIM_MARGIN_S) : 0,
      sentAt: null,
    };
  }
};
