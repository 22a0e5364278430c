import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import { explainJob, viewJob } from '../src/core/lifecycle/job-view.js';
import type { Effect } from '../src/core/model/effect.js';
import type { FencingToken, JobId, MachineId, ReplyTicket } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import { core, job, report, task, type } from './model/build.js';
import { CoreDriver, ended, running } from './model/core-driver.js';

const SEGMENT = segmentKey(6 as FencingToken, 1);

describe('machines in trouble', () => {
  it('replaces a machine that fails tasks of several jobs', () => {
    const s = new CoreDriver();
    s.submit('job-1');
    s.submit('job-2');
    const starts = s.starts(s.up('n-1'));
    expect(starts).toHaveLength(2);
    s.checkIn(
      'n-1',
      starts.map((o) => ended(o, 'error')),
    );
    expect(s.state.machines.get('n-1' as MachineId)?.isDraining).toBe(true);
    s.checkIn('n-1');
    expect(
      s
        .pass(1000)
        .some((e) => e.kind === 'delete-machines' && e.machines.includes('n-1' as MachineId)),
    ).toBe(true);
  });

  it('does not blame machines for a job that fails on all of them, and tries it with pauses until cancelled', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 1 });
    let tries = 0;
    for (const id of ['n-1', 'n-2', 'n-3']) s.up(id);
    for (let round = 0; round < 40; round += 1) {
      for (const id of ['n-1', 'n-2', 'n-3']) {
        const starts = s.starts(s.checkIn(id));
        tries += starts.length;
        if (starts.length > 0)
          s.checkIn(
            id,
            starts.map((o) => ended(o, 'error')),
          );
      }
    }
    expect(tries).toBeGreaterThan(3);
    expect(tries).toBeLessThan(14);
    for (const m of s.state.machines.values()) expect(m.isDraining).toBe(false);
    // It holds back nobody: another job gets the machines at once.
    s.submit('job-2', { tasks: 8 });
    expect(s.state.queueHead).not.toBe('job-1');
    expect(explainJob(s.state, 'job-1' as JobId, s.now as Instant)?.failsEverywhere).toBe(true);
  });

  it('starts tasks of a silent machine elsewhere only once the cloud has deleted it', () => {
    const s = new CoreDriver();
    for (const id of ['n-1', 'n-2', 'n-3']) s.up(id);
    s.submit('job-1');
    const holder = ['n-1', 'n-2', 'n-3'].find((id) => s.starts(s.checkIn(id)).length > 0)!;
    const others = ['n-1', 'n-2', 'n-3'].filter((id) => id !== holder);
    for (let i = 0; i < 3; i += 1) {
      s.pass(2500);
      for (const id of others) expect(s.starts(s.checkIn(id))).toEqual([]);
    }
    const asked = s.effects.flatMap((e) => (e.kind === 'delete-machines' ? e.machines : []));
    expect(asked).toContain(holder);
    s.send({ kind: 'deletion-result', machines: [holder as MachineId], ok: true });
    const again = others.flatMap((id) => s.starts(s.checkIn(id)));
    expect(again).toHaveLength(1);
    // What the deleted machine still says is late and changes nothing.
    expect(s.checkIn(holder, [])).toBeNull();
    expect(s.state.machines.has(holder as MachineId)).toBe(false);
  });

  it('deletes nothing at once when most machines fall silent together', () => {
    const s = new CoreDriver();
    const ids = ['n-1', 'n-2', 'n-3', 'n-4'];
    for (const id of ids) s.up(id);
    // Their last words come a moment apart.
    for (const id of ids) {
      s.send({ kind: 'heartbeat', heartbeat: report(id, 50, 7), ticket: 800 as ReplyTicket });
      s.now += 400;
    }
    expect(s.pass(20_000).filter((e) => e.kind === 'delete-machines')).toEqual([]);
    expect(s.pass(20_000).filter((e) => e.kind === 'delete-machines')).not.toEqual([]);
  });

  it('clears a machine with a notice: saves what can be saved, restarts elsewhere what would not end in time', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 1, estimateS: 100, checkpointIntervalS: 10, checkpointWriteS: 3 });
    s.submit('job-2', { tasks: 1, estimateS: 100 });
    s.submit('job-3', { tasks: 1, estimateS: 2 });
    const starts = s.starts(s.up('n-1'));
    expect(starts).toHaveLength(3);
    s.checkIn('n-1', starts.map(running));
    s.checkIn('n-1', starts.map(running), { reclaimNoticeS: 9 });
    s.pass(500);
    const orders = s.checkIn('n-1', starts.map(running), { reclaimNoticeS: 8.5 }) ?? [];
    const kills = new Map(orders.filter((o) => o.op === 'kill').map((o) => [o.job as string, o]));
    expect([...kills.keys()].sort()).toEqual(['job-1', 'job-2']);
    expect(kills.get('job-1')).toMatchObject({ graceS: expect.closeTo(8, 0) });
    expect(kills.get('job-2')).toMatchObject({ graceS: 0 });
  });

  it('does not take a machine that a new leader hears of late for one that never came up', () => {
    const s = new CoreDriver();
    const machines = [
      {
        id: 'n-7' as MachineId,
        endpoint: '127.0.0.1:9',
        type: 'c8' as never,
        zone: 'a' as never,
        spot: true,
        status: 'running' as const,
        ageS: 900,
      },
    ];
    s.send({ kind: 'machines-listed', askedAt: s.now as Instant, machines });
    expect(s.pass(10_000).filter((e) => e.kind === 'delete-machines')).toEqual([]);
  });

  it('replaces a machine that never comes up', () => {
    const s = new CoreDriver();
    s.submit('job-1');
    const rent = s.effects.find((e) => e.kind === 'provision');
    if (rent?.kind !== 'provision') throw new Error('nothing rented');
    s.send({
      kind: 'provision-result',
      request: rent.request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    });
    expect(s.pass(60_000).filter((e) => e.kind === 'delete-machines')).toEqual([]);
    expect(s.pass(10_000).find((e) => e.kind === 'delete-machines')).toMatchObject({
      machines: ['n-1'],
    });
  });
});

