/** Execution of tasks by workers: start, progress, end, stop and removal. */
import type { WorkerCommand } from '../../../src/core/model/worker-command.js';
import type { Machine, MachineTask } from './fleet.js';
import type { Interruptions } from './interruptions.js';
import type { StoredData } from './key-value-store.js';
import type { RuleChecks } from './rule-checks.js';
import { MACHINE_TYPE } from './settings.js';
import type { Simulation } from './simulation.js';
import type { Users } from './users.js';

type StartCommand = Extract<WorkerCommand, { op: 'start' }>;

/** The parts of the world that tasks use. */
export interface TaskDependencies {
  readonly sim: Simulation;
  readonly stored: StoredData;
  readonly checks: RuleChecks;
  readonly interruptions: Interruptions;
  readonly users: Users;
}

/** Runs tasks on machines. */
export class TaskExecution {
  constructor(private readonly world: TaskDependencies) {}

  /** Executes a leader's commands on a machine. */
  execute(machine: Machine, commands: readonly WorkerCommand[], byPreviousVersion: boolean): void {
    for (const command of commands) {
      const { job, index, attempt } = command;
      const isTarget = (t: MachineTask) =>
        t.job === job && t.index === index && t.attempt === attempt;
      if (command.op === 'start') this.start(machine, command);
      else if (command.op === 'kill')
        this.stop(machine, machine.tasks.find(isTarget), byPreviousVersion);
      else machine.tasks = machine.tasks.filter((t) => !(t.state === 'ended' && isTarget(t)));
    }
  }

  private start(machine: Machine, { job, index, attempt }: StartCommand): void {
    const { sim, checks } = this.world;
    const existing = machine.tasks.find((t) => t.job === job && t.index === index);
    if (existing?.attempt === attempt) return;
    const spec = sim.specOf(job);
    if (existing || machine.usedCpus(sim.specs) + spec.cpus > MACHINE_TYPE.cpus) {
      machine.tasks.push({ job, index, attempt, state: 'ended', cause: 'error', remainingMs: 0 });
      return;
    }
    checks.checkStart(machine, job, index, attempt);
    const isEndless = spec.shape === 'service' && sim.chance(70);
    // Some tasks run for longer than a cancellation may take.
    const runMs = sim.chance(6) ? sim.int(20_000, 120_000) : sim.int(500, 20_000);
    const remainingMs = isEndless ? Number.POSITIVE_INFINITY : runMs;
    machine.tasks.push({ job, index, attempt, state: 'running', cause: null, remainingMs });
  }

  private stop(machine: Machine, t: MachineTask | undefined, byPreviousVersion: boolean): void {
    const { sim, stored, interruptions } = this.world;
    if (!t || t.state === 'ended') return;
    if (machine.reclaimAt !== null && stored.jobs.has(t.job) && sim.isService(t.job))
      sim.counters.services.moves += 1;
    interruptions.recordStop(machine, t, byPreviousVersion);
    t.state = 'ended';
    t.cause = 'stopped';
  }

  /** Advances a machine's tasks by `passedMs`; returns whether one has ended. */
  advance(machine: Machine, passedMs: number): boolean {
    let hasEnded = false;
    for (const t of machine.tasks) {
      if (t.state !== 'running') continue;
      t.remainingMs -= passedMs;
      if (t.remainingMs > 0 && !machine.isFaulty) continue;
      this.end(machine, t);
      hasEnded = true;
    }
    return hasEnded;
  }

  private end(machine: Machine, t: MachineTask): void {
    const { sim, interruptions, users } = this.world;
    t.state = 'ended';
    t.cause = machine.isFaulty || sim.failingJobs.has(t.job) ? 'error' : 'done';
    if (sim.isService(t.job)) {
      sim.counters.services.ends += 1;
      if (sim.chance(50)) t.cause = 'error';
    } else if (t.cause === 'done') {
      interruptions.doneTasks.add(`${t.job}/${t.index}`);
      // Some cancellations coincide with the end of a task, even of the job's last one.
      if (sim.chance(2)) {
        sim.counters.compoundFaults.cancelledAtEnd += 1;
        sim.after(sim.int(0, 1500), () => users.cancel(t.job));
      }
    }
  }
}
