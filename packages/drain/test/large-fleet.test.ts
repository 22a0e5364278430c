/** Drains of large fleets, with the work counted. */
import { describe, expect, it } from 'vitest';
import { CountingMap } from '../../../test/support/counting-map.js';
import { CHECKPOINTING, DrainFleet, machinesInZone } from './support/drain-fleet.js';

const FLEET = 4000;

describe('a drain of 4,000 machines', () => {
  it('visits each machine a bounded number of times, keeps few records and answers within a line', () => {
    const fleet = new DrainFleet(machinesInZone(FLEET));
    const counting = new CountingMap(fleet.state.machines);
    Object.assign(fleet.state, { machines: counting });
    const countWalks = () => {
      const before = counting.visited;
      fleet.run(2000);
      return (counting.visited - before) / FLEET / 4;
    };
    const idle = countWalks();

    expect(
      fleet.startDrain('all', { select: { all: true }, atOnceShare: 0.01, replace: false }).status,
    ).toBe(201);
    // Walks over the fleet for each tick: a drain adds few to those of the daemon itself.
    const draining = countWalks();
    expect(draining - idle).toBeLessThan(6);
    expect([...fleet.store.records.keys()].length).toBeLessThanOrEqual(1 + 40);
    const told = fleet.callOperatorApi('status', 'all').body as { total: number };
    expect(told.total).toBe(FLEET);
    const plan = fleet.callOperatorApi('plan', '', { select: { all: true }, atOnceShare: 0.01 });
    for (const answer of [told, plan.body])
      expect(JSON.stringify(answer).length).toBeLessThan(60_000);
    fleet.runUntil(() => fleet.cloud.returned.length >= 120);

    expect(fleet.violations).toEqual([]);
  }, 120_000);

  it('asks the budgets once a decision for each job class, whatever the number of tasks', () => {
    const fleet = new DrainFleet(
      machinesInZone(1000),
      '(drain (let-end-s 5) (budgets (team blue (at-once-share 0.01))))',
    );
    for (let i = 0; i < 20; i += 1) fleet.submitJob(`job-${i}`, { ...CHECKPOINTING, tasks: 100 });
    fleet.runUntil(() => fleet.workers.starts.length === 2000);
    const counting = new CountingMap(fleet.state.jobs);
    Object.assign(fleet.state, { jobs: counting });
    const countWalks = () => {
      const before = counting.visited;
      fleet.run(2000);
      return (counting.visited - before) / 20;
    };
    const idle = countWalks();

    fleet.startDrain('part', { select: { all: true }, atOnceShare: 0.5, replace: false });
    fleet.runUntil(() => fleet.workers.stops.length >= 20);

    // 500 machines with 1,000 tasks are cordoned; walks over the jobs follow what is granted,
    // not what asks.
    expect(countWalks() - idle).toBeLessThan(1000);
    expect(fleet.violations).toEqual([]);
  }, 120_000);
});
