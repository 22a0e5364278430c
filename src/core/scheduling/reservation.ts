/** The head's reservation: what it misses is set aside up to the shadow time. */

import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Job, Placement } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import {
  type FreeCapacity,
  fitsBesideReservation,
  isFeasible,
  reserveShadowCapacity,
  satisfiesZoneConstraints,
} from './capacity.js';
import { estimatedEnd } from './estimates.js';

/** Lets the running attempts end in the order of their estimates until the head's missing tasks fit. */
export const reserveForHead = (
  job: Job,
  missing: number,
  capacities: readonly FreeCapacity[],
  now: Instant,
): number => {
  const allowed = new Set(
    capacities.filter(
      (r) => isFeasible(job, r.machine) && satisfiesZoneConstraints(job, r.machine),
    ),
  );
  // By the second, so that only those seconds are put in order that matter.
  const seconds = new Map<number, { at: number; capacity: FreeCapacity; p: Placement }[]>();
  for (const capacity of capacities) {
    for (const placement of capacity.machine.placements.values()) {
      if (!occupiesMachine(placement.phase)) continue;
      const at = estimatedEnd(placement, now);
      if (at === Number.POSITIVE_INFINITY) continue;
      const second = Math.floor(at / 1000);
      const ends = seconds.get(second);
      if (ends) ends.push({ at, capacity, p: placement });
      else seconds.set(second, [{ at, capacity, p: placement }]);
    }
  }
  let left = missing;
  let shadow = 0;
  for (const second of [...seconds.keys()].sort((a, b) => a - b)) {
    const ends = seconds
      .get(second)!
      .sort((a, b) => a.at - b.at || a.p.entry.attempt - b.p.entry.attempt);
    for (const end of ends) {
      if (left <= 0) return shadow;
      end.capacity.shadowCpus += end.p.entry.cpus;
      end.capacity.shadowGpus += end.p.entry.gpus;
      end.capacity.shadowMemoryGb += end.p.entry.memoryGb;
      if (!allowed.has(end.capacity)) continue;
      while (left > 0 && fitsBesideReservation(job, end.capacity)) {
        reserveShadowCapacity(job, end.capacity);
        left -= 1;
        shadow = end.at;
      }
    }
  }
  return shadow;
};
