/** One-task jobs under load: their writes to the key-value store, and the records they leave. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import type { Command } from '../src/core/model/command.js';
import type { Effect } from '../src/core/model/effect.js';
import type { JobId, ReplyTicket, TeamName } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import { core, heartbeatOf, job, machineType, taskStatus, team } from './support/builders.js';

const MACHINES = 12;
const TASK_MS = 9000;
const WRITE_RPS = 40;

describe('a load of one-task jobs, four a second, a quarter of them cancelled', () => {
  it('stays within the write rate, ends in time and leaves almost no ledger segments', () => {
    const state = core({
      teams: new Map([team('blue', 200)].map((t) => [t.name, t])),
      storeWritesPerSecond: WRITE_RPS,
      maxTransactionOperations: 32,
    });
    let now = 0;
    let mutations = 0;
    let mostSegments = 0;
    const cancelledAt = new Map<string, number>();
    const cancellations = { settled: 0, longestMs: 0 };
    const endedJobs = new Set<string>();
    const tasksByMachine = Array.from(
      { length: MACHINES },
      () => [] as { command: WorkerCommand; startedAt: number }[],
    );
    const pendingBatches: { at: number; batch: number }[] = [];
    const send = (...commands: Command[]): Effect[] => {
      const effects = applyCommands(state, commands, now as Instant, 'lead');
      for (const effect of effects) {
        if (effect.kind === 'store-batch') {
          for (const op of effect.operations) mutations += op.kind === 'job-completion' ? 2 : 1;
          pendingBatches.push({ at: now + 20, batch: effect.batch });
        }
        if (effect.kind === 'job-ended') endedJobs.add(effect.job);
        if (effect.kind === 'cancellation-settled') {
          cancellations.settled += 1;
          cancellations.longestMs = Math.max(
            cancellations.longestMs,
            now - cancelledAt.get(`job-${effect.ticket}`)!,
          );
        }
        if (effect.kind === 'reply-to-heartbeat' && effect.commands) {
          const machineIndex = (effect.ticket as number) % 100;
          for (const command of effect.commands) {
            const tasks = tasksByMachine[machineIndex]!;
            if (command.op === 'start') tasks.push({ command, startedAt: now });
            else
              tasksByMachine[machineIndex] = tasks.filter(
                (t) => t.command.attempt !== command.attempt,
              );
          }
        }
        if (effect.kind === 'send-commands') {
          const machineIndex = Number(effect.machine.slice(2));
          const killed = new Set(effect.commands.map((command) => command.attempt));
          tasksByMachine[machineIndex] = tasksByMachine[machineIndex]!.filter(
            (t) => !killed.has(t.command.attempt),
          );
        }
      }
      return effects;
    };
    send({ kind: 'machine-types', types: [machineType('c8')] }, { kind: 'recovery-completed' });
    const SUBMIT_MS = 240_000;
    let submitted = 0;
    let seq = 0;
    for (; now < SUBMIT_MS + 60_000; now += 250) {
      if (now >= 5000 && now < SUBMIT_MS) {
        submitted += 1;
        const spec = job(`job-${submitted}`, { team: 'blue' as TeamName, estimateS: 9 });
        send({ kind: 'job', spec, submittedAt: now as Instant });
        // Of the cancelled jobs some wait, some run and some are about to end.
        if (submitted % 4 === 0) {
          const cancelNumber = submitted - 4 * (submitted % 12);
          if (cancelNumber > 0) {
            cancelledAt.set(`job-${cancelNumber}`, now);
            send({
              kind: 'cancel-job',
              job: `job-${cancelNumber}` as JobId,
              ticket: cancelNumber as ReplyTicket,
            });
          }
        }
      }
      for (const s of pendingBatches.filter((x) => x.at <= now))
        send({ kind: 'batch-stored', batch: s.batch });
      for (const s of pendingBatches.filter((x) => x.at <= now))
        pendingBatches.splice(pendingBatches.indexOf(s), 1);
      if (now % 2000 === 0) {
        seq += 1;
        for (let i = 0; i < MACHINES; i += 1) {
          const reported = tasksByMachine[i]!.map(({ command, startedAt }) => {
            const ended = now - startedAt >= TASK_MS;
            return taskStatus(
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
      mostSegments = Math.max(mostSegments, state.segments.size);
    }
    expect(submitted).toBe(940);
    expect(endedJobs.size).toBe(submitted);
    expect(state.jobs.size).toBe(0);
    expect(cancellations.settled).toBeGreaterThan(150);
    expect(cancellations.longestMs).toBeLessThan(2000);
    // The mean write rate, with one mutation per admission, stays well below the limit.
    expect((mutations + submitted) / (SUBMIT_MS / 1000)).toBeLessThan(WRITE_RPS * 0.75);
    expect(mostSegments).toBeLessThan(80);
    expect(state.segments.size).toBeLessThan(3);
  });
});
