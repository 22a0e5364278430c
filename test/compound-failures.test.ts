/** Two troubles that meet, told as stories to the core; docs/compound-failures.md lists which test brings about which. */
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
import { core, entry, job, recordedAt, report, task, type } from './model/build.js';
import { CoreDriver, ended, running } from './model/core-driver.js';

const id = 'job-1' as JobId;
const abort = { kind: 'cancel-job', job: id, ticket: 77 as ReplyTicket } as const;

/** A core driven up to the last task of a job with two; what follows is stored only when told. */
const atTheEnd = () => {
  const s = new CoreDriver();
  s.submit('job-1', { tasks: 2 });
  const starts = s.starts(s.up('n-1'));
  s.checkIn('n-1', [ended(starts[0]!, 'done'), running(starts[1]!)]);
  s.pass(2000);
  let seq = 100;
  const send = (...commands: Parameters<typeof applyCommands>[1][number][]) =>
    applyCommands(s.state, commands, s.now as Instant, 'lead');
  const lastEnds = () => {
    seq += 1;
    const told = report('n-1', seq, 7, [ended(starts[1]!, 'done')]);
    return { kind: 'heartbeat', heartbeat: told, ticket: seq as ReplyTicket } as const;
  };
  return { s, send, lastEnds };
};
const saved = (effects: readonly Effect[]) => {
  const save = effects.find((e) => e.kind === 'store-batch');
  if (save?.kind !== 'store-batch') throw new Error('nothing is stored');
  return { kind: 'batch-stored', batch: save.batch } as const;
};
const outcomes = (effects: readonly Effect[]) =>
  effects.flatMap((e) =>
    e.kind === 'cancellation-settled' || e.kind === 'job-ended' ? [e.outcome] : [],
  );

describe('a cancellation that meets the end of a job’s last task', () => {
  it('a moment after it: the job is done, and that is what its user is told, once it is stored', () => {
    const { s, send, lastEnds } = atTheEnd();
    const decided = send(lastEnds());
    expect(outcomes([...decided, ...send(abort)])).toEqual([]);
    expect(viewJob(s.state, id, s.now as Instant)).toBeNull();
    expect(outcomes(send(saved(decided)))).toEqual(['done', 'done']);
    expect(outcomes(send({ ...abort, ticket: 78 as ReplyTicket }))).toEqual([null]);
  });

  it('a moment before it: the job is cancelled, once and for all', () => {
    const { s, send, lastEnds } = atTheEnd();
    const decided = send(abort);
    expect(outcomes([...decided, ...send(lastEnds())])).toEqual([]);
    expect(viewJob(s.state, id, s.now as Instant)).toBeNull();
    expect(outcomes(send(saved(decided)))).toEqual(['cancelled', 'cancelled']);
    expect(s.state.jobs.size).toBe(0);
  });

  it('in one batch with it, and twice: one answer for all', () => {
    const { s, send, lastEnds } = atTheEnd();
    const decided = send(lastEnds(), abort, { ...abort, ticket: 78 as ReplyTicket });
    expect(new Set(outcomes(send(saved(decided))))).toEqual(new Set(['done']));
    expect(s.state.jobs.size).toBe(0);
  });
});

