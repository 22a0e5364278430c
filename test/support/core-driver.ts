/** Drives a core step by step: what is sent to it, what time passes, what machines report. */

import { applyCommands } from '../../src/core/apply-commands.js';
import type { CoreState } from '../../src/core/core-state.js';
import type { Command } from '../../src/core/model/command.js';
import type { Authority, Effect } from '../../src/core/model/effect.js';
import type { Heartbeat, TaskStatus } from '../../src/core/model/heartbeat.js';
import type { ReplyTicket } from '../../src/core/model/ids.js';
import type { Instant } from '../../src/core/model/time.js';
import type { WorkerCommand } from '../../src/core/model/worker-command.js';
import { core, heartbeatOf, type JobChange, job, task, type } from './builders.js';

/** Drives a core by hand; saves are stored at once, so that a test states only what matters to it. */
export class CoreDriver {
  now = 0;
  readonly state: CoreState;
  effects: Effect[] = [];
  private ticket = 1;
  private readonly sequences = new Map<string, number>();

  constructor(state: CoreState = core()) {
    this.state = state;
    this.send({ kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' });
    this.send({ kind: 'machines-listed', askedAt: 0 as Instant, machines: [] });
    this.advance(3000);
  }

  send(...commands: Command[]): Effect[] {
    return this.run('lead', commands);
  }

  run(authority: Authority, commands: Command[]): Effect[] {
    const effects = applyCommands(this.state, commands, this.now as Instant, authority);
    const all = [...effects];
    for (const e of effects) {
      if (e.kind === 'store-batch')
        all.push(...this.run(authority, [{ kind: 'batch-stored', batch: e.batch }]));
    }
    this.effects.push(...effects);
    return all;
  }

  advance(ms: number): Effect[] {
    const all: Effect[] = [];
    for (const end = this.now + ms; this.now < end; ) {
      this.now += Math.min(250, end - this.now);
      all.push(...this.send({ kind: 'tick' }));
    }
    return all;
  }

  /** A check-in with our term; returns the orders it is answered with. */
  sendHeartbeat(
    id: string,
    tasks: TaskStatus[] = [],
    change: Partial<Heartbeat> = {},
    authority: Authority = 'lead',
  ) {
    const seq = (this.sequences.get(id) ?? 0) + 1;
    this.sequences.set(id, seq);
    const ticket = this.ticket++ as ReplyTicket;
    const told = heartbeatOf(id, seq, this.state.config.fencingToken, tasks, change);
    let effects = this.run(authority, [{ kind: 'heartbeat', heartbeat: told, ticket }]);
    for (let i = 0; i < 12; i += 1) {
      const answer = effects.find((e) => e.kind === 'reply-to-heartbeat' && e.ticket === ticket);
      if (answer?.kind === 'reply-to-heartbeat') return answer.commands;
      this.now += 250;
      effects = this.run(authority, [{ kind: 'tick' }]);
    }
    throw new Error('no answer');
  }

  /** Check-ins of many machines at a time; the orders with which each is answered. */
  sendHeartbeats(
    told: ReadonlyMap<string, TaskStatus[]>,
    change: Record<string, Partial<Heartbeat>> = {},
  ): Map<string, readonly WorkerCommand[] | null> {
    const asked = new Map<number, string>();
    const answers = new Map<string, readonly WorkerCommand[] | null>();
    let effects: Effect[] = [];
    for (const [id, tasks] of told) {
      const seq = (this.sequences.get(id) ?? 0) + 1;
      this.sequences.set(id, seq);
      const ticket = this.ticket++ as ReplyTicket;
      asked.set(ticket, id);
      const sent = heartbeatOf(id, seq, this.state.config.fencingToken, tasks, change[id] ?? {});
      effects.push(...this.send({ kind: 'heartbeat', heartbeat: sent, ticket }));
    }
    for (let i = 0; i < 16 && answers.size < told.size; i += 1) {
      for (const e of effects) {
        const id = e.kind === 'reply-to-heartbeat' ? asked.get(e.ticket) : undefined;
        if (e.kind === 'reply-to-heartbeat' && id !== undefined) answers.set(id, e.commands);
      }
      this.now += 250;
      effects = this.send({ kind: 'tick' });
    }
    return answers;
  }

  /** Two check-ins: after the second the machine is known to obey this term. */
  bringUp(id: string, change: Partial<Heartbeat> = {}): readonly WorkerCommand[] | null {
    this.sendHeartbeat(id, [], change);
    return this.sendHeartbeat(id, [], change);
  }

  submit(id: string, change: JobChange = {}): void {
    this.send({ kind: 'job', spec: job(id, change), submittedAt: this.now as Instant });
  }

  /** What a machine would report if it were asked now. */
  currentHeartbeat(id: string): Heartbeat {
    const m = this.state.machines.get(id as Heartbeat['machine'])!;
    const tasks = [...m.placements.values()].map((p) =>
      task(p.entry.job, p.entry.index, p.entry.attempt),
    );
    return heartbeatOf(
      id,
      (this.sequences.get(id) ?? 0) + 1,
      this.state.config.fencingToken,
      tasks,
    );
  }

  startsIn(orders: readonly WorkerCommand[] | null): WorkerCommand[] {
    return (orders ?? []).filter((o) => o.op === 'start');
  }
}

export const running = (o: WorkerCommand) => task(o.job, o.index, o.attempt);
export const ended = (o: WorkerCommand, cause: TaskStatus['cause']) =>
  task(o.job, o.index, o.attempt, 'ended', cause);
