/** The placement ledger: what its segments hold, and when they become obsolete. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { Command } from '../src/core/model/command.js';
import type { Effect } from '../src/core/model/effect.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ReplyTicket,
  TeamName,
} from '../src/core/model/ids.js';
import type { StoreOperation } from '../src/core/model/ledger-record.js';
import type { Instant } from '../src/core/model/time.js';
import { decodeSegment, encodeSegment } from '../src/service/stored-records.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  recordedAttributes,
  task,
  team,
  type,
} from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

describe('the placement ledger', () => {
  const storeOperations = (effects: readonly Effect[]): StoreOperation[] =>
    effects.flatMap((effect) => (effect.kind === 'store-batch' ? [...effect.operations] : []));

  it('enters the attempts of many machines in few segments, each within the size of a value', () => {
    const driver = new CoreDriver(
      core({ maxValueBytes: 2048, teams: new Map([['blue' as TeamName, team('blue', 800)]]) }),
    );
    const ids = Array.from({ length: 60 }, (_, i) => `n-${i}`);
    for (const [seq, term] of [
      [1, 6],
      [2, 7],
    ] as const) {
      for (const [i, id] of ids.entries()) {
        driver.send({
          kind: 'heartbeat',
          heartbeat: heartbeatOf(id, seq, term),
          ticket: (seq * 100 + i) as ReplyTicket,
        });
      }
      driver.advance(2000);
    }
    driver.effects = [];
    driver.submit('job-1', { tasks: 480 });
    driver.advance(1000);
    const records = storeOperations(driver.effects).filter((op) => op.kind === 'write-segment');
    expect(
      records.flatMap((segment) => segment.machines.flatMap((machine) => machine.entries)).length,
    ).toBe(480);
    expect(records.length).toBeLessThan(16);
    for (const segment of records)
      expect(JSON.stringify(encodeSegment(segment)).length).toBeLessThanOrEqual(2048);
  });

  it('enters replicas first where one batch cannot hold all attempts', () => {
    // Four mutations a batch, small values, and far more starts than fit.
    const limits = { maxValueBytes: 700, maxTransactionOperations: 4, storeWritesPerSecond: 4 };
    const state = core({ ...limits, teams: new Map([['blue' as TeamName, team('blue', 800)]]) });
    const run = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    run(0, { kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' });
    for (let seq = 1; seq < 3; seq += 1) {
      for (let i = 0; i < 60; i += 1) {
        const heartbeat = heartbeatOf(`n-${i}`, seq, seq < 2 ? 6 : 7);
        run(1000 * seq, {
          kind: 'heartbeat',
          heartbeat,
          ticket: (seq * 100 + i) as ReplyTicket,
        });
      }
    }
    run(3000, { kind: 'tick' });
    const array = {
      kind: 'job',
      spec: job('job-1', { tasks: 400 }),
      submittedAt: 3000 as Instant,
    } as const;
    const replicas = job('job-2', {
      shape: 'service',
      tasks: 6,
      estimateS: 0,
      priority: 'standard',
    });
    const effects = run(3500, array, { kind: 'job', spec: replicas, submittedAt: 3500 as Instant });
    const first = storeOperations(effects).flatMap((op) =>
      op.kind === 'write-segment'
        ? op.machines.flatMap((machine) => machine.entries.map((e) => e.job))
        : [],
    );
    expect(state.awaitingLedgerEntry.size).toBeGreaterThan(100);
    expect(first.filter((id) => id === 'job-2')).toHaveLength(6);
    expect(first.slice(0, 6)).toEqual(Array(6).fill('job-2'));
  });

  it('stores progress when it is due, and before that only in a segment that is written anyway', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 4 });
    driver.submit('job-2', { tasks: 4 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    driver.sendHeartbeat('n-1', starts.map(running));
    const progress = () =>
      storeOperations(driver.effects).flatMap((op) =>
        op.kind === 'write-segment' ? op.progress : [],
      );
    driver.effects = [];
    const tasks = starts.map((command, i) => (i === 0 ? ended(command, 'done') : running(command)));
    const heartbeat = heartbeatOf('n-1', 50, 7, tasks);
    driver.send({ kind: 'heartbeat', heartbeat, ticket: 900 as ReplyTicket });
    driver.now += 300;
    driver.send({ kind: 'tick' });
    expect(progress()).toEqual([]);
    driver.advance(1000);
    expect(progress()).toHaveLength(1);
    // The segment of a start has room left: the next end is stored with it at once.
    driver.effects = [];
    const more = starts.map((command, i) => (i <= 1 ? ended(command, 'done') : running(command)));
    driver.send(
      { kind: 'heartbeat', heartbeat: heartbeatOf('n-1', 51, 7, more), ticket: 901 as ReplyTicket },
      { kind: 'job', spec: job('job-3'), submittedAt: driver.now as Instant },
    );
    expect(progress()).toHaveLength(1);
  });

  it('decodes a segment as it was encoded, and refuses a malformed one whole', () => {
    const given = {
      machines: [
        {
          machine: 'n-1' as MachineId,
          attributes: recordedAttributes,
          entries: [ledgerEntry(0, 5), ledgerEntry(3, 6, 'job-2')],
        },
      ],
      progress: [{ job: 'job-1' as JobId, firstTask: 0, bits: Uint8Array.of(5, 1) }],
    };
    const text = JSON.stringify(encodeSegment(given));
    expect(decodeSegment(JSON.parse(text))).toEqual(given);
    const malformed = [null, 7, [], {}, { j: [], m: [], d: [['job-1', -1, '']] }];
    malformed.push(
      { ...JSON.parse(text), j: [] } as never,
      { ...JSON.parse(text), m: [['n-1']] } as never,
    );
    for (const value of malformed) expect(decodeSegment(value)).toBeNull();
  });

  it('starts nothing before every worker lease has expired when a segment cannot be read', () => {
    const driver = new CoreDriver();
    const state = core();
    const send = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    send(
      0,
      { kind: 'machine-types', types: [type('c8')] },
      { kind: 'unreadable-segment', segment: segmentKey(6 as FencingToken, 1) },
    );
    send(
      0,
      { kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant },
      { kind: 'recovery-completed' },
    );
    const starts: number[] = [];
    let seq = 0;
    let dropped = 0;
    for (let now = 500; now < 40_000; now += 500) {
      seq += 1;
      const heartbeat = heartbeatOf('n-1', seq, seq < 3 ? 6 : 7, []);
      for (const effect of send(now, {
        kind: 'heartbeat',
        heartbeat,
        ticket: seq as ReplyTicket,
      })) {
        if (effect.kind === 'store-batch') {
          dropped += effect.operations.filter((op) => op.kind === 'delete-segment').length;
          send(now, { kind: 'batch-stored', batch: effect.batch });
        }
        if (effect.kind === 'reply-to-heartbeat')
          starts.push(...driver.startsIn(effect.commands).map(() => now));
      }
    }
    // Grace after lease loss 10 s, worker lease 16 s, and the margins of both.
    expect(Math.min(...starts)).toBeGreaterThan(26_000);
    expect(dropped).toBe(1);
  });

  it('keeps few segments while a few long tasks outlive many short ones', () => {
    const driver = new CoreDriver();
    const records = new Set<string>();
    for (const id of ['n-1', 'n-2']) driver.bringUp(id);
    driver.submit('job-999', { tasks: 1, estimateS: 9999 });
    const held = new Map<string, ReturnType<CoreDriver['startsIn']>>([
      ['n-1', []],
      ['n-2', []],
    ]);
    for (let i = 0; i < 60; i += 1) {
      driver.submit(`job-${i}`, { tasks: 6 });
      for (const [id, now] of held) {
        const tasks = now.map((command) =>
          command.job === 'job-999' ? running(command) : ended(command, 'done'),
        );
        const commands = driver.sendHeartbeat(id, tasks) ?? [];
        held.set(id, [
          ...now.filter((command) => command.job === 'job-999'),
          ...driver.startsIn(commands),
        ]);
      }
      driver.advance(500);
    }
    for (const op of storeOperations(driver.effects)) {
      if (op.kind === 'write-segment') records.add(op.key);
      if (op.kind === 'delete-segment') records.delete(op.key);
    }
    expect(records.size).toBeLessThan(15);
    // A new leader that reads what is left learns of the long task.
    expect(driver.state.jobs.get('job-999' as JobId)?.attemptsByTask.size).toBe(1);
    const placement = [
      ...driver.state.jobs.get('job-999' as JobId)!.attemptsByTask.values(),
    ][0]![0]!;
    expect(records.has(placement.segment!.key)).toBe(true);
  });
});

describe('the ledger entry of a reported attempt', () => {
  it('is written where this leader never placed it, so that the next leader knows of it', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 1 });
    driver.advance(100);
    const unknownTask = task('job-1', 0, 123);
    driver.sendHeartbeat('n-9', [unknownTask]);
    driver.advance(500);
    const ops = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [...effect.operations] : [],
    );
    const rows = ops.flatMap((op) => (op.kind === 'write-segment' ? op.machines : []));
    expect(rows.find((row) => row.machine === 'n-9')?.entries).toMatchObject([{ attempt: 123 }]);
  });
});
