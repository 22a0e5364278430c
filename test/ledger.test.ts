/** The placement ledger: what its segments contain, and when they become obsolete. */
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
  machineType,
  recordedAttributes,
  taskStatus,
  team,
} from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

describe('the placement ledger', () => {
  const storeOperations = (effects: readonly Effect[]): StoreOperation[] =>
    effects.flatMap((effect) => (effect.kind === 'store-batch' ? [...effect.operations] : []));

  it('packs attempts of many machines into few segments, each within the value size', () => {
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
    const segments = storeOperations(driver.effects).filter((op) => op.kind === 'write-segment');
    expect(
      segments.flatMap((segment) => segment.machines.flatMap((machine) => machine.entries)).length,
    ).toBe(480);
    expect(segments.length).toBeLessThan(16);
    for (const segment of segments)
      expect(JSON.stringify(encodeSegment(segment)).length).toBeLessThanOrEqual(2048);
  });

  it('stores replicas first when one batch cannot hold all attempts', () => {
    // At most four mutations a batch, small values, and far more starts than fit.
    const limits = { maxValueBytes: 700, maxTransactionOperations: 4, storeWritesPerSecond: 4 };
    const state = core({ ...limits, teams: new Map([['blue' as TeamName, team('blue', 800)]]) });
    const run = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    run(0, { kind: 'machine-types', types: [machineType('c8')] }, { kind: 'recovery-completed' });
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
    const arrayJob = {
      kind: 'job',
      spec: job('job-1', { tasks: 400 }),
      submittedAt: 3000 as Instant,
    } as const;
    const serviceSpec = job('job-2', {
      shape: 'service',
      tasks: 6,
      estimateS: 0,
      priority: 'standard',
    });
    const effects = run(3500, arrayJob, {
      kind: 'job',
      spec: serviceSpec,
      submittedAt: 3500 as Instant,
    });
    const firstBatchJobs = storeOperations(effects).flatMap((op) =>
      op.kind === 'write-segment'
        ? op.machines.flatMap((machine) => machine.entries.map((entry) => entry.job))
        : [],
    );
    expect(state.awaitingLedgerEntry.size).toBeGreaterThan(100);
    expect(firstBatchJobs.filter((id) => id === 'job-2')).toHaveLength(6);
    expect(firstBatchJobs.slice(0, 6)).toEqual(Array(6).fill('job-2'));
  });

  it('stores progress when due, or earlier in a segment that is written anyway', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 4 });
    driver.submit('job-2', { tasks: 4 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    driver.sendHeartbeat('n-1', starts.map(running));
    const storedProgress = () =>
      storeOperations(driver.effects).flatMap((op) =>
        op.kind === 'write-segment' ? op.progress : [],
      );
    driver.effects = [];
    const tasks = starts.map((command, i) => (i === 0 ? ended(command, 'done') : running(command)));
    const heartbeat = heartbeatOf('n-1', 50, 7, tasks);
    driver.send({ kind: 'heartbeat', heartbeat, ticket: 900 as ReplyTicket });
    driver.now += 300;
    driver.send({ kind: 'tick' });
    expect(storedProgress()).toEqual([]);
    driver.advance(1000);
    expect(storedProgress()).toHaveLength(1);
    // The segment of a start has space left, so the next progress is stored with it.
    driver.effects = [];
    const laterTasks = starts.map((command, i) =>
      i <= 1 ? ended(command, 'done') : running(command),
    );
    driver.send(
      {
        kind: 'heartbeat',
        heartbeat: heartbeatOf('n-1', 51, 7, laterTasks),
        ticket: 901 as ReplyTicket,
      },
      { kind: 'job', spec: job('job-3'), submittedAt: driver.now as Instant },
    );
    expect(storedProgress()).toHaveLength(1);
  });

  it('decodes a segment as it was encoded, and rejects malformed segments', () => {
    const segment = {
      machines: [
        {
          machine: 'n-1' as MachineId,
          attributes: recordedAttributes,
          entries: [ledgerEntry(0, 5), ledgerEntry(3, 6, 'job-2')],
        },
      ],
      progress: [{ job: 'job-1' as JobId, firstTask: 0, bits: Uint8Array.of(5, 1) }],
    };
    const encoded = JSON.stringify(encodeSegment(segment));
    expect(decodeSegment(JSON.parse(encoded))).toEqual(segment);
    const malformed = [null, 7, [], {}, { j: [], m: [], d: [['job-1', -1, '']] }];
    malformed.push(
      { ...JSON.parse(encoded), j: [] } as never,
      { ...JSON.parse(encoded), m: [['n-1']] } as never,
    );
    for (const value of malformed) expect(decodeSegment(value)).toBeNull();
  });

  it('delays all starts until every worker lease has expired if a segment is unreadable', () => {
    const driver = new CoreDriver();
    const state = core();
    const send = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    send(
      0,
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'unreadable-segment', segment: segmentKey(6 as FencingToken, 1) },
    );
    send(
      0,
      { kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant },
      { kind: 'recovery-completed' },
    );
    const starts: number[] = [];
    let seq = 0;
    let deletedSegments = 0;
    for (let now = 500; now < 40_000; now += 500) {
      seq += 1;
      const heartbeat = heartbeatOf('n-1', seq, seq < 3 ? 6 : 7, []);
      for (const effect of send(now, {
        kind: 'heartbeat',
        heartbeat,
        ticket: seq as ReplyTicket,
      })) {
        if (effect.kind === 'store-batch') {
          deletedSegments += effect.operations.filter((op) => op.kind === 'delete-segment').length;
          send(now, { kind: 'batch-stored', batch: effect.batch });
        }
        if (effect.kind === 'reply-to-heartbeat')
          starts.push(...driver.startsIn(effect.commands).map(() => now));
      }
    }
    // Grace after lease loss (10 s) plus worker lease (16 s), each with a margin.
    expect(Math.min(...starts)).toBeGreaterThan(26_000);
    expect(deletedSegments).toBe(1);
  });

  it('keeps few segments while a few long tasks outlive many short ones', () => {
    const driver = new CoreDriver();
    const segmentKeys = new Set<string>();
    for (const id of ['n-1', 'n-2']) driver.bringUp(id);
    driver.submit('job-999', { tasks: 1, estimateS: 9999 });
    const startsByMachine = new Map<string, ReturnType<CoreDriver['startsIn']>>([
      ['n-1', []],
      ['n-2', []],
    ]);
    for (let i = 0; i < 60; i += 1) {
      driver.submit(`job-${i}`, { tasks: 6 });
      for (const [id, starts] of startsByMachine) {
        const tasks = starts.map((command) =>
          command.job === 'job-999' ? running(command) : ended(command, 'done'),
        );
        const commands = driver.sendHeartbeat(id, tasks) ?? [];
        startsByMachine.set(id, [
          ...starts.filter((command) => command.job === 'job-999'),
          ...driver.startsIn(commands),
        ]);
      }
      driver.advance(500);
    }
    for (const op of storeOperations(driver.effects)) {
      if (op.kind === 'write-segment') segmentKeys.add(op.key);
      if (op.kind === 'delete-segment') segmentKeys.delete(op.key);
    }
    expect(segmentKeys.size).toBeLessThan(15);
    // A new leader recovers the long task from the remaining segments.
    expect(driver.state.jobs.get('job-999' as JobId)?.attemptsByTask.size).toBe(1);
    const placement = [
      ...driver.state.jobs.get('job-999' as JobId)!.attemptsByTask.values(),
    ][0]![0]!;
    expect(segmentKeys.has(placement.segment!.key)).toBe(true);
  });
});

describe('the ledger entry of a reported attempt', () => {
  it('is written even if this leader did not place the attempt, so a successor recovers it', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 1 });
    driver.advance(100);
    const unknownTask = taskStatus('job-1', 0, 123);
    driver.sendHeartbeat('n-9', [unknownTask]);
    driver.advance(500);
    const operations = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [...effect.operations] : [],
    );
    const rows = operations.flatMap((op) => (op.kind === 'write-segment' ? op.machines : []));
    expect(rows.find((row) => row.machine === 'n-9')?.entries).toMatchObject([{ attempt: 123 }]);
  });
});
