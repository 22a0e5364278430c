/** Drives a core step by step: what is sent to it, what time passes, what machines report. */
import { applyCommands } from '../../src/core/apply-commands.js';
import type { CoreState } from '../../src/core/core-state.js';
import type { Command } from '../../src/core/model/command.js';
import type { Authority, Effect } from '../../src/core/model/effect.js';
import type { Heartbeat, TaskStatus } from '../../src/core/model/heartbeat.js';
import type { ReplyTicket } from '../../src/core/model/ids.js';
import type { Instant } from '../../src/core/model/time.js';
import type { WorkerCommand } from '../../src/core/model/worker-command.js';
import { core, heartbeatOf, type JobOverrides, job, machineType, taskStatus } from './builders.js';

/** Clock steps while the driver waits for a reply, and how many it waits at most. */
const STEP_MS = 250;
const MAX_REPLY_STEPS = 12;
const MAX_REPLIES_STEPS = 16;

/** Drives a core by hand; batches are stored at once, so that a test states only what matters. */
export class CoreDriver {
  now = 0;
  readonly state: CoreState;
  /** All effects so far; a test may clear them. */
  effects: Effect[] = [];
  private nextTicket = 1;
  private readonly sequences = new Map<string, number>();

  constructor(state: CoreState = core()) {
    this.state = state;
    this.send(
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'recovery-completed' },
    );
    this.send({ kind: 'machines-listed', requestedAt: 0 as Instant, machines: [] });
    this.advance(3000);
  }

  /** Applies commands as the leader; returns the effects, those of stored batches included. */
  send(...commands: Command[]): Effect[] {
    return this.run('lead', commands);
  }

  /** Applies commands with some authority. */
  run(authority: Authority, commands: Command[]): Effect[] {
    const effects = applyCommands(this.state, commands, this.now as Instant, authority);
    const all = [...effects];
    for (const effect of effects) {
      if (effect.kind === 'store-batch')
        all.push(...this.run(authority, [{ kind: 'batch-stored', batch: effect.batch }]));
    }
    this.effects.push(...effects);
    return all;
  }

  /** Lets time pass, with ticks. */
  advance(ms: number): Effect[] {
    const all: Effect[] = [];
    for (const end = this.now + ms; this.now < end; ) {
      this.now += Math.min(STEP_MS, end - this.now);
      all.push(...this.send({ kind: 'tick' }));
    }
    return all;
  }

  private nextHeartbeat(id: string, tasks: TaskStatus[], change: Partial<Heartbeat>): Heartbeat {
    const sequence = (this.sequences.get(id) ?? 0) + 1;
    this.sequences.set(id, sequence);
    return heartbeatOf(id, sequence, this.state.config.fencingToken, tasks, change);
  }

  /** A heartbeat with our fencing token; returns the commands of its reply. */
  sendHeartbeat(
    id: string,
    tasks: TaskStatus[] = [],
    change: Partial<Heartbeat> = {},
    authority: Authority = 'lead',
  ) {
    const heartbeat = this.nextHeartbeat(id, tasks, change);
    const ticket = this.nextTicket++ as ReplyTicket;
    let effects = this.run(authority, [{ kind: 'heartbeat', heartbeat, ticket }]);
    for (let i = 0; i < MAX_REPLY_STEPS; i += 1) {
      const reply = effects.find((e) => e.kind === 'reply-to-heartbeat' && e.ticket === ticket);
      if (reply?.kind === 'reply-to-heartbeat') return reply.commands;
      this.now += STEP_MS;
      effects = this.run(authority, [{ kind: 'tick' }]);
    }
    throw new Error('no answer');
  }

  /** Heartbeats of many machines at a time; the commands of each reply. */
  sendHeartbeats(
    tasksByMachine: ReadonlyMap<string, TaskStatus[]>,
    change: Record<string, Partial<Heartbeat>> = {},
  ): Map<string, readonly WorkerCommand[] | null> {
    const machineByTicket = new Map<number, string>();
    const replies = new Map<string, readonly WorkerCommand[] | null>();
    let effects: Effect[] = [];
    for (const [id, tasks] of tasksByMachine) {
      const heartbeat = this.nextHeartbeat(id, tasks, change[id] ?? {});
      const ticket = this.nextTicket++ as ReplyTicket;
      machineByTicket.set(ticket, id);
      effects.push(...this.send({ kind: 'heartbeat', heartbeat, ticket }));
    }
    for (let i = 0; i < MAX_REPLIES_STEPS && replies.size < tasksByMachine.size; i += 1) {
      for (const effect of effects) {
        if (effect.kind !== 'reply-to-heartbeat') continue;
        const id = machineByTicket.get(effect.ticket);
        if (id !== undefined) replies.set(id, effect.commands);
      }
      this.now += STEP_MS;
      effects = this.send({ kind: 'tick' });
    }
    return replies;
  }

  /** Two heartbeats: after the second the machine is known to obey this fencing token. */
  bringUp(id: string, change: Partial<Heartbeat> = {}): readonly WorkerCommand[] | null {
    this.sendHeartbeat(id, [], change);
    return this.sendHeartbeat(id, [], change);
  }

  /** Submits a job. */
  submit(id: string, change: JobOverrides = {}): void {
    this.send({ kind: 'job', spec: job(id, change), submittedAt: this.now as Instant });
  }

  /** What a machine would report if it were asked now. */
  currentHeartbeat(id: string): Heartbeat {
    const machine = this.state.machines.get(id as Heartbeat['machine'])!;
    const tasks = [...machine.placements.values()].map(({ entry }) =>
      taskStatus(entry.job, entry.index, entry.attempt),
    );
    const sequence = (this.sequences.get(id) ?? 0) + 1;
    return heartbeatOf(id, sequence, this.state.config.fencingToken, tasks);
  }

  /** The starts among commands. */
  startsIn(commands: readonly WorkerCommand[] | null): WorkerCommand[] {
    return (commands ?? []).filter(({ op }) => op === 'start');
  }
}

/** What commands and ledger entries name: a task and one try at it. */
type AttemptRef = Pick<WorkerCommand, 'job' | 'index' | 'attempt'>;

/** The status of an attempt that runs. */
export const running = ({ job, index, attempt }: AttemptRef) => taskStatus(job, index, attempt);

/** The status of an attempt that has ended. */
export const ended = ({ job, index, attempt }: AttemptRef, cause: TaskStatus['cause']) =>
  taskStatus(job, index, attempt, 'ended', cause);
