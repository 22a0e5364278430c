/** What is checked at a day's end, and the troubles that came with the grown deployments. */
import { describe, expect, it } from 'vitest';
import { segmentKey } from '../src/core/state.js';
import { step } from '../src/core/step.js';
import type {
  Command,
  Effect,
  Instant,
  JobId,
  LedgerEntry,
  MachineId,
  SaveOp,
  TeamName,
  Term,
  Ticket,
} from '../src/core/types.js';
import { readSegment, writeSegment } from '../src/service/records.js';
import { core, job, report, task, team, type } from './model/build.js';
import { OverloadedDay } from './model/overloaded-day.js';
import { ended, running, Story } from './model/story.js';

const entry = (index: number, attempt: number, id = 'job-1') =>
  ({ job: id, index, attempt, team: 'blue', cpus: 1, gpus: 0, memoryGb: 1 }) as unknown as LedgerEntry;
const at = { type: 'c8', zone: 'a', spot: false } as never;
const asked = (effects: readonly Effect[], id: string) =>
  effects.some((e) => e.kind === 'delete' && e.machines.includes(id as MachineId));

describe('a machine whose reports arrive while nothing reaches it', () => {
  /** Its answers are lost: it goes on reporting that it has nothing. */
  const deafen = (s: Story, id: string, reports: number) => {
    const effects: Effect[] = [];
    for (let i = 0; i < reports; i += 1) {
      s.checkIn(id);
      effects.push(...s.pass(500));
    }
    return effects;
  };

  it('gets no more work, is replaced, and what was meant for it runs elsewhere once it is deleted', () => {
    const s = new Story();
    for (const id of ['n-1', 'n-2', 'n-3']) s.up(id);
    s.submit('job-1', { tasks: 1 });
    const holder = ['n-1', 'n-2', 'n-3'].find((id) => s.starts(s.checkIn(id)).length > 0)!;
    const others = ['n-1', 'n-2', 'n-3'].filter((id) => id !== holder);
    const effects = deafen(s, holder, 6);
    expect(asked(effects, holder)).toBe(true);
    s.submit('job-2', { tasks: 1 });
    expect(s.starts(s.checkIn(holder))).toEqual([]);
    const meanwhile = others.flatMap((id) => s.starts(s.checkIn(id))).map((o) => o.job);
    expect(meanwhile).toEqual(['job-2']);
    s.send({ kind: 'deleted', machines: [holder as MachineId], ok: true });
    const after = others.flatMap((id) => s.starts(s.checkIn(id))).map((o) => o.job);
    expect(after).toContain('job-1');
  });

  it('is told by its rising sessions too; a start of an ended session never goes out again', () => {
    const s = new Story();
    for (const id of ['n-1', 'n-2', 'n-3', 'n-4', 'n-5']) s.up(id);
    s.submit('job-1', { tasks: 40 });
    const first = s.starts(s.checkIn('n-1'));
    expect(first.length).toBeGreaterThan(0);
    const attempts = new Set(first.map((o) => o.attempt));
    // Its lease ran out though we answered: the new session's reports show nothing.
    s.checkIn('n-1', [], { session: 2 });
    const again = s.starts(s.checkIn('n-1', [], { session: 2 }));
    for (const o of again) expect(attempts.has(o.attempt)).toBe(false);
    for (const session of [3, 4, 5, 6]) s.checkIn('n-1', [], { session });
    expect(s.state.machines.get('n-1' as MachineId)?.deaf).toBe(true);
  });

  it('gets work again a lease later when nothing more tells against it', () => {
    const s = new Story();
    s.up('n-1');
    s.submit('job-1', { tasks: 1 });
    for (let i = 0; i < 3; i += 1) s.checkIn('n-1');
    s.send({ kind: 'abort', job: 'job-1' as JobId, ticket: 5 as Ticket });
    s.submit('job-2', { tasks: 1 });
    expect(s.starts(s.checkIn('n-1'))).toEqual([]);
    for (let i = 0; i < 12; i += 1) {
      s.pass(1500);
      const starts = s.starts(s.checkIn('n-1'));
      if (starts.length === 0) continue;
      s.checkIn('n-1', starts.map(running));
      break;
    }
    expect(s.state.jobs.get('job-2' as JobId)?.held.size).toBe(1);
    expect(s.state.machines.get('n-1' as MachineId)).toMatchObject({ unheard: 0, deaf: false });
  });

  it('is not believed gone of a cancelled task: it stays counted until the proof', () => {
    const s = new Story();
    s.up('n-1');
    s.submit('job-1', { tasks: 8 });
    const starts = s.starts(s.checkIn('n-1'));
    s.checkIn('n-1', starts.map(running));
    s.send({ kind: 'abort', job: 'job-1' as JobId, ticket: 5 as Ticket });
    for (let i = 0; i < 3; i += 1) s.checkIn('n-1', starts.map(running));
    expect(s.state.usage.get('blue' as TeamName)?.cpus).toBe(8);
    s.checkIn('n-1', []);
    expect(s.state.usage.get('blue' as TeamName)?.cpus).toBe(0);
  });

  it('replaces nothing when many seem deaf: the fault is more likely ours', () => {
    const s = new Story();
    const ids = Array.from({ length: 10 }, (_, i) => `n-${i}`);
    for (const id of ids) s.up(id);
    s.submit('job-1', { tasks: 80, team: 'blue' });
    const effects: Effect[] = [];
    for (let i = 0; i < 8; i += 1) {
      for (const id of ids) s.checkIn(id);
      effects.push(...s.pass(250));
    }
    expect(new Set(effects.flatMap((e) => (e.kind === 'delete' ? e.machines : []))).size).toBeLessThan(4);
  });
});

