/** Core scenarios in which two failures coincide; docs/compound-failures.md lists them. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import { viewJob } from '../src/core/lifecycle/job-view.js';
import type { Effect } from '../src/core/model/effect.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ProvisionRequestId,
  ReplyTicket,
} from '../src/core/model/ids.js';
import type { StoreOperation } from '../src/core/model/ledger-record.js';
import type { Instant } from '../src/core/model/time.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  machineType,
  recordedAttributes,
  taskStatus,
} from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

const id = 'job-1' as JobId;
const cancelCommand = { kind: 'cancel-job', job: id, ticket: 77 as ReplyTicket } as const;

/** Runs a job of two tasks up to its last; the test confirms the batches that `apply` stores. */
const driveToLastTask = () => {
  const driver = new CoreDriver();
  driver.submit('job-1', { tasks: 2 });
  const starts = driver.startsIn(driver.bringUp('n-1'));
  driver.sendHeartbeat('n-1', [ended(starts[0]!, 'done'), running(starts[1]!)]);
  driver.advance(2000);
  let seq = 100;
  const apply = (...commands: Parameters<typeof applyCommands>[1][number][]) =>
    applyCommands(driver.state, commands, driver.now as Instant, 'lead');
  const lastTaskHeartbeat = () => {
    seq += 1;
    const reported = heartbeatOf('n-1', seq, 7, [ended(starts[1]!, 'done')]);
    return { kind: 'heartbeat', heartbeat: reported, ticket: seq as ReplyTicket } as const;
  };
  return { driver, apply, lastTaskHeartbeat };
};
const batchStoredCommand = (effects: readonly Effect[]) => {
  const storeBatch = effects.find((effect) => effect.kind === 'store-batch');
  if (storeBatch?.kind !== 'store-batch') throw new Error('no store-batch effect to confirm');
  return { kind: 'batch-stored', batch: storeBatch.batch } as const;
};
const outcomesIn = (effects: readonly Effect[]) =>
  effects.flatMap((effect) =>
    effect.kind === 'cancellation-settled' || effect.kind === 'job-ended' ? [effect.outcome] : [],
  );

describe('cancelling a job as its last task ends', () => {
  it('completes the job if the task ends first, and answers once the end is stored', () => {
    const { driver, apply, lastTaskHeartbeat } = driveToLastTask();
    const effects = apply(lastTaskHeartbeat());
    expect(outcomesIn([...effects, ...apply(cancelCommand)])).toEqual([]);
    expect(viewJob(driver.state, id, driver.now as Instant)).toBeNull();
    expect(outcomesIn(apply(batchStoredCommand(effects)))).toEqual(['done', 'done']);
    expect(outcomesIn(apply({ ...cancelCommand, ticket: 78 as ReplyTicket }))).toEqual([null]);
  });

  it('cancels the job if the request comes first, and keeps that outcome', () => {
    const { driver, apply, lastTaskHeartbeat } = driveToLastTask();
    const effects = apply(cancelCommand);
    expect(outcomesIn([...effects, ...apply(lastTaskHeartbeat())])).toEqual([]);
    expect(viewJob(driver.state, id, driver.now as Instant)).toBeNull();
    expect(outcomesIn(apply(batchStoredCommand(effects)))).toEqual(['cancelled', 'cancelled']);
    expect(driver.state.jobs.size).toBe(0);
  });

  it('gives repeated requests the same outcome if all come in one batch', () => {
    const { driver, apply, lastTaskHeartbeat } = driveToLastTask();
    const effects = apply(lastTaskHeartbeat(), cancelCommand, {
      ...cancelCommand,
      ticket: 78 as ReplyTicket,
    });
    expect(new Set(outcomesIn(apply(batchStoredCommand(effects))))).toEqual(new Set(['done']));
    expect(driver.state.jobs.size).toBe(0);
  });
});

