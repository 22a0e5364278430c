/** Drains while leaders end, services are out, and the machines that are drained get into trouble. */
import { describe, expect, it } from 'vitest';
import { CHECKPOINTING, DrainFleet, inZone } from './support/drain-fleet.js';

const BUDGET_1 = '(drain (let-end-s 5) (ready-timeout-s 60) (budgets (team blue (at-once 1))))';

/** Two machines, each with a task that saves, to be replaced one by one. */
const begun = (settings = BUDGET_1, cloudUnavailable = false): DrainFleet => {
  const fleet = new DrainFleet(inZone(2), settings);
  fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 2 });
  fleet.run(4000);
  fleet.faults.cloudUnavailable = cloudUnavailable;
  expect(fleet.start('swap', { select: { all: true } }).status).toBe(201);
  return fleet;
};

/** Every machine was returned once, replaced once, and no task was lost, doubled or stopped more often than drained. */
const expectWhole = (fleet: DrainFleet, hires = 2): void => {
  expect(fleet.problems).toEqual([]);
  expect(fleet.cloud.returned.filter((id) => id < 'n-0002').sort()).toEqual(['n-0000', 'n-0001']);
  const names = [...fleet.cloud.provisioned.keys()].filter((name) => name.startsWith('drain-'));
  expect(names, [...fleet.cloud.provisioned].join(' ')).toHaveLength(hires);
  fleet.run(5000);
  for (const name of ['job-1/0', 'job-1/1']) expect(fleet.holderOf(name), name).not.toBeNull();
  expect(fleet.status('swap')).toMatchObject({ status: 'done', returned: 2, failed: 0 });
};

const writesOfAll = (): number => {
  const fleet = begun();
  fleet.until(() => fleet.drainPhase('swap') === 'done');
  expectWhole(fleet);
  return fleet.store.writes.length;
};

describe('a leader that ends', () => {
  it('between any two changes of a drain is followed by one that goes on at the same step', () => {
    const all = writesOfAll();
    expect(all).toBeGreaterThan(12);
    for (let write = 2; write <= all; write += 1) {
      for (const endLeaderAfterWrite of [false, true]) {
        const fleet = begun();
        Object.assign(fleet.faults, { endLeaderAtWrite: write, endLeaderAfterWrite });
        const mostOpen = () => {
          const open = ['job-1/0', 'job-1/1'].filter((name) => fleet.holderOf(name) === null);
          expect(open.length, `write ${write}`).toBeLessThanOrEqual(1);
        };
        fleet.until(() => {
          mostOpen();
          return fleet.hasLeaderEnded || fleet.drainPhase('swap') === 'done';
        });
        fleet.faults.endLeaderAtWrite = 0;
        if (fleet.hasLeaderEnded) {
          fleet.run(2000);
          fleet.failOver();
        }
        fleet.until(() => {
          mostOpen();
          return fleet.drainPhase('swap') === 'done';
        });
        expectWhole(fleet);
      }
    }
  }, 60_000);

  it('leaves what it disrupted counted: its successor stops no more until that runs again', () => {
    const fleet = new DrainFleet(inZone(3), BUDGET_1);
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    fleet.faults.refuseProvisioning = true;
    fleet.start('out', { select: { all: true }, atOnce: 3, replace: false });
    fleet.until(() => fleet.workers.stops.length === 1);
    fleet.failOver();
    fleet.run(60_000);
    expect(fleet.workers.stops).toHaveLength(1);
    const kept = [...fleet.store.records.keys()].filter((key) => key.startsWith('b/'));
    expect(kept.length).toBe(1);
    // Without its record the next one would have been stopped: the record is what counts it.
    for (const key of kept) fleet.store.records.delete(key);
    fleet.failOver();
    fleet.until(() => fleet.workers.stops.length === 2);
  });

  it('and gives way to one of the version before it for a while: that one ignores the records, and hands them back', () => {
    const fleet = begun();
    fleet.until(
      () => fleet.machinePhase('swap', 'n-0000') === 'draining' || fleet.cloud.returned.length > 0,
    );
    const records = JSON.stringify([...fleet.store.records]);
    fleet.failOver({ withoutExtension: true });
    fleet.run(30_000);
    expect(JSON.stringify([...fleet.store.records])).toBe(records);
    fleet.failOver();
    fleet.until(() => fleet.drainPhase('swap') === 'done');
    expectWhole(fleet);
  });
});

