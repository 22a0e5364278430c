/** Guards against work stopped beyond a budget or before its replacement machine is ready. */
import type { MachineId } from '@robinspread/extension-api';
import { describe, expect, it } from 'vitest';
import { CHECKPOINTING, DrainFleet, machinesInZone } from './support/drain-fleet.js';

const ONE_AT_A_TIME = '(drain (let-end-s 5) (budgets (team blue (at-once 1))))';

const tasksByMachine = (fleet: DrainFleet) =>
  [...fleet.workers.machines.keys()].map((id) => fleet.tasksOn(id).length);

describe('a drain', () => {
  it('replaces each machine once, step by step, and stops each task on it once', () => {
    const fleet = new DrainFleet(machinesInZone(3));
    fleet.submitJob('job-1', { ...CHECKPOINTING, tasks: 4 });
    fleet.run(5000);
    const initialMachines = [...fleet.workers.machines.keys()];

    expect(fleet.startDrain('swap', { select: { all: true }, atOnce: 1 }).status).toBe(201);
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
    expect(fleet.cloud.returned.sort()).toEqual(initialMachines);
    expect(fleet.cloud.provisioned.size).toBe(3);
    expect(fleet.workers.machines.size).toBe(3);
    expect(fleet.machineOf('job-1/3')).not.toBeNull();
    expect(tasksByMachine(fleet).reduce((a, b) => a + b)).toBe(4);
    // The idle machine is drained first: four tasks are stopped once each.
    expect(fleet.workers.stops).toHaveLength(4);
    for (const { task } of fleet.workers.stops)
      expect(fleet.workers.starts.filter((s) => s.task === task)).toHaveLength(2);
    expect(fleet.drainStatus('swap')).toMatchObject({
      returned: 3,
      failed: 0,
      step: 3,
      machines: [],
    });
    // Each step is stored; the next starts once the work of the last runs again.
    const phaseWrites = fleet.store.recordWrites.filter(
      (key) => key.startsWith('m/swap') || key.startsWith('d/swap'),
    );
    expect(phaseWrites.length).toBeGreaterThan(9);
    expect(fleet.violations).toEqual([]);
    // A finished drain leaves no record but its own.
    fleet.run(5000);

    expect([...fleet.store.records.keys()]).toEqual(['d/swap']);
  });

  it('takes idle machines first, then checkpointing ones, then those with work to finish', () => {
    const fleet = new DrainFleet(machinesInZone(3));
    fleet.submitJob('job-1', { cpus: 8, estimateS: 100 });
    fleet.run(3000);
    fleet.submitJob('job-2', { cpus: 8, checkpointIntervalS: 5, checkpointWriteS: 1 });
    fleet.run(3000);
    const [finishing, checkpointing] = ['job-1/0', 'job-2/0'].map((name) => fleet.machineOf(name));
    const idle = [...fleet.workers.machines.keys()].find((id) => fleet.tasksOn(id).length === 0);

    const { body } = fleet.callOperatorApi('plan', '', { select: { all: true } });

    expect((body.plan as { name: string }[]).map((m) => m.name)).toEqual([
      idle,
      checkpointing,
      finishing,
    ]);
    expect(body).toMatchObject({ machines: 3, steps: 3, refused: null });
    expect(fleet.store.records.size).toBe(0);
  });

  it('lets work that ends soon, or writes no checkpoints, run to its end', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 8, estimateS: 30 });
    fleet.workers.runMsByJob.set('job-1', 30_000);
    fleet.run(3000);
    const busyMachine = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [busyMachine] }, replace: false });
    fleet.run(8000);
    expect(fleet.drainStatus('out').machines[0]).toMatchObject({
      state: 'cordoned',
      blocked: { kind: 'work-ends-by-itself' },
    });
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.stops).toEqual([]);
    expect(fleet.store.completions.get('job-1')).toBe('done');
    expect(fleet.cloud.provisioned.size).toBe(0);
  });

  it('evicts a replica once capacity for it is reserved elsewhere, and never before', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { shape: 'service', cpus: 6, estimateS: 0 });
    fleet.submitJob('job-2', { cpus: 6 });
    fleet.run(4000);
    const replicaMachine = fleet.machineOf('job-1/0')!;
    fleet.faults.refuseProvisioning = true;

    fleet.startDrain('out', { select: { machines: [replicaMachine] }, replace: false });
    fleet.run(20_000);
    expect(fleet.machineOf('job-1/0')).toBe(replicaMachine);
    expect(fleet.drainStatus('out').machines[0]?.blocked?.kind).toBe('replica-needs-room');
    fleet.workers.runMsByJob.set('job-2', 0);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.starts.filter((s) => s.task === 'job-1/0')).toHaveLength(2);
    expect(fleet.violations).toEqual([]);
  });

  it('places no work on a cordoned machine, and uncordons it when the drain is cancelled', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 4, tasks: 2 });
    fleet.run(3000);
    const busyMachine = fleet.machineOf('job-1/0')!;
    fleet.workers.runMsByJob.set('job-1', 60_000);

    fleet.startDrain('out', { select: { machines: [busyMachine] }, replace: false });
    fleet.run(3000);
    fleet.submitJob('job-2', { cpus: 8, tasks: 2 });
    fleet.run(90_000 - fleet.now);
    expect(fleet.tasksOn(busyMachine)).toEqual([]);
    const otherFleet = new DrainFleet(machinesInZone(1));
    otherFleet.submitJob('job-1', { cpus: 4 });
    otherFleet.run(3000);
    otherFleet.startDrain('out', { select: { all: true } });
    otherFleet.faults.refuseProvisioning = true;
    otherFleet.run(5000);
    otherFleet.faults.refuseProvisioning = false;
    otherFleet.runUntil(() => otherFleet.machinePhase('out', 'n-0000') === 'cordoned');
    expect(otherFleet.callOperatorApi('cancel', 'out').body).toMatchObject({
      status: 'cancelled',
      machines: [],
    });
    otherFleet.submitJob('job-2', { cpus: 4, tasks: 3 });
    otherFleet.run(5000);

    expect(otherFleet.tasksOn('n-0000')).toHaveLength(2);
    expect(otherFleet.cloud.returned).toEqual([]);
    expect(otherFleet.callOperatorApi('resume', 'out').status).toBe(409);
  });

  it('goes on when a job is cancelled on a draining machine', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 8 });
    fleet.run(3000);
    const busyMachine = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [busyMachine] }, replace: false });
    fleet.run(5000);
    fleet.cancelJob('job-1');
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.cloud.returned).toEqual([busyMachine]);
    expect(fleet.store.completions.get('job-1')).toBe('cancelled');
  });

  it('pauses at its deadline instead of stopping more work, and goes on when resumed', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 8 });
    fleet.run(3000);
    const busyMachine = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [busyMachine] }, replace: false, deadlineS: 20 });
    fleet.run(30_000);
    expect(fleet.drainStatus('out')).toMatchObject({
      status: 'paused',
      why: 'its deadline has passed',
    });
    expect(fleet.tasksOn(busyMachine)).toEqual(['job-1/0']);
    fleet.workers.runMsByJob.set('job-1', 1000);
    fleet.run(10_000);
    // A paused drain keeps an empty machine cordoned.
    expect(fleet.machinePhase('out', busyMachine)).toBe('cordoned');
    expect(fleet.callOperatorApi('resume', 'out').status).toBe(200);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');
  });

  it('is refused when it would leave no machine that the queue head fits', () => {
    const fleet = new DrainFleet([...machinesInZone(1, 'a'), ...machinesInZone(1, 'b')]);
    fleet.submitJob('job-1', { cpus: 8, zone: 'b', tasks: 2 });
    fleet.run(3000);
    fleet.faults.refuseProvisioning = true;
    fleet.submitJob('job-2', {
      cpus: 8,
      zone: 'b',
      tasks: 2,
      estimateS: 1,
      priority: 'urgent',
      allowsSpot: false,
    });
    fleet.run(30_000);

    const refused = fleet.startDrain('out', { select: { zone: 'b' }, replace: false });

    expect(refused.status).toBe(422);
    expect(refused.body.error).toMatch(/job-\d, the head of the queue/);
    expect(fleet.store.records.size).toBe(0);
    expect(fleet.startDrain('in-a', { select: { zone: 'a' }, replace: false }).status).toBe(201);
  });
});