describe('a controller that has lost the state service and its peers, but not its workers', () => {
  it('gives no orders, and a successor starts nothing twice, in time for cancelled jobs too', () => {
    const s = new Story();
    s.submit('job-1', { tasks: 2 });
    const starts = s.starts(s.up('n-1'));
    const told = starts.map(running);
    s.checkIn('n-1', told);
    s.submit('job-2', { tasks: 2 });
    for (let i = 0; i < 3; i += 1) expect(s.checkIn('n-1', told, {}, 'keep-alive')).toEqual([]);
    expect(s.checkIn('n-1', told, {}, 'none')).toBeNull();
    // The successor hears nothing of n-1, and the cloud does not answer its deletion.
    const next = core({ term: 8 as Term });
    const send = (now: number, ...commands: Command[]) => step(next, commands, now as Instant, 'lead');
    const entries = starts.map((o) => entry(o.index, o.attempt));
    send(
      0,
      { kind: 'types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      { kind: 'ledger', segment: segmentKey(7 as Term, 1), machine: 'n-1' as MachineId, at, entries },
      { kind: 'loaded' },
    );
    const { keepAliveMs, leaseMs } = next.config;
    const firstSent = new Map<number, number>();
    let seq = 0;
    for (let now = 500; now < 60_000; now += 500) {
      seq += 1;
      const effects = send(now, {
        kind: 'report',
        report: report('n-2', seq, seq < 3 ? 7 : 8),
        ticket: seq as Ticket,
      });
      for (const e of effects) {
        if (e.kind === 'save') effects.push(...send(now, { kind: 'saved', batch: e.batch }));
        if (e.kind === 'delete')
          effects.push(...send(now, { kind: 'deleted', machines: e.machines, ok: false }));
        if (e.kind !== 'answer') continue;
        for (const o of s.starts(e.orders)) if (!firstSent.has(o.attempt)) firstSent.set(o.attempt, now);
      }
    }
    const placed = [...firstSent.values()];
    expect(placed).toHaveLength(2);
    // Longer than the old leader may answer and its answers may count; shorter than a cancellation has.
    for (const when of placed) expect(when).toBeGreaterThan(keepAliveMs + leaseMs);
    for (const when of placed) expect(when).toBeLessThan(keepAliveMs + leaseMs + 5000);
  });
});

describe('a new leader', () => {
  it('does not replace at once the machines it knows from the ledger alone when none of them reports', () => {
    const state = core();
    const send = (now: number, ...commands: Command[]) => step(state, commands, now as Instant, 'lead');
    const machines = Array.from({ length: 6 }, (_, i) => `n-${i}` as MachineId);
    const segment = segmentKey(6 as Term, 1);
    send(0, { kind: 'types', types: [type('c8')] });
    send(0, { kind: 'job', spec: job('job-1', { tasks: 6 }), submittedAt: 0 as Instant });
    for (const [i, machine] of machines.entries()) {
      send(0, { kind: 'ledger', segment, machine, at, entries: [entry(i, 50 + i)] });
    }
    send(0, { kind: 'loaded' });
    const deleted: number[] = [];
    for (let now = 500; now < 60_000; now += 500) {
      const effects = send(now, { kind: 'tick' });
      if (effects.some((e) => e.kind === 'delete')) deleted.push(now);
    }
    expect(Math.min(...deleted)).toBeGreaterThan(2 * state.config.leaseMs);
  });
});

describe('late copies', () => {
  it('of reports prove nothing and free nothing: from before, from ended sessions, from deleted machines', () => {
    const s = new Story();
    s.up('n-1');
    s.submit('job-1', { tasks: 3 });
    const starts = s.starts(s.checkIn('n-1'));
    s.checkIn('n-1', starts.map(running));
    const { usage } = s.state;
    for (const copy of [
      report('n-1', 1, 7, []),
      report('n-1', 2, 6, []),
      report('n-1', 99, 7, [], { session: 0 }),
    ]) {
      const lastSeen = s.state.machines.get('n-1' as MachineId)!.lastSeen;
      s.now += 3000;
      s.send({ kind: 'report', report: copy, ticket: 500 as Ticket });
      expect(usage.get('blue' as TeamName)?.cpus).toBe(3);
      expect(s.state.machines.get('n-1' as MachineId)!.lastSeen).toBe(lastSeen);
    }
    s.send({ kind: 'deleted', machines: ['n-1' as MachineId], ok: true });
    s.send({ kind: 'report', report: report('n-1', 200, 7, starts.map(running)), ticket: 501 as Ticket });
    expect(s.state.machines.size).toBe(0);
    expect(s.state.jobs.get('job-1' as JobId)?.pending).toBe(3);
  });

  it('that show a new leader a machine first, free nothing of its ledger, and it is replaced when dead', () => {
    const state = core();
    const send = (now: number, ...commands: Command[]) => step(state, commands, now as Instant, 'lead');
    const segment = segmentKey(6 as Term, 1);
    send(
      0,
      { kind: 'types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      { kind: 'ledger', segment, machine: 'n-1' as MachineId, at, entries: [entry(0, 5), entry(1, 6)] },
      { kind: 'loaded' },
    );
    send(1000, { kind: 'report', report: report('n-1', 1, 6, []), ticket: 1 as Ticket });
    send(9000, { kind: 'report', report: report('n-1', 2, 6, []), ticket: 2 as Ticket });
    expect(state.usage.get('blue' as TeamName)?.cpus).toBe(2);
    let deleted = false;
    for (let now = 9500; now < 30_000; now += 500) deleted ||= asked(send(now, { kind: 'tick' }), 'n-1');
    expect(deleted).toBe(true);
  });

  it('of a rental’s answer, a deletion’s and a submission change nothing', () => {
    const s = new Story();
    s.submit('job-1');
    const rent = s.effects.find((e) => e.kind === 'rent');
    if (rent?.kind !== 'rent') throw new Error('nothing rented');
    const answer: Command = {
      kind: 'rented',
      request: rent.request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    };
    s.send(answer);
    s.send({ kind: 'deleted', machines: ['n-1' as MachineId], ok: true });
    s.send(answer, { kind: 'deleted', machines: ['n-1' as MachineId], ok: true });
    expect(s.state.machines.size).toBe(0);
    s.send({ kind: 'job', spec: job('job-1', { tasks: 9 }), submittedAt: 0 as Instant });
    expect(s.state.jobs.get('job-1' as JobId)?.spec.tasks).toBe(1);
  });
});

describe('the placement ledger', () => {
  const saves = (effects: readonly Effect[]): SaveOp[] =>
    effects.flatMap((e) => (e.kind === 'save' ? [...e.ops] : []));

  it('enters the starts of many machines with few changes, each record within a value', () => {
    const s = new Story(
      core({ valueBytes: 2048, teams: new Map([['blue' as TeamName, team('blue', 800)]]) }),
    );
    const ids = Array.from({ length: 60 }, (_, i) => `n-${i}`);
    for (const [seq, term] of [
      [1, 6],
      [2, 7],
    ] as const) {
      for (const [i, id] of ids.entries()) {
        s.send({ kind: 'report', report: report(id, seq, term), ticket: (seq * 100 + i) as Ticket });
      }
      s.pass(2000);
    }
    s.effects = [];
    s.submit('job-1', { tasks: 480 });
    s.pass(1000);
    const records = saves(s.effects).filter((op) => op.kind === 'segment');
    expect(records.flatMap((r) => r.machines.flatMap((m) => m.entries)).length).toBe(480);
    expect(records.length).toBeLessThan(16);
    for (const r of records) expect(JSON.stringify(writeSegment(r)).length).toBeLessThanOrEqual(2048);
  });

  it('is read back as it was written, and a record that was not is refused whole', () => {
    const given = {
      machines: [{ machine: 'n-1' as MachineId, at, entries: [entry(0, 5), entry(3, 6, 'job-2')] }],
      progress: [{ job: 'job-1' as JobId, chunk: 0, bits: Uint8Array.of(5, 1) }],
    };
    const text = JSON.stringify(writeSegment(given));
    expect(readSegment(JSON.parse(text))).toEqual(given);
    const odd = [null, 7, [], {}, { j: [], m: [], d: [['job-1', -1, '']] }];
    odd.push({ ...JSON.parse(text), j: [] } as never, { ...JSON.parse(text), m: [['n-1']] } as never);
    for (const value of odd) expect(readSegment(value)).toBeNull();
  });

  it('starts nothing before every lease is surely over when a record cannot be read', () => {
    const s = new Story();
    const state = core();
    const send = (now: number, ...commands: Command[]) => step(state, commands, now as Instant, 'lead');
    send(
      0,
      { kind: 'types', types: [type('c8')] },
      { kind: 'unreadable', segment: segmentKey(6 as Term, 1) },
    );
    send(0, { kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant }, { kind: 'loaded' });
    const starts: number[] = [];
    let seq = 0;
    let dropped = 0;
    for (let now = 500; now < 40_000; now += 500) {
      seq += 1;
      const told = report('n-1', seq, seq < 3 ? 6 : 7, []);
      for (const e of send(now, { kind: 'report', report: told, ticket: seq as Ticket })) {
        if (e.kind === 'save') {
          dropped += e.ops.filter((op) => op.kind === 'segment-gone').length;
          send(now, { kind: 'saved', batch: e.batch });
        }
        if (e.kind === 'answer') starts.push(...s.starts(e.orders).map(() => now));
      }
    }
    // keep-alive 10 s, lease 16 s, and the margins of both.
    expect(Math.min(...starts)).toBeGreaterThan(26_000);
    expect(dropped).toBe(1);
  });

  it('keeps few records while a few long tasks outlive many short ones', () => {
    const s = new Story();
    const records = new Set<string>();
    for (const id of ['n-1', 'n-2']) s.up(id);
    s.submit('job-999', { tasks: 1, estimateS: 9999 });
    const held = new Map<string, ReturnType<Story['starts']>>([
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
      if (op.kind === 'segment') records.add(op.key);
      if (op.kind === 'segment-gone') records.delete(op.key);
    }
    expect(records.size).toBeLessThan(15);
    // Whoever reads what is left learns of the long task.
    expect(s.state.jobs.get('job-999' as JobId)?.held.size).toBe(1);
    const p = [...s.state.jobs.get('job-999' as JobId)!.held.values()][0]![0]!;
    expect(records.has(p.segment!.key)).toBe(true);
  });
});

describe('an overloaded day', () => {
  it.each([
    ['the machines', 60],
    ['the limits of the teams', 34],
  ])(
    'of %s begins each largest job within four minutes and serves half of each class, team and the largest',
    (_, limit) => {
      const day = new OverloadedDay({}, limit);
      day.play();
      const { jobs } = day;
      const share = (of: typeof jobs) => of.filter((j) => j.doneAt !== null).length / of.length;
      for (const lane of ['small', 'large']) {
        const ofClass = jobs.filter((j) => j.spec.lane === lane);
        expect(share(ofClass), lane).toBeGreaterThanOrEqual(0.5);
        const largest = [...ofClass]
          .sort((a, b) => b.spec.tasks - a.spec.tasks)
          .slice(0, Math.ceil(ofClass.length / 5));
        expect(share(largest), `largest of ${lane}`).toBeGreaterThanOrEqual(0.5);
        for (const j of largest) expect(j.begunAt! - j.submittedAt, j.spec.id).toBeLessThan(240_000);
      }
      for (const name of ['blue', 'green']) {
        expect(share(jobs.filter((j) => j.spec.team === name)), name).toBeGreaterThanOrEqual(0.5);
      }
      // The day must have been one of more work than could be done at once.
      expect(Math.max(...jobs.map((j) => (j.begunAt ?? 0) - j.submittedAt))).toBeGreaterThan(60_000);
    },
  );

  it('without the first task ahead of others, a largest job would not have begun in time', () => {
    const day = new OverloadedDay({ firstTaskS: 1e6 });
    day.play();
    const late = day.jobs.filter((j) => j.begunAt === null || j.begunAt - j.submittedAt > 240_000);
    expect(late.length).toBeGreaterThan(0);
  });
});

describe('a task’s state in a report', () => {
  it('of an attempt that this leader never gave is recorded, so that the next leader knows of it', () => {
    const s = new Story();
    s.submit('job-1', { tasks: 1 });
    s.pass(100);
    const odd = task('job-1', 0, 123);
    s.checkIn('n-9', [odd]);
    s.pass(500);
    const ops = s.effects.flatMap((e) => (e.kind === 'save' ? [...e.ops] : []));
    const rows = ops.flatMap((op) => (op.kind === 'segment' ? op.machines : []));
    expect(rows.find((r) => r.machine === 'n-9')?.entries).toMatchObject([{ attempt: 123 }]);
  });
});
