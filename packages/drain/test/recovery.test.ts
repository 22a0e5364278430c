/** Guards against drain steps that failovers, outages or machine faults lose or repeat. */
import { describe, expect, it } from 'vitest';
import { CHECKPOINTING, DrainFleet, machinesInZone } from './support/drain-fleet.js';

const ONE_AT_A_TIME =
  '(drain (let-end-s 5) (ready-timeout-s 60) (budgets (team blue (at-once 1))))';

/** Two machines, each with a checkpointing task, to be replaced one by one. */
const startTwoMachineDrain = (settings = ONE_AT_A_TIME, cloudUnavailable = false): DrainFleet => {
  const fleet = new DrainFleet(machinesInZone(2), settings);
  fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 2 });
  fleet.run(4000);
  fleet.faults.cloudUnavailable = cloudUnavailable;
  expect(fleet.startDrain('swap', { select: { all: true } }).status).toBe(201);
  return fleet;
};

/** Each machine was returned and replaced once, and no task was lost or ran twice. */
const expectCompleted = (fleet: DrainFleet, provisioned = 2): void => {
  expect(fleet.violations).toEqual([]);
  expect(fleet.cloud.returned.filter((id) => id < 'n-0002').sort()).toEqual(['n-0000', 'n-0001']);
  const requests = [...fleet.cloud.provisioned.keys()].filter((name) => name.startsWith('drain-'));
  expect(requests, [...fleet.cloud.provisioned].join(' ')).toHaveLength(provisioned);
  fleet.run(5000);
  for (const name of ['job-1/0', 'job-1/1']) expect(fleet.machineOf(name), name).not.toBeNull();
  expect(fleet.drainStatus('swap')).toMatchObject({ status: 'done', returned: 2, failed: 0 });
};

const countWritesOfDrain = (): number => {
  const fleet = startTwoMachineDrain();
  fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
  expectCompleted(fleet);
  return fleet.store.recordWrites.length;
};

