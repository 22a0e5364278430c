/**
 * A simulated overload: jobs arrive at a steady rate above the capacity of a fixed fleet, whose
 * workers execute every command.
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
const SUBMISSIONS_END_MS = 400_000;
const DAY_MS = 1_200_000;
const MACHINE_COUNT = 10;

interface Running {
  readonly command: WorkerCommand;
  readonly endsAt: number;
}

/** A job, with the times in milliseconds at which its first task started and the job ended. */
export interface ModelJob {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  startedAt: number | null;
  doneAt: number | null;
}

/** Runs the day with one leader that never fails. */
export class OverloadedDay {
  readonly jobs: ModelJob[] = [];
  private readonly state: CoreState;
  private readonly byId = new Map<string, ModelJob>();
  private readonly running = Array.from({ length: MACHINE_COUNT }, () => [] as Running[]);

  constructor(policy: Partial<Policy> = {}, cpuQuota = 60) {
    const teams = [team('blue', cpuQuota), team('green', cpuQuota)];
    this.state = core(
      { teams: new Map(teams.map((t) => [t.name, t])), maxValueBytes: 16_384 },
      policy,
    );
  }

  private submitNextJob(now: number): void {
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
    const modelJob: ModelJob = { spec, submittedAt: now, startedAt: null, doneAt: null };
    this.jobs.push(modelJob);
    this.byId.set(spec.id, modelJob);
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

  /** Runs the day: heartbeats of all machines and a tick each second. */
  run(): void {
    this.send(
      0,
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'recovery-completed' },
    );
    let sequence = 0;
    for (let now = 4000; now < DAY_MS; now += STEP_MS) {
      if (now < SUBMISSIONS_END_MS && now % 5000 === 0) this.submitNextJob(now);
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
        const reply = effects.find(
          (effect) => effect.kind === 'reply-to-heartbeat' && effect.ticket === ticket,
        );
        for (const command of (reply?.kind === 'reply-to-heartbeat' && reply.commands) || [])
          this.execute(i, command, now);
      }
      this.send(now, { kind: 'tick' });
    }
  }

  private execute(machine: number, command: WorkerCommand, now: number): void {
    const running = this.running[machine]!;
    if (command.op === 'start') {
      const modelJob = this.byId.get(command.job)!;
      modelJob.startedAt ??= now;
      running.push({ command, endsAt: now + modelJob.spec.estimateS * 1000 });
    } else {
      this.running[machine] = running.filter((r) => r.command.attempt !== command.attempt);
    }
  }
}
