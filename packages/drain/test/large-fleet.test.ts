/** Guards against work per tick that grows faster than the fleet; counts visits, not time. */
import { describe, expect, it } from 'vitest';
import { CountingMap } from '../../../test/support/counting-map.js';
import { CHECKPOINTING, DrainFleet, machinesInZone } from './support/drain-fleet.js';

const MACHINES = 4000;

describe('a drain of a large fleet', () => {
  it('keeps visits per machine, stored records and the size of answers bounded', () => {
    const fleet = new DrainFleet(machinesInZone(MACHINES));
    const countedMachines = new CountingMap(fleet.state.machines);
    Object.assign(fleet.state, { machines: countedMachines });
    const countWalks = () => {
      const visitedBefore = countedMachines.visited;
      fleet.run(2000);
      return (countedMachines.visited - visitedBefore) / MACHINES / 4;
    };
    const walksWhenIdle = countWalks();

    expect(
      fleet.startDrain('all', { select: { all: true }, atOnceShare: 0.01, replace: false }).status,
    ).toBe(201);
    // Visits of each machine, per 500 ms: a drain adds fewer than 6 to those of the core.
    const walksWhenDraining = countWalks();
    expect(walksWhenDraining - walksWhenIdle).toBeLessThan(6);
    expect([...fleet.store.records.keys()].length).toBeLessThanOrEqual(1 + 40);
    const status = fleet.callOperatorApi('status', 'all').body as { total: number };
    expect(status.total).toBe(MACHINES);
    const plan = fleet.callOperatorApi('plan', '', { select: { all: true }, atOnceShare: 0.01 });
    for (const answer of [status, plan.body])
      expect(JSON.stringify(answer).length).toBeLessThan(60_000);
    fleet.runUntil(() => fleet.cloud.returned.length >= 120);

    expect(fleet.violations).toEqual([]);
  }, 120_000);

  it('checks budgets per decision and job class, not per task', () => {
    const fleet = new DrainFleet(
      machinesInZone(1000),
      '(drain (let-end-s 5) (budgets (team blue (at-once-share 0.01))))',
    );
    for (let i = 0; i < 20; i += 1) fleet.submitJob(`job-${i}`, { ...CHECKPOINTING, tasks: 100 });
    fleet.runUntil(() => fleet.workers.starts.length === 2000);
    const countedJobs = new CountingMap(fleet.state.jobs);
    Object.assign(fleet.state, { jobs: countedJobs });
    const countWalks = () => {
      const visitedBefore = countedJobs.visited;
      fleet.run(2000);
      return (countedJobs.visited - visitedBefore) / 20;
    };
    const walksWhenIdle = countWalks();

    fleet.startDrain('part', { select: { all: true }, atOnceShare: 0.5, replace: false });
    fleet.runUntil(() => fleet.workers.stops.length >= 20);

    // 500 machines with 1,000 tasks are cordoned; walks over the jobs depend on the disruptions
    // granted, not on those requested.
    expect(countWalks() - walksWhenIdle).toBeLessThan(1000);
    expect(fleet.violations).toEqual([]);
  }, 120_000);
});
