/** Machines that do not hear us, and machines that are not heard. */
import { describe, expect, it } from 'vitest';
import type { Effect } from '../src/core/model/effect.js';
import type { JobId, MachineId, ReplyTicket, TeamName } from '../src/core/model/ids.js';
import { core, report, team } from './model/build.js';
import { CoreDriver, running } from './model/core-driver.js';

const asked = (effects: readonly Effect[], id: string) =>
  effects.some((e) => e.kind === 'delete-machines' && e.machines.includes(id as MachineId));

describe('a machine whose reports arrive while nothing reaches it', () => {
  /** Its answers are lost: it goes on reporting that it has nothing. */
  const deafen = (s: CoreDriver, id: string, reports: number) => {
    const effects: Effect[] = [];
    for (let i = 0; i < reports; i += 1) {
      s.checkIn(id);
      effects.push(...s.pass(500));
    }
    return effects;
  };

  it('gets no more work, is replaced, and what was meant for it runs elsewhere once it is deleted', () => {
    const s = new CoreDriver();
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
    s.send({ kind: 'deletion-result', machines: [holder as MachineId], ok: true });
    const after = others.flatMap((id) => s.starts(s.checkIn(id))).map((o) => o.job);
    expect(after).toContain('job-1');
  });

  it('is told by its rising sessions too; a start of an ended session never goes out again', () => {
    const s = new CoreDriver();
    for (const id of ['n-1', 'n-2', 'n-3', 'n-4', 'n-5']) s.up(id);
    s.submit('job-1', { tasks: 40 });
    const first = s.starts(s.checkIn('n-1'));
    expect(first.length).toBeGreaterThan(0);
    const attempts = new Set(first.map((o) => o.attempt));
    // Its lease ran out though we answered: the new session's reports show nothing.
    s.checkIn('n-1', [], { agentEpoch: 2 });
    const again = s.starts(s.checkIn('n-1', [], { agentEpoch: 2 }));
    for (const o of again) expect(attempts.has(o.attempt)).toBe(false);
    for (const session of [3, 4, 5, 6]) s.checkIn('n-1', [], { agentEpoch: session });
    expect(s.state.machines.get('n-1' as MachineId)?.isUnreachable).toBe(true);
  });

  it('gets work again a lease later when nothing more tells against it', () => {
    const s = new CoreDriver();
    s.up('n-1');
    s.submit('job-1', { tasks: 1 });
    for (let i = 0; i < 3; i += 1) s.checkIn('n-1');
    s.send({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 5 as ReplyTicket });
    s.submit('job-2', { tasks: 1 });
    expect(s.starts(s.checkIn('n-1'))).toEqual([]);
    for (let i = 0; i < 12; i += 1) {
      s.pass(1500);
      const starts = s.starts(s.checkIn('n-1'));
      if (starts.length === 0) continue;
      s.checkIn('n-1', starts.map(running));
      break;
    }
    expect(s.state.jobs.get('job-2' as JobId)?.attemptsByTask.size).toBe(1);
    expect(s.state.machines.get('n-1' as MachineId)).toMatchObject({
      unacknowledgedReplies: 0,
      isUnreachable: false,
    });
  });

  it('is not believed gone of a cancelled task: it stays counted until the proof', () => {
    const s = new CoreDriver();
    s.up('n-1');
    s.submit('job-1', { tasks: 8 });
    const starts = s.starts(s.checkIn('n-1'));
    s.checkIn('n-1', starts.map(running));
    s.send({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 5 as ReplyTicket });
    for (let i = 0; i < 3; i += 1) s.checkIn('n-1', starts.map(running));
    expect(s.state.teamUsage.get('blue' as TeamName)?.cpus).toBe(8);
    s.checkIn('n-1', []);
    expect(s.state.teamUsage.get('blue' as TeamName)?.cpus).toBe(0);
  });

  it('replaces nothing when many seem deaf: the fault is more likely ours', () => {
    const s = new CoreDriver();
    const ids = Array.from({ length: 10 }, (_, i) => `n-${i}`);
    for (const id of ids) s.up(id);
    s.submit('job-1', { tasks: 80, team: 'blue' });
    const effects: Effect[] = [];
    for (let i = 0; i < 8; i += 1) {
      for (const id of ids) s.checkIn(id);
      effects.push(...s.pass(250));
    }
    expect(
      new Set(effects.flatMap((e) => (e.kind === 'delete-machines' ? e.machines : []))).size,
    ).toBeLessThan(4);
  });
});