describe('odd messages', () => {
  it('a report of a task that its job does not have is answered with a kill and counts as no task of the job', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    const starts = s.starts(s.up('n-1'));
    const odd = task('job-1', 999_999_999, 3);
    const orders = s.checkIn('n-1', [...starts.map(running), odd]);
    expect(orders).toMatchObject([{ op: 'kill', index: 999_999_999 }]);
    s.checkIn('n-1', starts.map(running));
    expect(s.state.jobs.get('job-1' as JobId)?.pendingTasks).toBe(0);
    expect(s.starts(s.checkIn('n-1', []) ?? []).every((o) => o.index < 2)).toBe(true);
  });

  it('a progress record that cannot be the job’s changes nothing', () => {
    const state = core();
    applyCommands(
      state,
      [{ kind: 'job', spec: job('job-1', { tasks: 3 }), submittedAt: 0 as Instant }],
      0 as Instant,
      'lead',
    );
    for (const from of [-8, 8, 4, 8192, Number.NaN, 0.5]) {
      const bits = Uint8Array.of(255);
      applyCommands(
        state,
        [
          {
            kind: 'recovered-progress',
            segment: SEGMENT,
            job: 'job-1' as JobId,
            firstTask: from,
            bits,
          },
        ],
        0 as Instant,
        'lead',
      );
    }
    expect(state.jobs.get('job-1' as JobId)).toMatchObject({ doneCount: 0, pendingTasks: 3 });
  });
});