describe('a machine that is up within two seconds of its rental and gets work at once', () => {
  it('while writes lag: nothing is sent before it is entered, and a leader that ends leaves no start unknown', () => {
    const state = core({ acquiredAt: 0 as Instant });
    let stored: StoreOperation[] = [];
    const run = (now: number, ...commands: Parameters<typeof applyCommands>[1][number][]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    run(0, { kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' });
    run(10, { kind: 'machines-listed', askedAt: 0 as Instant, machines: [] });
    const asked = run(3000, {
      kind: 'job',
      spec: job('job-1', { tasks: 4 }),
      submittedAt: 3000 as Instant,
    });
    const more = [...asked, ...run(3600, { kind: 'tick' })];
    const rent = more.find((e) => e.kind === 'provision');
    if (rent?.kind !== 'provision') throw new Error('rents nothing');
    const request = rent.request as ProvisionRequestId;
    run(3700, { kind: 'provision-result', request, result: 'ok', machines: ['n-1' as MachineId] });
    const first = run(4500, {
      kind: 'heartbeat',
      heartbeat: report('n-1', 1, 0, []),
      ticket: 1 as ReplyTicket,
    });
    const save = first.find((e) => e.kind === 'store-batch');
    if (save?.kind !== 'store-batch') throw new Error('enters nothing');
    stored = [...save.ops];
    // The write lags; the answer that the worker waits for does not hold the starts, in no state of the write.
    const answers = [...first, ...run(5500, { kind: 'tick' })].filter(
      (e) => e.kind === 'reply-to-heartbeat',
    );
    expect(answers).toMatchObject([{ ticket: 1, commands: [] }]);
    // It was carried out all the same, and is learnt of late: the next answer brings the starts.
    run(6000, { kind: 'batch-stored', batch: save.batch });
    const second = run(6100, {
      kind: 'heartbeat',
      heartbeat: report('n-1', 2, 7, []),
      ticket: 2 as ReplyTicket,
    });
    const sent = second.flatMap((e) =>
      e.kind === 'reply-to-heartbeat' && e.commands ? e.commands : [],
    );
    expect(sent.map((o) => o.op)).toEqual(['start', 'start', 'start', 'start']);
    // The leader ends. Its successor knows each of them before it hears the machine, and starts none again.
    const next = core({ fencingToken: 8 as FencingToken, acquiredAt: 6200 as Instant });
    const commands: Parameters<typeof applyCommands>[1][number][] = [
      { kind: 'machine-types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 4 }), submittedAt: 3000 as Instant },
    ];
    for (const op of stored) {
      if (op.kind !== 'write-segment') continue;
      for (const row of op.machines)
        commands.push({ kind: 'recovered-attempts', segment: op.key, ...row });
    }
    applyCommands(next, [...commands, { kind: 'recovery-completed' }], 6200 as Instant, 'lead');
    expect(next.jobs.get(id)?.attemptsByTask.size).toBe(4);
    let starts = 0;
    // A second machine has room for all of them; the first, which hears nothing, is not asked.
    for (let i = 1; i < 12; i += 1) {
      const told = report('n-2', i, i < 2 ? 7 : 8, []);
      const effects = applyCommands(
        next,
        [{ kind: 'heartbeat', heartbeat: told, ticket: i as ReplyTicket }, { kind: 'tick' }],
        (6200 + i * 1000) as Instant,
        'lead',
      );
      for (const e of effects)
        if (e.kind === 'reply-to-heartbeat') starts += (e.commands ?? []).length;
    }
    expect(starts).toBe(0);
  });
});

describe('a job of three tasks that end far apart, across changes of leader', () => {
  it('is done once, when the last has ended, and no task that has ended runs again', () => {
    let ledger: StoreOperation[] = [];
    let finals = 0;
    const attempts = new Map<number, number>();
    const reaped = new Set<number>();
    let now = 0;
    for (let term = 7; term < 11; term += 1) {
      const state = core({ fencingToken: term as FencingToken, acquiredAt: now as Instant });
      const keep = (effects: readonly Effect[]): Effect[] => {
        const all = [...effects];
        for (const e of effects) {
          if (e.kind !== 'store-batch') continue;
          for (const op of e.ops) {
            if (op.kind === 'write-segment') ledger.push(op);
            else if (op.kind === 'drop-segment')
              ledger = ledger.filter((x) => x.kind !== 'write-segment' || x.key !== op.key);
            else finals += 1;
          }
          all.push(
            ...keep(
              applyCommands(
                state,
                [{ kind: 'batch-stored', batch: e.batch }],
                now as Instant,
                'lead',
              ),
            ),
          );
        }
        return all;
      };
      const commands: Parameters<typeof applyCommands>[1][number][] = [
        { kind: 'machine-types', types: [type('c8')] },
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
      keep(
        applyCommands(state, [...commands, { kind: 'recovery-completed' }], now as Instant, 'lead'),
      );
      // In each term one more has ended; ended ones are shown until they are reaped.
      const ends = term - 7;
      for (let i = 0; i < 10; i += 1) {
        now += 2000;
        const tasks = [...attempts]
          .filter(([index]) => !reaped.has(index))
          .map(([index, attempt]) =>
            task(
              'job-1',
              index,
              attempt,
              index < ends ? 'ended' : 'running',
              index < ends ? 'done' : null,
            ),
          );
        const told = report('n-1', term * 100 + i, i < 1 ? term - 1 : term, tasks);
        const effects = keep(
          applyCommands(
            state,
            [{ kind: 'heartbeat', heartbeat: told, ticket: i as ReplyTicket }, { kind: 'tick' }],
            now as Instant,
            'lead',
          ),
        );
        for (const e of effects) {
          if (e.kind !== 'reply-to-heartbeat') continue;
          for (const o of e.commands ?? []) {
            if (o.op === 'reap') reaped.add(o.index);
            if (o.op !== 'start') continue;
            expect(attempts.has(o.index), `task ${o.index} starts once`).toBe(false);
            attempts.set(o.index, o.attempt);
          }
        }
      }
      expect(finals, `term ${term}`).toBe(term === 10 ? 1 : 0);
    }
  });
});

describe('an old report that shows a new leader a task as done while another attempt of it runs', () => {
  /** Term 8, which has read that attempt 2 of task 0 may be on n-2; a machine that is gone had done it as attempt 1. */
  const lateEnd = () => {
    const state = core({ fencingToken: 8 as FencingToken });
    const run = (now: number, ...commands: Parameters<typeof applyCommands>[1][number][]) => {
      const effects = applyCommands(state, commands, now as Instant, 'lead');
      for (const e of [...effects])
        if (e.kind === 'store-batch')
          effects.push(
            ...applyCommands(
              state,
              [{ kind: 'batch-stored', batch: e.batch }],
              now as Instant,
              'lead',
            ),
          );
      return effects;
    };
    const row = {
      segment: segmentKey(7 as FencingToken, 1),
      machine: 'n-2' as MachineId,
      attributes: recordedAt,
    };
    run(
      0,
      { kind: 'machine-types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      { kind: 'recovered-attempts', ...row, entries: [entry(0, 7_000_002)] },
      { kind: 'recovery-completed' },
    );
    const copy = report('n-1', 9, 7, [task('job-1', 0, 7_000_001, 'ended', 'done')]);
    const effects = run(500, { kind: 'heartbeat', heartbeat: copy, ticket: 1 as ReplyTicket });
    return { state, run, effects };
  };
  const progressOf = (effects: readonly Effect[]) =>
    effects.flatMap((e) =>
      e.kind === 'store-batch'
        ? e.ops.flatMap((op) => (op.kind === 'write-segment' ? op.progress : []))
        : [],
    );

  it('does not tell it as done until that attempt is proven gone: the next leader would not count it any more', () => {
    const { state, run, effects } = lateEnd();
    for (let now = 1000; now < 6000; now += 500) effects.push(...run(now, { kind: 'tick' }));
    expect(state.jobs.get(id)?.doneCount).toBe(1);
    expect(progressOf(effects)).toEqual([]);
    // n-2 hears this term, is told to stop it, and then shows that it has.
    const tell = (now: number, seq: number, term: number, phase: 'running' | 'ended') => {
      const shown = task('job-1', 0, 7_000_002, phase, phase === 'ended' ? 'stopped' : null);
      return run(now, {
        kind: 'heartbeat',
        heartbeat: report('n-2', seq, term, [shown]),
        ticket: (seq + 10) as ReplyTicket,
      });
    };
    const heard = tell(6000, 1, 7, 'running');
    expect(heard).toContainEqual(
      expect.objectContaining({
        kind: 'reply-to-heartbeat',
        commands: [expect.objectContaining({ op: 'kill', attempt: 7_000_002 })],
      }),
    );
    const after = [...tell(8000, 2, 8, 'ended')];
    for (let now = 8500; now < 12_000; now += 500) after.push(...run(now, { kind: 'tick' }));
    expect(progressOf(after)).toHaveLength(1);
  });

  it('is told to the next leader’s workers: one that still runs it is stopped', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    const bits = new Uint8Array([1]);
    s.send({
      kind: 'recovered-progress',
      segment: segmentKey(6 as FencingToken, 1),
      job: id,
      firstTask: 0,
      bits,
    });
    const orders = s.checkIn('n-2', [task('job-1', 0, 6_000_002)]) ?? [];
    expect(orders).toMatchObject([{ op: 'kill', attempt: 6_000_002 }]);
  });
});
