/** The steps of drains, their replacements, and disruption budgets. */
import type { MachineId } from '@robinspread/extension-api';
import { describe, expect, it } from 'vitest';
import { CHECKPOINTING, DrainFleet, machinesInZone } from './support/drain-fleet.js';

const BUDGET_1 = '(drain (let-end-s 5) (budgets (team blue (at-once 1))))';

const tasksByMachine = (fleet: DrainFleet) =>
  [...fleet.workers.machines.keys()].map((id) => fleet.tasksOn(id).length);

describe('a drain', () => {
  it('replaces each machine once, step by step, and stops each task on it once', () => {
    const fleet = new DrainFleet(machinesInZone(3));
    fleet.submitJob('job-1', { ...CHECKPOINTING, tasks: 4 });
    fleet.run(5000);
    const before = [...fleet.workers.machines.keys()];

    expect(fleet.startDrain('swap', { select: { all: true }, atOnce: 1 }).status).toBe(201);
    fleet.runUntil(() => fleet.drainPhase('swap') === 'done');
    expect(fleet.cloud.returned.sort()).toEqual(before);
    expect(fleet.cloud.provisioned.size).toBe(3);
    expect(fleet.workers.machines.size).toBe(3);
    expect(fleet.machineOf('job-1/3')).not.toBeNull();
    expect(tasksByMachine(fleet).reduce((a, b) => a + b)).toBe(4);
    // The idle one went first, then each of the others: four tasks stopped once each.
    expect(fleet.workers.stops).toHaveLength(4);
    for (const { task } of fleet.workers.stops)
      expect(fleet.workers.starts.filter((s) => s.task === task)).toHaveLength(2);
    expect(fleet.drainStatus('swap')).toMatchObject({
      returned: 3,
      failed: 0,
      step: 3,
      machines: [],
    });
    // A step's work ran again before the next began.
    const phases = fleet.store.recordWrites.filter(
      (key) => key.startsWith('m/swap') || key.startsWith('d/swap'),
    );
    expect(phases.length).toBeGreaterThan(9);
    expect(fleet.violations).toEqual([]);
    // What is over leaves no records but its own.
    fleet.run(5000);

    expect([...fleet.store.records.keys()]).toEqual(['d/swap']);
  });

  it('takes the least disturbing machines first: idle, then checkpointing, then finishing ones', () => {
    const fleet = new DrainFleet(machinesInZone(3));
    fleet.submitJob('job-1', { cpus: 8, estimateS: 100 });
    fleet.run(3000);
    fleet.submitJob('job-2', { cpus: 8, checkpointIntervalS: 5, checkpointWriteS: 1 });
    fleet.run(3000);
    const [ends, saves] = ['job-1/0', 'job-2/0'].map((name) => fleet.machineOf(name));
    const idle = [...fleet.workers.machines.keys()].find((id) => fleet.tasksOn(id).length === 0);

    const { body } = fleet.callOperatorApi('plan', '', { select: { all: true } });

    expect((body.plan as { name: string }[]).map((m) => m.name)).toEqual([idle, saves, ends]);
    expect(body).toMatchObject({ machines: 3, steps: 3, refused: null });
    expect(fleet.store.records.size).toBe(0);
  });

  it('lets work that ends soon, or writes no checkpoints, run to its end', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 8, estimateS: 30 });
    fleet.workers.runMsByJob.set('job-1', 30_000);
    fleet.run(3000);
    const holder = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [holder] }, replace: false });
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
    const from = fleet.machineOf('job-1/0')!;
    fleet.faults.refuseProvisioning = true;

    fleet.startDrain('out', { select: { machines: [from] }, replace: false });
    fleet.run(20_000);
    expect(fleet.machineOf('job-1/0')).toBe(from);
    expect(fleet.drainStatus('out').machines[0]?.blocked?.kind).toBe('replica-needs-room');
    fleet.workers.runMsByJob.set('job-2', 0);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.starts.filter((s) => s.task === 'job-1/0')).toHaveLength(2);
    expect(fleet.violations).toEqual([]);
  });

  it('places no work on a cordoned machine, and uncordons it when cancelled half empty', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 4, tasks: 2 });
    fleet.run(3000);
    const holder = fleet.machineOf('job-1/0')!;
    fleet.workers.runMsByJob.set('job-1', 60_000);

    fleet.startDrain('out', { select: { machines: [holder] }, replace: false });
    fleet.run(3000);
    fleet.submitJob('job-2', { cpus: 8, tasks: 2 });
    fleet.run(90_000 - fleet.now);
    expect(fleet.tasksOn(holder)).toEqual([]);
    const again = new DrainFleet(machinesInZone(1));
    again.submitJob('job-1', { cpus: 4 });
    again.run(3000);
    again.startDrain('out', { select: { all: true } });
    again.faults.refuseProvisioning = true;
    again.run(5000);
    again.faults.refuseProvisioning = false;
    again.runUntil(() => again.machinePhase('out', 'n-0000') === 'cordoned');
    expect(again.callOperatorApi('cancel', 'out').body).toMatchObject({
      status: 'cancelled',
      machines: [],
    });
    again.submitJob('job-2', { cpus: 4, tasks: 3 });
    again.run(5000);

    expect(again.tasksOn('n-0000')).toHaveLength(2);
    expect(again.cloud.returned).toEqual([]);
    expect(again.callOperatorApi('resume', 'out').status).toBe(409);
  });

  it('goes on when a job is cancelled on a draining machine', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 8 });
    fleet.run(3000);
    const holder = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [holder] }, replace: false });
    fleet.run(5000);
    fleet.cancelJob('job-1');
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.cloud.returned).toEqual([holder]);
    expect(fleet.store.completions.get('job-1')).toBe('cancelled');
  });

  it('pauses at its deadline instead of stopping more work, and goes on when resumed', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    fleet.submitJob('job-1', { cpus: 8 });
    fleet.run(3000);
    const holder = fleet.machineOf('job-1/0')!;

    fleet.startDrain('out', { select: { machines: [holder] }, replace: false, deadlineS: 20 });
    fleet.run(30_000);
    expect(fleet.drainStatus('out')).toMatchObject({
      status: 'paused',
      why: 'its deadline has passed',
    });
    expect(fleet.tasksOn(holder)).toEqual(['job-1/0']);
    fleet.workers.runMsByJob.set('job-1', 1000);
    fleet.run(10_000);
    // While it is paused an empty machine stays, out of use.
    expect(fleet.machinePhase('out', holder)).toBe('cordoned');
    expect(fleet.callOperatorApi('resume', 'out').status).toBe(200);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');
  });

  it('is refused when it would leave no machine that the head of the queue ever fits', () => {
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

  it('is given up for another request when it never becomes ready; the machine works on meanwhile', () => {
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

  it('is requested again under the same id when capacity is lacking, and the status says so', () => {
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

    // Two came with the first request; each of the others has one of its own.
    expect(fleet.cloud.provisioned.size).toBe(5);
    expect(new Set(requests).size).toBe(4);
    expect(fleet.cloud.returned).toHaveLength(5);
    expect(fleet.violations).toEqual([]);
  });

  it('is replaced in turn when it is lost once ready; the drained machine is in use meanwhile', () => {
    const fleet = new DrainFleet(machinesInZone(1));
    fleet.submitJob('job-1', { cpus: 4 });
    fleet.run(3000);

    fleet.startDrain('swap', { select: { machines: ['n-0000'] } });
    fleet.runUntil(() => (fleet.machinePhase('swap', 'n-0000') ?? 'waiting') !== 'waiting');
    const first = fleet.drainStatus('swap').machines[0]!.replacement!;
    fleet.faults.refuseProvisioning = true;
    fleet.workers.machines.delete(first);
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
  it('holds up a drain that begins while it is used up, until the work runs again', () => {
    const fleet = new DrainFleet(machinesInZone(3), BUDGET_1);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    // A machine is lost: one task is disrupted, and finds no room.
    const lost = fleet.machineOf('job-1/0')!;
    fleet.faults.refuseProvisioning = true;
    fleet.workers.machines.delete(lost);
    fleet.runUntil(() => fleet.state.machines.get(lost as MachineId) === undefined);
    const drained = fleet.machineOf('job-1/1')!;

    fleet.startDrain('out', { select: { machines: [drained] }, replace: false });
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
    const told = fleet.drainStatus('out');

    expect(told.status).toBe('stalled');
    expect(told.machines[0]?.blocked?.text).toBe(
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
    const kept = fleet.machineOf('job-1/0')!;

    fleet.startDrain('swap', { select: { all: true }, atOnce: 1 });
    fleet.runUntil(() => fleet.cloud.returned.length === 3);

    expect(fleet.cloud.returned).not.toContain(kept);
    expect(fleet.machineOf('job-1/0')).toBe(kept);
  });

  it('that is lowered below its use lets nothing new be stopped', () => {
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
    fleet.failOver({ settings: BUDGET_1 });
    fleet.run(60_000);

    expect(fleet.workers.stops).toHaveLength(2);
    expect(fleet.callOperatorApi('budgets').body.budgets).toMatchObject([
      { disrupted: 2, atOnce: 1 },
    ]);
  });

  it('holds for a job class, for a share, and within a window', () => {
    const settings = `(drain (let-end-s 5) (budgets
      (team blue (at-once-share 0.5) (within 300 3) (class settle (at-once 0)))))`;
    const fleet = new DrainFleet(machinesInZone(4), settings);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.submitJob('job-2', { ...CHECKPOINTING, cpus: 8, jobClass: 'settle' });
    fleet.run(5000);
    const settle = fleet.machineOf('job-2/0')!;

    fleet.startDrain('swap', { select: { all: true }, atOnce: 4 });
    // Of four tasks half at once, by the third the window is full, and the class may lose none.
    const first = fleet.now;
    fleet.runUntil(() => fleet.workers.stops.length === 3);
    fleet.run(100_000);
    expect(fleet.workers.stops).toHaveLength(3);
    expect(fleet.tasksOn(settle)).toEqual(['job-2/0']);
    expect(fleet.drainStatus('swap').machines[0]?.blocked?.text).toContain('class settle is 0');
    fleet.submitJob('job-3', { ...CHECKPOINTING, cpus: 8, tasks: 1 });
    fleet.run(4000);
    // It may have begun on the replacement of the machine that waits.
    fleet.callOperatorApi('cancel', 'swap');
    const later = fleet.machineOf('job-3/0')!;
    fleet.startDrain('more', { select: { machines: [later] } });
    fleet.run(20_000);
    expect(fleet.drainStatus('more').machines[0]?.blocked?.text).toContain(
      '3 of 3 disrupted within 300 s',
    );
    fleet.runUntil(() => fleet.drainPhase('more') === 'done');

    expect(fleet.now - first).toBeGreaterThan(299_000);
  });

  it('is used up by a lost zone: the drain waits until the work runs again', () => {
    const fleet = new DrainFleet([...machinesInZone(2, 'a'), ...machinesInZone(2, 'b')], BUDGET_1);
    fleet.submitJob('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 4 });
    fleet.run(4000);
    const inA = [...fleet.workers.machines.values()].filter((m) => m.zone === 'a').map((m) => m.id);
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

    expect(fleet.cloud.returned).toEqual(expect.arrayContaining(inA));
    expect(fleet.violations).toEqual([]);
  });

  it('also holds for replicas that the core evicts from a machine that fails jobs', () => {
    const fleet = new DrainFleet(machinesInZone(3), '(drain (budgets (team blue (at-once 0))))');
    fleet.submitJob('job-1', { shape: 'service', cpus: 2, estimateS: 0 });
    fleet.run(4000);
    const from = fleet.machineOf('job-1/0')!;
    fleet.state.machines.get(from as MachineId)!.isDraining = true;
    fleet.run(30_000);
    expect(fleet.machineOf('job-1/0')).toBe(from);
    // A notice leaves no choice.
    fleet.workers.machines.get(from)!.reclaimedAt = fleet.now + 15_000;
    fleet.runUntil(
      () => fleet.machineOf('job-1/0') !== from && fleet.machineOf('job-1/0') !== null,
    );
  });
});

describe('two drains of the same machines', () => {
  it('share the budget and return each machine once', () => {
    const fleet = new DrainFleet(machinesInZone(3), BUDGET_1);
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
