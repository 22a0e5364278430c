/** Standing services: replicas that run until their job is cancelled. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import { viewJob } from '../src/core/lifecycle/job-view.js';
import type { Command } from '../src/core/model/command.js';
import type { Effect } from '../src/core/model/effect.js';
import type { TaskStatus } from '../src/core/model/heartbeat.js';
import type { FencingToken, JobId, MachineId, ReplyTicket } from '../src/core/model/ids.js';
import type { StoreOperation } from '../src/core/model/ledger-record.js';
import type { Instant, Millis } from '../src/core/model/time.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import { runSchedulingRound } from '../src/core/scheduling/backfill.js';
import {
  core,
  heartbeatOf,
  type JobChange,
  job,
  ledgerEntry,
  recordedAttributes,
  type,
} from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

const service = (change: JobChange = {}): JobChange => ({
  shape: 'service',
  priority: 'critical',
  allowsSpot: false,
  estimateS: 0,
  ...change,
});
const kills = (effects: readonly Effect[]): WorkerCommand[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send-commands'
      ? effect.commands.filter((command) => command.op === 'kill')
      : [],
  );
const view = (driver: CoreDriver, id: string) =>
  viewJob(driver.state, id as JobId, driver.now as Instant);

/** Machines that hold what they were told to start, and report it; records all that was started. */
class Fleet {
  readonly heldByMachine = new Map<string, WorkerCommand[]>();
  readonly started: { command: WorkerCommand; machine: string; at: number }[] = [];

  constructor(
    readonly driver: CoreDriver,
    ids: readonly string[],
    readonly attributes: Record<string, object> = {},
  ) {
    for (const id of ids) this.heldByMachine.set(id, []);
    // After two heartbeats they are known to obey this fencing token.
    this.round();
    this.round();
  }

  add(id: string): void {
    this.heldByMachine.set(id, []);
    this.round();
    this.round();
  }

  /**
   * One heartbeat of each machine, all at a time; `end` says which of its tasks have ended, and
   * why.
   */
  round(
    end: (command: WorkerCommand, machine: string) => 'done' | 'error' | 'stopped' | null = () =>
      null,
  ): void {
    const statuses = new Map<string, TaskStatus[]>();
    for (const [id, held] of this.heldByMachine) {
      const say = (command: WorkerCommand) => {
        const cause = end(command, id);
        return cause ? ended(command, cause) : running(command);
      };
      statuses.set(id, held.map(say));
    }
    for (const [id, commands] of this.driver.sendHeartbeats(statuses, this.attributes)) {
      const held = this.heldByMachine.get(id)!;
      const after = held.filter((command) => end(command, id) === null);
      for (const command of commands ?? []) {
        if (command.op !== 'start') continue;
        after.push(command);
        this.started.push({ command, machine: id, at: this.driver.now });
      }
      this.heldByMachine.set(id, after);
    }
  }

  on(machine: string, id: string): number {
    return this.heldByMachine.get(machine)!.filter((command) => command.job === id).length;
  }
}

