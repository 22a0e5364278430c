/**
 * A world for the core to run against: workers, a ledger store and a cloud that follow the protocol, with
 * drawn delays, repeats, lost answers, silent machines, crashes and takeovers. It knows what really runs
 * where, which the core only hears of, and checks the users' rules at every turn.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { applyCommands } from '../../../src/core/apply-commands.js';
import type {
  ExtensionModule,
  OperatorAnswer,
  OperatorCall,
} from '../../../src/core/extensions/extension.js';
import { ExtensionHost } from '../../../src/core/extensions/extension-host.js';
import { graceAfterLeaseLoss } from '../../../src/core/lifecycle/worker-leases.js';
import type { Command } from '../../../src/core/model/command.js';
import type { Authority, Effect } from '../../../src/core/model/effect.js';
import type { Heartbeat } from '../../../src/core/model/heartbeat.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  ReplyTicket,
  TeamName,
  ZoneName,
} from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { StoreOperation } from '../../../src/core/model/ledger-record.js';
import type { ListedMachine } from '../../../src/core/model/machine.js';
import type { Instant, Millis } from '../../../src/core/model/time.js';
import type { WorkerCommand } from '../../../src/core/model/worker-command.js';
import { decodeSegment, encodeSegment } from '../../../src/service/stored-records.js';
import { core, job, report, task, team, type } from '../builders.js';
import { type Leader, type Message, type Running, type Store, Worker } from './parties.js';

const REPORT_MS = 2000;
const LEASE_MS = 16_000;
const CANCEL_MS = 40_000;
/** As long as ever the settings allow: whatever is kept alive for too long shows. */
const KEEP_MS = graceAfterLeaseLoss(CANCEL_MS as Millis, LEASE_MS as Millis);
const TYPE = type('c8', { bootS: 5 });
const TEAMS = [team('blue', 20), team('green', 12)];

/** What the state service takes before its limits fall, and after; this version obeys the latter from its first second. */
const LIMITS = { maxValueBytes: 8192, maxTransactionOperations: 12 };
const NEXT = { maxValueBytes: 1024, maxTransactionOperations: 3 };

const SPECS = new Map<string, JobSpec>();

/** What a test may set about a world. */
export interface WorldOptions {
  /** A package whose extension every leader of this version runs. */
  readonly module?: ExtensionModule;
  /** Leaders of the version before this one take turns with it. */
  readonly bothVersions?: boolean;
  /** Services are critical: they may stop arrays' tasks. */
  readonly preemption?: boolean;
  /** Machines are rented in the zone that was asked for, and not in a drawn one. */
  readonly keepZones?: boolean;
  /** How many machines there may be. */
  readonly mostMachines?: number;
}

/** A task that was stopped or lost, until it runs again. */
interface Interrupted {
  readonly team: string;
  readonly jobClass: string;
  /** By the leader's own decision. */
  readonly voluntary: boolean;
}

export class SimulatedWorld {
  now = 0;
  readonly problems: string[] = [];
  readonly store: Store = {
    jobs: new Map(),
    finals: new Map(),
    ledger: new Map(),
    records: new Map(),
    term: 10,
  };
  private readonly workers = new Map<string, Worker>();
  private leaders: Leader[] = [];
  private messages: Message[] = [];
  private readonly rng;
  cloudDownUntil = 0;
  /** Until then the cloud rents nothing, and what it rents never comes up. */
  noCapacityUntil = 0;
  bootTroubleUntil = 0;
  stateDownUntil = 0;
  private stateSlowUntil = 0;
  private nextMachine = 0;
  private readonly tickets = new Map<number, (orders: readonly WorkerCommand[] | null) => void>();
  private nextTicket = 1;
  private readonly cancelTold = new Map<string, number>();
  private readonly doneReally = new Set<string>();
  private readonly attempts = new Set<string>();
  private readonly mistakes = new Set<string>();
  starts = 0;
  takeovers = 0;
  lostAnswers = 0;
  copies = 0;
  deafSpells = 0;
  quickReturns = 0;
  /** Troubles of many machines at once, by kind. */
  readonly crowds = { gone: 0, restarted: 0, hung: 0, held: 0, noticed: 0 };
  freezes = 0;
  /** All controllers down at once. */
  blackouts = 0;
  outages = 0;
  slowSpells = 0;
  /** Of services: replicas started, ended by themselves, moved off machines about to go; services cancelled. */
  readonly services = { starts: 0, ends: 0, moves: 0, cancelled: 0 };
  /** Leaders that take over from one of the other version. */
  changes = 0;
  /** Batches that took several transactions. */
  splits = 0;
  /** Meetings of two troubles, by kind. */
  readonly meetings = {
    refusedThenDown: 0,
    cancelledInGap: 0,
    keptForNext: 0,
    writtenLate: 0,
    answeredLate: 0,
    cancelledAtEnd: 0,
    cancelledWithHang: 0,
    mute: 0,
    upAtOnce: 0,
    longBlackouts: 0,
    handedOverAndBack: 0,
    atLimitUnasked: 0,
  };
  /** Until then, some transactions are carried out late, or at once with their answer lost and found out late. */
  private lateWritesUntil = 0;
  /** Reports that are held back until the next leader begins. */
  private kept: (() => void)[] = [];
  /** Between the state service's refusal of a leader and its outage for all: when that began. */
  private gapUntil = 0;
  /** When all controllers have this version, and when the limits fall; both versions take turns before. */
  private readonly upgradedAt: number;
  private readonly limitsFallAt: number;

