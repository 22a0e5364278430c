/** The placement ledger: what it holds, and what becomes of it. */
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
import { core, entry, job, recordedAt, report, task, team, type } from './model/build.js';
import { CoreDriver, ended, running } from './model/core-driver.js';

describe('the placement ledger', () => {
  const saves = (effects: readonly Effect[]): StoreOperation[] =>
    effects.flatMap((e) => (e.kind === 'store-batch' ? [...e.ops] : []));

  it('enters the starts of many machines with few changes, each record within a value', () => {
    const s = new CoreDriver(
      core({ maxValueBytes: 2048, teams: new Map([['blue' as TeamName, team('blue', 800)]]) }),
    );
    const ids = Array.from({ length: 60 }, (_, i) => `n-${i}`);
    for (const [seq, term] of [
      [1, 6],
      [2, 7],
    ] as const) {
      for (const [i, id] of ids.entries()) {
        s.send({
          kind: 'heartbeat',
          heartbeat: report(id, seq, term),
          ticket: (seq * 100 + i) as ReplyTicket,
        });
      }
      s.pass(2000);
    }
    s.effects = [];
    s.submit('job-1', { tasks: 480 });
    s.pass(1000);
    const records = saves(s.effects).filter((op) => op.kind === 'write-segment');
    expect(records.flatMap((r) => r.machines.flatMap((m) => m.entries)).length).toBe(480);
    expect(records.length).toBeLessThan(16);
    for (const r of records)
      expect(JSON.stringify(encodeSegment(r)).length).toBeLessThanOrEqual(2048);
  });

  it('enters replicas first where one batch cannot hold all that starts', () => {
    // Four changes a batch, small values, and far more starts than fit.
    const limits = { maxValueBytes: 700, maxTransactionOperations: 4, storeWritesPerSecond: 4 };
    const state = core({ ...limits, teams: new Map([['blue' as TeamName, team('blue', 800)]]) });
    const run = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    run(0, { kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' });
    for (let seq = 1; seq < 3; seq += 1) {
      for (let i = 0; i < 60; i += 1) {
        const told = report(`n-${i}`, seq, seq < 2 ? 6 : 7);
        run(1000 * seq, {
          kind: 'heartbeat',
          heartbeat: told,
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
    const first = saves(effects).flatMap((op) =>
      op.kind === 'write-segment' ? op.machines.flatMap((m) => m.entries.map((e) => e.job)) : [],
    );
    expect(state.awaitingLedgerEntry.size).toBeGreaterThan(100);
    expect(first.filter((id) => id === 'job-2')).toHaveLength(6);
    expect(first.slice(0, 6)).toEqual(Array(6).fill('job-2'));
  });

  it('tells progress when it is due, and before that only in a record that is written anyway', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 4 });
    s.submit('job-2', { tasks: 4 });
    const starts = s.starts(s.up('n-1'));
    s.checkIn('n-1', starts.map(running));
    const progress = () =>
      saves(s.effects).flatMap((op) => (op.kind === 'write-segment' ? op.progress : []));
    s.effects = [];
    const told = starts.map((o, i) => (i === 0 ? ended(o, 'done') : running(o)));
    const seen = report('n-1', 50, 7, told);
    s.send({ kind: 'heartbeat', heartbeat: seen, ticket: 900 as ReplyTicket });
    s.now += 300;
    s.send({ kind: 'tick' });
    expect(progress()).toEqual([]);
    s.pass(1000);
    expect(progress()).toHaveLength(1);
    // A start's record has room left: the next end goes with it at once.
    s.effects = [];
    const more = starts.map((o, i) => (i <= 1 ? ended(o, 'done') : running(o)));
    s.send(
      { kind: 'heartbeat', heartbeat: report('n-1', 51, 7, more), ticket: 901 as ReplyTicket },
      { kind: 'job', spec: job('job-3'), submittedAt: s.now as Instant },
    );
    expect(progress()).toHaveLength(1);
  });

  it('is read back as it was written, and a record that was not is refused whole', () => {
    const given = {
      machines: [
        {
          machine: 'n-1' as MachineId,
          attributes: recordedAt,
          entries: [entry(0, 5), entry(3, 6, 'job-2')],
        },
      ],
      progress: [{ job: 'job-1' as JobId, firstTask: 0, bits: Uint8Array.of(5, 1) }],
    };
    const text = JSON.stringify(encodeSegment(given));
    expect(decodeSegment(JSON.parse(text))).toEqual(given);
    const odd = [null, 7, [], {}, { j: [], m: [], d: [['job-1', -1, '']] }];
    odd.push(
      { ...JSON.parse(text), j: [] } as never,
      { ...JSON.parse(text), m: [['n-1']] } as never,
    );
    for (const value of odd) expect(decodeSegment(value)).toBeNull();
  });

  it('starts nothing before every lease is surely over when a record cannot be read', () => {
    const s = new CoreDriver();
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
      const told = report('n-1', seq, seq < 3 ? 6 : 7, []);
      for (const e of send(now, {
        kind: 'heartbeat',
        heartbeat: told,
        ticket: seq as ReplyTicket,
      })) {
        if (e.kind === 'store-batch') {
          dropped += e.ops.filter((op) => op.kind === 'drop-segment').length;
          send(now, { kind: 'batch-stored', batch: e.batch });
        }
        if (e.kind === 'reply-to-heartbeat') starts.push(...s.starts(e.commands).map(() => now));
      }
    }
    // keep-alive 10 s, lease 16 s, and the margins of both.
    expect(Math.min(...starts)).toBeGreaterThan(26_000);
    expect(dropped).toBe(1);
  });

  it('keeps few records while a few long tasks outlive many short ones', () => {
    const s = new CoreDriver();
    const records = new Set<string>();
    for (const id of ['n-1', 'n-2']) s.up(id);
    s.submit('job-999', { tasks: 1, estimateS: 9999 });
    const held = new Map<string, ReturnType<CoreDriver['starts']>>([
      ['n-1', []],
      ['n-2', []],
    ]);
    for (let i = 0; i < 60; i += 1) {
      s.submit(`job-${i}`, { tasks: 6 });
      for (const [id, now] of held) {
        const told = now.map((o) => (o.job === 'job-999' ? running(o) : ended(o, 'done')));
        const orders = s.checkIn(id, told) ?? [];
        held.set(id, [...now.filter((o) => o.job === 'job-999'), ...s.starts(orders)]);
      }
      s.pass(500);
    }
    for (const op of saves(s.effects)) {
      if (op.kind === 'write-segment') records.add(op.key);
      if (op.kind === 'drop-segment') records.delete(op.key);
    }
    expect(records.size).toBeLessThan(15);
    // Whoever reads what is left learns of the long task.
    expect(s.state.jobs.get('job-999' as JobId)?.attemptsByTask.size).toBe(1);
    const p = [...s.state.jobs.get('job-999' as JobId)!.attemptsByTask.values()][0]![0]!;
    expect(records.has(p.segment!.key)).toBe(true);
  });
});

describe('a task’s state in a report', () => {
  it('of an attempt that this leader never gave is recorded, so that the next leader knows of it', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 1 });
    s.pass(100);
    const odd = task('job-1', 0, 123);
    s.checkIn('n-9', [odd]);
    s.pass(500);
    const ops = s.effects.flatMap((e) => (e.kind === 'store-batch' ? [...e.ops] : []));
    const rows = ops.flatMap((op) => (op.kind === 'write-segment' ? op.machines : []));
    expect(rows.find((r) => r.machine === 'n-9')?.entries).toMatchObject([{ attempt: 123 }]);
  });
});