describe('a service', () => {
  it('is never done: a replica that ends, for whatever cause, runs again under a new attempt', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', service({ tasks: 2 }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    expect(view(driver, 'job-1')).toMatchObject({
      status: 'running',
      running: 2,
      done: 0,
      tasks: 2,
    });
    // They have run for long: an end then says nothing against the service.
    for (let i = 0; i < 30; i += 1) {
      fleet.round();
      driver.advance(1000);
    }
    for (const cause of ['done', 'error'] as const) {
      const before = fleet.started.length;
      fleet.round((command) => (command.index === 0 ? cause : null));
      for (let i = 0; i < 4; i += 1) fleet.round();
      expect(fleet.started.length).toBe(before + 1);
      expect(view(driver, 'job-1')).toMatchObject({ status: 'running', running: 2, done: 0 });
      for (let i = 0; i < 40; i += 1) {
        fleet.round();
        driver.advance(1000);
      }
    }
    const attempts = fleet.started.map(({ command }) => command.attempt);
    expect(new Set(attempts).size).toBe(attempts.length);
    const finals = driver.effects.filter(
      (effect) => effect.kind === 'job-ended' || effect.kind === 'cancellation-settled',
    );
    expect(finals).toEqual([]);
    // Nothing of it is entered as done either.
    const ops = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [...effect.operations] : [],
    );
    for (const op of ops) if (op.kind === 'write-segment') expect(op.progress).toEqual([]);
  });

  it('that has been cancelled loses all replicas, and none starts again', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2', 'n-3']);
    driver.submit('job-1', service({ tasks: 3 }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    driver.effects = [];
    driver.send({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 900 as ReplyTicket });
    driver.advance(500);
    expect(driver.effects).toContainEqual({
      kind: 'cancellation-settled',
      ticket: 900,
      outcome: 'cancelled',
    });
    expect(new Set(kills(driver.effects).map((command) => command.attempt)).size).toBe(3);
    const before = fleet.started.length;
    for (let i = 0; i < 6; i += 1) fleet.round(() => 'stopped');
    expect(fleet.started.length).toBe(before);
    expect(view(driver, 'job-1')).toBeNull();
  });

  it('of which the end is decided but not stored is not called running any more by its leader', () => {
    const state = core();
    const now = 0 as Instant;
    applyCommands(state, [{ kind: 'recovery-completed' }], now, 'lead');
    for (const id of ['job-1', 'job-2'])
      applyCommands(
        state,
        [{ kind: 'job', spec: job(id, service()), submittedAt: now }],
        now,
        'lead',
      );
    expect(viewJob(state, 'job-1' as JobId, now)).toMatchObject({ status: 'queued' });
    // Its batch may take several transactions: another node may have read the end before the leader
    // hears of it.
    const cancel = { kind: 'cancel-job', job: 'job-1' as JobId, ticket: 9 as ReplyTicket } as const;
    const effects = applyCommands(state, [cancel], now, 'lead');
    expect(effects.some((effect) => effect.kind === 'cancellation-settled')).toBe(false);
    expect(viewJob(state, 'job-1' as JobId, now)).toBeNull();
    expect(viewJob(state, 'job-2' as JobId, now)).toMatchObject({ status: 'queued' });
  });

  it('that fails at once everywhere pauses for longer and longer, holds up nobody and costs no machine', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', service({ tasks: 2 }));
    driver.submit('job-2', { tasks: 8, estimateS: 5 });
    for (let i = 0; i < 120; i += 1) {
      fleet.round((command) => (command.job === 'job-1' ? 'error' : 'done'));
      driver.advance(500);
    }
    const tries = fleet.started
      .filter(({ command }) => command.job === 'job-1')
      .map(({ at }) => at);
    expect(tries.length).toBeGreaterThan(4);
    expect(tries.length).toBeLessThan(20);
    expect(tries.at(-1)! - tries.at(-2)!).toBeGreaterThan(12_000);
    expect(fleet.started.filter(({ command }) => command.job === 'job-2')).toHaveLength(8);
    expect(view(driver, 'job-1')?.waiting).toMatch(/pausing after failed tasks/);
    expect(driver.effects.filter((effect) => effect.kind === 'delete-machines')).toEqual([]);
  });

  it('is not taken for faulty, and does not pause, for what one faulty machine does to it', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2', 'n-3']);
    driver.submit('job-1', service({ tasks: 6 }));
    for (let i = 0; i < 20; i += 1) fleet.round((_, m) => (m === 'n-1' ? 'error' : null));
    expect(view(driver, 'job-1')).toMatchObject({ running: 6 });
    expect(fleet.on('n-1', 'job-1')).toBe(0);
  });

  it('that the only machine there fails gets another to run on', () => {
    const driver = new CoreDriver(core({}, { baselineCapacityShare: 0 }));
    const fleet = new Fleet(driver, ['n-1']);
    driver.submit('job-1', service({ tasks: 1, allowsSpot: true }));
    fleet.round();
    expect(driver.effects.filter((effect) => effect.kind === 'provision')).toEqual([]);
    for (let i = 0; i < 4; i += 1) fleet.round(() => 'error');
    expect(driver.effects.filter((effect) => effect.kind === 'provision')).toHaveLength(1);
    fleet.add('n-2');
    for (let i = 0; i < 20; i += 1) fleet.round((_, m) => (m === 'n-1' ? 'error' : null));
    expect(view(driver, 'job-1')).toMatchObject({ running: 1 });
  });

  it('starts at once on a machine where nothing but replicas run: its heartbeat waits like an idle one’s', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1']);
    driver.submit('job-1', service({ tasks: 1 }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    const statuses = fleet.heldByMachine.get('n-1')!.map(running);
    const answer = (effects: readonly Effect[]) =>
      effects.find((effect) => effect.kind === 'reply-to-heartbeat' && effect.ticket === 990) as
        | { commands: WorkerCommand[] }
        | undefined;
    const sent = heartbeatOf('n-1', 900, driver.state.config.fencingToken, statuses);
    driver.effects = [];
    driver.send({ kind: 'heartbeat', heartbeat: sent, ticket: 990 as ReplyTicket });
    driver.advance(500);
    expect(answer(driver.effects)).toBeUndefined();
    driver.submit('job-2', service({ tasks: 1 }));
    driver.advance(250);
    expect(answer(driver.effects)?.commands).toMatchObject([{ op: 'start', job: 'job-2' }]);
  });

  it('leaves a machine with a reclaim notice once capacity is reserved elsewhere, and starts there only when proven gone', () => {
    const notice = { 'n-1': { spot: true, reclaimNoticeS: null as number | null } };
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1'], notice);
    driver.submit('job-1', service({ tasks: 1, allowsSpot: true, estimateS: 500 }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    expect(fleet.on('n-1', 'job-1')).toBe(1);
    notice['n-1'].reclaimNoticeS = 30;
    driver.effects = [];
    fleet.round();
    driver.advance(1000);
    // Nowhere to go: it runs on for as long as it can.
    const there = [...driver.state.machines.get('n-1' as MachineId)!.placements.values()];
    expect(there.map((placement) => placement.stopRequest)).toEqual([null]);
    const before = fleet.started.length;
    fleet.add('n-2');
    driver.advance(1000);
    expect(kills(driver.effects)[0]).toMatchObject({ op: 'kill', job: 'job-1', index: 0 });
    // It is still there as far as anybody knows.
    fleet.round();
    expect(fleet.started.length).toBe(before);
    fleet.round((_, m) => (m === 'n-1' ? 'stopped' : null));
    for (let i = 0; i < 3; i += 1) fleet.round();
    expect(fleet.on('n-2', 'job-1')).toBe(1);
  });

  it('spreads its replicas over machines, and over zones as it must, counting those not yet proven gone', () => {
    const zones = {
      'n-1': { zone: 'a' },
      'n-2': { zone: 'a' },
      'n-3': { zone: 'b' },
      'n-4': { zone: 'b' },
    };
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, Object.keys(zones), zones);
    driver.submit('job-1', service({ tasks: 4, spreadZones: true }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    expect([...fleet.heldByMachine.values()].map((held) => held.length)).toEqual([1, 1, 1, 1]);
    // Zone b falls silent: its two may still run there, so that nothing of them starts in a, which
    // holds its half.
    const b = fleet.heldByMachine.get('n-3')!.concat(fleet.heldByMachine.get('n-4')!);
    fleet.heldByMachine.delete('n-3');
    fleet.heldByMachine.delete('n-4');
    const before = fleet.started.length;
    for (let i = 0; i < 6; i += 1) fleet.round();
    expect(fleet.started.length).toBe(before);
    // Deleted, they are gone: a takes no more than half even so.
    driver.send({ kind: 'deletion-result', machines: ['n-3', 'n-4'] as MachineId[], ok: true });
    for (let i = 0; i < 4; i += 1) fleet.round();
    expect(b).toHaveLength(2);
    expect(fleet.started.length).toBe(before);
    fleet.attributes['n-5'] = { zone: 'b' };
    fleet.add('n-5');
    for (let i = 0; i < 4; i += 1) fleet.round();
    expect(fleet.on('n-5', 'job-1')).toBe(2);
  });

  it('when critical goes ahead of a head that reserves, preempting as little as it takes of what loses least', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', { tasks: 15, estimateS: 300, priority: 'best_effort' });
    for (let i = 0; i < 4; i += 1) fleet.round();
    driver.submit('job-2', { tasks: 40, cpus: 2, estimateS: 100, priority: 'urgent' });
    driver.submit('job-3', { tasks: 1, estimateS: 300, priority: 'best_effort' });
    for (let i = 0; i < 3; i += 1) fleet.round();
    driver.effects = [];
    driver.submit('job-9', service({ tasks: 2, cpus: 1 }));
    driver.advance(750);
    const stopped = kills(driver.effects);
    // One processor is free, reserved for the head.
    expect(new Set(stopped.map((command) => command.attempt)).size).toBe(1);
    expect(driver.state.queueHead).not.toBe('job-9');
    const attempts = new Set(stopped.map((command) => command.attempt));
    fleet.round((command) => (attempts.has(command.attempt) ? 'stopped' : null));
    for (let i = 0; i < 3; i += 1) fleet.round();
    expect(view(driver, 'job-9')).toMatchObject({ running: 2 });
  });

  it('that can never be placed in full holds up nobody', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1']);
    for (const [id, priority] of [
      ['job-1', 'critical'],
      ['job-2', 'standard'],
    ] as const)
      driver.submit(id, service({ tasks: 2, cpus: 5, priority }));
    driver.submit('job-3', { tasks: 30, estimateS: 1, allowsSpot: false });
    for (let i = 0; i < 60; i += 1) {
      fleet.round((command) => (command.job === 'job-3' ? 'done' : null));
      driver.advance(300);
    }
    expect(fleet.on('n-1', 'job-1')).toBe(1);
    expect(driver.state.jobs.has('job-3' as JobId)).toBe(false);
    expect(view(driver, 'job-2')?.waiting).toBeTruthy();
  });
});