  /** Tasks that were interrupted and do not run again yet, as the machines know it. */
  readonly interrupted = new Map<string, Interrupted>();
  /** Told of each task that is stopped by decision; for checks of budgets. */
  onVoluntaryStop: (name: string) => void = () => {};
  private readonly hires = new Map<string, string>();
  private readonly operatorAnswers = new Map<number, (answer: OperatorAnswer) => void>();

  constructor(
    seed: number,
    private readonly options: WorldOptions = {},
  ) {
    this.rng = xoroshiro128plus(seed);
    SPECS.clear();
    this.upgradedAt = options.bothVersions === false ? -1 : this.int(0, 90_000);
    this.limitsFallAt = this.upgradedAt + this.int(0, 40_000);
    for (let i = 0; i < 4; i += 1) this.addMachine(i === 0, 0);
    this.elect();
  }

  private int(low: number, high: number): number {
    return uniformInt(this.rng, low, high);
  }

  private chance(percent: number): boolean {
    return this.int(1, 100) <= percent;
  }

  private soon(delay: number, act: () => void): void {
    this.messages.push({ at: this.now + delay, act });
  }

  /** Mostly quick, now and then held back for a while. */
  private delay(): number {
    return this.chance(4) ? this.int(500, 9000) : this.int(1, 40);
  }

  /** How long the state service takes: now and then 15 to 40 times as long, and in an outage nothing passes. */
  private stateDelay(): number {
    const outage = Math.max(0, this.stateDownUntil - this.now);
    return outage + (this.now < this.stateSlowUntil ? this.int(300, 4000) : this.delay());
  }

  /** How long what goes to or comes from a machine takes: while its packets are held back, they come all at once. */
  private wire(w: Worker): number {
    return Math.max(0, w.heldUntil - this.now) + this.delay();
  }

  /** Now and then a machine never comes up. */
  private neverUp(bootMs: number): number {
    return this.now < this.bootTroubleUntil ? Number.POSITIVE_INFINITY : bootMs;
  }

  private addMachine(ordinary: boolean, bootMs: number, zone?: string): Worker {
    const id = `n-${String(this.nextMachine).padStart(4, '0')}`;
    this.nextMachine += 1;
    const drawn = this.chance(50) ? 'a' : 'b';
    const at = this.options.module || this.options.keepZones ? (zone ?? drawn) : drawn;
    const w = new Worker(id, !ordinary, at, this.now, bootMs);
    w.sick = this.chance(6);
    this.workers.set(id, w);
    return w;
  }

  // ---- leaders -----------------------------------------------------------------------------------

  private leader(): Leader | null {
    return this.leaders.find((l) => l.alive) ?? null;
  }

  private elect(): void {
    if (this.now < this.stateDownUntil) {
      this.soon(this.stateDelay(), () => {
        if (!this.leader()) this.elect();
      });
      return;
    }
    this.store.term += this.int(1, 5);
    const term = this.store.term;
    const old = this.now < this.upgradedAt && this.chance(50);
    const state = core({
      fencingToken: term as FencingToken,
      acquiredAt: this.now as Instant,
      teams: new Map(TEAMS.map((t) => [t.name, t])),
      graceAfterLeaseLossMs: KEEP_MS,
      ...(old ? LIMITS : NEXT),
    });
    if (!old && this.options.module) {
      state.extensions = new ExtensionHost(state, [this.options.module.create()]);
    }
    const before = this.leaders.at(-1);
    if (before && before.old !== old) this.changes += 1;
    const leader: Leader = {
      term,
      old,
      state,
      alive: true,
      validUntil: this.now + 3000,
      frozenUntil: 0,
      queue: [],
    };
    this.leaders.push(leader);
    this.takeovers += 1;
    const unasked = [...this.workers.values()].some(
      (w) =>
        w.tasks.some((t) => t.state !== 'ended') &&
        Math.max(w.hungUntil, w.cutOffUntil, w.heldUntil, w.deafUntil, w.muteUntil) >
          this.now + 2000,
    );
    if (unasked && TEAMS.some((t) => this.usage(t.name) >= t.cpusMax - 1))
      this.meetings.atLimitUnasked += 1;
    // Old reports reach the new leader just as it begins.
    for (const give of this.kept.splice(0)) this.soon(this.int(0, 500), give);
    leader.queue.push({ kind: 'machine-types', types: [TYPE] });
    for (const [, { spec, at }] of this.store.jobs) {
      if (old && spec.shape === 'service') continue;
      leader.queue.push({ kind: 'job', spec, submittedAt: at as Instant });
    }
    const entered: Command[] = [];
    for (const [segment, text] of this.store.ledger) {
      const record = decodeSegment(JSON.parse(text));
      if (!record) throw new Error(`unreadable record ${segment}`);
      for (const row of record.progress)
        leader.queue.push({ kind: 'recovered-progress', segment, ...row });
      for (const row of record.machines)
        entered.push({ kind: 'recovered-attempts', segment, ...row });
    }
    leader.queue.push(...entered);
    this.loadRecords(leader);
    leader.queue.push({ kind: 'recovery-completed' });
    leader.queue.push({
      kind: 'machines-listed',
      askedAt: this.now as Instant,
      machines: this.listing(),
    });
  }