describe('what cannot be read', () => {
  it('pauses its drain, is logged, and leaves the others alone', () => {
    const fleet = begun();
    fleet.until(
      () =>
        fleet.machinePhase('swap', 'n-0000') !== null ||
        fleet.machinePhase('swap', 'n-0001') !== null,
    );
    const key = [...fleet.store.records.keys()].find((k) => k.startsWith('m/swap/'))!;
    fleet.store.records.set(key, { phase: 'unheard of' });
    fleet.store.records.set('d/other', 7);
    fleet.failOver();
    fleet.run(30_000);
    expect(fleet.status('swap')).toMatchObject({
      status: 'paused',
      why: 'a record of it cannot be read',
    });
    expect(fleet.status('other')).toMatchObject({
      status: 'paused',
      why: 'its record cannot be read',
    });
    expect(fleet.start('other', { select: { all: true } }).status).toBe(409);
    expect(fleet.start('third', { select: { all: true } }).status).toBe(201);
    fleet.until(() => fleet.drainPhase('third') === 'done');
    expect(fleet.problems).toEqual([]);
  });
});

describe('outages in mid step', () => {
  it('of the state service: nothing is stopped, returned or rented that is not stored', () => {
    const fleet = begun();
    // The first request's name was stored with the drain.
    expect(fleet.cloud.provisioned.size).toBe(1);
    fleet.faults.storeUnavailable = true;
    fleet.run(60_000);
    expect([
      fleet.workers.stops.length,
      fleet.cloud.returned.length,
      fleet.cloud.provisioned.size,
    ]).toEqual([0, 0, 1]);
    fleet.faults.storeUnavailable = false;
    fleet.until(() => fleet.workers.stops.length === 1);
    fleet.faults.storeUnavailable = true;
    fleet.run(30_000);
    expect(fleet.cloud.returned).toEqual([]);
    fleet.faults.storeUnavailable = false;
    fleet.until(() => fleet.drainPhase('swap') === 'done');
    expectWhole(fleet);
  });

  it('of the cloud, and lost answers to rentals and returns: asked again under the same names', () => {
    const fleet = begun(BUDGET_1, true);
    fleet.run(40_000);
    expect(fleet.status('swap').machines[0]?.blocked?.kind).toBe('replacement-booting');
    Object.assign(fleet.faults, {
      cloudUnavailable: false,
      loseProvisionAnswers: 2,
      loseDeletionAnswers: 2,
    });
    fleet.until(() => fleet.cloud.returned.length === 1);
    fleet.faults.cloudUnavailable = true;
    fleet.run(20_000);
    fleet.faults.cloudUnavailable = false;
    fleet.until(() => fleet.drainPhase('swap') === 'done');
    expectWhole(fleet);
  });

  it('a return whose answer is lost with its leader is sent again, and its machine gets no work meanwhile', () => {
    const fleet = begun();
    fleet.until(() =>
      [...fleet.store.records.values()].some(
        (r) => (r as { phase?: string }).phase === 'returning',
      ),
    );
    fleet.faults.cloudUnavailable = true;
    const machine = [...fleet.store.records]
      .find(([, r]) => (r as { phase?: string }).phase === 'returning')![0]
      .split('/')[2]!;
    fleet.failOver();
    fleet.submit('job-2', { cpus: 1, tasks: 4 });
    fleet.run(15_000);
    expect(fleet.tasksOn(machine)).toEqual([]);
    expect(fleet.call('cancel', 'swap').body).toMatchObject({ status: 'cancelled' });
    fleet.run(5000);
    expect(fleet.tasksOn(machine)).toEqual([]);
    fleet.faults.cloudUnavailable = false;
    fleet.until(() => fleet.cloud.returned.includes(machine));
  });
});

