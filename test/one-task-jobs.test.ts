/** Load of one-task jobs: what they cost the key-value store, and what is kept of them. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import type { Command } from '../src/core/model/command.js';
import type { Effect } from '../src/core/model/effect.js';
import type { JobId, ReplyTicket, TeamName } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import { core, heartbeatOf, job, task, team, type } from './support/builders.js';

const MACHINES = 12;
const TASK_MS = 9000;
const WRITE_RPS = 40;

describe('one-task jobs, four a second, a quarter of them cancelled', () => {
  it('are stored within the write rate, end in time, and leave nothing behind', () => {
    const state = core({
      teams: new Map([team('blue', 200)].map((t) => [t.name, t])),
      storeWritesPerSecond: WRITE_RPS,
      maxTransactionOperations: 32,
    });
    let now = 0;
    let changes = 0;
    let largestLedger = 0;
    const asked = new Map<string, number>();
    const waits = { settled: 0, cancel: 0 };
    const over = new Set<string>();
    const held = Array.from(
      { length: MACHINES },
      () => [] as { command: WorkerCommand; from: number }[],
    );
    const saving: { at: number; batch: number }[] = [];
    const send = (...commands: Command[]): Effect[] => {
      const effects = applyCommands(state, commands, now as Instant, 'lead');
      for (const effect of effects) {
        if (effect.kind === 'store-batch') {
          for (const op of effect.operations) changes += op.kind === 'job-completion' ? 2 : 1;
          saving.push({ at: now + 20, batch: effect.batch });
        }
        if (effect.kind === 'job-ended') over.add(effect.job);
        if (effect.kind === 'cancellation-settled') {
          waits.settled += 1;
          waits.cancel = Math.max(waits.cancel, now - asked.get(`job-${effect.ticket}`)!);
        }
        if (effect.kind === 'reply-to-heartbeat' && effect.commands) {
          const at = (effect.ticket as number) % 100;
          for (const command of effect.commands) {
            const tasks = held[at]!;
            if (command.op === 'start') tasks.push({ command, from: now });
            else held[at] = tasks.filter((t) => t.command.attempt !== command.attempt);
          }
        }
        if (effect.kind === 'send-commands') {
          const at = Number(effect.machine.slice(2));
          const killed = new Set(effect.commands.map((command) => command.attempt));
          held[at] = held[at]!.filter((t) => !killed.has(t.command.attempt));
        }
      }
      return effects;
    };
    send({ kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' });
    const SUBMIT_MS = 240_000;
    let n = 0;
    let seq = 0;
    for (; now < SUBMIT_MS + 60_000; now += 250) {
      if (now >= 5000 && now < SUBMIT_MS) {
        n += 1;
        const spec = job(`job-${n}`, { team: 'blue' as TeamName, estimateS: 9 });
        send({ kind: 'job', spec, submittedAt: now as Instant });
        // Some wait, some run, some are at their end.
        if (n % 4 === 0) {
          const gone = n - 4 * (n % 12);
          if (gone > 0) {
            asked.set(`job-${gone}`, now);
            send({ kind: 'cancel-job', job: `job-${gone}` as JobId, ticket: gone as ReplyTicket });
          }
        }
      }
      for (const s of saving.filter((x) => x.at <= now))
        send({ kind: 'batch-stored', batch: s.batch });
      for (const s of saving.filter((x) => x.at <= now)) saving.splice(saving.indexOf(s), 1);
      if (now % 2000 === 0) {
        seq += 1;
        for (let i = 0; i < MACHINES; i += 1) {
          const reported = held[i]!.map(({ command, from }) => {
            const ended = now - from >= TASK_MS;
            return task(
              command.job,
              command.index,
              command.attempt,
              ended ? 'ended' : 'running',
              ended ? 'done' : null,
            );
          });
          send({
            kind: 'heartbeat',
            heartbeat: heartbeatOf(`n-${i}`, seq, seq < 2 ? 0 : 7, reported),
            ticket: (seq * 100 + i + 100_000) as ReplyTicket,
          });
        }
      }
      send({ kind: 'tick' });
      largestLedger = Math.max(largestLedger, state.segments.size);
    }
    expect(n).toBe(940);
    expect(over.size).toBe(n);
    expect(state.jobs.size).toBe(0);
    expect(waits.settled).toBeGreaterThan(150);
    expect(waits.cancel).toBeLessThan(2000);
    // Beside their admissions, one change each, a second's changes stay well below the limit.
    expect((changes + n) / (SUBMIT_MS / 1000)).toBeLessThan(WRITE_RPS * 0.75);
    expect(largestLedger).toBeLessThan(80);
    expect(state.segments.size).toBeLessThan(3);
  });
});