describe('a replacement', () => {
  const startFleet = (): DrainFleet => {
    const fleet = new DrainFleet(
      machinesInZone(1),
      '(drain (let-end-s 5) (ready-timeout-s 30) (stalled-after-s 20))',
    );
    fleet.submitJob('job-1', { ...CHECKPOINTING, tasks: 2 });
    fleet.run(3000);
    return fleet;
  };

  it('is requested anew when it never becomes ready; the drained machine stays in use', () => {
    const fleet = startFleet();
    fleet.faults.neverBoot = true;

    fleet.startDrain('swap', { select: { all: true } });
    fleet.run(25_000);
    expect(fleet.drainStatus('swap')).toMatchObject({ status: 'stalled' });
    expect(fleet.drainStatus('swap').machines[0]).toMatchObject({
      state: 'waiting',
      blocked: { kind: 'replacement-booting' },
    });
    expect(fleet.tasksOn('n-0000')).toHaveLength(2);
    fleet.runUntil(() => fleet.cloud.provisioned.size === 2);
    fleet.faults.neverBoot = false;
    fleet.run(1000);
    expect(fleet.workers.stops).toEqual([]);
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');

    expect(new Set(fleet.cloud.provisioned.values()).size).toBe(fleet.cloud.provisioned.size);
    expect(fleet.cloud.returned).toContain('n-0000');
    expect(fleet.violations).toEqual([]);
  });

  it('is requested again under the same id when capacity is lacking; the status says so', () => {
    const fleet = startFleet();
    fleet.faults.refuseProvisioning = true;

    fleet.startDrain('swap', { select: { all: true } });
    fleet.run(30_000);
    expect(fleet.drainStatus('swap').machines[0]?.blocked?.text).toBe(
      'the cloud has no capacity for c8 in a (ordinary)',
    );
    expect(fleet.workers.stops).toEqual([]);
    fleet.faults.refuseProvisioning = false;
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');

    expect(fleet.cloud.provisioned.size).toBe(1);
  });

  it('is requested anew when the cloud provisions fewer machines than requested together', () => {
    const fleet = new DrainFleet(machinesInZone(5));
    fleet.submitJob('job-1', { ...CHECKPOINTING, tasks: 10 });
    fleet.run(4000);
    fleet.faults.maxMachinesPerRequest = 2;

    fleet.startDrain('swap', { select: { all: true }, atOnce: 5 });
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
    const requests = [...fleet.cloud.provisioned.keys()].map((name) => name.split('#')[0]);

    // The first request provisioned two; the others have one request each.
    expect(fleet.cloud.provisioned.size).toBe(5);
    expect(new Set(requests).size).toBe(4);
    expect(fleet.cloud.returned).toHaveLength(5);
    expect(fleet.violations).toEqual([]);
  });

  it('is replaced when it is lost after becoming ready; the drained machine stays in use', () => {
    const fleet = new DrainFleet(machinesInZone(1));
    fleet.submitJob('job-1', { cpus: 4 });
    fleet.run(3000);

    fleet.startDrain('swap', { select: { machines: ['n-0000'] } });
    fleet.runUntil(() => (fleet.machinePhase('swap', 'n-0000') ?? 'waiting') !== 'waiting');
    const replacement = fleet.drainStatus('swap').machines[0]!.replacement!;
    fleet.faults.refuseProvisioning = true;
    fleet.workers.machines.delete(replacement);
    fleet.runUntil(() => fleet.machinePhase('swap', 'n-0000') === 'waiting');
    expect(fleet.state.machines.get('n-0000' as MachineId)?.isCordoned).toBe(false);
    fleet.workers.runMsByJob.set('job-1', 0);
    fleet.faults.refuseProvisioning = false;
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');

    expect(fleet.cloud.provisioned.size).toBe(2);
    expect(fleet.violations).toEqual([]);
  });

  it('is not scaled in for idleness before its machine is drained', () => {
    const fleet = startFleet();

    fleet.startDrain('swap', { select: { all: true } });
    fleet.runUntil(() => (fleet.machinePhase('swap', 'n-0000') ?? 'waiting') !== 'waiting');
    const id = fleet.drainStatus('swap').machines[0]!.replacement as MachineId;
    const machine = fleet.state.machines.get(id)!;
    expect(fleet.state.extensions!.mayScaleIn(machine)).toBe(false);
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');

    expect(fleet.state.extensions!.mayScaleIn(machine)).toBe(true);
  });
});