describe('machines that fall silent', () => {
  const roomy = () => core({ teams: new Map([['blue' as TeamName, team('blue', 400)]]) });
  /** Fifty machines with a task each; those named are not heard of while the others go on reporting. */
  const silence = (names: readonly string[], ms: number, s = new CoreDriver(roomy())) => {
    const ids = Array.from({ length: 50 }, (_, i) => `n-${i}`);
    if (s.state.machines.size === 0) {
      for (const [seq, term] of [
        [1, 6],
        [2, 7],
      ] as const) {
        for (const [i, id] of ids.entries())
          s.send({
            kind: 'heartbeat',
            heartbeat: report(id, seq, term),
            ticket: (seq * 100 + i) as ReplyTicket,
          });
        s.pass(1500);
      }
      s.submit('job-1', { tasks: 50, cpus: 8, estimateS: 500 });
    }
    const effects: Effect[] = [];
    let seq = 1000 + s.now;
    for (const end = s.now + ms; s.now < end; ) {
      for (const [i, id] of ids.entries()) {
        if (names.includes(id) || !s.state.machines.has(id as MachineId)) continue;
        const held = [...s.state.machines.get(id as MachineId)!.placements.values()];
        const told = held
          .filter((p) => p.phase !== 'persisting')
          .map((p) => running(p.entry as never));
        seq += 1;
        const ticket = (seq * 100 + i) as ReplyTicket;
        effects.push(...s.send({ kind: 'heartbeat', heartbeat: report(id, seq, 7, told), ticket }));
      }
      effects.push(...s.pass(1000));
    }
    return { s, effects };
  };
  const deletedBy = (effects: readonly Effect[]) =>
    new Set(effects.flatMap((e) => (e.kind === 'delete-machines' ? e.machines : [])));

  it('many at once, as in a cut or a hang, are not replaced within two leases, and go on when they come back', () => {
    const { s } = silence([], 4000);
    const many = Array.from({ length: 15 }, (_, i) => `n-${i}`);
    const leaseMs = s.state.config.workerLeaseMs;
    expect(s.state.teamUsage.get('blue' as TeamName)?.cpus).toBeGreaterThan(0);
    const hang = silence(many, leaseMs - 2000, s);
    expect(deletedBy(hang.effects).size).toBe(0);
    expect([...s.state.machines.values()].filter((m) => m.lostAt !== null)).toEqual([]);
    const longer = silence(many, leaseMs - 2000, s);
    expect(deletedBy(longer.effects).size).toBe(0);
    // Their leases are surely over: nothing is counted on them any more, and they count as not ready.
    for (const id of many)
      expect(s.state.machines.get(id as MachineId)).toMatchObject({
        attemptCount: 0,
        isReady: false,
      });
    const after = silence(many, 8000, s);
    expect(deletedBy(after.effects).size).toBe(15);
  });

  it('a few are replaced after four report periods', () => {
    const few = ['n-3', 'n-4', 'n-5', 'n-6', 'n-7'];
    const { s } = silence([], 4000);
    const { heartbeatIntervalMs: reportMs } = s.state.config;
    expect(deletedBy(silence(few, 3 * reportMs, s).effects).size).toBe(0);
    expect([...deletedBy(silence(few, 2 * reportMs + 1000, s).effects)]).toEqual(few);
  });

  it('get no more work until they are heard of again, and then at once', () => {
    const s = new CoreDriver();
    s.up('n-1');
    s.pass(2 * s.state.config.heartbeatIntervalMs + 500);
    s.submit('job-1', { tasks: 1 });
    s.pass(1000);
    expect(s.state.jobs.get('job-1' as JobId)?.attemptsByTask.size).toBe(0);
    expect(s.starts(s.checkIn('n-1'))).toHaveLength(1);
  });
});
