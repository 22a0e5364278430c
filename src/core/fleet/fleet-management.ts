/**
 * One tick of the fleet: what is lost, must leave or is idle, then what to delete and provision.
 * Each step sees what those before it have marked.
 */

import type { CoreState } from '../core-state.js';
import type { Effect } from '../model/effect.js';
import type { Instant } from '../model/time.js';
import { planDeletions } from './deletions.js';
import { detectLostMachines } from './loss-detection.js';
import { evictBeforeReclaim, scaleInIdleMachines } from './scale-in.js';
import { planScaleOut } from './scale-out.js';

/** Manages the fleet once; the effects delete and provision machines. */
export const manageFleet = (state: CoreState, now: Instant): Effect[] => {
  detectLostMachines(state, now);
  for (const machine of state.machines.values()) evictBeforeReclaim(machine, now);
  scaleInIdleMachines(state, now);
  return [...planDeletions(state, now), ...planScaleOut(state, now)];
};
