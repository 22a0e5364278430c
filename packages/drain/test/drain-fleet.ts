/**
 * A fleet under one leader after the other, for scripted cases: what is stored, rented, started, stopped and returned happens at
 * once unless a test says otherwise, and is remembered by the fleet itself.
 */

import { applyCommands } from '../../../src/core/apply-commands.js';
import type { CoreState } from '../../../src/core/core-state.js';
import { ExtensionHost } from '../../../src/core/extensions/extension-host.js';
import type { Command } from '../../../src/core/model/command.js';
import type { Authority, Effect } from '../../../src/core/model/effect.js';
import type { TaskStatus } from '../../../src/core/model/heartbeat.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ReplyTicket,
  SegmentKey,
  ZoneName,
} from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { StoreOperation } from '../../../src/core/model/ledger-record.js';
import type { Instant } from '../../../src/core/model/time.js';
import type { WorkerCommand } from '../../../src/core/model/worker-command.js';
import { core, job, report, task, team, type } from '../../../test/model/build.js';
import { drainModule } from '../src/index.js';
import { settingsOf } from './settings.js';

const STEP_MS = 250;
const CHECK_IN_MS = 1000;
const LEASE_MS = 16_000;
/** A machine waits this long for an answer. */
const ANSWER_MS = 4000;

interface Machine {
  readonly id: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly upAt: number;
  readonly tasks: Map<string, TaskStatus & { readonly startedAt: number }>;
  seq: number;
  term: number;
  session: number;
  /** Neither reports nor hears anything until then. */
  silentUntil: number;
  /** Its reports arrive, but no answer and no command reaches it. */
  deaf: boolean;
  noticeAt: number | null;
  dueAt: number;
  /** When an answer last renewed its lease. */
  leaseFrom: number;
  /** When the report was sent whose answer has not come. */
  sentAt: number | null;
}

interface Stop {
  readonly task: string;
  readonly machine: string;
  readonly at: number;
}

type Answer = { readonly status: number; readonly body: Record<string, unknown> };

export class DrainFleet {
  now = 0;
  term = 10;
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, JobSpec>();
  readonly finals = new Map<string, string>();
  readonly ledger = new Map<SegmentKey, Extract<StoreOperation, { kind: 'write-segment' }>>();
  readonly records = new Map<string, unknown>();
  /** What has happened, as the machines and the cloud know it. */
  readonly stops: Stop[] = [];
  readonly starts: Stop[] = [];
  /** Machines that were rented, each by the name of its request and its place in it. */
  readonly hires = new Map<string, string>();
  private readonly rentals = new Map<string, MachineId[]>();
  readonly returned: string[] = [];
  readonly problems: string[] = [];
  /** Changes of records that were stored, in order. */
  readonly writes: string[] = [];
  /** How long each task runs, by job; others run for ever. */
  readonly runMs = new Map<string, number>();
  /** Troubles, switched on by tests. */
  readonly trouble = {
    refuseRentals: false,
    neverUp: false,
    cloudAway: false,
    stateAway: false,
    loseDeleteAnswers: 0,
    loseRentAnswers: 0,
    /** The cloud fills requests up to this many machines. */
    mostAtOnce: Number.POSITIVE_INFINITY,
    /** The leader ends before it stores this change of a record, counted from 1; 0: never. */
    endAtWrite: 0,
    /** It ends just after that change is stored. */
    endAfter: false,
  };
  ended = false;
  state!: CoreState;
  private old = false;
  private queue: Command[] = [];
  private held: { at: number; command: Command }[] = [];
  private unsaved: { batch: number; ops: readonly StoreOperation[] } | null = null;
  private nextMachine = 0;
  private nextTicket = 1;
  private readonly tickets = new Map<number, string>();
  private readonly answers = new Map<number, Answer>();

  constructor(
    machines: readonly { zone?: string; spot?: boolean }[],
    private settings: string = '(drain (let-end-s 5))',
  ) {
    for (const { zone, spot } of machines) this.addMachine(zone ?? 'a', spot ?? false, 0);
    this.takeOver();
    this.run(6000);
  }

  private addMachine(zone: string, spot: boolean, bootMs: number): Machine {
    const id = `n-${String(this.nextMachine++).padStart(4, '0')}`;
    const machine: Machine = {
      id,
      zone,
      spot,
      upAt: this.now + bootMs,
      tasks: new Map(),
      seq: 0,
      term: 0,
      session: 1,
      silentUntil: 0,
      deaf: false,
      noticeAt: null,
      dueAt: 0,
      leaseFrom: this.now + bootMs,
      sentAt: null,
    };
    this.machines.set(id, machine);
    return machine;
  }