describe('a machine is provisioned', () => {
  const provisions = (driver: CoreDriver) =>
    driver.effects.flatMap((effect) => (effect.kind === 'provision' ? [effect] : []));

  it('in a zone where a service that must be spread may still go', () => {
    const driver = new CoreDriver(core({}, { baselineCapacityShare: 0 }));
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', service({ tasks: 2, allowsSpot: true, spreadZones: true }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    expect(view(driver, 'job-1')).toMatchObject({ running: 1 });
    expect(provisions(driver).length).toBeGreaterThan(0);
    for (const effect of provisions(driver)) expect(effect.zone).toBe('b');
  });

  it('for an array that fits no machine beside the replicas there, which are not preempted', () => {
    for (const cpus of [3, 4]) {
      const driver = new CoreDriver(core({}, { baselineCapacityShare: 0, capacityHeadroom: 1 }));
      const fleet = new Fleet(driver, ['n-1', 'n-2']);
      driver.submit('job-1', service({ tasks: 10, allowsSpot: true }));
      for (let i = 0; i < 3; i += 1) fleet.round();
      expect([fleet.on('n-1', 'job-1'), fleet.on('n-2', 'job-1')]).toEqual([5, 5]);
      driver.submit('job-2', { tasks: 1, cpus });
      for (let i = 0; i < 3; i += 1) fleet.round();
      expect(provisions(driver).length > 0).toBe(cpus > 3);
    }
  });
});

