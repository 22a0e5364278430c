/** Machines that leave by decision: idle ones, faulty ones, and those that the cloud is about to take. */
import { occupies } from '../lifecycle/attempts.js';
import { ordinaryNeed } from '../scheduling/services.js';
import type { CoreState, Machine } from '../state.js';
import { type Instant, isService } from '../types.js';
import { counted, measure } from './demand.js';

/** Marks machines that have been idle for long and are not needed. */
export const returnIdle = (state: CoreState, now: Instant): void => {
  const need = measure(state, now);
  let spare = need.supply - need.cpus;
  let ordinary = -ordinaryNeed(state, now);
  for (const m of state.machines.values()) {
    if (!m.spot && counted(m)) ordinary += state.types.get(m.type)?.cpus ?? 0;
  }
  for (const m of state.machines.values()) {
    if (spare <= 0) return;
    if (!counted(m) || !m.everSeen || m.placements.size > 0) continue;
    if (now - m.idleSince < state.config.policy.idleReturnS * 1000) continue;
    const cpus = state.types.get(m.type)?.cpus ?? 0;
    if (cpus > spare || (!m.spot && cpus > ordinary)) continue;
    if (state.extensions && !state.extensions.mayReturn(m)) continue;
    spare -= cpus;
    if (!m.spot) ordinary -= cpus;
    m.draining = true;
  }
};

/** A machine that fails tasks of several jobs is faulty: no more work for it, then it is replaced. */
export const quarantine = (state: CoreState, m: Machine, now: Instant): boolean => {
  if (m.draining || m.failedJobs.size < 2) return false;
  let drained = 0;
  for (const other of state.machines.values()) if (other.draining) drained += 1;
  if (drained > Math.max(1, state.machines.size * 0.2)) return false;
  m.draining = true;
  m.deleteAfter = now;
  return true;
};

/** A machine about to be taken: tasks that cannot end in time save or start again elsewhere at once. */
export const drainNoticed = (m: Machine, now: Instant): void => {
  if (m.noticeUntil === null) return;
  const left = m.noticeUntil - now;
  for (const p of m.placements.values()) {
    // Services move once there is room for them elsewhere.
    if (!occupies(p.phase) || p.kill || (p.job && isService(p.job))) continue;
    const estimate = (p.job?.spec.estimateS ?? 0) * 1000;
    const end =
      p.phase === 'running' && p.startedAt !== null ? p.startedAt + estimate : now + estimate;
    if (end <= now + left) continue;
    const saves = (p.job?.spec.checkpointS ?? 0) > 0;
    p.kill = { graceS: saves ? Math.max(0, left / 1000 - 0.5) : 0, sentAt: null };
  }
};