  /** A new leader, of this version or of the one before it, with what is stored; `settings`: a changed file. */
  takeOver(change: { old?: boolean; settings?: string } = {}): void {
    this.settings = change.settings ?? this.settings;
    this.old = change.old ?? false;
    this.term += 10;
    this.ended = false;
    this.unsaved = null;
    this.held = [];
    const types = [type('c8', { bootS: 5 })];
    this.state = core(
      {
        teams: new Map([team('blue', 20_000), team('green', 20_000)].map((t) => [t.name, t])),
        fencingToken: this.term as FencingToken,
        acquiredAt: this.now as Instant,
        timeOfDayOffsetMs: 1_000_000,
        maxValueBytes: 1024,
      },
      // The fleet is neither grown nor shrunk but by drains.
      { baselineCapacityShare: 0, capacityHeadroom: 1, scaleInAfterIdleS: 80_000 },
    );
    if (!this.old) {
      this.state.extensions = new ExtensionHost(this.state, [
        drainModule(settingsOf(this.settings)).create(),
      ]);
    }
    this.queue = [{ kind: 'machine-types', types }];
    for (const spec of this.jobs.values()) {
      this.queue.push({ kind: 'job', spec, submittedAt: this.now as Instant });
    }
    for (const [segment, op] of this.ledger) {
      for (const row of op.progress)
        this.queue.push({ kind: 'recovered-progress', segment, ...row });
    }
    for (const [segment, op] of this.ledger) {
      for (const row of op.machines)
        this.queue.push({ kind: 'recovered-attempts', segment, ...row });
    }
    const records = [...this.records].map(([key, value]) => ({ key, value }));
    this.queue.push(
      { kind: 'extension-records', extension: 'drain', records },
      { kind: 'recovery-completed' },
    );
  }

  submit(id: string, change: Partial<Record<keyof JobSpec, unknown>> = {}): void {
    const spec = job(id, { estimateS: 600, ...change });
    this.jobs.set(id, spec);
    this.queue.push({ kind: 'job', spec, submittedAt: this.now as Instant });
  }

  cancel(id: string): void {
    this.queue.push({
      kind: 'cancel-job',
      job: id as JobId,
      ticket: this.nextTicket++ as ReplyTicket,
    });
  }

  /** An operator's call; plays on until it is answered. */
  call(route: string, subject = '', body: object = {}): Answer {
    const ticket = this.nextTicket++;
    this.tickets.set(ticket, route);
    const call = { route, subject, body };
    this.queue.push({
      kind: 'operator-call',
      extension: 'drain',
      call,
      ticket: ticket as ReplyTicket,
    });
    for (let i = 0; i < 80 && !this.answers.has(ticket); i += 1) this.run(STEP_MS);
    const answer = this.answers.get(ticket);
    if (!answer) throw new Error(`${route} was not answered`);
    return answer;
  }

  start(name: string, body: object): Answer {
    return this.call('start', '', { name, ...body });
  }

  status(name: string) {
    return this.call('status', name).body as {
      status: string;
      why: string | null;
      returned: number;
      failed: number;
      step: number;
      blocked: { kind: string; text: string } | null;
      machines: {
        name: string;
        state: string;
        replacement: string | null;
        blocked: { kind: string; text: string } | null;
      }[];
    };
  }

  /** Plays until something is so; fails when it does not come to that. */
  until(what: () => boolean, mostMs = 600_000): void {
    for (const end = this.now + mostMs; !what(); this.run(STEP_MS)) {
      if (this.now > end) throw new Error(`not within ${mostMs} ms: ${what}`);
    }
  }

  /** The record of a machine's drain. */
  phaseOf(drain: string, machine: string): string | null {
    const record = this.records.get(`m/${drain}/${machine}`) as { phase: string } | undefined;
    return record?.phase ?? null;
  }

  phase(drain: string): string {
    return (this.records.get(`d/${drain}`) as { phase: string }).phase;
  }

  holderOf(name: string): string | null {
    for (const m of this.machines.values()) if (this.runsOn(m, name)) return m.id;
    return null;
  }

  private runsOn(machine: Machine, name: string): boolean {
    const held = machine.tasks.get(name);
    return held !== undefined && held.phase !== 'ended';
  }

  tasksOn(id: string): string[] {
    const machine = this.machines.get(id);
    return machine ? [...machine.tasks.keys()].filter((name) => this.runsOn(machine, name)) : [];
  }

