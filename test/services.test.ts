/** Service jobs: replicas that run until their job is cancelled. */
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
  type JobOverrides,
  job,
  ledgerEntry,
  machineType,
  recordedAttributes,
} from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

const service = (change: JobOverrides = {}): JobOverrides => ({
  shape: 'service',
  priority: 'critical',
  allowsSpot: false,
  estimateS: 0,
  ...change,
});
const killCommands = (effects: readonly Effect[]): WorkerCommand[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send-commands'
      ? effect.commands.filter((command) => command.op === 'kill')
      : [],
  );
const view = (driver: CoreDriver, id: string) =>
  viewJob(driver.state, id as JobId, driver.now as Instant);

/** Machines that report the tasks they were commanded to start; records every start. */
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
    this.heartbeatRound();
    this.heartbeatRound();
  }

  add(id: string): void {
    this.heldByMachine.set(id, []);
    this.heartbeatRound();
    this.heartbeatRound();
  }

  /**
   * Sends a heartbeat of each machine, all at a time; `endCauseOf` returns why a task has ended, or
   * null while it runs.
   */
  heartbeatRound(
    endCauseOf: (
      command: WorkerCommand,
      machine: string,
    ) => 'done' | 'error' | 'stopped' | null = () => null,
  ): void {
    const statuses = new Map<string, TaskStatus[]>();
    for (const [id, held] of this.heldByMachine) {
      const reportTask = (command: WorkerCommand) => {
        const cause = endCauseOf(command, id);
        return cause ? ended(command, cause) : running(command);
      };
      statuses.set(id, held.map(reportTask));
    }
    for (const [id, commands] of this.driver.sendHeartbeats(statuses, this.attributes)) {
      const held = this.heldByMachine.get(id)!;
      const remaining = held.filter((command) => endCauseOf(command, id) === null);
      for (const command of commands ?? []) {
        if (command.op !== 'start') continue;
        remaining.push(command);
        this.started.push({ command, machine: id, at: this.driver.now });
      }
      this.heldByMachine.set(id, remaining);
    }
  }

  taskCount(machine: string, id: string): number {
    return this.heldByMachine.get(machine)!.filter((command) => command.job === id).length;
  }
}

