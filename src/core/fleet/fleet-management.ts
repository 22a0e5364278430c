/**
 * One tick of fleet management: loss detection, eviction before reclaims, scale-in, deletions and
 * scale-out. Steps rely on the marks that earlier steps set on machines.
 */

import type { CoreState } from '../core-state.js';
import type { Effect } from '../model/effect.js';
import type { Instant } from '../model/time.js';
import { planDeletions } from './deletions.js';
import { detectLostMachines } from './loss-detection.js';
import { evictBeforeReclaim, scaleInIdleMachines } from './scale-in.js';
import { planScaleOut } from './scale-out.js';

/** Returns the effects that delete and provision machines. */
export const manageFleet = (state: CoreState, now: Instant): Effect[] => {
  detectLostMachines(state, now);
  for (const machine of state.machines.values()) evictBeforeReclaim(machine, now);
  scaleInIdleMachines(state, now);
  return [...planDeletions(state, now), ...planScaleOut(state, now)];
};
