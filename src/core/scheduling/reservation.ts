/** The queue head's reservation of capacity for its unplaced tasks at the shadow time. */

import { occupiesMachine } from '../lifecycle/attempts.js';
import type { Job, Placement } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import {
  type FreeCapacity,
  fitsShadowCapacity,
  isFeasible,
  reserveShadowCapacity,
  satisfiesZoneConstraints,
} from './capacity.js';
import { estimateEnd } from './estimates.js';

/** When an attempt is expected to release its machine's capacity. */
interface ExpectedEnd {
  readonly endsAt: number;
  readonly capacity: FreeCapacity;
  readonly placement: Placement;
}

/** Resets the shadow capacity to the free capacity. */
const resetShadowCapacities = (capacities: readonly FreeCapacity[]): void => {
  for (const capacity of capacities) {
    capacity.shadowCpus = capacity.cpus;
    capacity.shadowGpus = capacity.gpus;
    capacity.shadowMemoryGb = capacity.memoryGb;
  }
};

/** The expected ends by second, so that only those of the seconds reached are sorted. */
const collectExpectedEnds = (
  capacities: readonly FreeCapacity[],
  now: Instant,
): Map<number, ExpectedEnd[]> => {
  const endsBySecond = new Map<number, ExpectedEnd[]>();
  for (const capacity of capacities) {
    for (const placement of capacity.machine.placements.values()) {
      if (!occupiesMachine(placement.phase)) continue;
      const endsAt = estimateEnd(placement, now);
      if (endsAt === Number.POSITIVE_INFINITY) continue;
      const second = Math.floor(endsAt / 1000);
      const ends = endsBySecond.get(second);
      if (ends) ends.push({ endsAt, capacity, placement });
      else endsBySecond.set(second, [{ endsAt, capacity, placement }]);
    }
  }
  return endsBySecond;
};

const compareEnds = (a: ExpectedEnd, b: ExpectedEnd): number =>
  a.endsAt - b.endsAt || a.placement.entry.attempt - b.placement.entry.attempt;

const releaseShadowCapacity = ({ capacity, placement }: ExpectedEnd): void => {
  capacity.shadowCpus += placement.entry.cpus;
  capacity.shadowGpus += placement.entry.gpus;
  capacity.shadowMemoryGb += placement.entry.memoryGb;
};

/**
 * Reserves capacity for the head's unplaced tasks: goes through the expected ends of attempts in
 * order until all fit. Returns the shadow time: the expected end by which all tasks that can fit
 * do, or null if none can.
 */
export const reserveForHead = (
  head: Job,
  unplacedTasks: number,
  capacities: readonly FreeCapacity[],
  now: Instant,
): Instant | null => {
  resetShadowCapacities(capacities);
  const feasible = new Set(
    capacities.filter(
      ({ machine }) => isFeasible(head, machine) && satisfiesZoneConstraints(head, machine),
    ),
  );
  const endsBySecond = collectExpectedEnds(capacities, now);
  let remaining = unplacedTasks;
  let shadowTime: Instant | null = null;
  for (const second of [...endsBySecond.keys()].sort((a, b) => a - b)) {
    const ends = endsBySecond.get(second) ?? [];
    for (const end of ends.sort(compareEnds)) {
      if (remaining <= 0) return shadowTime;
      releaseShadowCapacity(end);
      if (!feasible.has(end.capacity)) continue;
      while (remaining > 0 && fitsShadowCapacity(head, end.capacity)) {
        reserveShadowCapacity(head, end.capacity);
        remaining -= 1;
        shadowTime = end.endsAt as Instant;
      }
    }
  }
  return shadowTime;
};