describe('a leader', () => {
  it('rents nothing before it has read the machine list, and no request name twice', () => {
    const state = core();
    const tick = (at: number) => applyCommands(state, [{ kind: 'tick' }], at as Instant, 'lead');
    applyCommands(
      state,
      [{ kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' }],
      0 as Instant,
      'lead',
    );
    expect([1000, 2000, 3000].flatMap(tick).filter((e) => e.kind === 'provision')).toEqual([]);
    applyCommands(
      state,
      [{ kind: 'machines-listed', askedAt: 3000 as Instant, machines: [] }],
      3000 as Instant,
      'lead',
    );
    const names: string[] = [];
    for (let at = 4000; at < 90_000; at += 500) {
      for (const e of tick(at)) {
        if (e.kind !== 'provision') continue;
        names.push(e.request);
        applyCommands(
          state,
          [{ kind: 'provision-result', request: e.request, result: 'refused', machines: [] }],
          at as Instant,
          'lead',
        );
      }
    }
    expect(names.length).toBeGreaterThan(5);
    expect(new Set(names).size).toBe(names.length);
    for (const name of names) expect(name).toMatch(/^r-7-/);
  });

  it('without a valid lease keeps workers alive with empty answers, and then turns them away', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 4 });
    const starts = s.starts(s.up('n-1'));
    expect(starts).toHaveLength(4);
    s.submit('job-2', { tasks: 4 });
    expect(s.checkIn('n-1', starts.map(running), {}, 'keep-alive')).toEqual([]);
    const silent = s.run('keep-alive', [{ kind: 'tick' }]);
    expect(silent.filter((e) => e.kind !== 'log')).toEqual([]);
    expect(s.checkIn('n-1', starts.map(running), {}, 'none')).toBeNull();
  });

  it('leaves a recorded task where it is until its machine proves it absent under this term', () => {
    const state = core();
    const entry = {
      job: 'job-1',
      index: 0,
      attempt: 5,
      team: 'blue',
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
    } as never;
    const at = { type: 'c8', zone: 'a', spot: false } as never;
    state.config.teams.get('blue' as never);
    applyCommands(
      state,
      [{ kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant }],
      0 as Instant,
      'lead',
    );
    applyCommands(
      state,
      [
        {
          kind: 'recovered-attempts',
          segment: SEGMENT,
          machine: 'n-1' as MachineId,
          attributes: at,
          entries: [entry],
        },
      ],
      0 as Instant,
      'lead',
    );
    const s = new CoreDriver(state);
    s.up('n-2');
    expect(s.starts(s.checkIn('n-2'))).toEqual([]);
    // A report from before this term, and a reply to direct orders, prove nothing.
    s.send({ kind: 'heartbeat', heartbeat: report('n-1', 1, 6), ticket: 900 as ReplyTicket });
    s.send({ kind: 'heartbeat', heartbeat: report('n-1', 2, 7), ticket: null });
    expect(s.starts(s.checkIn('n-2'))).toEqual([]);
    s.send({ kind: 'heartbeat', heartbeat: report('n-1', 3, 7), ticket: 901 as ReplyTicket });
    const starts = [...s.starts(s.checkIn('n-2'))];
    for (const e of s.effects)
      if (e.kind === 'reply-to-heartbeat' && e.ticket === 901) starts.push(...s.starts(e.commands));
    expect(starts).toHaveLength(1);
    expect(starts[0]?.attempt).toBeGreaterThan(7_000_000 - 1);
  });

  it('tells the worker to drop a result only once it is stored', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    const starts = s.starts(s.up('n-1'));
    const told = [ended(starts[0]!, 'done'), running(starts[1]!)];
    const held: Effect[] = applyCommands(
      s.state,
      [{ kind: 'heartbeat', heartbeat: report('n-1', 50, 7, told), ticket: 700 as ReplyTicket }],
      s.now as Instant,
      'lead',
    );
    const answer = held.find((e) => e.kind === 'reply-to-heartbeat');
    expect(answer).toMatchObject({ commands: [] });
    s.pass(2000);
    const later = s.state.machines.get('n-1' as MachineId)!;
    later.heartbeatSequence = 0;
    expect(s.checkIn('n-1', told)).toMatchObject([{ op: 'reap', index: starts[0]!.index }]);
  });

  it('stops a cancelled job at once, even where its start is still under way, and says so only once that is stored', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    const starts = s.starts(s.up('n-1'));
    s.checkIn('n-1', [running(starts[0]!)]);
    const effects = s.send({
      kind: 'cancel-job',
      job: 'job-1' as JobId,
      ticket: 77 as ReplyTicket,
    });
    const order = effects.map((e) => e.kind);
    expect(order.indexOf('store-batch')).toBeLessThan(order.indexOf('cancellation-settled'));
    expect(effects.find((e) => e.kind === 'send-commands')).toMatchObject({
      commands: [{ op: 'kill' }, { op: 'kill' }],
    });
    // The worker got the second start after all: it is told again.
    expect(s.checkIn('n-1', starts.map(running))).toMatchObject([{ op: 'kill' }, { op: 'kill' }]);
    expect(viewJob(s.state, 'job-1' as JobId, s.now as Instant)).toBeNull();
  });
});