describe('a service', () => {
  it('is never done: a replica that ends for any cause runs again as a new attempt', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', service({ tasks: 2 }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    expect(view(driver, 'job-1')).toMatchObject({
      status: 'running',
      running: 2,
      done: 0,
      tasks: 2,
    });
    // They have run for long, so that an end does not count as a failed start.
    for (let i = 0; i < 30; i += 1) {
      fleet.heartbeatRound();
      driver.advance(1000);
    }
    for (const cause of ['done', 'error'] as const) {
      const before = fleet.started.length;
      fleet.heartbeatRound((command) => (command.index === 0 ? cause : null));
      for (let i = 0; i < 4; i += 1) fleet.heartbeatRound();
      expect(fleet.started.length).toBe(before + 1);
      expect(view(driver, 'job-1')).toMatchObject({ status: 'running', running: 2, done: 0 });
      for (let i = 0; i < 40; i += 1) {
        fleet.heartbeatRound();
        driver.advance(1000);
      }
    }
    const attempts = fleet.started.map(({ command }) => command.attempt);
    expect(new Set(attempts).size).toBe(attempts.length);
    const endEffects = driver.effects.filter(
      (effect) => effect.kind === 'job-ended' || effect.kind === 'cancellation-settled',
    );
    expect(endEffects).toEqual([]);
    // The ledger records no progress for it either.
    const ops = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [...effect.operations] : [],
    );
    for (const op of ops) if (op.kind === 'write-segment') expect(op.progress).toEqual([]);
  });

  it('that has been cancelled loses all replicas, and none starts again', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2', 'n-3']);
    driver.submit('job-1', service({ tasks: 3 }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    driver.effects = [];
    driver.send({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 900 as ReplyTicket });
    driver.advance(500);
    expect(driver.effects).toContainEqual({
      kind: 'cancellation-settled',
      ticket: 900,
      outcome: 'cancelled',
    });
    expect(new Set(killCommands(driver.effects).map((command) => command.attempt)).size).toBe(3);
    const before = fleet.started.length;
    for (let i = 0; i < 6; i += 1) fleet.heartbeatRound(() => 'stopped');
    expect(fleet.started.length).toBe(before);
    expect(view(driver, 'job-1')).toBeNull();
  });

  it('is not reported as running once its end is decided, though not yet stored', () => {
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
    // Its batch may take several transactions: another node may read the end before the leader
    // learns of it.
    const cancel = { kind: 'cancel-job', job: 'job-1' as JobId, ticket: 9 as ReplyTicket } as const;
    const effects = applyCommands(state, [cancel], now, 'lead');
    expect(effects.some((effect) => effect.kind === 'cancellation-settled')).toBe(false);
    expect(viewJob(state, 'job-1' as JobId, now)).toBeNull();
    expect(viewJob(state, 'job-2' as JobId, now)).toMatchObject({ status: 'queued' });
  });

  it('that fails everywhere is retried ever later, delays no job, has no machine deleted', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', service({ tasks: 2 }));
    driver.submit('job-2', { tasks: 8, estimateS: 5 });
    for (let i = 0; i < 120; i += 1) {
      fleet.heartbeatRound((command) => (command.job === 'job-1' ? 'error' : 'done'));
      driver.advance(500);
    }
    const startTimes = fleet.started
      .filter(({ command }) => command.job === 'job-1')
      .map(({ at }) => at);
    expect(startTimes.length).toBeGreaterThan(4);
    expect(startTimes.length).toBeLessThan(20);
    expect(startTimes.at(-1)! - startTimes.at(-2)!).toBeGreaterThan(12_000);
    expect(fleet.started.filter(({ command }) => command.job === 'job-2')).toHaveLength(8);
    expect(view(driver, 'job-1')?.waiting).toMatch(/pausing after failed tasks/);
    expect(driver.effects.filter((effect) => effect.kind === 'delete-machines')).toEqual([]);
  });

  it('does not pause when its replicas fail on one faulty machine only', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2', 'n-3']);
    driver.submit('job-1', service({ tasks: 6 }));
    for (let i = 0; i < 20; i += 1) fleet.heartbeatRound((_, m) => (m === 'n-1' ? 'error' : null));
    expect(view(driver, 'job-1')).toMatchObject({ running: 6 });
    expect(fleet.taskCount('n-1', 'job-1')).toBe(0);
  });

  it('that fails on the only machine has another one provisioned', () => {
    const driver = new CoreDriver(core({}, { baselineCapacityShare: 0 }));
    const fleet = new Fleet(driver, ['n-1']);
    driver.submit('job-1', service({ tasks: 1, allowsSpot: true }));
    fleet.heartbeatRound();
    expect(driver.effects.filter((effect) => effect.kind === 'provision')).toEqual([]);
    for (let i = 0; i < 4; i += 1) fleet.heartbeatRound(() => 'error');
    expect(driver.effects.filter((effect) => effect.kind === 'provision')).toHaveLength(1);
    fleet.add('n-2');
    for (let i = 0; i < 20; i += 1) fleet.heartbeatRound((_, m) => (m === 'n-1' ? 'error' : null));
    expect(view(driver, 'job-1')).toMatchObject({ running: 1 });
  });

  it('starts at once on a machine that runs only replicas, as its heartbeat is held open', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1']);
    driver.submit('job-1', service({ tasks: 1 }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
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

  it('moves to reserved capacity after a reclaim notice, once proven absent on its machine', () => {
    const attributes = { 'n-1': { spot: true, reclaimNoticeS: null as number | null } };
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1'], attributes);
    driver.submit('job-1', service({ tasks: 1, allowsSpot: true, estimateS: 500 }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    expect(fleet.taskCount('n-1', 'job-1')).toBe(1);
    attributes['n-1'].reclaimNoticeS = 30;
    driver.effects = [];
    fleet.heartbeatRound();
    driver.advance(1000);
    // No other machine has room: it runs on until the reclaim.
    const placements = [...driver.state.machines.get('n-1' as MachineId)!.placements.values()];
    expect(placements.map((placement) => placement.stopRequest)).toEqual([null]);
    const before = fleet.started.length;
    fleet.add('n-2');
    driver.advance(1000);
    expect(killCommands(driver.effects)[0]).toMatchObject({ op: 'kill', job: 'job-1', index: 0 });
    // No heartbeat has reported its end yet.
    fleet.heartbeatRound();
    expect(fleet.started.length).toBe(before);
    fleet.heartbeatRound((_, m) => (m === 'n-1' ? 'stopped' : null));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    expect(fleet.taskCount('n-2', 'job-1')).toBe(1);
  });

  it('spreads replicas over machines and zones, counting those not yet proven absent', () => {
    const zones = {
      'n-1': { zone: 'a' },
      'n-2': { zone: 'a' },
      'n-3': { zone: 'b' },
      'n-4': { zone: 'b' },
    };
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, Object.keys(zones), zones);
    driver.submit('job-1', service({ tasks: 4, spreadZones: true }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    expect([...fleet.heldByMachine.values()].map((held) => held.length)).toEqual([1, 1, 1, 1]);
    // Zone b falls silent: its two replicas may still run, so that none starts in zone a, which
    // has its half.
    const zoneBCommands = fleet.heldByMachine.get('n-3')!.concat(fleet.heldByMachine.get('n-4')!);
    fleet.heldByMachine.delete('n-3');
    fleet.heldByMachine.delete('n-4');
    const before = fleet.started.length;
    for (let i = 0; i < 6; i += 1) fleet.heartbeatRound();
    expect(fleet.started.length).toBe(before);
    // Even once their machines are deleted, zone a gets no more than half.
    driver.send({ kind: 'deletion-result', machines: ['n-3', 'n-4'] as MachineId[], ok: true });
    for (let i = 0; i < 4; i += 1) fleet.heartbeatRound();
    expect(zoneBCommands).toHaveLength(2);
    expect(fleet.started.length).toBe(before);
    fleet.attributes['n-5'] = { zone: 'b' };
    fleet.add('n-5');
    for (let i = 0; i < 4; i += 1) fleet.heartbeatRound();
    expect(fleet.taskCount('n-5', 'job-1')).toBe(2);
  });

  it('that is critical starts before the queue head, with as little preemption as possible', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', { tasks: 15, estimateS: 300, priority: 'best_effort' });
    for (let i = 0; i < 4; i += 1) fleet.heartbeatRound();
    driver.submit('job-2', { tasks: 40, cpus: 2, estimateS: 100, priority: 'urgent' });
    driver.submit('job-3', { tasks: 1, estimateS: 300, priority: 'best_effort' });
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    driver.effects = [];
    driver.submit('job-9', service({ tasks: 2, cpus: 1 }));
    driver.advance(750);
    const killed = killCommands(driver.effects);
    // One CPU is free, reserved for the queue head.
    expect(new Set(killed.map((command) => command.attempt)).size).toBe(1);
    expect(driver.state.queueHead).not.toBe('job-9');
    const attempts = new Set(killed.map((command) => command.attempt));
    fleet.heartbeatRound((command) => (attempts.has(command.attempt) ? 'stopped' : null));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    expect(view(driver, 'job-9')).toMatchObject({ running: 2 });
  });

  it('that can never be placed in full delays no other job', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1']);
    for (const [id, priority] of [
      ['job-1', 'critical'],
      ['job-2', 'standard'],
    ] as const)
      driver.submit(id, service({ tasks: 2, cpus: 5, priority }));
    driver.submit('job-3', { tasks: 30, estimateS: 1, allowsSpot: false });
    for (let i = 0; i < 60; i += 1) {
      fleet.heartbeatRound((command) => (command.job === 'job-3' ? 'done' : null));
      driver.advance(300);
    }
    expect(fleet.taskCount('n-1', 'job-1')).toBe(1);
    expect(driver.state.jobs.has('job-3' as JobId)).toBe(false);
    expect(view(driver, 'job-2')?.waiting).toBeTruthy();
  });
});

describe('provisioning', () => {
  const provisions = (driver: CoreDriver) =>
    driver.effects.flatMap((effect) => (effect.kind === 'provision' ? [effect] : []));

  it('uses a zone where a service that must be spread may still run', () => {
    const driver = new CoreDriver(core({}, { baselineCapacityShare: 0 }));
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    driver.submit('job-1', service({ tasks: 2, allowsSpot: true, spreadZones: true }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    expect(view(driver, 'job-1')).toMatchObject({ running: 1 });
    expect(provisions(driver).length).toBeGreaterThan(0);
    for (const effect of provisions(driver)) expect(effect.zone).toBe('b');
  });

  it('adds a machine for an array that fits none beside replicas, which stay', () => {
    for (const cpus of [3, 4]) {
      const driver = new CoreDriver(core({}, { baselineCapacityShare: 0, capacityHeadroom: 1 }));
      const fleet = new Fleet(driver, ['n-1', 'n-2']);
      driver.submit('job-1', service({ tasks: 10, allowsSpot: true }));
      for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
      expect([fleet.taskCount('n-1', 'job-1'), fleet.taskCount('n-2', 'job-1')]).toEqual([5, 5]);
      driver.submit('job-2', { tasks: 1, cpus });
      for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
      expect(provisions(driver).length > 0).toBe(cpus > 3);
    }
  });
});

describe('on-demand machines', () => {
  const attributes = { 'n-1': { spot: false }, 'n-2': { spot: true } };

  it('are left to services by jobs that may use spot ones, while there are services', () => {
    for (const withService of [false, true]) {
      const driver = new CoreDriver();
      const fleet = new Fleet(driver, ['n-1', 'n-2'], attributes);
      if (withService) driver.submit('job-1', service({ tasks: 1 }));
      driver.submit('job-2', { tasks: 20, estimateS: 100 });
      for (let i = 0; i < 4; i += 1) fleet.heartbeatRound();
      expect(fleet.taskCount('n-1', 'job-2')).toBe(withService ? 0 : 8);
      expect(fleet.taskCount('n-2', 'job-2')).toBe(8);
    }
  });

  it('are provisioned for services that require them, and not scaled in while needed', () => {
    // No baseline capacity: only the service requires machines.
    const driver = new CoreDriver(core({}, { scaleInAfterIdleS: 10, baselineCapacityShare: 0 }));
    const fleet = new Fleet(driver, ['n-1', 'n-2'], {
      'n-1': { spot: true },
      'n-2': { spot: false },
    });
    driver.effects = [];
    driver.submit('job-1', service({ tasks: 4 }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    const provisions = driver.effects.filter((effect) => effect.kind === 'provision');
    expect(provisions.length).toBeGreaterThan(0);
    for (const effect of provisions) expect(effect.spot).toBe(false);
    // The machine becomes ready and stays idle.
    fleet.attributes['n-3'] = { spot: false };
    fleet.add('n-3');
    for (let i = 0; i < 60; i += 1) {
      fleet.heartbeatRound();
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
  /** Silences some of ten machines, one with a replica; returns when each is deleted, in ms. */
  const deletionTimes = (silentCount: number): Map<string, number> => {
    const ids = Array.from({ length: 10 }, (_, i) => `n-${i}`);
    const driver = new CoreDriver(core({ heartbeatIntervalMs: 4000 as Millis }));
    const fleet = new Fleet(driver, ids);
    driver.submit('job-1', service({ tasks: 1 }));
    for (let i = 0; i < 3; i += 1) fleet.heartbeatRound();
    const replica = fleet.started[0]!.machine;
    const silentIds = [replica, ...ids.filter((id) => id !== replica)].slice(0, silentCount);
    for (const id of silentIds) fleet.heldByMachine.delete(id);
    const from = driver.now;
    const deletedAt = new Map<string, number>();
    driver.effects = [];
    while (driver.now < from + 60_000) {
      fleet.heartbeatRound();
      for (const effect of driver.effects.splice(0)) {
        if (effect.kind === 'delete-machines')
          for (const id of effect.machines)
            deletedAt.set(id === replica ? 'replica' : id, driver.now - from);
      }
    }
    return deletedAt;
  };

  it('are replaced early if they run a replica, though many are silent, and others later', () => {
    const deletedAt = deletionTimes(4);
    expect(deletedAt.get('replica')).toBeLessThan(13_000);
    const others = [...deletedAt].filter(([id]) => id !== 'replica').map(([, when]) => when);
    expect(others).toHaveLength(3);
    // Two leases, less one heartbeat interval.
    for (const when of others) expect(when).toBeGreaterThan(28_000);
  });

  it('are not replaced early if most are silent, as the leader is more likely at fault', () => {
    for (const when of deletionTimes(8).values()) expect(when).toBeGreaterThan(28_000);
  });
});

describe('replicas in the placement ledger', () => {
  it('have ledger segments of their own, which short tasks do not make sparse', () => {
    const driver = new CoreDriver();
    const fleet = new Fleet(driver, ['n-1', 'n-2']);
    // They start together, so that their entries are stored in one batch.
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
    fleet.heartbeatRound();
    driver.effects = [];
    for (let i = 0; i < 60; i += 1) {
      driver.submit(`job-${i}`, { tasks: 6, allowsSpot: false });
      fleet.heartbeatRound((command) => (command.job === 'job-900' ? null : 'done'));
      driver.advance(500);
    }
    const ops: StoreOperation[] = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [...effect.operations] : [],
    );
    const rewrittenEntries = ops.flatMap((op) =>
      op.kind === 'write-segment'
        ? op.machines.flatMap((m) => m.entries.filter((x) => x.job === 'job-900'))
        : [],
    );
    expect(ops.filter((op) => op.kind === 'write-segment').length).toBeGreaterThan(30);
    expect(rewrittenEntries).toEqual([]);
    expect(driver.state.jobs.get('job-900' as JobId)?.attemptsByTask.size).toBe(4);
    expect(driver.state.segments.size).toBeLessThan(15);
  });

  it.each([false, true])(
    'of critical services start within a new leader’s wait unless a segment is unreadable (%s)',
    (unreadable) => {
      const state = core({ fencingToken: 8 as FencingToken });
      const firstStarts = new Map<string, number>();
      const statuses: TaskStatus[] = [];
      const send = (now: number, ...commands: Command[]): void => {
        for (const effect of applyCommands(state, commands, now as Instant, 'lead')) {
          if (effect.kind === 'store-batch')
            send(now, { kind: 'batch-stored', batch: effect.batch });
          if (effect.kind !== 'reply-to-heartbeat') continue;
          for (const command of effect.commands ?? []) {
            if (command.op !== 'start') continue;
            statuses.push(running(command));
            firstStarts.set(command.job, firstStarts.get(command.job) ?? now);
          }
        }
      };
      const unreadableSegment: Command = {
        kind: 'unreadable-segment',
        segment: segmentKey(7 as FencingToken, 1),
      };
      send(
        0,
        { kind: 'machine-types', types: [machineType('c8')] },
        ...(unreadable ? [unreadableSegment] : []),
      );
      for (const spec of [job('job-1', service()), job('job-2', { allowsSpot: false })])
        send(0, { kind: 'job', spec, submittedAt: 0 as Instant });
      send(0, { kind: 'recovery-completed' });
      for (let now = 200, seq = 1; now < 40_000; now += 200, seq += 1) {
        const reported = heartbeatOf('n-1', seq, seq < 3 ? 7 : 8, [...statuses]);
        send(now, { kind: 'heartbeat', heartbeat: reported, ticket: seq as ReplyTicket });
      }
      // 1.3 heartbeat intervals, or the keep-alive time and a lease.
      const waitMs = unreadable ? 26_000 : 2600;
      expect(firstStarts.get('job-2')).toBeGreaterThanOrEqual(waitMs);
      if (unreadable) expect(firstStarts.get('job-1')).toBeGreaterThanOrEqual(waitMs);
      else expect(firstStarts.get('job-1')).toBeLessThan(1500);
    },
  );

  it('of a former leader are not placed again before their machine reports', () => {
    const state = core({ fencingToken: 8 as FencingToken });
    const spec = job('job-1', service({ tasks: 2 }));
    const recoveredAttempts = {
      machine: 'n-1' as MachineId,
      attributes: recordedAttributes,
      entries: [ledgerEntry(0, 70), ledgerEntry(1, 71)],
    };
    applyCommands(
      state,
      [
        { kind: 'machine-types', types: [machineType('c8')] },
        { kind: 'job', spec, submittedAt: 0 as Instant },
        // Recovered progress changes nothing: a service is never done.
        {
          kind: 'recovered-progress',
          segment: segmentKey(7 as FencingToken, 1),
          job: spec.id,
          firstTask: 0,
          bits: Uint8Array.of(255),
        },
        {
          kind: 'recovered-attempts',
          segment: segmentKey(7 as FencingToken, 1),
          ...recoveredAttempts,
        },
        { kind: 'recovery-completed' },
      ],
      0 as Instant,
      'lead',
    );
    const placed: number[] = [];
    for (let now = 500, seq = 1; now < 10_000; now += 500, seq += 1) {
      const reported = heartbeatOf('n-2', seq, seq < 3 ? 7 : 8);
      applyCommands(
        state,
        [{ kind: 'heartbeat', heartbeat: reported, ticket: seq as ReplyTicket }],
        now as Instant,
        'lead',
      );
      placed.push(runSchedulingRound(state, now as Instant).placed.length);
    }
    expect(placed.every((n) => n === 0)).toBe(true);
    expect(state.jobs.get(spec.id)).toMatchObject({ doneCount: 0, terminalState: 'none' });
  });
});