describe('on-demand machines', () => {
  const spots = { 'n-1': { spot: false }, 'n-2': { spot: true } };

  it('are left to services by what may use spot ones, and only while there are services', () => {
    for (const withService of [false, true]) {
      const driver = new CoreDriver();
      const fleet = new Fleet(driver, ['n-1', 'n-2'], spots);
      if (withService) driver.submit('job-1', service({ tasks: 1 }));
      driver.submit('job-2', { tasks: 20, estimateS: 100 });
      for (let i = 0; i < 4; i += 1) fleet.round();
      expect(fleet.on('n-1', 'job-2')).toBe(withService ? 0 : 8);
      expect(fleet.on('n-2', 'job-2')).toBe(8);
    }
  });

  it('are provisioned for services that may use no others, and not scaled in while they are needed', () => {
    // Nothing else asks for machines.
    const driver = new CoreDriver(core({}, { scaleInAfterIdleS: 10, baselineCapacityShare: 0 }));
    const fleet = new Fleet(driver, ['n-1', 'n-2'], {
      'n-1': { spot: true },
      'n-2': { spot: false },
    });
    driver.effects = [];
    driver.submit('job-1', service({ tasks: 4 }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    const provisions = driver.effects.filter((effect) => effect.kind === 'provision');
    expect(provisions.length).toBeGreaterThan(0);
    for (const effect of provisions) expect(effect.spot).toBe(false);
    // It comes, and stands idle.
    fleet.attributes['n-3'] = { spot: false };
    fleet.add('n-3');
    for (let i = 0; i < 60; i += 1) {
      fleet.round();
      driver.advance(500);
    }
    const deleted = driver.effects.flatMap((effect) =>
      effect.kind === 'delete-machines' ? [...effect.machines] : [],
    );
    expect(deleted).not.toContain('n-2');
    expect(deleted).not.toContain('n-3');
    expect(deleted).toContain('n-1');
  });
});

describe('machines that miss heartbeats', () => {
  /** Of ten machines, one with a replica; these many of them fall silent. When each is deleted. */
  const deletions = (silent: number): Map<string, number> => {
    const ids = Array.from({ length: 10 }, (_, i) => `n-${i}`);
    const driver = new CoreDriver(core({ heartbeatIntervalMs: 4000 as Millis }));
    const fleet = new Fleet(driver, ids);
    driver.submit('job-1', service({ tasks: 1 }));
    for (let i = 0; i < 3; i += 1) fleet.round();
    const replica = fleet.started[0]!.machine;
    const gone = [replica, ...ids.filter((id) => id !== replica)].slice(0, silent);
    for (const id of gone) fleet.heldByMachine.delete(id);
    const from = driver.now;
    const at = new Map<string, number>();
    driver.effects = [];
    while (driver.now < from + 60_000) {
      fleet.round();
      for (const effect of driver.effects.splice(0)) {
        if (effect.kind === 'delete-machines')
          for (const id of effect.machines)
            at.set(id === replica ? 'replica' : id, driver.now - from);
      }
    }
    return at;
  };

  it('with a replica are replaced soon, also where many are silent at once, the others with patience', () => {
    const at = deletions(4);
    expect(at.get('replica')).toBeLessThan(13_000);
    const others = [...at].filter(([id]) => id !== 'replica').map(([, when]) => when);
    expect(others).toHaveLength(3);
    // Two leases.
    for (const when of others) expect(when).toBeGreaterThan(28_000);
  });

  it('are not replaced soon, whatever they hold, where so many are silent that the fault is ours', () => {
    for (const when of deletions(8).values()) expect(when).toBeGreaterThan(28_000);
  });
});

describe('replicas in the placement ledger', () => {
  it('stand in segments of their own, which what ends soon does not make sparse', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    // They begin together, so that their entries come in one batch.
    const specs = [
      job('job-900', service({ tasks: 4 })),
      job('job-901', { tasks: 12, allowsSpot: false }),
    ];
    const now = driver.now as Instant;
    const effects = driver.send(
      ...specs.map((spec) => ({ kind: 'job', spec, submittedAt: now }) as const),
    );
    const batch = effects.find((effect) => effect.kind === 'store-batch');
    expect(batch?.operations.map((op) => op.kind)).toEqual(['write-segment', 'write-segment']);
    fleet.round();
    driver.effects = [];
    for (let i = 0; i < 60; i += 1) {
      driver.submit(`job-${i}`, { tasks: 6, allowsSpot: false });
      fleet.round((command) => (command.job === 'job-900' ? null : 'done'));
      driver.advance(500);
    }
    const ops: StoreOperation[] = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [...effect.operations] : [],
    );
    const moved = ops.flatMap((op) =>
      op.kind === 'write-segment'
        ? op.machines.flatMap((m) => m.entries.filter((x) => x.job === 'job-900'))
        : [],
    );
    expect(ops.filter((op) => op.kind === 'write-segment').length).toBeGreaterThan(30);
    expect(moved).toEqual([]);
    expect(driver.state.jobs.get('job-900' as JobId)?.attemptsByTask.size).toBe(4);
    expect(driver.state.segments.size).toBeLessThan(15);
  });

  it.each([false, true])(
    'of a critical service are placed within a new leader’s wait, arrays after it, none while a record cannot be read (%s)',
    (unreadable) => {
      const state = core({ fencingToken: 8 as FencingToken });
      const first = new Map<string, number>();
      const statuses: TaskStatus[] = [];
      const send = (now: number, ...commands: Command[]): void => {
        for (const effect of applyCommands(state, commands, now as Instant, 'lead')) {
          if (effect.kind === 'store-batch')
            send(now, { kind: 'batch-stored', batch: effect.batch });
          if (effect.kind !== 'reply-to-heartbeat') continue;
          for (const command of effect.commands ?? []) {
            if (command.op !== 'start') continue;
            statuses.push(running(command));
            first.set(command.job, first.get(command.job) ?? now);
          }
        }
      };
      const odd: Command = {
        kind: 'unreadable-segment',
        segment: segmentKey(7 as FencingToken, 1),
      };
      send(0, { kind: 'machine-types', types: [type('c8')] }, ...(unreadable ? [odd] : []));
      for (const spec of [job('job-1', service()), job('job-2', { allowsSpot: false })])
        send(0, { kind: 'job', spec, submittedAt: 0 as Instant });
      send(0, { kind: 'recovery-completed' });
      for (let now = 200, seq = 1; now < 40_000; now += 200, seq += 1) {
        const said = heartbeatOf('n-1', seq, seq < 3 ? 7 : 8, [...statuses]);
        send(now, { kind: 'heartbeat', heartbeat: said, ticket: seq as ReplyTicket });
      }
      // 1.3 report periods; keep-alive and lease.
      const wait = unreadable ? 26_000 : 2600;
      expect(first.get('job-2')).toBeGreaterThanOrEqual(wait);
      if (unreadable) expect(first.get('job-1')).toBeGreaterThanOrEqual(wait);
      else expect(first.get('job-1')).toBeLessThan(1500);
    },
  );

  it('of a former leader stay where they are until their machine answers for them', () => {
    const state = core({ fencingToken: 8 as FencingToken });
    const spec = job('job-1', service({ tasks: 2 }));
    const at = {
      machine: 'n-1' as MachineId,
      attributes: recordedAttributes,
      entries: [ledgerEntry(0, 70), ledgerEntry(1, 71)],
    };
    applyCommands(
      state,
      [
        { kind: 'machine-types', types: [type('c8')] },
        { kind: 'job', spec, submittedAt: 0 as Instant },
        // What an array's record would say of it as done changes nothing: a service never is.
        {
          kind: 'recovered-progress',
          segment: segmentKey(7 as FencingToken, 1),
          job: spec.id,
          firstTask: 0,
          bits: Uint8Array.of(255),
        },
        { kind: 'recovered-attempts', segment: segmentKey(7 as FencingToken, 1), ...at },
        { kind: 'recovery-completed' },
      ],
      0 as Instant,
      'lead',
    );
    const placed: number[] = [];
    for (let now = 500, seq = 1; now < 10_000; now += 500, seq += 1) {
      const told = heartbeatOf('n-2', seq, seq < 3 ? 7 : 8);
      applyCommands(
        state,
        [{ kind: 'heartbeat', heartbeat: told, ticket: seq as ReplyTicket }],
        now as Instant,
        'lead',
      );
      placed.push(runSchedulingRound(state, now as Instant).placed.length);
    }
    expect(placed.every((n) => n === 0)).toBe(true);
    expect(state.jobs.get(spec.id)).toMatchObject({ doneCount: 0, terminalState: 'none' });
  });
});