describe('a machine that boots within two seconds and gets work at once', () => {
  it('is sent no start before its ledger entry is stored, so that a failover repeats none', () => {
    const state = core({ acquiredAt: 0 as Instant });
    let stored: StoreOperation[] = [];
    const apply = (now: number, ...commands: Parameters<typeof applyCommands>[1][number][]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    apply(0, { kind: 'machine-types', types: [machineType('c8')] }, { kind: 'recovery-completed' });
    apply(10, { kind: 'machines-listed', requestedAt: 0 as Instant, machines: [] });
    const submitEffects = apply(3000, {
      kind: 'job',
      spec: job('job-1', { tasks: 4 }),
      submittedAt: 3000 as Instant,
    });
    const provisionEffects = [...submitEffects, ...apply(3600, { kind: 'tick' })];
    const provision = provisionEffects.find((effect) => effect.kind === 'provision');
    if (provision?.kind !== 'provision') throw new Error('no provision effect after submission');
    const request = provision.request as ProvisionRequestId;
    apply(3700, {
      kind: 'provision-result',
      request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    });
    const firstEffects = apply(4500, {
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 1, 0, []),
      ticket: 1 as ReplyTicket,
    });
    const storeBatch = firstEffects.find((effect) => effect.kind === 'store-batch');
    if (storeBatch?.kind !== 'store-batch') throw new Error('no store-batch effect for the starts');
    stored = [...storeBatch.operations];
    // While the write is pending, replies must not contain the starts.
    const replies = [...firstEffects, ...apply(5500, { kind: 'tick' })].filter(
      (effect) => effect.kind === 'reply-to-heartbeat',
    );
    expect(replies).toMatchObject([{ ticket: 1, commands: [] }]);
    // The write is confirmed late; the next reply contains the starts.
    apply(6000, { kind: 'batch-stored', batch: storeBatch.batch });
    const secondEffects = apply(6100, {
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 2, 7, []),
      ticket: 2 as ReplyTicket,
    });
    const sentCommands = secondEffects.flatMap((effect) =>
      effect.kind === 'reply-to-heartbeat' && effect.commands ? effect.commands : [],
    );
    expect(sentCommands.map((command) => command.op)).toEqual(['start', 'start', 'start', 'start']);
    // The leader fails. Its successor recovers all attempts from the ledger and repeats none.
    const successor = core({ fencingToken: 8 as FencingToken, acquiredAt: 6200 as Instant });
    const commands: Parameters<typeof applyCommands>[1][number][] = [
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 4 }), submittedAt: 3000 as Instant },
    ];
    for (const op of stored) {
      if (op.kind !== 'write-segment') continue;
      for (const row of op.machines)
        commands.push({ kind: 'recovered-attempts', segment: op.key, ...row });
    }
    applyCommands(
      successor,
      [...commands, { kind: 'recovery-completed' }],
      6200 as Instant,
      'lead',
    );
    expect(successor.jobs.get(id)?.attemptsByTask.size).toBe(4);
    let starts = 0;
    // Another machine has capacity for all tasks; the first sends no heartbeats.
    for (let i = 1; i < 12; i += 1) {
      const reported = heartbeatOf('n-2', i, i < 2 ? 7 : 8, []);
      const effects = applyCommands(
        successor,
        [{ kind: 'heartbeat', heartbeat: reported, ticket: i as ReplyTicket }, { kind: 'tick' }],
        (6200 + i * 1000) as Instant,
        'lead',
      );
      for (const effect of effects)
        if (effect.kind === 'reply-to-heartbeat') starts += (effect.commands ?? []).length;
    }
    expect(starts).toBe(0);
  });
});

describe('a job of three tasks that end far apart, across failovers', () => {
  it('completes once, with its last task, and runs no finished task again', () => {
    let ledger: StoreOperation[] = [];
    let completions = 0;
    const attempts = new Map<number, number>();
    const reaped = new Set<number>();
    let now = 0;
    for (let term = 7; term < 11; term += 1) {
      const state = core({ fencingToken: term as FencingToken, acquiredAt: now as Instant });
      const storeBatches = (effects: readonly Effect[]): Effect[] => {
        const all = [...effects];
        for (const effect of effects) {
          if (effect.kind !== 'store-batch') continue;
          for (const op of effect.operations) {
            if (op.kind === 'write-segment') ledger.push(op);
            else if (op.kind === 'delete-segment')
              ledger = ledger.filter((x) => x.kind !== 'write-segment' || x.key !== op.key);
            else completions += 1;
          }
          all.push(
            ...storeBatches(
              applyCommands(
                state,
                [{ kind: 'batch-stored', batch: effect.batch }],
                now as Instant,
                'lead',
              ),
            ),
          );
        }
        return all;
      };
      const commands: Parameters<typeof applyCommands>[1][number][] = [
        { kind: 'machine-types', types: [machineType('c8')] },
        { kind: 'job', spec: job('job-1', { tasks: 3 }), submittedAt: 0 as Instant },
      ];
      for (const op of ledger) {
        if (op.kind !== 'write-segment') continue;
        for (const row of op.progress)
          commands.push({ kind: 'recovered-progress', segment: op.key, ...row });
      }
      for (const op of ledger) {
        if (op.kind !== 'write-segment') continue;
        for (const row of op.machines)
          commands.push({ kind: 'recovered-attempts', segment: op.key, ...row });
      }
      storeBatches(
        applyCommands(state, [...commands, { kind: 'recovery-completed' }], now as Instant, 'lead'),
      );
      // One more task ends in each term; ended tasks are reported until reaped.
      const endedCount = term - 7;
      for (let i = 0; i < 10; i += 1) {
        now += 2000;
        const tasks = [...attempts]
          .filter(([index]) => !reaped.has(index))
          .map(([index, attempt]) =>
            taskStatus(
              'job-1',
              index,
              attempt,
              index < endedCount ? 'ended' : 'running',
              index < endedCount ? 'done' : null,
            ),
          );
        const reported = heartbeatOf('n-1', term * 100 + i, i < 1 ? term - 1 : term, tasks);
        const effects = storeBatches(
          applyCommands(
            state,
            [
              { kind: 'heartbeat', heartbeat: reported, ticket: i as ReplyTicket },
              { kind: 'tick' },
            ],
            now as Instant,
            'lead',
          ),
        );
        for (const effect of effects) {
          if (effect.kind !== 'reply-to-heartbeat') continue;
          for (const command of effect.commands ?? []) {
            if (command.op === 'reap') reaped.add(command.index);
            if (command.op !== 'start') continue;
            expect(attempts.has(command.index), `task ${command.index} starts once`).toBe(false);
            attempts.set(command.index, command.attempt);
          }
        }
      }
      expect(completions, `term ${term}`).toBe(term === 10 ? 1 : 0);
    }
  });
});

