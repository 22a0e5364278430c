/** Drains idle and faulty machines, and evicts tasks from machines to be reclaimed. */

import type { CoreState } from '../core-state.js';
import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Machine, Placement } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { updateReservedOnDemandCpus } from '../scheduling/service-reservation.js';
import { addOnDemandSupply, isSupply, machineCpus, measureDemand } from './demand.js';

/** A machine on which tasks of this many jobs have failed counts as faulty. */
const FAULTY_AFTER_FAILED_JOBS = 2;
/** Above this share of draining machines in the fleet, no further faulty one is drained. */
const MAX_DRAINING_SHARE = 0.2;
/** A checkpoint must be complete this long before the machine is reclaimed. */
const RECLAIM_MARGIN_S = 0.5;

const isIdle = (state: CoreState, machine: Machine, now: Instant): boolean =>
  isSupply(machine) &&
  machine.hasReported &&
  machine.placements.size === 0 &&
  now - machine.idleSince >= state.config.policy.scaleInAfterIdleS * 1000;

/**
 * Drains machines that have been idle for the policy's idle time while supply exceeds demand.
 * On-demand machines are drained only beyond the capacity reserved for services that need them.
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
 * Drains a machine on which tasks of several jobs have failed, for replacement once it is empty.
 * Does nothing and returns false if it is not faulty or drains already, or if over a fifth of the
 * fleet drains: failures on that many machines are unlikely to be their fault.
 */
export const drainFaultyMachine = (state: CoreState, machine: Machine, now: Instant): boolean => {
  if (machine.isDraining || machine.failedJobs.size < FAULTY_AFTER_FAILED_JOBS) return false;
  let draining = 0;
  for (const other of state.machines.values()) if (other.isDraining) draining += 1;
  if (draining > Math.max(1, state.machines.size * MAX_DRAINING_SHARE)) return false;
  machine.isDraining = true;
  machine.deleteNotBefore = now;
  return true;
};

/** Excludes replicas, which `evictReplicas` moves once there is capacity elsewhere. */
const isEvictable = (placement: Placement): boolean =>
  occupiesMachine(placement.phase) &&
  !placement.stopRequest &&
  !(placement.job && isService(placement.job));

/** Estimated end of a task, assuming that one that is not running yet starts now. */
const estimatedEnd = ({ job, phase, startedAt }: Placement, now: Instant): number => {
  const estimateMs = (job?.spec.estimateS ?? 0) * 1000;
  return (phase === 'running' && startedAt !== null ? startedAt : now) + estimateMs;
};

/**
 * Requests a stop of tasks that cannot end before the cloud reclaims the machine. Tasks with
 * checkpoints get time to write one; others stop at once and restart elsewhere.
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
