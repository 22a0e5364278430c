/** Drives a core step by step: what is sent to it, what time passes, what machines report. */

import { step } from '../../src/core/apply-commands.js';
import type { CoreState } from '../../src/core/state.js';
import type {
  Authority,
  Command,
  Effect,
  Instant,
  Order,
  Report,
  ReportedTask,
  Ticket,
} from '../../src/core/types.js';
import { core, job, report, task, type } from './build.js';

/** Drives a core by hand; saves are stored at once, so that a test states only what matters to it. */
export class CoreDriver {
  now = 0;
  readonly state: CoreState;
  effects: Effect[] = [];
  private ticket = 1;
  private readonly seqs = new Map<string, number>();

  constructor(state: CoreState = core()) {
    this.state = state;
    this.send({ kind: 'types', types: [type('c8')] }, { kind: 'loaded' });
    this.send({ kind: 'listed', askedAt: 0 as Instant, machines: [] });
    this.pass(3000);
  }

  send(...commands: Command[]): Effect[] {
    return this.run('lead', commands);
  }

  run(authority: Authority, commands: Command[]): Effect[] {
    const effects = step(this.state, commands, this.now as Instant, authority);
    const all = [...effects];
    for (const e of effects) {
      if (e.kind === 'save') all.push(...this.run(authority, [{ kind: 'saved', batch: e.batch }]));
    }
    this.effects.push(...effects);
    return all;
  }

  pass(ms: number): Effect[] {
    const all: Effect[] = [];
    for (const end = this.now + ms; this.now < end; ) {
      this.now += Math.min(250, end - this.now);
      all.push(...this.send({ kind: 'tick' }));
    }
    return all;
  }

  /** A check-in with our term; returns the orders it is answered with. */
  checkIn(
    id: string,
    tasks: ReportedTask[] = [],
    change: Partial<Report> = {},
    authority: Authority = 'lead',
  ) {
    const seq = (this.seqs.get(id) ?? 0) + 1;
    this.seqs.set(id, seq);
    const ticket = this.ticket++ as Ticket;
    const told = report(id, seq, this.state.config.term, tasks, change);
    let effects = this.run(authority, [{ kind: 'report', report: told, ticket }]);
    for (let i = 0; i < 12; i += 1) {
      const answer = effects.find((e) => e.kind === 'answer' && e.ticket === ticket);
      if (answer?.kind === 'answer') return answer.orders;
      this.now += 250;
      effects = this.run(authority, [{ kind: 'tick' }]);
    }
    throw new Error('no answer');
  }

  /** Check-ins of many machines at a time; the orders with which each is answered. */
  checkInAll(
    told: ReadonlyMap<string, ReportedTask[]>,
    change: Record<string, Partial<Report>> = {},
  ): Map<string, readonly Order[] | null> {
    const asked = new Map<number, string>();
    const answers = new Map<string, readonly Order[] | null>();
    let effects: Effect[] = [];
    for (const [id, tasks] of told) {
      const seq = (this.seqs.get(id) ?? 0) + 1;
      this.seqs.set(id, seq);
      const ticket = this.ticket++ as Ticket;
      asked.set(ticket, id);
      const sent = report(id, seq, this.state.config.term, tasks, change[id] ?? {});
      effects.push(...this.send({ kind: 'report', report: sent, ticket }));
    }
    for (let i = 0; i < 16 && answers.size < told.size; i += 1) {
      for (const e of effects) {
        const id = e.kind === 'answer' ? asked.get(e.ticket) : undefined;
        if (e.kind === 'answer' && id !== undefined) answers.set(id, e.orders);
      }
      this.now += 250;
      effects = this.send({ kind: 'tick' });
    }
    return answers;
  }

  /** Two check-ins: after the second the machine is known to obey this term. */
  up(id: string, change: Partial<Report> = {}): readonly Order[] | null {
    this.checkIn(id, [], change);
    return this.checkIn(id, [], change);
  }

  submit(id: string, change: object = {}): void {
    this.send({ kind: 'job', spec: job(id, change), submittedAt: this.now as Instant });
  }

  /** What a machine would report if it were asked now. */
  lastReport(id: string): Report {
    const m = this.state.machines.get(id as Report['machine'])!;
    const tasks = [...m.placements.values()].map((p) =>
      task(p.entry.job, p.entry.index, p.entry.attempt),
    );
    return report(id, (this.seqs.get(id) ?? 0) + 1, this.state.config.term, tasks);
  }

  starts(orders: readonly Order[] | null): Order[] {
    return (orders ?? []).filter((o) => o.op === 'start');
  }
}

export const running = (o: Order) => task(o.job, o.index, o.attempt);
export const ended = (o: Order, cause: ReportedTask['cause']) =>
  task(o.job, o.index, o.attempt, 'ended', cause);