describe('a task reported as done while another attempt of it runs', () => {
  /**
   * Recovers attempt 2 of task 0 on n-2; a stale heartbeat of n-1, a deleted machine, then reports
   * attempt 1 as done.
   */
  const recoverWithStaleHeartbeat = () => {
    const state = core({ fencingToken: 8 as FencingToken });
    const apply = (now: number, ...commands: Parameters<typeof applyCommands>[1][number][]) => {
      const effects = applyCommands(state, commands, now as Instant, 'lead');
      for (const effect of [...effects])
        if (effect.kind === 'store-batch')
          effects.push(
            ...applyCommands(
              state,
              [{ kind: 'batch-stored', batch: effect.batch }],
              now as Instant,
              'lead',
            ),
          );
      return effects;
    };
    const row = {
      segment: segmentKey(7 as FencingToken, 1),
      machine: 'n-2' as MachineId,
      attributes: recordedAttributes,
    };
    apply(
      0,
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      { kind: 'recovered-attempts', ...row, entries: [ledgerEntry(0, 7_000_002)] },
      { kind: 'recovery-completed' },
    );
    const staleHeartbeat = heartbeatOf('n-1', 9, 7, [
      taskStatus('job-1', 0, 7_000_001, 'ended', 'done'),
    ]);
    const effects = apply(500, {
      kind: 'heartbeat',
      heartbeat: staleHeartbeat,
      ticket: 1 as ReplyTicket,
    });
    return { state, apply, effects };
  };
  const progressOf = (effects: readonly Effect[]) =>
    effects.flatMap((effect) =>
      effect.kind === 'store-batch'
        ? effect.operations.flatMap((op) => (op.kind === 'write-segment' ? op.progress : []))
        : [],
    );

  it('has its progress stored only once the other attempt is proven absent', () => {
    const { state, apply, effects } = recoverWithStaleHeartbeat();
    for (let now = 1000; now < 6000; now += 500) effects.push(...apply(now, { kind: 'tick' }));
    expect(state.jobs.get(id)?.doneCount).toBe(1);
    expect(progressOf(effects)).toEqual([]);
    // n-2 is sent a kill; its authoritative heartbeat then reports the attempt as ended.
    const reportFromWorker = (
      now: number,
      seq: number,
      term: number,
      phase: 'running' | 'ended',
    ) => {
      const reportedTask = taskStatus(
        'job-1',
        0,
        7_000_002,
        phase,
        phase === 'ended' ? 'stopped' : null,
      );
      return apply(now, {
        kind: 'heartbeat',
        heartbeat: heartbeatOf('n-2', seq, term, [reportedTask]),
        ticket: (seq + 10) as ReplyTicket,
      });
    };
    const replyEffects = reportFromWorker(6000, 1, 7, 'running');
    expect(replyEffects).toContainEqual(
      expect.objectContaining({
        kind: 'reply-to-heartbeat',
        commands: [expect.objectContaining({ op: 'kill', attempt: 7_000_002 })],
      }),
    );
    const laterEffects = [...reportFromWorker(8000, 2, 8, 'ended')];
    for (let now = 8500; now < 12_000; now += 500)
      laterEffects.push(...apply(now, { kind: 'tick' }));
    expect(progressOf(laterEffects)).toHaveLength(1);
  });

  it('has the other attempt killed when a worker reports it after recovery', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    const bits = new Uint8Array([1]);
    driver.send({
      kind: 'recovered-progress',
      segment: segmentKey(6 as FencingToken, 1),
      job: id,
      firstTask: 0,
      bits,
    });
    const commands = driver.sendHeartbeat('n-2', [taskStatus('job-1', 0, 6_000_002)]) ?? [];
    expect(commands).toMatchObject([{ op: 'kill', attempt: 6_000_002 }]);
  });
});
