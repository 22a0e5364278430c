/** Drives a core step by step with commands, heartbeats and the passage of time. */
import { applyCommands } from '../../src/core/apply-commands.js';
import type { CoreState } from '../../src/core/core-state.js';
import type { Command } from '../../src/core/model/command.js';
import type { Authority, Effect } from '../../src/core/model/effect.js';
import type { Heartbeat, TaskStatus } from '../../src/core/model/heartbeat.js';
import type { ReplyTicket } from '../../src/core/model/ids.js';
import type { Instant } from '../../src/core/model/time.js';
import type { WorkerCommand } from '../../src/core/model/worker-command.js';
import { core, heartbeatOf, type JobOverrides, job, machineType, taskStatus } from './builders.js';

/** Clock step, and the maximum number of steps to wait for one reply and for several. */
const STEP_MS = 250;
const MAX_STEPS_FOR_REPLY = 12;
const MAX_STEPS_FOR_REPLIES = 16;

/** Drives a core; batches are stored at once, so that tests need not do so. */
export class CoreDriver {
  now = 0;
  readonly state: CoreState;
  /** All effects so far; tests may clear them. */
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

  /** Applies commands as the leader; returns the effects, with those of stored batches. */
  send(...commands: Command[]): Effect[] {
    return this.run('lead', commands);
  }

  /** Applies commands with the given authority; returns like `send`. */
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

  /** Advances the clock, with a tick every 250 ms. */
  advance(ms: number): Effect[] {
    const all: Effect[] = [];
    for (const end = this.now + ms; this.now < end; ) {
      this.now += Math.min(STEP_MS, end - this.now);
      all.push(...this.send({ kind: 'tick' }));
    }
    return all;
  }

  private nextHeartbeat(id: string, tasks: TaskStatus[], overrides: Partial<Heartbeat>): Heartbeat {
    const sequence = (this.sequences.get(id) ?? 0) + 1;
    this.sequences.set(id, sequence);
    return heartbeatOf(id, sequence, this.state.config.fencingToken, tasks, overrides);
  }

  /** Sends a heartbeat with the core's fencing token; returns the commands of the reply. */
  sendHeartbeat(
    id: string,
    tasks: TaskStatus[] = [],
    overrides: Partial<Heartbeat> = {},
    authority: Authority = 'lead',
  ) {
    const heartbeat = this.nextHeartbeat(id, tasks, overrides);
    const ticket = this.nextTicket++ as ReplyTicket;
    let effects = this.run(authority, [{ kind: 'heartbeat', heartbeat, ticket }]);
    for (let i = 0; i < MAX_STEPS_FOR_REPLY; i += 1) {
      const reply = effects.find((e) => e.kind === 'reply-to-heartbeat' && e.ticket === ticket);
      if (reply?.kind === 'reply-to-heartbeat') return reply.commands;
      this.now += STEP_MS;
      effects = this.run(authority, [{ kind: 'tick' }]);
    }
    throw new Error('no reply to the heartbeat within 3 s');
  }

  /** Sends heartbeats of many machines at once; returns the commands of each reply. */
  sendHeartbeats(
    tasksByMachine: ReadonlyMap<string, TaskStatus[]>,
    overrides: Record<string, Partial<Heartbeat>> = {},
  ): Map<string, readonly WorkerCommand[] | null> {
    const machineByTicket = new Map<number, string>();
    const replies = new Map<string, readonly WorkerCommand[] | null>();
    let effects: Effect[] = [];
    for (const [id, tasks] of tasksByMachine) {
      const heartbeat = this.nextHeartbeat(id, tasks, overrides[id] ?? {});
      const ticket = this.nextTicket++ as ReplyTicket;
      machineByTicket.set(ticket, id);
      effects.push(...this.send({ kind: 'heartbeat', heartbeat, ticket }));
    }
    for (let i = 0; i < MAX_STEPS_FOR_REPLIES && replies.size < tasksByMachine.size; i += 1) {
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

  /** Sends two heartbeats: the second confirms the fencing token of the core. */
  bringUp(id: string, overrides: Partial<Heartbeat> = {}): readonly WorkerCommand[] | null {
    this.sendHeartbeat(id, [], overrides);
    return this.sendHeartbeat(id, [], overrides);
  }

  /** Submits a job. */
  submit(id: string, overrides: JobOverrides = {}): void {
    this.send({ kind: 'job', spec: job(id, overrides), submittedAt: this.now as Instant });
  }

  /** The heartbeat that a machine would send now, with all its placements running. */
  currentHeartbeat(id: string): Heartbeat {
    const machine = this.state.machines.get(id as Heartbeat['machine'])!;
    const tasks = [...machine.placements.values()].map(({ entry }) =>
      taskStatus(entry.job, entry.index, entry.attempt),
    );
    const sequence = (this.sequences.get(id) ?? 0) + 1;
    return heartbeatOf(id, sequence, this.state.config.fencingToken, tasks);
  }

  /** The start commands among `commands`. */
  startsIn(commands: readonly WorkerCommand[] | null): WorkerCommand[] {
    return (commands ?? []).filter(({ op }) => op === 'start');
  }
}

/** The identity of an attempt in commands and ledger entries. */
type AttemptRef = Pick<WorkerCommand, 'job' | 'index' | 'attempt'>;

/** The status of a running attempt. */
export const running = ({ job, index, attempt }: AttemptRef) => taskStatus(job, index, attempt);

/** The status of an ended attempt. */
export const ended = ({ job, index, attempt }: AttemptRef, cause: TaskStatus['cause']) =>
  taskStatus(job, index, attempt, 'ended', cause);
