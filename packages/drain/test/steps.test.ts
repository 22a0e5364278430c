/** The steps of drains, their replacements, and disruption budgets. */
import type { MachineId } from '@robinspread/extension-api';
import { describe, expect, it } from 'vitest';
import { CHECKPOINTING, DrainFleet, inZone } from './support/drain-fleet.js';

const BUDGET_1 = '(drain (let-end-s 5) (budgets (team blue (at-once 1))))';

const tasksByMachine = (fleet: DrainFleet) =>
  [...fleet.workers.machines.keys()].map((id) => fleet.tasksOn(id).length);

describe('a drain', () => {
  it('replaces each machine once, step by step, and stops each task on it once', () => {
    const fleet = new DrainFleet(inZone(3));
    fleet.submit('job-1', { ...CHECKPOINTING, tasks: 4 });
    fleet.run(5000);
    const before = [...fleet.workers.machines.keys()];

    expect(fleet.start('swap', { select: { all: true }, atOnce: 1 }).status).toBe(201);
    fleet.until(() => fleet.drainPhase('swap') === 'done');
    expect(fleet.cloud.returned.sort()).toEqual(before);
    expect(fleet.cloud.provisioned.size).toBe(3);
    expect(fleet.workers.machines.size).toBe(3);
    expect(fleet.holderOf('job-1/3')).not.toBeNull();
    expect(tasksByMachine(fleet).reduce((a, b) => a + b)).toBe(4);
    // The idle one went first, then each of the others: four tasks stopped once each.
    expect(fleet.workers.stops).toHaveLength(4);
    for (const { task } of fleet.workers.stops)
      expect(fleet.workers.starts.filter((s) => s.task === task)).toHaveLength(2);
    expect(fleet.status('swap')).toMatchObject({ returned: 3, failed: 0, step: 3, machines: [] });
    // A step's work ran again before the next began.
    const phases = fleet.store.writes.filter(
      (key) => key.startsWith('m/swap') || key.startsWith('d/swap'),
    );
    expect(phases.length).toBeGreaterThan(9);
    expect(fleet.problems).toEqual([]);
    // What is over leaves no records but its own.
    fleet.run(5000);

    expect([...fleet.store.records.keys()]).toEqual(['d/swap']);
  });

  it('takes the least disturbing machines first: idle, then checkpointing, then finishing ones', () => {
    const fleet = new DrainFleet(inZone(3));
    fleet.submit('job-1', { cpus: 8, estimateS: 100 });
    fleet.run(3000);
    fleet.submit('job-2', { cpus: 8, checkpointIntervalS: 5, checkpointWriteS: 1 });
    fleet.run(3000);
    const [ends, saves] = ['job-1/0', 'job-2/0'].map((name) => fleet.holderOf(name));
    const idle = [...fleet.workers.machines.keys()].find((id) => fleet.tasksOn(id).length === 0);

    const { body } = fleet.call('plan', '', { select: { all: true } });

    expect((body.plan as { name: string }[]).map((m) => m.name)).toEqual([idle, saves, ends]);
    expect(body).toMatchObject({ machines: 3, steps: 3, refused: null });
    expect(fleet.store.records.size).toBe(0);
  });

  it('lets work that ends soon, or writes no checkpoints, run to its end', () => {
    const fleet = new DrainFleet(inZone(2));
    fleet.submit('job-1', { cpus: 8, estimateS: 30 });
    fleet.workers.runMs.set('job-1', 30_000);
    fleet.run(3000);
    const holder = fleet.holderOf('job-1/0')!;

    fleet.start('out', { select: { machines: [holder] }, replace: false });
    fleet.run(8000);
    expect(fleet.status('out').machines[0]).toMatchObject({
      state: 'cordoned',
      blocked: { kind: 'work-ends-by-itself' },
    });
    fleet.until(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.stops).toEqual([]);
    expect(fleet.store.completions.get('job-1')).toBe('done');
    expect(fleet.cloud.provisioned.size).toBe(0);
  });

  it('evicts a replica once capacity for it is reserved elsewhere, and never before', () => {
    const fleet = new DrainFleet(inZone(2));
    fleet.submit('job-1', { shape: 'service', cpus: 6, estimateS: 0 });
    fleet.submit('job-2', { cpus: 6 });
    fleet.run(4000);
    const from = fleet.holderOf('job-1/0')!;
    fleet.faults.refuseProvisioning = true;

    fleet.start('out', { select: { machines: [from] }, replace: false });
    fleet.run(20_000);
    expect(fleet.holderOf('job-1/0')).toBe(from);
    expect(fleet.status('out').machines[0]?.blocked?.kind).toBe('replica-needs-room');
    fleet.workers.runMs.set('job-2', 0);
    fleet.until(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.starts.filter((s) => s.task === 'job-1/0')).toHaveLength(2);
    expect(fleet.problems).toEqual([]);
  });

  it('places no work on a cordoned machine, and uncordons it when cancelled half empty', () => {
    const fleet = new DrainFleet(inZone(2));
    fleet.submit('job-1', { cpus: 4, tasks: 2 });
    fleet.run(3000);
    const holder = fleet.holderOf('job-1/0')!;
    fleet.workers.runMs.set('job-1', 60_000);

    fleet.start('out', { select: { machines: [holder] }, replace: false });
    fleet.run(3000);
    fleet.submit('job-2', { cpus: 8, tasks: 2 });
    fleet.run(90_000 - fleet.now);
    expect(fleet.tasksOn(holder)).toEqual([]);
    const again = new DrainFleet(inZone(1));
    again.submit('job-1', { cpus: 4 });
    again.run(3000);
    again.start('out', { select: { all: true } });
    again.faults.refuseProvisioning = true;
    again.run(5000);
    again.faults.refuseProvisioning = false;
    again.until(() => again.machinePhase('out', 'n-0000') === 'cordoned');
    expect(again.call('cancel', 'out').body).toMatchObject({ status: 'cancelled', machines: [] });
    again.submit('job-2', { cpus: 4, tasks: 3 });
    again.run(5000);

    expect(again.tasksOn('n-0000')).toHaveLength(2);
    expect(again.cloud.returned).toEqual([]);
    expect(again.call('resume', 'out').status).toBe(409);
  });

  it('goes on when a job is cancelled on a draining machine', () => {
    const fleet = new DrainFleet(inZone(2));
    fleet.submit('job-1', { cpus: 8 });
    fleet.run(3000);
    const holder = fleet.holderOf('job-1/0')!;

    fleet.start('out', { select: { machines: [holder] }, replace: false });
    fleet.run(5000);
    fleet.cancel('job-1');
    fleet.until(() => fleet.drainPhase('out') === 'done');

    expect(fleet.cloud.returned).toEqual([holder]);
    expect(fleet.store.completions.get('job-1')).toBe('cancelled');
  });

  it('pauses at its deadline instead of stopping more work, and goes on when resumed', () => {
    const fleet = new DrainFleet(inZone(2));
    fleet.submit('job-1', { cpus: 8 });
    fleet.run(3000);
    const holder = fleet.holderOf('job-1/0')!;

    fleet.start('out', { select: { machines: [holder] }, replace: false, deadlineS: 20 });
    fleet.run(30_000);
    expect(fleet.status('out')).toMatchObject({ status: 'paused', why: 'its deadline has passed' });
    expect(fleet.tasksOn(holder)).toEqual(['job-1/0']);
    fleet.workers.runMs.set('job-1', 1000);
    fleet.run(10_000);
    // While it is paused an empty machine stays, out of use.
    expect(fleet.machinePhase('out', holder)).toBe('cordoned');
    expect(fleet.call('resume', 'out').status).toBe(200);
    fleet.until(() => fleet.drainPhase('out') === 'done');
  });

  it('is refused when it would leave no machine that the head of the queue ever fits', () => {
    const fleet = new DrainFleet([...inZone(1, 'a'), ...inZone(1, 'b')]);
    fleet.submit('job-1', { cpus: 8, zone: 'b', tasks: 2 });
    fleet.run(3000);
    fleet.faults.refuseProvisioning = true;
    fleet.submit('job-2', {
      cpus: 8,
      zone: 'b',
      tasks: 2,
      estimateS: 1,
      priority: 'urgent',
      allowsSpot: false,
    });
    fleet.run(30_000);

    const refused = fleet.start('out', { select: { zone: 'b' }, replace: false });

    expect(refused.status).toBe(422);
    expect(refused.body.error).toMatch(/job-\d, the head of the queue/);
    expect(fleet.store.records.size).toBe(0);
    expect(fleet.start('in-a', { select: { zone: 'a' }, replace: false }).status).toBe(201);
  });
});