  run(ms: number): void {
    for (const end = this.now + ms; this.now < end; ) {
      this.now += STEP_MS;
      for (const m of [...this.machines.values()]) this.playMachine(m);
      const due = this.held.filter(({ at }) => at <= this.now);
      this.held = this.held.filter(({ at }) => at > this.now);
      this.queue.push(...due.map(({ command }) => command));
      if (this.now % 4000 === 0) this.list();
      this.storeHeld();
      this.queue.push({ kind: 'tick' });
      this.turn('lead');
    }
  }

  private turn(authority: Authority): void {
    while (this.queue.length > 0 && !this.ended) {
      const commands = this.queue.splice(0);
      for (const effect of applyCommands(this.state, commands, this.now as Instant, authority)) {
        if (!this.ended) this.carryOut(effect);
      }
    }
    if (this.ended) this.queue = [];
  }

  private list(): void {
    if (this.trouble.cloudAway) return;
    const machines = [...this.machines.values()].map((m) => ({
      id: m.id as MachineId,
      endpoint: '127.0.0.1:9',
      type: 'c8' as never,
      zone: m.zone as ZoneName,
      spot: m.spot,
      status: this.now < m.upAt ? ('booting' as const) : ('running' as const),
      ageS: 100,
    }));
    this.queue.push({ kind: 'machines-listed', askedAt: this.now as Instant, machines });
  }

  // ---- what the leader sets in motion ------------------------------------------------------------

  private carryOut(effect: Effect): void {
    switch (effect.kind) {
      case 'store-batch':
        this.unsaved = { batch: effect.batch, ops: effect.ops };
        return this.storeHeld();
      case 'operator-answer':
        this.answers.set(effect.ticket, effect.answer as Answer);
        return;
      case 'job-ended':
        return;
      case 'provision':
        return this.rent(effect);
      case 'delete-machines':
        return this.delete(effect.machines);
      case 'reply-to-heartbeat':
        return this.answer(effect.ticket, effect.commands);
      case 'send-commands': {
        const m = this.machines.get(effect.machine);
        const hears = m && !m.deaf && this.now >= m.silentUntil;
        if (hears && effect.agentEpoch === m.session) this.execute(m, effect.commands);
        return;
      }
      default:
    }
  }

  private storeHeld(): void {
    if (!this.unsaved || this.trouble.stateAway || this.ended) return;
    const { batch, ops } = this.unsaved;
    this.unsaved = null;
    for (const op of ops) if (!this.store(op)) return;
    this.queue.push({ kind: 'batch-stored', batch });
  }

  /** False when the leader ends with this change. */
  private store(op: StoreOperation): boolean {
    if (op.kind === 'write-segment') this.ledger.set(op.key, op);
    else if (op.kind === 'drop-segment') this.ledger.delete(op.key);
    else if (op.kind === 'job-completion') {
      this.jobs.delete(op.job);
      this.finals.set(op.job, op.outcome);
    } else {
      const last = this.writes.length + 1 === this.trouble.endAtWrite;
      if (last && !this.trouble.endAfter) this.ended = true;
      if (this.ended) return false;
      for (const { key, value } of op.writes) {
        if (value === null) this.records.delete(key);
        else this.records.set(key, JSON.parse(JSON.stringify(value)));
        if (JSON.stringify(value).length > 1024) this.problems.push(`record ${key} too large`);
      }
      this.writes.push(op.writes.map(({ key }) => key).join('+'));
      if (last) this.ended = true;
      if (this.ended) return false;
    }
    return true;
  }

  private rent({ request, zone, spot, count }: Extract<Effect, { kind: 'provision' }>): void {
    const reply = (result: 'ok' | 'refused' | 'unknown', machines: readonly MachineId[]) =>
      this.held.push({
        at: this.now + STEP_MS,
        command: { kind: 'provision-result', request, result, machines },
      });
    if (this.trouble.cloudAway) return void reply('unknown', []);
    const known = this.rentals.get(request);
    if (!known && this.trouble.refuseRentals) return void reply('refused', []);
    const ids = known ?? this.hire(request, zone, spot, Math.min(count, this.trouble.mostAtOnce));
    if (this.trouble.loseRentAnswers > 0) {
      this.trouble.loseRentAnswers -= 1;
      return void reply('unknown', []);
    }
    reply('ok', ids);
  }

  private hire(request: string, zone: string, spot: boolean, count: number): MachineId[] {
    const bootMs = this.trouble.neverUp ? Number.POSITIVE_INFINITY : 3000;
    const ids = Array.from(
      { length: count },
      () => this.addMachine(zone, spot, bootMs).id as MachineId,
    );
    this.rentals.set(request, ids);
    for (const [slot, id] of ids.entries()) this.hires.set(`${request}#${slot}`, id);
    return ids;
  }

