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
  for (const m of state.machines.values()) {
    if (!m.spot && countsAsSupply(m)) ordinary += state.types.get(m.type)?.cpus ?? 0;
  }
  for (const m of state.machines.values()) {
    if (spare <= 0) return;
    if (!countsAsSupply(m) || !m.hasReported || m.placements.size > 0) continue;
    if (now - m.idleSince < state.config.policy.scaleInAfterIdleS * 1000) continue;
    const cpus = state.types.get(m.type)?.cpus ?? 0;
    if (cpus > spare || (!m.spot && cpus > ordinary)) continue;
    if (state.extensions && !state.extensions.mayScaleIn(m)) continue;
    spare -= cpus;
    if (!m.spot) ordinary -= cpus;
    m.isDraining = true;
  }
};

/** A machine that fails tasks of several jobs is faulty: no more work for it, then it is replaced. */
export const quarantineFaultyMachine = (state: CoreState, m: Machine, now: Instant): boolean => {
  if (m.isDraining || m.failedJobs.size < 2) return false;
  let drained = 0;
  for (const other of state.machines.values()) if (other.isDraining) drained += 1;
  if (drained > Math.max(1, state.machines.size * 0.2)) return false;
  m.isDraining = true;
  m.deleteNotBefore = now;
  return true;
};

/** A machine about to be taken: tasks that cannot end in time save or start again elsewhere at once. */
export const evictBeforeReclaim = (m: Machine, now: Instant): void => {
  if (m.reclaimAt === null) return;
  const left = m.reclaimAt - now;
  for (const p of m.placements.values()) {
    // Services move once there is room for them elsewhere.
    if (!occupiesMachine(p.phase) || p.stopRequest || (p.job && isService(p.job))) continue;
    const estimate = (p.job?.spec.estimateS ?? 0) * 1000;
    const end =
      p.phase === 'running' && p.startedAt !== null ? p.startedAt + estimate : now + estimate;
    if (end <= now + left) continue;
    const saves = (p.job?.spec.checkpointIntervalS ?? 0) > 0;
    p.stopRequest = { graceS: saves ? Math.max(0, left / 1000 - 0.5) : 0, sentAt: null };
  }
};
