/** What a new leader may do, and what one that has lost all but its workers may still do. */
import { describe, expect, it } from 'vitest';
import { step } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { Command, Instant, MachineId, Term, Ticket } from '../src/core/types.js';
import { core, entry, job, recordedAt, report, type } from './model/build.js';
import { CoreDriver, running } from './model/core-driver.js';

describe('a controller that has lost the state service and its peers, but not its workers', () => {
  it('gives no orders, and a successor starts nothing twice, in time for cancelled jobs too', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    const starts = s.starts(s.up('n-1'));
    const told = starts.map(running);
    s.checkIn('n-1', told);
    s.submit('job-2', { tasks: 2 });
    for (let i = 0; i < 3; i += 1) expect(s.checkIn('n-1', told, {}, 'keep-alive')).toEqual([]);
    expect(s.checkIn('n-1', told, {}, 'none')).toBeNull();
    // The successor hears nothing of n-1, and the cloud does not answer its deletion.
    const next = core({ term: 8 as Term });
    const send = (now: number, ...commands: Command[]) =>
      step(next, commands, now as Instant, 'lead');
    const entries = starts.map((o) => entry(o.index, o.attempt));
    send(
      0,
      { kind: 'types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      {
        kind: 'ledger',
        segment: segmentKey(7 as Term, 1),
        machine: 'n-1' as MachineId,
        at: recordedAt,
        entries,
      },
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
        for (const o of s.starts(e.orders))
          if (!firstSent.has(o.attempt)) firstSent.set(o.attempt, now);
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
    const send = (now: number, ...commands: Command[]) =>
      step(state, commands, now as Instant, 'lead');
    const machines = Array.from({ length: 6 }, (_, i) => `n-${i}` as MachineId);
    const segment = segmentKey(6 as Term, 1);
    send(0, { kind: 'types', types: [type('c8')] });
    send(0, { kind: 'job', spec: job('job-1', { tasks: 6 }), submittedAt: 0 as Instant });
    for (const [i, machine] of machines.entries()) {
      send(0, { kind: 'ledger', segment, machine, at: recordedAt, entries: [entry(i, 50 + i)] });
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
