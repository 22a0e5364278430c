/**
 * A day on which more is asked than can be done: steady arrivals, a fixed fleet, workers that do as
 * they are told.
 */

import { applyCommands } from '../../src/core/apply-commands.js';
import type { CoreState } from '../../src/core/core-state.js';
import type { ReplyTicket, TeamName } from '../../src/core/model/ids.js';
import type { JobSpec } from '../../src/core/model/job.js';
import type { Policy } from '../../src/core/model/policy.js';
import type { Instant } from '../../src/core/model/time.js';
import type { WorkerCommand } from '../../src/core/model/worker-command.js';
import { core, heartbeatOf, job, machineType, taskStatus, team } from '../support/builders.js';

const STEP_MS = 1000;
const ARRIVALS_MS = 400_000;
const DAY_MS = 1_200_000;
const MACHINES = 10;

interface Running {
  readonly command: WorkerCommand;
  readonly endsAt: number;
}

/** A job of the day, with the times in milliseconds at which it began and was done. */
export interface ModelJob {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  startedAt: number | null;
  doneAt: number | null;
}

/** Plays the day with a leader that never fails. */
export class OverloadedDay {
  readonly jobs: ModelJob[] = [];
  private readonly state: CoreState;
  private readonly byId = new Map<string, ModelJob>();
  private readonly running = Array.from({ length: MACHINES }, () => [] as Running[]);

  constructor(policy: Partial<Policy> = {}, limit = 60) {
    const teams = [team('blue', limit), team('green', limit)];
    this.state = core(
      { teams: new Map(teams.map((t) => [t.name, t])), maxValueBytes: 16_384 },
      policy,
    );
  }

  private arrive(now: number): void {
    const n = this.jobs.length;
    const large = n % 4 === 0;
    const spec = job(`job-${n}`, {
      jobClass: large ? 'large' : 'small',
      priority: large ? 'best_effort' : 'urgent',
      team: (n % 2 ? 'green' : 'blue') as TeamName,
      tasks: large ? 20 + ((n * 7) % 60) : 16 + ((n * 3) % 12),
      estimateS: large ? 40 : 20,
      deadlineS: large ? 150 : 60,
    });
    const dayJob: ModelJob = { spec, submittedAt: now, startedAt: null, doneAt: null };
    this.jobs.push(dayJob);
    this.byId.set(spec.id, dayJob);
    this.send(now, { kind: 'job', spec, submittedAt: now as Instant });
  }

  private send(now: number, ...commands: Parameters<typeof applyCommands>[1][number][]) {
    const effects = applyCommands(this.state, commands, now as Instant, 'lead');
    for (const effect of [...effects]) {
      if (effect.kind === 'store-batch')
        effects.push(...this.send(now, { kind: 'batch-stored', batch: effect.batch }));
      if (effect.kind === 'job-ended') this.byId.get(effect.job)!.doneAt = now;
    }
    return effects;
  }

  /** Plays the whole day. */
  run(): void {
    this.send(
      0,
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'recovery-completed' },
    );
    let sequence = 0;
    for (let now = 4000; now < DAY_MS; now += STEP_MS) {
      if (now < ARRIVALS_MS && now % 5000 === 0) this.arrive(now);
      sequence += 1;
      for (const [i, running] of this.running.entries()) {
        const statuses = running.map(({ command, endsAt }) => {
          const hasEnded = endsAt <= now;
          return taskStatus(
            command.job,
            command.index,
            command.attempt,
            hasEnded ? 'ended' : 'running',
            hasEnded ? 'done' : null,
          );
        });
        const ticket = (sequence * 100 + i) as ReplyTicket;
        const effects = this.send(now, {
          kind: 'heartbeat',
          heartbeat: heartbeatOf(`n-${i}`, sequence, 7, statuses),
          ticket,
        });
        const answer = effects.find(
          (effect) => effect.kind === 'reply-to-heartbeat' && effect.ticket === ticket,
        );
        for (const command of (answer?.kind === 'reply-to-heartbeat' && answer.commands) || [])
          this.obey(i, command, now);
      }
      this.send(now, { kind: 'tick' });
    }
  }

  private obey(machine: number, command: WorkerCommand, now: number): void {
    const running = this.running[machine]!;
    if (command.op === 'start') {
      const dayJob = this.byId.get(command.job)!;
      dayJob.startedAt ??= now;
      running.push({ command, endsAt: now + dayJob.spec.estimateS * 1000 });
    } else {
      this.running[machine] = running.filter((r) => r.command.attempt !== command.attempt);
    }
  }
}