describe('a replacement', () => {
  const startFleet = (): DrainFleet => {
    const fleet = new DrainFleet(
      inZone(1),
      '(drain (let-end-s 5) (ready-timeout-s 30) (stalled-after-s 20))',
    );
    fleet.submit('job-1', { ...CHECKPOINTING, tasks: 2 });
    fleet.run(3000);
    return fleet;
  };

  it('is given up for another request when it never becomes ready; the machine works on meanwhile', () => {
    const fleet = startFleet();
    fleet.faults.neverBoot = true;

    fleet.start('swap', { select: { all: true } });
    fleet.run(25_000);
    expect(fleet.status('swap')).toMatchObject({ status: 'stalled' });
    expect(fleet.status('swap').machines[0]).toMatchObject({
      state: 'waiting',
      blocked: { kind: 'replacement-booting' },
    });
    expect(fleet.tasksOn('n-0000')).toHaveLength(2);
    fleet.until(() => fleet.cloud.provisioned.size === 2);
    fleet.faults.neverBoot = false;
    fleet.run(1000);
    expect(fleet.workers.stops).toEqual([]);
    fleet.until(() => fleet.drainPhase('swap') === 'done');

    expect(new Set(fleet.cloud.provisioned.values()).size).toBe(fleet.cloud.provisioned.size);
    expect(fleet.cloud.returned).toContain('n-0000');
    expect(fleet.problems).toEqual([]);
  });

  it('is requested again under the same id when capacity is lacking, and the status says so', () => {
    const fleet = startFleet();
    fleet.faults.refuseProvisioning = true;

    fleet.start('swap', { select: { all: true } });
    fleet.run(30_000);
    expect(fleet.status('swap').machines[0]?.blocked?.text).toBe(
      'the cloud has no capacity for c8 in a (ordinary)',
    );
    expect(fleet.workers.stops).toEqual([]);
    fleet.faults.refuseProvisioning = false;
    fleet.until(() => fleet.drainPhase('swap') === 'done');

    expect(fleet.cloud.provisioned.size).toBe(1);
  });

  it('is requested anew when the cloud provisions fewer machines than requested together', () => {
    const fleet = new DrainFleet(inZone(5));
    fleet.submit('job-1', { ...CHECKPOINTING, tasks: 10 });
    fleet.run(4000);
    fleet.faults.maxMachinesPerRequest = 2;

    fleet.start('swap', { select: { all: true }, atOnce: 5 });
    fleet.until(() => fleet.drainPhase('swap') === 'done');
    const requests = [...fleet.cloud.provisioned.keys()].map((name) => name.split('#')[0]);

    // Two came with the first request; each of the others has one of its own.
    expect(fleet.cloud.provisioned.size).toBe(5);
    expect(new Set(requests).size).toBe(4);
    expect(fleet.cloud.returned).toHaveLength(5);
    expect(fleet.problems).toEqual([]);
  });

  it('is replaced in turn when it is lost once ready; the drained machine is in use meanwhile', () => {
    const fleet = new DrainFleet(inZone(1));
    fleet.submit('job-1', { cpus: 4 });
    fleet.run(3000);

    fleet.start('swap', { select: { machines: ['n-0000'] } });
    fleet.until(() => (fleet.machinePhase('swap', 'n-0000') ?? 'waiting') !== 'waiting');
    const first = fleet.status('swap').machines[0]!.replacement!;
    fleet.faults.refuseProvisioning = true;
    fleet.workers.machines.delete(first);
    fleet.until(() => fleet.machinePhase('swap', 'n-0000') === 'waiting');
    expect(fleet.state.machines.get('n-0000' as MachineId)?.isCordoned).toBe(false);
    fleet.workers.runMs.set('job-1', 0);
    fleet.faults.refuseProvisioning = false;
    fleet.until(() => fleet.drainPhase('swap') === 'done');

    expect(fleet.cloud.provisioned.size).toBe(2);
    expect(fleet.problems).toEqual([]);
  });

  it('is not scaled in for idleness before its machine is drained', () => {
    const fleet = startFleet();

    fleet.start('swap', { select: { all: true } });
    fleet.until(() => (fleet.machinePhase('swap', 'n-0000') ?? 'waiting') !== 'waiting');
    const id = fleet.status('swap').machines[0]!.replacement as MachineId;
    const machine = fleet.state.machines.get(id)!;
    expect(fleet.state.extensions!.mayScaleIn(machine)).toBe(false);
    fleet.until(() => fleet.drainPhase('swap') === 'done');

    expect(fleet.state.extensions!.mayScaleIn(machine)).toBe(true);
  });
});

