/** Limits on a new leader, and on a leader that has lost its lease but not its workers. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { Command } from '../src/core/model/command.js';
import type { FencingToken, MachineId, ReplyTicket } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  machineType,
  recordedAttributes,
} from './support/builders.js';
import { CoreDriver, running } from './support/core-driver.js';

describe('a leader that has lost the key-value store and its peers, but not its workers', () => {
  it('sends no commands; its successor restarts tasks once their worker leases expire', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    const runningAttempts = starts.map(running);
    driver.sendHeartbeat('n-1', runningAttempts);
    driver.submit('job-2', { tasks: 2 });
    for (let i = 0; i < 3; i += 1)
      expect(driver.sendHeartbeat('n-1', runningAttempts, {}, 'keep-alive')).toEqual([]);
    expect(driver.sendHeartbeat('n-1', runningAttempts, {}, 'none')).toBeNull();
    // The successor gets no heartbeat from n-1, and the cloud does not confirm its deletion.
    const successor = core({ fencingToken: 8 as FencingToken });
    const apply = (now: number, ...commands: Command[]) =>
      applyCommands(successor, commands, now as Instant, 'lead');
    const entries = starts.map((start) => ledgerEntry(start.index, start.attempt));
    apply(
      0,
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      {
        kind: 'recovered-attempts',
        segment: segmentKey(7 as FencingToken, 1),
        machine: 'n-1' as MachineId,
        attributes: recordedAttributes,
        entries,
      },
      { kind: 'recovery-completed' },
    );
    const { graceAfterLeaseLossMs, workerLeaseMs } = successor.config;
    const firstSentAt = new Map<number, number>();
    let sequence = 0;
    for (let now = 500; now < 60_000; now += 500) {
      sequence += 1;
      const effects = apply(now, {
        kind: 'heartbeat',
        heartbeat: heartbeatOf('n-2', sequence, sequence < 3 ? 7 : 8),
        ticket: sequence as ReplyTicket,
      });
      for (const effect of effects) {
        if (effect.kind === 'store-batch')
          effects.push(...apply(now, { kind: 'batch-stored', batch: effect.batch }));
        if (effect.kind === 'delete-machines')
          effects.push(
            ...apply(now, { kind: 'deletion-result', machines: effect.machines, ok: false }),
          );
        if (effect.kind !== 'reply-to-heartbeat') continue;
        for (const start of driver.startsIn(effect.commands))
          if (!firstSentAt.has(start.attempt)) firstSentAt.set(start.attempt, now);
      }
    }
    const startTimes = [...firstSentAt.values()];
    expect(startTimes).toHaveLength(2);
    // After the last reply of the former leader has expired, but before a cancellation is due.
    for (const sentAt of startTimes)
      expect(sentAt).toBeGreaterThan(graceAfterLeaseLossMs + workerLeaseMs);
    for (const sentAt of startTimes)
      expect(sentAt).toBeLessThan(graceAfterLeaseLossMs + workerLeaseMs + 5000);
  });
});

describe('a new leader', () => {
  it('keeps silent machines known only from the ledger for two worker leases', () => {
    const state = core();
    const apply = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    const machines = Array.from({ length: 6 }, (_, i) => `n-${i}` as MachineId);
    const segment = segmentKey(6 as FencingToken, 1);
    apply(0, { kind: 'machine-types', types: [machineType('c8')] });
    apply(0, { kind: 'job', spec: job('job-1', { tasks: 6 }), submittedAt: 0 as Instant });
    for (const [i, machine] of machines.entries()) {
      apply(0, {
        kind: 'recovered-attempts',
        segment,
        machine,
        attributes: recordedAttributes,
        entries: [ledgerEntry(i, 50 + i)],
      });
    }
    apply(0, { kind: 'recovery-completed' });
    const deletedAt: number[] = [];
    for (let now = 500; now < 60_000; now += 500) {
      const effects = apply(now, { kind: 'tick' });
      if (effects.some((effect) => effect.kind === 'delete-machines')) deletedAt.push(now);
    }
    expect(Math.min(...deletedAt)).toBeGreaterThan(2 * state.config.workerLeaseMs);
  });
});