  private loadRecords(leader: Leader): void {
    const name = this.options.module?.name;
    if (!leader.state.extensions || name === undefined) return;
    const prefix = `${name}/`;
    const records = [...this.store.records]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, text]) => ({
        key: key.slice(prefix.length),
        value: JSON.parse(text) as unknown,
      }));
    leader.queue.push({ kind: 'extension-records', extension: name, records });
  }

  /** An operator's call to the present leader; null when there is none, or it is of the other version. */
  operate(call: OperatorCall): { answer: OperatorAnswer | null } | null {
    const leader = this.leader();
    if (!leader?.state.extensions || this.authority(leader) !== 'lead') return null;
    const ticket = this.nextTicket++;
    const pending: { answer: OperatorAnswer | null } = { answer: null };
    this.operatorAnswers.set(ticket, (answer) => {
      pending.answer = answer;
    });
    const extension = this.options.module!.name;
    leader.queue.push({ kind: 'operator-call', extension, call, ticket: ticket as ReplyTicket });
    return pending;
  }

  private upgrade(): void {
    const led = this.leader()?.old;
    this.leaders = this.leaders.filter((l) => !l.old);
    if (!led) return;
    this.changes += 1;
    this.soon(this.int(10, 6000), () => {
      if (!this.leader()) this.elect();
    });
  }

  private authority(leader: Leader): Authority {
    if (!leader.alive) {
      return this.now < leader.validUntil + KEEP_MS ? 'keep-alive' : 'none';
    }
    return this.now < leader.validUntil
      ? 'lead'
      : this.now < leader.validUntil + KEEP_MS
        ? 'keep-alive'
        : 'none';
  }

  private runLeader(leader: Leader): void {
    if (this.now < leader.frozenUntil) return;
    const commands = leader.queue;
    leader.queue = [];
    const effects = applyCommands(
      leader.state,
      commands,
      this.now as Instant,
      this.authority(leader),
    );
    for (const effect of effects) this.carryOut(leader, effect);
  }

  private carryOut(leader: Leader, effect: Effect): void {
    const reply = (command: Command) => this.soon(this.delay(), () => leader.queue.push(command));
    switch (effect.kind) {
      case 'reply-to-heartbeat': {
        const give = this.tickets.get(effect.ticket);
        this.tickets.delete(effect.ticket);
        give?.(effect.commands);
        return;
      }
      case 'store-batch':
        this.persist(leader, effect.operations, () =>
          reply({ kind: 'batch-stored', batch: effect.batch }),
        );
        return;
      case 'job-ended': {
        const spec = SPECS.get(effect.job)!;
        if (effect.outcome === 'done' && spec.shape === 'service')
          this.problems.push(`not_done ${effect.job}`);
        if (effect.outcome === 'cancelled' && spec.shape === 'service')
          this.services.cancelled += 1;
        if (effect.outcome === 'done') {
          for (let i = 0; i < spec.tasks; i += 1) {
            if (!this.doneReally.has(`${effect.job}/${i}`))
              this.problems.push(`not_done ${effect.job}/${i}`);
          }
        }
        return;
      }
      case 'operator-answer':
        this.operatorAnswers.get(effect.ticket)?.(effect.answer);
        return;
      case 'cancellation-settled': {
        const id = this.abortOf(effect.ticket);
        if (effect.outcome !== null && this.store.finals.get(id) !== effect.outcome)
          this.problems.push(`told before it was stored ${id}`);
        return;
      }
      case 'provision':
        this.soon(this.delay(), () => {
          // A repeated request rents nothing new.
          const known = this.hires.get(effect.request);
          if (known !== undefined) {
            reply({
              kind: 'provision-result',
              request: effect.request,
              result: 'ok',
              machines: [known as MachineId],
            });
            return;
          }
          if (
            this.workers.size >= (this.options.mostMachines ?? 7) ||
            this.now < this.noCapacityUntil
          ) {
            reply({
              kind: 'provision-result',
              request: effect.request,
              result: 'refused',
              machines: [],
            });
            return;
          }
          const atOnce = this.chance(25);
          if (atOnce) this.meetings.upAtOnce += 1;
          const bootMs = atOnce ? this.int(50, 2000) : this.int(1000, 9000);
          const w = this.addMachine(!effect.spot, this.neverUp(bootMs), effect.zone);
          this.hires.set(effect.request, w.id);
          const told = !this.chance(10);
          const machines = told ? [w.id as MachineId] : [];
          reply({
            kind: 'provision-result',
            request: effect.request,
            result: told ? 'ok' : 'unknown',
            machines,
          });
        });
        return;
      case 'delete-machines':
        // Sent only while the right to lead is sure: a process that stood still asks again at that moment.
        if (this.authority(leader) !== 'lead') return;
        this.checkReturns(leader, effect.machines);
        this.soon(this.delay(), () => {
          if (this.now < this.cloudDownUntil) {
            reply({ kind: 'deletion-result', machines: effect.machines, ok: false });
            return;
          }
          const ok = !this.chance(15);
          if (ok || this.chance(50)) for (const id of effect.machines) this.takeAway(id);
          reply({ kind: 'deletion-result', machines: effect.machines, ok });
        });
        return;
      case 'send-commands': {
        const to = this.workers.get(effect.machine);
        this.soon(to ? this.wire(to) : this.delay(), () => {
          const w = this.workers.get(effect.machine);
          if (!w || w.hungUntil > this.now || w.upAt > this.now || w.deafUntil > this.now) return;
          if (this.now < w.cutOffUntil && w.cutOffWith !== leader) return;
          if (leader.term < w.term || effect.agentEpoch !== w.session) return;
          w.term = leader.term;
          this.execute(w, effect.commands, leader.old);
          const told = this.reportOf(w);
          // Held up for seconds: the command was carried out, and its answer comes late.
          const heldUp = this.chance(3) ? this.int(2000, 12_000) : 0;
          this.soon(heldUp + this.wire(w), () =>
            leader.queue.push({ kind: 'heartbeat', heartbeat: told, ticket: null }),
          );
        });
      }
    }
  }

  /** In as many transactions as it takes, one after the other; any may be the last that is carried out. */
  private persist(leader: Leader, ops: readonly StoreOperation[], stored: () => void): void {
    if (ops.length === 0) {
      const late = this.now < this.lateWritesUntil && this.chance(20) ? this.int(2000, 12_000) : 0;
      if (late > 0) this.meetings.answeredLate += 1;
      this.soon(late, stored);
      return;
    }
    const late = this.now < this.lateWritesUntil && this.chance(20) ? this.int(2000, 12_000) : 0;
    if (late > 0) this.meetings.writtenLate += 1;
    this.soon(late + this.stateDelay(), () => {
      // Every leader transaction is guarded by the leader key: a late one fails.
      if (leader.term !== this.store.term) return;
      // An old leader is refused what is too large, and tries for ever; until the next takes over nothing starts.
      if (leader.old && this.now >= this.limitsFallAt) return;
      let changes = 0;
      let n = 0;
      for (; n < ops.length; n += 1) {
        changes += ops[n]!.kind === 'job-completion' ? 2 : 1;
        if (changes > (leader.old ? LIMITS : NEXT).maxTransactionOperations) break;
        this.write(ops[n]!, leader);
      }
      if (n < ops.length) this.splits += 1;
      this.persist(leader, ops.slice(n), stored);
    });
  }

  private readonly aborts = new Map<number, string>();
  private abortOf(ticket: ReplyTicket): string {
    return this.aborts.get(ticket)!;
  }

  private write(op: StoreOperation, { old }: Leader): void {
    if (op.kind === 'write-segment') {
      if (this.store.ledger.has(op.key)) this.problems.push(`record written twice ${op.key}`);
      const text = JSON.stringify(encodeSegment(op));
      if (text.length > (old ? LIMITS : NEXT).maxValueBytes)
        this.problems.push(`record of ${text.length} bytes`);
      this.store.ledger.set(op.key, text);
    } else if (op.kind === 'delete-segment') {
      if (!this.store.ledger.delete(op.key)) this.problems.push(`record dropped twice ${op.key}`);
    } else if (op.kind === 'write-extension-records') {
      for (const { key, value } of op.writes) this.writeRecord(`${op.extension}/${key}`, value);
    } else {
      const before = this.store.finals.get(op.job);
      if (before && before !== op.outcome) this.problems.push(`went_back ${op.job}`);
      this.store.finals.set(op.job, op.outcome);
      this.store.jobs.delete(op.job);
      // From now on any node may tell it, also while the leader has not learnt that it is stored.
      if (op.outcome === 'cancelled') {
        this.cancelTold.set(op.job, this.now);
        if (this.now < this.gapUntil) this.meetings.cancelledInGap += 1;
        if (![...this.aborts.values()].includes(op.job))
          this.problems.push(`cancelled by nobody ${op.job}`);
      }
    }
  }

  private writeRecord(key: string, value: unknown): void {
    if (value === null) {
      this.store.records.delete(key);
      return;
    }
    const text = JSON.stringify(value);
    if (text.length > NEXT.maxValueBytes)
      this.problems.push(`record ${key} of ${text.length} bytes`);
    this.store.records.set(key, text);
  }

  // ---- workers -----------------------------------------------------------------------------------

  private takeAway(id: string): void {
    const w = this.workers.get(id);
    if (w) {
      w.gone = true;
      for (const t of w.tasks) this.interrupt(t, false);
    }
    this.workers.delete(id);
  }

  private reportOf(w: Worker): Heartbeat {
    w.seq += 1;
    const tasks = w.tasks.map((t) => task(t.job, t.index, t.attempt, t.state, t.cause));
    return report(w.id, w.seq, w.term, tasks, {
      agentEpoch: w.session,
      zone: w.zone as ZoneName,
      spot: w.spot,
      type: 'c8' as MachineTypeName,
      reclaimNoticeS: w.noticeAt === null ? null : (w.noticeAt - this.now) / 1000,
    });
  }

  private isOpen(id: string): boolean {
    return this.store.jobs.has(id) && ![...this.aborts.values()].includes(id);
  }

  /** Tasks that were interrupted by decision, do not run again yet, and are still wanted. */
  interruptedByDecision(): Interrupted[] {
    const open: Interrupted[] = [];
    for (const [name, interrupted] of this.interrupted) {
      const wanted = this.isOpen(name.split('/')[0]!) && !this.doneReally.has(name);
      if (wanted && interrupted.voluntary) open.push(interrupted);
    }
    return open;
  }

  private interrupt(t: Running, voluntary: boolean): void {
    const name = `${t.job}/${t.index}`;
    if (t.state === 'ended' || !this.isOpen(t.job) || this.doneReally.has(name)) return;
    const { team, jobClass } = SPECS.get(t.job)!;
    this.interrupted.set(name, { team, jobClass, voluntary });
    if (voluntary) this.onVoluntaryStop(name);
  }

  /** A stop by decision, unless a notice is behind it or a leader of the other version. */
  private noteStop(w: Worker, t: Running, byOld: boolean): void {
    this.interrupt(t, w.noticeAt === null && !byOld);
  }

  private execute(w: Worker, orders: readonly WorkerCommand[], byOld: boolean): void {
    for (const o of orders) {
      const held = w.tasks.find((t) => t.job === o.job && t.index === o.index);
      if (o.op === 'start') {
        if (held?.attempt === o.attempt) continue;
        const spec = SPECS.get(o.job)!;
        if (held || w.used(SPECS) + spec.cpus > TYPE.cpus) {
          w.tasks.push({ ...o, state: 'ended', cause: 'error', left: 0 });
          continue;
        }
        this.checkStart(w, o.job, o.index, o.attempt);
        const lasts = spec.shape === 'service' && this.chance(70);
        // Some run for longer than a cancellation may take.
        const runs = this.chance(6) ? this.int(20_000, 120_000) : this.int(500, 20_000);
        const left = lasts ? Number.POSITIVE_INFINITY : runs;
        w.tasks.push({
          job: o.job,
          index: o.index,
          attempt: o.attempt,
          state: 'running',
          cause: null,
          left,
        });
      } else if (o.op === 'kill') {
        const t = w.tasks.find(
          (x) => x.job === o.job && x.index === o.index && x.attempt === o.attempt,
        );
        if (t && t.state !== 'ended') {
          if (
            w.noticeAt !== null &&
            this.store.jobs.has(t.job) &&
            SPECS.get(t.job)!.shape === 'service'
          )
            this.services.moves += 1;
          this.noteStop(w, t, byOld);
          t.state = 'ended';
          t.cause = 'stopped';
        }
      } else {
        w.tasks = w.tasks.filter(
          (t) =>
            !(
              t.state === 'ended' &&
              t.job === o.job &&
              t.index === o.index &&
              t.attempt === o.attempt
            ),
        );
      }
    }
  }

  private checkStart(w: Worker, id: string, index: number, attempt: number): void {
    this.starts += 1;
    this.interrupted.delete(`${id}/${index}`);
    if (SPECS.get(id)!.shape === 'service') this.services.starts += 1;
    const name = `${id}/${index}`;
    const spec = SPECS.get(id)!;
    for (const other of this.workers.values()) {
      if (other === w) continue;
      if (other.tasks.some((t) => t.job === id && t.index === index && t.state !== 'ended')) {
        this.problems.push(`ran_twice ${name} on ${w.id} and ${other.id} at ${this.now}`);
      }
    }
    if (this.attempts.has(`${name}#${attempt}`))
      this.problems.push(`attempt given twice ${name}#${attempt}`);
    this.attempts.add(`${name}#${attempt}`);
    if (spec.zone !== null && spec.zone !== w.zone) this.problems.push(`wrong_place zone ${name}`);
    if (w.spot && !spec.allowsSpot) this.problems.push(`wrong_place spot ${name}`);
    const zones = this.where(id);
    if (spec.singleZone && zones.some((z) => z !== w.zone))
      this.problems.push(`wrong_place one zone ${name}`);
    if (spec.spreadZones && zones.filter((z) => z === w.zone).length >= Math.ceil(spec.tasks / 2)) {
      this.problems.push(`wrong_place scatter ${name}`);
    }
  }

  /** Zones of the job's tasks that are on machines now. */
  private where(id: string): string[] {
    const zones: string[] = [];
    for (const w of this.workers.values()) {
      for (const t of w.tasks) if (t.job === id && t.state !== 'ended') zones.push(w.zone);
    }
    return zones;
  }

  /** What a team's tasks really use. */
  private usage(name: TeamName): number {
    let cpus = 0;
    for (const w of this.workers.values()) {
      for (const t of w.tasks) {
        const spec = SPECS.get(t.job)!;
        if (t.state !== 'ended' && spec.team === name) cpus += spec.cpus;
      }
    }
    return cpus;
  }

  private checkWorld(): void {
    for (const t of TEAMS) {
      const cpus = this.usage(t.name);
      if (cpus > t.cpusMax) this.problems.push(`quota ${t.name} ${cpus} at ${this.now}`);
    }
    for (const [id, at] of this.cancelTold) {
      if (this.now > at + CANCEL_MS && this.where(id).length > 0)
        this.problems.push(`ran_cancelled ${id}`);
    }
  }

  private runWorker(w: Worker, passed: number): void {
    if (this.now < w.upAt || w.gone) return;
    if (w.noticeAt !== null && this.now >= w.noticeAt) return this.takeAway(w.id);
    if (this.now - w.leaseFrom > LEASE_MS) {
      // A hanging machine may resume its tasks within its lease only.
      w.session += 1;
      w.tasks = [];
      w.leaseFrom = Math.max(this.now, w.hungUntil);
      w.awaiting = null;
      w.dueAt = this.now;
    }
    if (this.now < w.hungUntil) return;
    let changed = false;
    for (const t of w.tasks) {
      if (t.state !== 'running') continue;
      t.left -= passed;
      if (t.left > 0 && !w.sick) continue;
      t.state = 'ended';
      t.cause = w.sick || this.mistakes.has(t.job) ? 'error' : 'done';
      if (SPECS.get(t.job)!.shape === 'service') {
        this.services.ends += 1;
        if (this.chance(50)) t.cause = 'error';
      } else if (t.cause === 'done') {
        this.doneReally.add(`${t.job}/${t.index}`);
        // A cancellation meets the end of a task, of the last one too.
        if (this.chance(2)) {
          this.meetings.cancelledAtEnd += 1;
          this.soon(this.int(0, 1500), () => this.cancel(t.job));
        }
      }
      changed = true;
    }
    if (changed) w.dueAt = Math.min(w.dueAt, Math.max(this.now, w.lastAt + 500));
    if (w.awaiting && this.now - w.awaiting.sentAt > 4000) {
      w.awaiting = null;
      w.dueAt = this.now + 1000;
    }
    if (!w.awaiting && this.now >= w.dueAt) this.checkIn(w);
  }

  private checkIn(w: Worker): void {
    const told = this.reportOf(w);
    const sent = { sentAt: this.now, session: w.session };
    w.awaiting = sent;
    w.lastAt = this.now;
    w.dueAt = this.now + REPORT_MS + this.int(-500, 500);
    // Mostly the leader; now and then one that has been replaced and does not know it yet.
    const stale = this.leaders.filter((l) => !l.alive);
    const cut = w.cutOffWith && this.now < w.cutOffUntil ? w.cutOffWith : null;
    const wrong =
      stale.length > 0 && this.chance(15) ? stale[this.int(0, stale.length - 1)]! : null;
    const first = cut ?? wrong ?? this.leader();
    const deliver = (to: Leader | null) => {
      if (!to || this.authority(to) === 'none' || told.fencingToken > to.term) return;
      const ticket = this.nextTicket++;
      this.tickets.set(ticket, (orders) => {
        if (!orders) return;
        const term = to.term;
        if (this.chance(5)) {
          this.lostAnswers += 1;
          return;
        }
        this.soon(this.wire(w), () => {
          // The worker gives an answer up after 4 s, and drops it if the token is old or the session over.
          if (w.gone || w.awaiting !== sent || this.now - sent.sentAt > 4000) return;
          if (this.now < w.hungUntil || this.now < w.deafUntil) return;
          w.awaiting = null;
          if (term < w.term || w.session !== sent.session) return;
          if (term > w.term) w.dueAt = Math.min(w.dueAt, this.now + 500);
          w.term = term;
          w.leaseFrom = sent.sentAt;
          this.execute(w, orders, to.old);
        });
      });
      to.queue.push({ kind: 'heartbeat', heartbeat: told, ticket: ticket as ReplyTicket });
    };
    if (this.now < w.muteUntil) return;
    this.soon(this.wire(w), () => deliver(first));
    if (this.chance(1) && !cut) {
      this.meetings.keptForNext += 1;
      // To every controller that takes reports, those that have been replaced too.
      this.kept.push(() => {
        for (const l of this.leaders) deliver(l);
      });
    }
    // Copies that the network held back reach whoever leads by then, also of machines that are long gone, of earlier
    // sessions, and well over a lease late; a new leader may see a machine first by such a copy.
    if (this.chance(5) && !cut)
      this.soon(this.int(50, 15_000), () => this.copied(() => deliver(this.leader())));
    if (this.chance(2))
      this.soon(this.int(LEASE_MS, 4 * LEASE_MS), () => this.copied(() => deliver(this.leader())));
  }

  private copied(give: () => void): void {
    this.copies += 1;
    give();
  }

  private listing(): ListedMachine[] {
    return [...this.workers.values()].map((x) => ({
      id: x.id as MachineId,
      endpoint: '127.0.0.1:9',
      type: 'c8' as MachineTypeName,
      zone: x.zone as ZoneName,
      spot: x.spot,
      status: this.now < x.upAt ? 'booting' : 'running',
      ageS: 0,
    }));
  }

  /** Machines that are not lost go back empty. */
  private checkReturns(leader: Leader, ids: readonly MachineId[]): void {
    for (const id of ids) {
      const known = leader.state.machines.get(id);
      const given = !known || known.lostAt !== null || known.isUnreachable || !known.hasReported;
      if (!given && this.workers.get(id)?.tasks.some((t) => t.state !== 'ended'))
        this.problems.push(`returned with work ${id}`);
    }
  }

  // ---- users and troubles ------------------------------------------------------------------------

  private submit(): void {
    const id = `job-${SPECS.size}`;
    const owner = (this.chance(50) ? 'blue' : 'green') as TeamName;
    const service = this.chance(12) ? this.service(owner) : null;
    const spec = job(id, {
      team: owner,
      tasks: this.int(1, 7),
      cpus: this.int(1, 4),
      estimateS: this.int(1, 20),
      zone: this.chance(10) ? ('a' as ZoneName) : null,
      singleZone: this.chance(15),
      spreadZones: this.chance(10),
      allowsSpot: !this.chance(15),
      checkpointIntervalS: this.chance(30) ? 5 : 0,
      deadlineS: this.chance(50) ? this.int(20, 200) : null,
      ...service,
    });
    SPECS.set(id, spec);
    if (this.chance(4)) this.mistakes.add(id);
    this.store.jobs.set(id, { spec, at: this.now });
    const leader = this.leader();
    if (leader && !(leader.old && service))
      leader.queue.push({ kind: 'job', spec, submittedAt: this.now as Instant });
  }

  /** Services of a team take no more than a third of its limit, so that its arrays can be done beside them. */
  private service(owner: TeamName): Partial<JobSpec> | null {
    const tasks = this.int(1, 4);
    let cpus = tasks;
    for (const { spec } of this.store.jobs.values()) {
      if (spec.shape === 'service' && spec.team === owner) cpus += spec.tasks * spec.cpus;
    }
    if (cpus * 3 > TEAMS.find((t) => t.name === owner)!.cpusMax) return null;
    const critical = this.chance(70) && this.options.preemption !== false;
    const priority = critical ? 'critical' : 'standard';
    // One that must be in one zone and spread over several could never run in full.
    const spread = this.chance(30) ? { spreadZones: true, zone: null } : { spreadZones: false };
    return {
      shape: 'service',
      priority,
      tasks,
      cpus: 1,
      estimateS: 0,
      singleZone: false,
      deadlineS: null,
      ...spread,
    };
  }

  private cancel(which?: string): void {
    const all = [...this.store.jobs.keys()];
    const standing = all.filter((id) => SPECS.get(id)!.shape === 'service');
    const ids = standing.length > 0 && this.chance(40) ? standing : all;
    const leader = this.leader();
    if (!leader || ids.length === 0 || this.authority(leader) !== 'lead') return;
    const ticket = this.nextTicket++;
    const id = which ?? ids[this.int(0, ids.length - 1)]!;
    this.aborts.set(ticket, id);
    leader.queue.push({ kind: 'cancel-job', job: id as JobId, ticket: ticket as ReplyTicket });
  }

  private trouble(): void {
    const all = [...this.workers.values()];
    const w = all.length > 0 ? all[this.int(0, all.length - 1)]! : null;
    switch (this.int(1, 18)) {
      case 1:
      case 2: {
        // The leader loses its lease, by a crash or unnoticed; the next comes when it has surely run out.
        const old = this.leader();
        if (!old) return;
        old.alive = false;
        old.validUntil = Math.min(old.validUntil, this.now + this.int(0, 2000));
        const crashed = this.chance(50);
        if (crashed) this.leaders = this.leaders.filter((l) => l !== old);
        else if (this.chance(50)) {
          // The old leader sits with some workers behind a cut, and the cloud cannot be reached either.
          for (const x of all) {
            if (!this.chance(40)) continue;
            x.cutOffWith = old;
            x.cutOffUntil = this.now + this.int(5000, 40_000);
          }
          this.cloudDownUntil = this.now + this.int(0, 45_000);
        }
        // A crashed process may be back within a fraction of a second, and takes over its own key at once.
        const quick = crashed && this.chance(40);
        if (quick) this.quickReturns += 1;
        const from = quick
          ? this.int(10, 900)
          : Math.max(0, old.validUntil - this.now) + this.int(10, 4000);
        this.soon(from, () => {
          if (!this.leader()) this.elect();
        });
        return;
      }
      case 3:
        if (w) w.hungUntil = this.now + this.int(2000, 25_000);
        return;
      case 4:
        if (w?.spot) w.noticeAt = this.now + this.int(0, 10_000);
        return;
      case 5:
        if (w?.spot) this.takeAway(w.id);
        return;
      case 6: {
        // A machine nobody asked for in this term.
        if (this.workers.size < 8) this.addMachine(false, 500);
        return;
      }
      case 7:
        if (!w) return;
        this.deafSpells += 1;
        w.deafUntil = this.now + this.int(3000, 60_000);
        return;
      case 8:
        if (w) this.restart(w);
        return;
      case 9:
        this.crowd();
        return;
      case 10: {
        // The leader stands still, for seconds or well over its right to lead; then it goes on with what had come in.
        const leader = this.leader();
        if (!leader) return;
        this.freezes += 1;
        leader.alive = false;
        leader.frozenUntil = this.now + this.int(1000, 30_000);
        this.soon(Math.max(0, leader.validUntil - this.now) + this.int(10, 4000), () => {
          if (!this.leader()) this.elect();
        });
        return;
      }
      case 11:
        // Every controller ends, and all that was on its way to them is lost with them.
        this.blackouts += 1;
        this.leaders = [];
        // Now and then for longer than the workers' leases.
        if (this.chance(25)) this.meetings.longBlackouts += 1;
        this.soon(this.chance(25) ? this.int(LEASE_MS, 2 * LEASE_MS) : this.int(3000, 9000), () => {
          if (!this.leader()) this.elect();
        });
        return;
      case 12:
        if (this.chance(50)) {
          this.outages += 1;
          this.stateDownUntil = this.now + this.int(2000, 25_000);
        } else {
          this.slowSpells += 1;
          this.stateSlowUntil = this.now + this.int(5000, 30_000);
        }
        return;
      case 13:
        return this.refusedThenDown(all);
      case 14:
        this.lateWritesUntil = this.now + this.int(5000, 40_000);
        return;
      case 15:
        if (!w) return;
        this.meetings.mute += 1;
        w.muteUntil = this.now + this.int(3000, 60_000);
        return;
      case 16: {
        // Users call off what runs, and its machines hang at that moment.
        const runs = all.filter((x) => x.tasks.some((t) => t.state !== 'ended'));
        for (const x of runs.slice(0, this.int(1, 3))) {
          this.meetings.cancelledWithHang += 1;
          this.cancel(x.tasks.find((t) => t.state !== 'ended')!.job);
          x.hungUntil = this.now + this.int(1000, 30_000);
        }
        return;
      }
      case 17: {
        // Hand over and back, within a second or two; jobs are cancelled in between.
        this.meetings.handedOverAndBack += 1;
        for (let i = 0; i < 4; i += 1) {
          this.soon(i * this.int(100, 700), () => {
            this.cancel();
            this.leaders = this.leaders.filter((l) => l !== this.leader());
            this.elect();
          });
        }
        return;
      }
      default: {
        const leader = this.leader();
        if (!leader) return;
        const machines = this.listing();
        const askedAt = this.now as Instant;
        this.soon(this.delay(), () =>
          leader.queue.push({ kind: 'machines-listed', askedAt, machines }),
        );
      }
    }
  }

  /**
   * The state service refuses the leader alone; some workers go on reporting to it. The next leader confirms cancellations,
   * and then the service is down for all, for longer than a cancellation may take.
   */
  private refusedThenDown(all: readonly Worker[]): void {
    const old = this.leader();
    if (!old || this.now < this.stateDownUntil) return;
    this.meetings.refusedThenDown += 1;
    old.alive = false;
    const lapse = Math.max(0, old.validUntil - this.now);
    for (const w of all) {
      if (!this.chance(50)) continue;
      w.cutOffWith = old;
      w.cutOffUntil = old.validUntil + KEEP_MS;
    }
    const from = lapse + this.int(10, 600);
    this.soon(from, () => {
      if (!this.leader()) this.elect();
    });
    const down = from + this.int(100, 5000);
    this.gapUntil = this.now + down;
    for (let i = 0; i < 6; i += 1) {
      this.soon(this.int(from, down), () => this.cancel());
    }
    this.soon(down, () => {
      this.stateDownUntil = this.now + this.int(CANCEL_MS, 3 * CANCEL_MS);
    });
  }

  /** A good third of the machines at once. */
  private crowd(): void {
    const kinds = Object.keys(this.crowds) as (keyof SimulatedWorld['crowds'])[];
    const kind = kinds[this.int(0, kinds.length - 1)]!;
    this.crowds[kind] += 1;
    const until = this.now + this.int(3000, 45_000);
    for (const w of [...this.workers.values()]) {
      if (!this.chance(45)) continue;
      if (kind === 'gone') this.takeAway(w.id);
      else if (kind === 'hung') w.hungUntil = until;
      else if (kind === 'held') w.heldUntil = until;
      else if (kind === 'noticed' && w.spot) w.noticeAt = this.now + this.int(500, 10_000);
      else if (kind === 'restarted') this.restart(w);
    }
  }

  /** A machine back within a fraction of a second: its worker starts anew, with a later session. */
  private restart(w: Worker): void {
    if (this.now < w.upAt) return;
    w.session += 1;
    w.tasks = [];
    w.awaiting = null;
    w.upAt = this.now + this.int(50, 900);
    w.leaseFrom = w.upAt;
    w.dueAt = w.upAt;
  }

  /** Plays `ms` milliseconds; with `calm`, no new jobs and no new troubles. */
  play(ms: number, calm: boolean): void {
    const STEP = 50;
    const end = this.now + ms;
    while (this.now < end && this.problems.length === 0) {
      this.now += STEP;
      if (!calm) {
        if (this.chance(4)) this.submit();
        if (this.chance(1) && this.chance(40)) this.cancel();
        if (this.chance(1)) this.trouble();
      }
      const due = this.messages.filter((m) => m.at <= this.now).sort((a, b) => a.at - b.at);
      this.messages = this.messages.filter((m) => m.at > this.now);
      for (const m of due) m.act();
      // The last process of the old version is killed.
      if (this.now >= this.upgradedAt && this.leaders.some((l) => l.old)) this.upgrade();
      const leader = this.leader();
      // A lease counts from before its renewal was sent; in an outage none is renewed, and after it all are.
      const slow = this.now < this.stateSlowUntil ? 1500 : 0;
      const up = this.now >= this.stateDownUntil;
      if (leader && up && leader.validUntil - this.now < 2000 - slow)
        leader.validUntil = this.now + 3000 - slow;
      for (const l of [...this.leaders]) {
        if (this.now % 250 === 0) l.queue.push({ kind: 'tick' });
        this.runLeader(l);
        if (!l.alive && this.now > l.validUntil + KEEP_MS)
          this.leaders = this.leaders.filter((x) => x !== l);
      }
      for (const w of [...this.workers.values()]) this.runWorker(w, STEP);
      this.checkWorld();
    }
  }

  /** Jobs that are still open though they could have been done. */
  unfinished(): string[] {
    return [...this.store.jobs.keys()].filter((id) => {
      const { shape } = SPECS.get(id)!;
      return shape === 'array' && !this.mistakes.has(id);
    });
  }

  /** Jobs of which a task waits though a machine that fits has room for it and its team is under its limit. */
  waitingBesideRoom(): string[] {
    return [...this.store.jobs.keys()].filter((id) => {
      const spec = SPECS.get(id)!;
      const { cpusMax } = TEAMS.find((t) => t.name === spec.team)!;
      if (this.mistakes.has(id) || spec.singleZone || spec.spreadZones) return false;
      let there = 0;
      for (const w of this.workers.values()) {
        for (const t of w.tasks)
          if (t.job === id && (t.state !== 'ended' || t.cause === 'done')) there += 1;
      }
      const team = this.usage(spec.team);
      let done = 0;
      for (let i = 0; i < spec.tasks; i += 1) if (this.doneReally.has(`${id}/${i}`)) done += 1;
      if (there + done >= spec.tasks || team + spec.cpus > cpusMax) return false;
      return [...this.workers.values()].some(
        (w) =>
          this.now >= w.upAt &&
          w.noticeAt === null &&
          (spec.allowsSpot || !w.spot) &&
          (spec.zone === null || spec.zone === w.zone) &&
          w.used(SPECS) + spec.cpus <= TYPE.cpus,
      );
    });
  }

  /** How many services there are. */
  standing(): number {
    return [...this.store.jobs.values()].filter(({ spec }) => spec.shape === 'service').length;
  }

  /** Services of which not all replicas run, though they could. */
  missing(): string[] {
    const ids = [...this.store.jobs.keys()].filter((id) => !this.mistakes.has(id));
    return ids.filter((id) => {
      const { shape, tasks } = SPECS.get(id)!;
      return shape === 'service' && this.where(id).length < tasks;
    });
  }

  heal(): void {
    for (const w of this.workers.values()) {
      w.sick = false;
      w.hungUntil = 0;
      w.deafUntil = 0;
      w.muteUntil = 0;
      w.heldUntil = 0;
    }
    this.stateDownUntil = 0;
    this.stateSlowUntil = 0;
    this.lateWritesUntil = 0;
    this.cloudDownUntil = 0;
    this.noCapacityUntil = 0;
    this.bootTroubleUntil = 0;
    if (!this.leader()) this.elect();
  }
}