describe('a disruption budget', () => {
  it('holds up a drain that begins while it is used up, until the work runs again', () => {
    const fleet = new DrainFleet(inZone(3), BUDGET_1);
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);
    // A machine is lost: one task is disrupted, and finds no room.
    const lost = fleet.holderOf('job-1/0')!;
    fleet.faults.refuseProvisioning = true;
    fleet.workers.machines.delete(lost);
    fleet.until(() => fleet.state.machines.get(lost as MachineId) === undefined);
    const drained = fleet.holderOf('job-1/1')!;

    fleet.start('out', { select: { machines: [drained] }, replace: false });
    fleet.run(60_000);
    expect(fleet.workers.stops).toEqual([]);
    expect(fleet.status('out').machines[0]?.blocked?.text).toBe(
      'budget of team blue: 1 of 1 disrupted',
    );
    expect(fleet.call('budgets').body.budgets).toMatchObject([
      { scope: 'team blue', disrupted: 1, atOnce: 1 },
    ]);
    fleet.faults.refuseProvisioning = false;
    fleet.until(() => fleet.drainPhase('out') === 'done');

    expect(fleet.workers.stops).toHaveLength(1);
  });

  it('of 0 blocks the drain, and the status says so', () => {
    const fleet = new DrainFleet(
      inZone(2),
      '(drain (let-end-s 5) (budgets (team blue (at-once 0))))',
    );
    fleet.submit('job-1', CHECKPOINTING);
    fleet.run(4000);

    fleet.start('out', { select: { machines: [fleet.holderOf('job-1/0')!] }, replace: false });
    fleet.run(90_000);
    const told = fleet.status('out');

    expect(told.status).toBe('stalled');
    expect(told.machines[0]?.blocked?.text).toBe(
      'budget of team blue is 0: none of its work may be disrupted',
    );
    expect(fleet.workers.stops).toEqual([]);
  });

  it('of 0 for one job class has the machines of that class drained last', () => {
    const settings = '(drain (let-end-s 5) (budgets (team blue (class settle (at-once 0)))))';
    const fleet = new DrainFleet(inZone(4), settings);
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, jobClass: 'settle' });
    fleet.submit('job-2', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(5000);
    const kept = fleet.holderOf('job-1/0')!;

    fleet.start('swap', { select: { all: true }, atOnce: 1 });
    fleet.until(() => fleet.cloud.returned.length === 3);

    expect(fleet.cloud.returned).not.toContain(kept);
    expect(fleet.holderOf('job-1/0')).toBe(kept);
  });

  it('that is lowered below its use lets nothing new be stopped', () => {
    const fleet = new DrainFleet(
      inZone(4),
      '(drain (let-end-s 5) (budgets (team blue (at-once 2))))',
    );
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 4 });
    fleet.run(4000);
    fleet.faults.refuseProvisioning = true;

    fleet.start('out', { select: { all: true }, atOnce: 4, replace: false });
    fleet.until(() => fleet.workers.stops.length === 2);
    fleet.run(5000);
    fleet.failOver({ settings: BUDGET_1 });
    fleet.run(60_000);

    expect(fleet.workers.stops).toHaveLength(2);
    expect(fleet.call('budgets').body.budgets).toMatchObject([{ disrupted: 2, atOnce: 1 }]);
  });

  it('holds for a job class, for a share, and within a window', () => {
    const settings = `(drain (let-end-s 5) (budgets
      (team blue (at-once-share 0.5) (within 300 3) (class settle (at-once 0)))))`;
    const fleet = new DrainFleet(inZone(4), settings);
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.submit('job-2', { ...CHECKPOINTING, cpus: 8, jobClass: 'settle' });
    fleet.run(5000);
    const settle = fleet.holderOf('job-2/0')!;

    fleet.start('swap', { select: { all: true }, atOnce: 4 });
    // Of four tasks half at once, by the third the window is full, and the class may lose none.
    const first = fleet.now;
    fleet.until(() => fleet.workers.stops.length === 3);
    fleet.run(100_000);
    expect(fleet.workers.stops).toHaveLength(3);
    expect(fleet.tasksOn(settle)).toEqual(['job-2/0']);
    expect(fleet.status('swap').machines[0]?.blocked?.text).toContain('class settle is 0');
    fleet.submit('job-3', { ...CHECKPOINTING, cpus: 8, tasks: 1 });
    fleet.run(4000);
    // It may have begun on the replacement of the machine that waits.
    fleet.call('cancel', 'swap');
    const later = fleet.holderOf('job-3/0')!;
    fleet.start('more', { select: { machines: [later] } });
    fleet.run(20_000);
    expect(fleet.status('more').machines[0]?.blocked?.text).toContain(
      '3 of 3 disrupted within 300 s',
    );
    fleet.until(() => fleet.drainPhase('more') === 'done');

    expect(fleet.now - first).toBeGreaterThan(299_000);
  });

  it('is used up by a lost zone: the drain waits until the work runs again', () => {
    const fleet = new DrainFleet([...inZone(2, 'a'), ...inZone(2, 'b')], BUDGET_1);
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 4 });
    fleet.run(4000);
    const inA = [...fleet.workers.machines.values()].filter((m) => m.zone === 'a').map((m) => m.id);
    fleet.faults.refuseProvisioning = true;
    for (const m of [...fleet.workers.machines.values()])
      if (m.zone === 'b') fleet.workers.machines.delete(m.id);
    fleet.until(() => fleet.state.machines.size === 2);

    fleet.start('out', { select: { zone: 'a' }, replace: false });
    fleet.run(60_000);
    expect(fleet.workers.stops).toEqual([]);
    expect(fleet.call('budgets').body.budgets).toMatchObject([{ disrupted: 2 }]);
    fleet.faults.refuseProvisioning = false;
    fleet.until(() => fleet.drainPhase('out') === 'done');

    expect(fleet.cloud.returned).toEqual(expect.arrayContaining(inA));
    expect(fleet.problems).toEqual([]);
  });

  it('also holds for replicas that the core evicts from a machine that fails jobs', () => {
    const fleet = new DrainFleet(inZone(3), '(drain (budgets (team blue (at-once 0))))');
    fleet.submit('job-1', { shape: 'service', cpus: 2, estimateS: 0 });
    fleet.run(4000);
    const from = fleet.holderOf('job-1/0')!;
    fleet.state.machines.get(from as MachineId)!.isDraining = true;
    fleet.run(30_000);
    expect(fleet.holderOf('job-1/0')).toBe(from);
    // A notice leaves no choice.
    fleet.workers.machines.get(from)!.reclaimedAt = fleet.now + 15_000;
    fleet.until(() => fleet.holderOf('job-1/0') !== from && fleet.holderOf('job-1/0') !== null);
  });
});

describe('two drains of the same machines', () => {
  it('share the budget and return each machine once', () => {
    const fleet = new DrainFleet(inZone(3), BUDGET_1);
    fleet.submit('job-1', { ...CHECKPOINTING, cpus: 8, tasks: 3 });
    fleet.run(4000);

    fleet.start('one', { select: { all: true }, atOnce: 2 });
    fleet.start('two', { select: { zone: 'a' }, atOnce: 2 });
    fleet.until(() => fleet.drainPhase('one') === 'done' && fleet.drainPhase('two') === 'done');

    expect(new Set(fleet.cloud.returned).size).toBe(fleet.cloud.returned.length);
    expect(fleet.cloud.returned).toEqual(expect.arrayContaining(['n-0000', 'n-0001', 'n-0002']));
    expect(fleet.cloud.provisioned.size).toBe(fleet.cloud.returned.length);
    expect(fleet.problems).toEqual([]);
  });
});