describe('a failover', () => {
  it('before or after any write of a drain resumes it at the same step', () => {
    const writeCount = countWritesOfDrain();
    expect(writeCount).toBeGreaterThan(12);
    for (let write = 2; write <= writeCount; write += 1) {
      for (const crashLeaderAfterWrite of [false, true]) {
        const fleet = startTwoMachineDrain();
        Object.assign(fleet.faults, { crashLeaderAtWrite: write, crashLeaderAfterWrite });
        const expectAtMostOneStopped = () => {
          const stopped = ['job-1/0', 'job-1/1'].filter((name) => fleet.machineOf(name) === null);
          expect(stopped.length, `write ${write}`).toBeLessThanOrEqual(1);
        };
        fleet.runUntil(() => {
          expectAtMostOneStopped();
          return fleet.hasLeaderCrashed || fleet.drainPhase('swap') === 'done';
        });
        fleet.faults.crashLeaderAtWrite = 0;
        if (fleet.hasLeaderCrashed) {
          fleet.run(2000);
          fleet.failOver();
        }
        fleet.runUntil(() => {
          expectAtMostOneStopped();
          return fleet.drainPhase('swap') === 'done';
        });
        expectCompleted(fleet);
      }
    }
  }, 60_000);

  it('keeps the count of disruptions: nothing more is stopped until their work runs again', () => {
    const fleet = new DrainFleet(machinesInZone(3), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    fleet.faults.refuseProvisioning = true;

    fleet.startDrain('out', { select: { all: true }, atOnce: 3, replace: false });
    fleet.runUntil(() => fleet.workers.stops.length === 1);
    fleet.failOver();
    fleet.run(60_000);
    expect(fleet.workers.stops).toHaveLength(1);
    const disruptionKeys = [...fleet.store.records.keys()].filter((key) => key.startsWith('b/'));
    expect(disruptionKeys.length).toBe(1);
    // Without the record of the disruption a new leader stops the next task. The returned machine's
    // ledger row goes too: from it the leader would count the task as disrupted by a lost machine.
    for (const key of disruptionKeys) fleet.store.records.delete(key);
    const [returned] = fleet.cloud.returned;
    for (const [key, segment] of fleet.store.ledger) {
      const machines = segment.machines.filter(({ machine }) => machine !== returned);
      expect(machines).toHaveLength(segment.machines.length - 1);
      fleet.store.ledger.set(key, { ...segment, machines });
    }
    fleet.failOver();
    fleet.runUntil(() => fleet.workers.stops.length === 2);
  });

  // Guards against leaders that take machines for younger, and for lost, than the first one did.
  it('goes on with the machines that had the age when the drain started, and loses none', () => {
    const fleet = new DrainFleet(machinesInZone(3), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    const order = { select: { minAgeS: 50 }, replace: false };
    expect(fleet.startDrain('old', order).status).toBe(201);
    fleet.runUntil(() => fleet.workers.stops.length === 1);
    fleet.failOver();
    // The cloud's list is older than the machines that a leader knows: it shows a lower age.
    fleet.cloud.listedAgeS = 30;
    fleet.runUntil(() => fleet.drainPhase('old') === 'done');
    expect(fleet.drainStatus('old')).toMatchObject({ returned: 3, failed: 0 });
  });

  // Guards against an order that is called another one once its record has been read back.
  it('answers a repeated order as before, and another one of the same name with 409', () => {
    const fleet = new DrainFleet(machinesInZone(3), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    const orders = {
      all: { select: { all: true }, atOnce: 1 },
      some: { select: { type: 'c8', zone: 'a', spot: false }, atOnceShare: 0.5, deadlineS: 3600 },
    };
    for (const [name, order] of Object.entries(orders))
      expect(fleet.startDrain(name, order).status, name).toBe(201);
    fleet.failOver();
    fleet.run(8000);
    for (const [name, order] of Object.entries(orders)) {
      expect(fleet.startDrain(name, order).status, name).toBe(200);
      expect(fleet.startDrain(name, { ...order, replace: false }).status, name).toBe(409);
    }
  });

  it('to a version without drains keeps their records, and a failover back resumes them', () => {
    const fleet = startTwoMachineDrain();
    fleet.runUntil(
      () => fleet.machinePhase('swap', 'n-0000') === 'draining' || fleet.cloud.returned.length > 0,
    );
    const records = JSON.stringify([...fleet.store.records]);
    fleet.failOver({ withoutExtension: true });
    fleet.run(30_000);
    expect(JSON.stringify([...fleet.store.records])).toBe(records);
    fleet.failOver();
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
    expectCompleted(fleet);
  });
});

describe('an unreadable drain record', () => {
  it('pauses its drain and does not affect other drains', () => {
    const fleet = startTwoMachineDrain();
    fleet.runUntil(
      () =>
        fleet.machinePhase('swap', 'n-0000') !== null ||
        fleet.machinePhase('swap', 'n-0001') !== null,
    );
    const key = [...fleet.store.records.keys()].find((k) => k.startsWith('m/swap/'))!;
    fleet.store.records.set(key, { phase: 'unheard of' });
    fleet.store.records.set('d/other', 7);
    fleet.failOver();
    fleet.run(30_000);
    expect(fleet.drainStatus('swap')).toMatchObject({
      status: 'paused',
      why: 'a record of it cannot be read',
    });
    expect(fleet.drainStatus('other')).toMatchObject({
      status: 'paused',
      why: 'its record cannot be read',
    });

    expect(fleet.startDrain('other', { select: { all: true } }).status).toBe(409);
    expect(fleet.startDrain('third', { select: { all: true } }).status).toBe(201);
    fleet.runUntil(() => fleet.drainPhase('third') === 'done');

    expect(fleet.violations).toEqual([]);
  });
});

describe('an outage in the middle of a step', () => {
  it('of the key-value store holds back stops, returns and provisioning until stored', () => {
    const fleet = startTwoMachineDrain();
    // The ID of the first provision request was stored with the drain.
    expect(fleet.cloud.provisioned.size).toBe(1);
    fleet.faults.storeUnavailable = true;
    fleet.run(60_000);
    expect([
      fleet.workers.stops.length,
      fleet.cloud.returned.length,
      fleet.cloud.provisioned.size,
    ]).toEqual([0, 0, 1]);
    fleet.faults.storeUnavailable = false;
    fleet.runUntil(() => fleet.workers.stops.length === 1);
    fleet.faults.storeUnavailable = true;
    fleet.run(30_000);
    expect(fleet.cloud.returned).toEqual([]);
    fleet.faults.storeUnavailable = false;
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
    expectCompleted(fleet);
  });

  it('of the cloud, with responses lost, leads to retries under the same ids', () => {
    const fleet = startTwoMachineDrain(ONE_AT_A_TIME, true);
    fleet.run(40_000);
    expect(fleet.drainStatus('swap').machines[0]?.blocked?.kind).toBe('replacement-booting');
    Object.assign(fleet.faults, {
      cloudUnavailable: false,
      provisionResponsesToLose: 2,
      deletionResponsesToLose: 2,
    });
    fleet.runUntil(() => fleet.cloud.returned.length === 1);
    fleet.faults.cloudUnavailable = true;
    fleet.run(20_000);
    fleet.faults.cloudUnavailable = false;
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
    expectCompleted(fleet);
  });

  it('of the cloud during a failover leads to a retried return; the machine gets no work', () => {
    const fleet = startTwoMachineDrain();
    fleet.runUntil(() =>
      [...fleet.store.records.values()].some(
        (r) => (r as { phase?: string }).phase === 'returning',
      ),
    );
    fleet.faults.cloudUnavailable = true;
    const machine = [...fleet.store.records]
      .find(([, r]) => (r as { phase?: string }).phase === 'returning')![0]
      .split('/')[2]!;
    fleet.failOver();
    fleet.submitJob('job-2', { cpus: 1, tasks: 4 });
    fleet.run(15_000);
    expect(fleet.tasksOn(machine)).toEqual([]);

    expect(fleet.callOperatorApi('cancel', 'swap').body).toMatchObject({ status: 'cancelled' });
    fleet.run(5000);
    expect(fleet.tasksOn(machine)).toEqual([]);
    fleet.faults.cloudUnavailable = false;
    fleet.runUntil(() => fleet.cloud.returned.includes(machine));
  });
});

describe('a machine selected by a drain', () => {
  const startDrainOfBusyMachine = (): { fleet: DrainFleet; id: string } => {
    const fleet = new DrainFleet(machinesInZone(2), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { cpus: 8 });
    fleet.run(3000);
    const id = fleet.machineOf('job-1/0')!;
    fleet.startDrain('out', { select: { machines: [id] } });
    fleet.runUntil(() => fleet.machinePhase('out', id) === 'cordoned');
    return { fleet, id };
  };

  it('counts as failed when it stays unreachable, and its work runs again elsewhere', () => {
    const { fleet, id } = startDrainOfBusyMachine();
    fleet.workers.machines.get(id)!.unreachableUntil = Number.POSITIVE_INFINITY;
    fleet.runUntil(() => fleet.machineOf('job-1/0') !== id && fleet.machineOf('job-1/0') !== null);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.drainStatus('out')).toMatchObject({ returned: 0, failed: 1 });
    expect(fleet.violations).toEqual([]);
  });

  it('loses its work to another machine when its lease expires, and leaves the fleet', () => {
    const { fleet, id } = startDrainOfBusyMachine();
    fleet.workers.machines.get(id)!.isInboundBlocked = true;
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');
    const { returned, failed } = fleet.drainStatus('out');
    expect(returned + failed).toBe(1);
    expect(fleet.workers.machines.has(id)).toBe(false);
    fleet.runUntil(() => fleet.machineOf('job-1/0') !== null);

    expect(fleet.violations).toEqual([]);
  });

  it('counts as failed when it is lost before its step', () => {
    const fleet = new DrainFleet(machinesInZone(3));
    fleet.submitJob('job-1', { cpus: 8, tasks: 3 });
    fleet.run(3000);

    fleet.startDrain('out', { select: { all: true }, atOnce: 1 });
    fleet.runUntil(() => fleet.drainStatus('out').machines[0]?.state === 'cordoned');
    const firstDrained = fleet.drainStatus('out').machines[0]!.name;
    const waitingMachine = ['n-0000', 'n-0001', 'n-0002'].find((id) => id !== firstDrained)!;
    fleet.workers.machines.get(waitingMachine)!.unreachableUntil = Number.POSITIVE_INFINITY;
    fleet.runUntil(
      () =>
        fleet.machineOf('job-1/0') !== waitingMachine &&
        !fleet.workers.machines.has(waitingMachine),
    );
    fleet.workers.runMsByJob.set('job-1', 0);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.drainStatus('out')).toMatchObject({ returned: 2, failed: 1 });
  });

  it('continues draining when it reconnects within its lease', () => {
    const { fleet, id } = startDrainOfBusyMachine();
    fleet.workers.machines.get(id)!.unreachableUntil = fleet.now + 5000;
    fleet.workers.runMsByJob.set('job-1', 40_000);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.drainStatus('out')).toMatchObject({ returned: 1, failed: 0 });
    expect(fleet.store.completions.get('job-1')).toBe('done');
    expect(fleet.workers.starts).toHaveLength(1);
  });

  it('is no longer drained after a reclaim notice; its lost work counts against the budget', () => {
    const fleet = new DrainFleet(machinesInZone(2), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { cpus: 8 });
    fleet.submitJob('job-2', { cpus: 8 });
    fleet.run(3000);
    fleet.faults.refuseProvisioning = true;
    const id = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [id] }, replace: false });
    fleet.run(2000);
    fleet.workers.machines.get(id)!.reclaimedAt = fleet.now + 10_000;
    fleet.run(2000);
    expect(fleet.drainStatus('out').machines[0]?.blocked?.kind).toBe('being-lost');
    expect(fleet.callOperatorApi('budgets').body.budgets).toMatchObject([
      { scope: 'team blue', disrupted: 1 },
    ]);
    fleet.faults.refuseProvisioning = false;
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.drainStatus('out')).toMatchObject({ returned: 0, failed: 1 });
  });

  it('loses its work when it restarts; the disruption counts until the work runs again', () => {
    const { fleet, id } = startDrainOfBusyMachine();
    fleet.workers.restart(id);
    fleet.run(6000);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');
    expect(fleet.machineOf('job-1/0')).not.toBe(id);
    fleet.run(2000);

    expect(fleet.callOperatorApi('budgets').body.budgets).toMatchObject([{ disrupted: 0 }]);
    expect(fleet.violations).toEqual([]);
  });
});
