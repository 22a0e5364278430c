/** What a new leader may do, and what one that has lost all but its workers may still do. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { Command } from '../src/core/model/command.js';
import type { FencingToken, MachineId, ReplyTicket } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
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
    const next = core({ fencingToken: 8 as FencingToken });
    const send = (now: number, ...commands: Command[]) =>
      applyCommands(next, commands, now as Instant, 'lead');
    const entries = starts.map((o) => entry(o.index, o.attempt));
    send(
      0,
      { kind: 'machine-types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      {
        kind: 'recovered-attempts',
        segment: segmentKey(7 as FencingToken, 1),
        machine: 'n-1' as MachineId,
        attributes: recordedAt,
        entries,
      },
      { kind: 'recovery-completed' },
    );
    const { graceAfterLeaseLossMs: keepAliveMs, workerLeaseMs: leaseMs } = next.config;
    const firstSent = new Map<number, number>();
    let seq = 0;
    for (let now = 500; now < 60_000; now += 500) {
      seq += 1;
      const effects = send(now, {
        kind: 'heartbeat',
        heartbeat: report('n-2', seq, seq < 3 ? 7 : 8),
        ticket: seq as ReplyTicket,
      });
      for (const e of effects) {
        if (e.kind === 'store-batch')
          effects.push(...send(now, { kind: 'batch-stored', batch: e.batch }));
        if (e.kind === 'delete-machines')
          effects.push(...send(now, { kind: 'deletion-result', machines: e.machines, ok: false }));
        if (e.kind !== 'reply-to-heartbeat') continue;
        for (const o of s.starts(e.commands))
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
      applyCommands(state, commands, now as Instant, 'lead');
    const machines = Array.from({ length: 6 }, (_, i) => `n-${i}` as MachineId);
    const segment = segmentKey(6 as FencingToken, 1);
    send(0, { kind: 'machine-types', types: [type('c8')] });
    send(0, { kind: 'job', spec: job('job-1', { tasks: 6 }), submittedAt: 0 as Instant });
    for (const [i, machine] of machines.entries()) {
      send(0, {
        kind: 'recovered-attempts',
        segment,
        machine,
        attributes: recordedAt,
        entries: [entry(i, 50 + i)],
      });
    }
    send(0, { kind: 'recovery-completed' });
    const deleted: number[] = [];
    for (let now = 500; now < 60_000; now += 500) {
      const effects = send(now, { kind: 'tick' });
      if (effects.some((e) => e.kind === 'delete-machines')) deleted.push(now);
    }
    expect(Math.min(...deleted)).toBeGreaterThan(2 * state.config.workerLeaseMs);
  });
});
