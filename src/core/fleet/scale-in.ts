/** Machines that leave by decision: idle ones, faulty ones, and those that the cloud is about to take. */

import type { CoreState } from '../core-state.js';
import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Machine } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { onDemandCpusForServices } from '../scheduling/services.js';
import { countsAsSupply, measureDemand } from './demand.js';

/** Marks machines that have been idle for long and are not needed. */
export const scaleInIdle = (state: CoreState, now: Instant): void => {
  const need = measureDemand(state, now);
  let spare = need.supply - need.cpus;
  let ordinary = -onDemandCpusForServices(state, now);
  for (const machine of state.machines.values()) {
    if (!machine.spot && countsAsSupply(machine))
      ordinary += state.types.get(machine.type)?.cpus ?? 0;
  }
  for (const machine of state.machines.values()) {
    if (spare <= 0) return;
    if (!countsAsSupply(machine) || !machine.hasReported || machine.placements.size > 0) continue;
    if (now - machine.idleSince < state.config.policy.scaleInAfterIdleS * 1000) continue;
    const cpus = state.types.get(machine.type)?.cpus ?? 0;
    if (cpus > spare || (!machine.spot && cpus > ordinary)) continue;
    if (state.extensions && !state.extensions.mayScaleIn(machine)) continue;
    spare -= cpus;
    if (!machine.spot) ordinary -= cpus;
    machine.isDraining = true;
  }
};

/** A machine that fails tasks of several jobs is faulty: no more work for it, then it is replaced. */
export const quarantineFaultyMachine = (
  state: CoreState,
  machine: Machine,
  now: Instant,
): boolean => {
  if (machine.isDraining || machine.failedJobs.size < 2) return false;
  let drained = 0;
  for (const other of state.machines.values()) if (other.isDraining) drained += 1;
  if (drained > Math.max(1, state.machines.size * 0.2)) return false;
  machine.isDraining = true;
  machine.deleteNotBefore = now;
  return true;
};

/** A machine about to be taken: tasks that cannot end in time save or start again elsewhere at once. */
export const evictBeforeReclaim = (machine: Machine, now: Instant): void => {
  if (machine.reclaimAt === null) return;
  const left = machine.reclaimAt - now;
  for (const placement of machine.placements.values()) {
    // Services move once there is room for them elsewhere.
    if (
      !occupiesMachine(placement.phase) ||
      placement.stopRequest ||
      (placement.job && isService(placement.job))
    )
      continue;
    const estimate = (placement.job?.spec.estimateS ?? 0) * 1000;
    const end =
      placement.phase === 'running' && placement.startedAt !== null
        ? placement.startedAt + estimate
        : now + estimate;
    if (end <= now + left) continue;
    const saves = (placement.job?.spec.checkpointIntervalS ?? 0) > 0;
    placement.stopRequest = { graceS: saves ? Math.max(0, left / 1000 - 0.5) : 0, sentAt: null };
  }
};