describe('a disruption budget', () => {
  it('that is used up blocks a new drain until the disrupted work runs again', () => {
    const fleet = new DrainFleet(machinesInZone(3), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    // A machine is lost; its task is disrupted and fits nowhere else.
    const lostMachine = fleet.machineOf('job-1/0')!;
    fleet.faults.refuseProvisioning = true;
    fleet.workers.machines.delete(lostMachine);
    fleet.runUntil(() => fleet.state.machines.get(lostMachine as MachineId) === undefined);
    const drainedMachine = fleet.machineOf('job-1/1')!;

    fleet.startDrain('out', { select: { machines: [drainedMachine] }, replace: false });
    fleet.run(60_000);
    expect(fleet.workers.stops).toEqual([]);
    expect(fleet.drainStatus('out').machines[0]?.blocked?.text).toBe(
      'budget of team blue: 1 of 1 disrupted',
    );
    expect(fleet.callOperatorApi('budgets').body.budgets).toMatchObject([
      { scope: 'team blue', disrupted: 1, atOnce: 1 },
    ]);
    fleet.faults.refuseProvisioning = false;
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.stops).toHaveLength(1);
  });

  it('of 0 blocks the drain, and the status says so', () => {
    const fleet = new DrainFleet(
      machinesInZone(2),
      '(drain (let-end-s 5) (budgets (team blue (at-once 0))))',
    );
    fleet.submitJob('job-1', CHECKPOINTING);
    fleet.run(4000);

    fleet.startDrain('out', {
      select: { machines: [fleet.machineOf('job-1/0')!] },
      replace: false,
    });
    fleet.run(90_000);
    const status = fleet.drainStatus('out');

    expect(status.status).toBe('stalled');
    expect(status.machines[0]?.blocked?.text).toBe(
      'budget of team blue is 0: none of its work may be disrupted',
    );
    expect(fleet.workers.stops).toEqual([]);
  });

  it('of 0 for one job class has the machines of that class drained last', () => {
    const settings = '(drain (let-end-s 5) (budgets (team blue (class settle (at-once 0)))))';
    const fleet = new DrainFleet(machinesInZone(4), settings);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, jobClass: 'settle' });
    fleet.submitJob('job-2', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(5000);
    const settleMachine = fleet.machineOf('job-1/0')!;

    fleet.startDrain('swap', { select: { all: true }, atOnce: 1 });
    fleet.runUntil(() => fleet.cloud.returned.length === 3);

    expect(fleet.cloud.returned).not.toContain(settleMachine);
    expect(fleet.machineOf('job-1/0')).toBe(settleMachine);
  });

  it('that is lowered below its usage allows no further stop', () => {
    const fleet = new DrainFleet(
      machinesInZone(4),
      '(drain (let-end-s 5) (budgets (team blue (at-once 2))))',
    );
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 4 });
    fleet.run(4000);
    fleet.faults.refuseProvisioning = true;

    fleet.startDrain('out', { select: { all: true }, atOnce: 4, replace: false });
    fleet.runUntil(() => fleet.workers.stops.length === 2);
    fleet.run(5000);
    fleet.failOver({ settings: ONE_AT_A_TIME });
    fleet.run(60_000);

    expect(fleet.workers.stops).toHaveLength(2);
    expect(fleet.callOperatorApi('budgets').body.budgets).toMatchObject([
      { disrupted: 2, atOnce: 1 },
    ]);
  });

  it('limits a job class, a share of the tasks, and disruptions within a window', () => {
    const settings = `(drain (let-end-s 5) (budgets
      (team blue (at-once-share 0.5) (within 300 3) (class settle (at-once 0)))))`;
    const fleet = new DrainFleet(machinesInZone(4), settings);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.submitJob('job-2', { ...CHECKPOINTING, cpus: 8, jobClass: 'settle' });
    fleet.run(5000);
    const settleMachine = fleet.machineOf('job-2/0')!;

    fleet.startDrain('swap', { select: { all: true }, atOnce: 4 });
    // Up to two of four tasks may stop at once, three within 300 s, and none of class settle.
    const drainStartedAt = fleet.now;
    fleet.runUntil(() => fleet.workers.stops.length === 3);
    fleet.run(100_000);
    expect(fleet.workers.stops).toHaveLength(3);
    expect(fleet.tasksOn(settleMachine)).toEqual(['job-2/0']);
    expect(fleet.drainStatus('swap').machines[0]?.blocked?.text).toContain('class settle is 0');
    fleet.submitJob('job-3', { ...CHECKPOINTING, cpus: 8, tasks: 1 });
    fleet.run(4000);
    // job-3 may run on the replacement of the machine that is still blocked.
    fleet.callOperatorApi('cancel', 'swap');
    const job3Machine = fleet.machineOf('job-3/0')!;
    fleet.startDrain('more', { select: { machines: [job3Machine] } });
    fleet.run(20_000);
    expect(fleet.drainStatus('more').machines[0]?.blocked?.text).toContain(
      '3 of 3 disrupted within 300 s',
    );
    fleet.runUntil(() => fleet.drainPhase('more') === 'done');

    expect(fleet.now - drainStartedAt).toBeGreaterThan(299_000);
  });

  it('is used up by a lost zone: the drain waits until the work runs again', () => {
    const fleet = new DrainFleet(
      [...machinesInZone(2, 'a'), ...machinesInZone(2, 'b')],
      ONE_AT_A_TIME,
    );
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 4 });
    fleet.run(4000);
    const machinesInA = [...fleet.workers.machines.values()]
      .filter((m) => m.zone === 'a')
      .map((m) => m.id);
    fleet.faults.refuseProvisioning = true;
    for (const m of [...fleet.workers.machines.values()])
      if (m.zone === 'b') fleet.workers.machines.delete(m.id);
    fleet.runUntil(() => fleet.state.machines.size === 2);

    fleet.startDrain('out', { select: { zone: 'a' }, replace: false });
    fleet.run(60_000);
    expect(fleet.workers.stops).toEqual([]);
    expect(fleet.callOperatorApi('budgets').body.budgets).toMatchObject([{ disrupted: 2 }]);
    fleet.faults.refuseProvisioning = false;
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.cloud.returned).toEqual(expect.arrayContaining(machinesInA));
    expect(fleet.violations).toEqual([]);
  });

  it('also holds for replicas that the core evicts from a machine that fails jobs', () => {
    const fleet = new DrainFleet(machinesInZone(3), '(drain (budgets (team blue (at-once 0))))');
    fleet.submitJob('job-1', { shape: 'service', cpus: 2, estimateS: 0 });
    fleet.run(4000);
    const replicaMachine = fleet.machineOf('job-1/0')!;
    fleet.state.machines.get(replicaMachine as MachineId)!.isDraining = true;
    fleet.run(30_000);
    expect(fleet.machineOf('job-1/0')).toBe(replicaMachine);
    // A reclaim notice overrides the budget.
    fleet.workers.machines.get(replicaMachine)!.reclaimedAt = fleet.now + 15_000;
    fleet.runUntil(
      () => fleet.machineOf('job-1/0') !== replicaMachine && fleet.machineOf('job-1/0') !== null,
    );
  });
});

describe('two drains of the same machines', () => {
  it('share the budget and return each machine once', () => {
    const fleet = new DrainFleet(machinesInZone(3), ONE_AT_A_TIME);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);

    fleet.startDrain('one', { select: { all: true }, atOnce: 2 });
    fleet.startDrain('two', { select: { zone: 'a' }, atOnce: 2 });
    fleet.runUntil(() => fleet.drainPhase('one') === 'done' && fleet.drainPhase('two') === 'done');

    expect(new Set(fleet.cloud.returned).size).toBe(fleet.cloud.returned.length);
    expect(fleet.cloud.returned).toEqual(expect.arrayContaining(['n-0000', 'n-0001', 'n-0002']));
    expect(fleet.cloud.provisioned.size).toBe(fleet.cloud.returned.length);
    expect(fleet.violations).toEqual([]);
  });
});