describe('a machine that is being drained', () => {
  const half = (): { fleet: DrainFleet; id: string } => {
    const fleet = new DrainFleet(inZone(2), BUDGET_1);
    fleet.submit('job-1', { cpus: 8 });
    fleet.run(3000);
    const id = fleet.holderOf('job-1/0')!;
    fleet.start('out', { select: { machines: [id] } });
    fleet.until(() => fleet.machinePhase('out', id) === 'cordoned');
    return { fleet, id };
  };

  it('and is cut off for good counts as lost, its work runs again elsewhere', () => {
    const { fleet, id } = half();
    fleet.workers.machines.get(id)!.unreachableUntil = Number.POSITIVE_INFINITY;
    fleet.until(() => fleet.holderOf('job-1/0') !== id && fleet.holderOf('job-1/0') !== null);
    fleet.until(() => fleet.drainPhase('out') === 'done');
    expect(fleet.status('out')).toMatchObject({ returned: 0, failed: 1 });
    expect(fleet.problems).toEqual([]);
  });

  it('and hears nothing loses its work with its lease; that runs again elsewhere, and the machine goes', () => {
    const { fleet, id } = half();
    fleet.workers.machines.get(id)!.receivesNothing = true;
    fleet.until(() => fleet.drainPhase('out') === 'done');
    const { returned, failed } = fleet.status('out');
    expect(returned + failed).toBe(1);
    expect(fleet.workers.machines.has(id)).toBe(false);
    fleet.until(() => fleet.holderOf('job-1/0') !== null);
    expect(fleet.problems).toEqual([]);
  });

  it('or was to be, and is lost before its step, counts as lost too', () => {
    const fleet = new DrainFleet(inZone(3));
    fleet.submit('job-1', { cpus: 8, tasks: 3 });
    fleet.run(3000);
    fleet.start('out', { select: { all: true }, atOnce: 1 });
    fleet.until(() => fleet.status('out').machines[0]?.state === 'cordoned');
    const taken = fleet.status('out').machines[0]!.name;
    const waiting = ['n-0000', 'n-0001', 'n-0002'].find((id) => id !== taken)!;
    fleet.workers.machines.get(waiting)!.unreachableUntil = Number.POSITIVE_INFINITY;
    fleet.until(
      () => fleet.holderOf('job-1/0') !== waiting && !fleet.workers.machines.has(waiting),
    );
    fleet.workers.runMs.set('job-1', 0);
    fleet.until(() => fleet.drainPhase('out') === 'done');
    expect(fleet.status('out')).toMatchObject({ returned: 2, failed: 1 });
  });

  it('and comes back late goes on where it was', () => {
    const { fleet, id } = half();
    fleet.workers.machines.get(id)!.unreachableUntil = fleet.now + 5000;
    fleet.workers.runMs.set('job-1', 40_000);
    fleet.until(() => fleet.drainPhase('out') === 'done');
    expect(fleet.status('out')).toMatchObject({ returned: 1, failed: 0 });
    expect(fleet.store.completions.get('job-1')).toBe('done');
    expect(fleet.workers.starts).toHaveLength(1);
  });

  it('and gets a spot notice is left to it; what is lost counts against the budget', () => {
    const fleet = new DrainFleet(inZone(2), BUDGET_1);
    fleet.submit('job-1', { cpus: 8 });
    fleet.submit('job-2', { cpus: 8 });
    fleet.run(3000);
    fleet.faults.refuseProvisioning = true;
    const id = fleet.holderOf('job-1/0')!;
    fleet.start('out', { select: { machines: [id] }, replace: false });
    fleet.run(2000);
    fleet.workers.machines.get(id)!.reclaimedAt = fleet.now + 10_000;
    fleet.run(2000);
    expect(fleet.status('out').machines[0]?.blocked?.kind).toBe('being-lost');
    expect(fleet.call('budgets').body.budgets).toMatchObject([
      { scope: 'team blue', disrupted: 1 },
    ]);
    fleet.faults.refuseProvisioning = false;
    fleet.until(() => fleet.drainPhase('out') === 'done');
    expect(fleet.status('out')).toMatchObject({ returned: 0, failed: 1 });
  });

  it('and starts anew loses what ran on it, which counts until it runs again', () => {
    const { fleet, id } = half();
    fleet.workers.restart(id);
    fleet.run(6000);
    fleet.until(() => fleet.drainPhase('out') === 'done');
    expect(fleet.holderOf('job-1/0')).not.toBe(id);
    fleet.run(2000);
    expect(fleet.call('budgets').body.budgets).toMatchObject([{ disrupted: 0 }]);
    expect(fleet.problems).toEqual([]);
  });
});