  private delete(ids: readonly MachineId[]): void {
    const reply = (ok: boolean) =>
      this.held.push({
        at: this.now + STEP_MS,
        command: { kind: 'deletion-result', machines: ids, ok },
      });
    if (this.trouble.cloudAway) return void reply(false);
    for (const id of ids) {
      const known = this.state.machines.get(id);
      const healthy = known && known.lostAt === null && known.hasReported;
      if (healthy && this.tasksOn(id).length > 0) this.problems.push(`returned with work ${id}`);
      if (this.machines.delete(id)) this.returned.push(id);
    }
    if (this.trouble.loseDeleteAnswers > 0) {
      this.trouble.loseDeleteAnswers -= 1;
      return void reply(false);
    }
    reply(true);
  }

  // ---- machines ----------------------------------------------------------------------------------

  private playMachine(m: Machine): void {
    if (this.now < m.upAt || this.now < m.silentUntil) return;
    if (m.noticeAt !== null && this.now >= m.noticeAt) {
      this.machines.delete(m.id);
      return;
    }
    for (const [name, t] of m.tasks) {
      const runs = this.runMs.get(t.job) ?? Number.POSITIVE_INFINITY;
      if (t.phase !== 'ended' && this.now - t.startedAt >= runs)
        m.tasks.set(name, { ...t, phase: 'ended', cause: 'done' });
    }
    if (this.now - m.leaseFrom > LEASE_MS) {
      this.restart(m.id);
      m.leaseFrom = this.now;
    }
    if (m.sentAt !== null && this.now - m.sentAt > ANSWER_MS) m.sentAt = null;
    if (this.now < m.dueAt || m.sentAt !== null || this.ended) return;
    m.sentAt = this.now;
    m.dueAt = this.now + CHECK_IN_MS;
    m.seq += 1;
    const ticket = this.nextTicket++ as ReplyTicket;
    this.tickets.set(ticket, m.id);
    const told = report(m.id, m.seq, m.term, [...m.tasks.values()], {
      zone: m.zone as ZoneName,
      spot: m.spot,
      agentEpoch: m.session,
      reclaimNoticeS: m.noticeAt === null ? null : (m.noticeAt - this.now) / 1000,
    });
    this.queue.push({ kind: 'heartbeat', heartbeat: told, ticket });
  }

  private answer(ticket: ReplyTicket, orders: readonly WorkerCommand[] | null): void {
    const m = this.machines.get(this.tickets.get(ticket) ?? '');
    if (!m || m.deaf || this.now < m.silentUntil) return;
    const { sentAt } = m;
    m.sentAt = null;
    if (!orders) return;
    m.leaseFrom = sentAt ?? m.leaseFrom;
    m.term = this.term;
    this.execute(m, orders);
  }

  private execute(m: Machine, orders: readonly WorkerCommand[]): void {
    for (const o of orders) {
      const name = `${o.job}/${o.index}`;
      const held = m.tasks.get(name);
      if (o.op === 'start' && held?.attempt !== o.attempt) {
        const holder = this.holderOf(name);
        if (holder !== null) this.problems.push(`ran twice ${name} on ${holder} and ${m.id}`);
        m.tasks.set(name, { ...task(o.job, o.index, o.attempt), startedAt: this.now });
        this.starts.push({ task: name, machine: m.id, at: this.now });
      } else if (o.op === 'kill' && held?.attempt === o.attempt && held.phase !== 'ended') {
        m.tasks.set(name, { ...held, phase: 'ended', cause: 'stopped' });
        if (m.noticeAt === null && this.jobs.has(o.job))
          this.stops.push({ task: name, machine: m.id, at: this.now });
      } else if (o.op === 'reap' && held?.phase === 'ended') m.tasks.delete(name);
      if (o.op !== 'reap') m.dueAt = Math.min(m.dueAt, this.now + STEP_MS);
    }
  }

  /** A restart within its lease: what ran on it is gone, and a new session begins. */
  restart(id: string): void {
    const m = this.machines.get(id)!;
    m.tasks.clear();
    m.session += 1;
    m.seq = 0;
    m.sentAt = null;
  }
}

/** Machines of one zone. */
export const inZone = (
  count: number,
  zone = 'a',
  spot = false,
): { zone: string; spot: boolean }[] => Array.from({ length: count }, () => ({ zone, spot }));

/** An array whose tasks save, two to a machine of 8 processors. */
export const SAVING = { cpus: 4, checkpointIntervalS: 5, checkpointWriteS: 1 };
