/** One term of leadership: the takeover, what the leader watches, and what its decisions set in motion. */
import { fromTimeOfDay, sleep, steadyNow } from '../adapters/runtime/clock.js';
import type {
  ExtensionRecord,
  OperatorAnswer,
  OperatorCall,
} from '../core/extensions/extension.js';
import { ExtensionHost } from '../core/extensions/extension-host.js';
import { keepAliveFor } from '../core/lifecycle/worker-leases.js';
import { createCore } from '../core/state.js';
import {
  type Authority,
  type Command,
  type Effect,
  type Instant,
  type JobId,
  type MachineId,
  type Millis,
  type Order,
  type Outcome,
  type Report,
  type Revision,
  type SegmentKey,
  seconds,
  type Term,
} from '../core/types.js';
import { Persister } from './batch-writer.js';
import { Owner } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import type { Election } from './leader-election.js';
import { PendingAnswers, TicketCounter } from './pending-replies.js';
import {
  extensionPrefix,
  type FinalRecord,
  JOBS,
  type JobRecord,
  jobKey,
  LEDGER,
  OLD_LEDGER,
  readJob,
  readSegment,
} from './stored-records.js';

/** Attempts on one machine: its report must fit a request of 64 KiB. */
const MAX_PER_MACHINE = 400;
const TICK_MS = 250;
/** A worker gives an answer up after 4 s. */
const TICKET_MS = 3700;
const ABORT_MS = 2700;
/** Within which an operator's call is answered: what it asks for is stored first. */
const OPERATE_MS = 3500;
const LIST_EVERY_MS = 4000;
const TYPES_EVERY_MS = 60_000;
/** Admissions are counted over this long. */
const ARRIVALS_MS = 2000;
/** The batches' share of the write limit: at least, so that users come first, and at most, while few jobs come in. */
export const BATCH_WRITES = 0.4;
const MOST_BATCH_WRITES = 0.85;
const JOBS_FOLLOW_MS = 15_000;

export interface LeadershipEvents {
  /** A job's end is stored. */
  over(id: JobId, final: FinalRecord): void;
  /** Neither the state service nor any peer answers this node. */
  isIsolated(): boolean;
}

export class Leadership {
  readonly owner: Owner;
  private readonly persister: Persister;
  private readonly tickets = new TicketCounter();
  private readonly checkIns = new PendingAnswers<readonly Order[] | null>(
    this.tickets,
    TICKET_MS,
    null,
  );
  private readonly operatorCalls = new PendingAnswers<OperatorAnswer | null>(
    this.tickets,
    OPERATE_MS,
    null,
  );
  private readonly aborts = new PendingAnswers<Outcome | null | 'late'>(
    this.tickets,
    ABORT_MS,
    'late',
  );
  /** Workers turned away while this node was cut off from all but them, and when. */
  private readonly released = new Map<MachineId, number>();
  /** When jobs came in, of late. */
  private arrivals: Instant[] = [];
  private current = true;
  private readonly keepAliveMs: Millis;

  constructor(
    private readonly parts: Dependencies,
    readonly term: Term,
    acquiredAt: Instant,
    private readonly election: Election,
    private readonly events: LeadershipEvents,
  ) {
    const { workers, cloudLimits, stateLimits, teams, quota } = parts.settings;
    this.keepAliveMs = keepAliveFor(seconds(workers.cancelS), seconds(workers.leaseS));
    const core = createCore({
      term,
      acquiredAt,
      teams,
      policy: parts.policy,
      reportMs: seconds(workers.reportS),
      leaseMs: seconds(workers.leaseS),
      keepAliveMs: this.keepAliveMs,
      listLagMs: seconds(cloudLimits.listLagS),
      txnOps: stateLimits.txnOps,
      writeRps: stateLimits.nextWriteRps,
      valueBytes: stateLimits.valueBytes,
      maxPerMachine: MAX_PER_MACHINE,
      timeOfDayOffsetMs: Date.now() - steadyNow(),
    });
    if (parts.extensions.length > 0) {
      core.extensions = new ExtensionHost(
        core,
        parts.extensions.map((module) => module.create()),
      );
    }
    this.owner = new Owner(
      core,
      () => this.authority(),
      (effect) => this.carryOut(effect),
      steadyNow,
      quota.cores,
    );
    this.persister = new Persister(
      parts.batchState,
      term,
      parts.log,
      parts.jitter,
      stateLimits.txnOps,
    );
  }

  start(): void {
    this.parts.spawn('takeover', () => this.takeOver());
  }

  stop(): void {
    this.current = false;
    this.owner.stop();
    this.persister.stop();
    this.checkIns.close();
    this.aborts.close();
    this.operatorCalls.close();
  }

  authority(): Authority {
    if (!this.current || this.election.term !== this.term) return 'none';
    const now = steadyNow();
    if (now < this.election.validUntil) return 'lead';
    return now < this.election.validUntil + this.keepAliveMs ? 'keep-alive' : 'none';
  }

  // ---- takeover and watches ----------------------------------------------------------------------

  private async readAll(prefix: string) {
    while (this.current) {
      const all = await this.parts.batchState.listAll(prefix);
      if (typeof all === 'object') return all;
      await sleep(this.parts.jitter.around(200));
    }
    return null;
  }

  private async takeOver(): Promise<void> {
    const { stamps } = this.persister;
    // Only a leader writes the ledger, and none but this one can any more; of jobs accepted meanwhile the watch tells.
    const all = await Promise.all([JOBS, LEDGER, OLD_LEDGER].map((prefix) => this.readAll(prefix)));
    const [jobs, ledger, old] = all;
    if (!jobs || !ledger || !old || !this.current) return;
    const commands: Command[] = [];
    if (this.parts.types) commands.push({ kind: 'types', types: this.parts.types });
    for (const item of jobs.items) this.jobFrom(item.key, item.value, item.revision, commands);
    const entered: Command[] = [];
    for (const { key, value, revision } of [...ledger.items, ...old.items]) {
      stamps.set(key, revision);
      const segment = key as SegmentKey;
      const record = readSegment(value);
      if (!record) {
        this.parts.log.error({ key }, 'unreadable record');
        commands.push({ kind: 'unreadable', segment });
        continue;
      }
      for (const row of record.progress) commands.push({ kind: 'progress', segment, ...row });
      for (const row of record.machines) entered.push({ kind: 'ledger', segment, ...row });
    }
    // What is done first: an attempt of a task that is done needs no second look.
    commands.push(...entered);
    for (const { name } of this.parts.extensions) {
      const records = await this.readExtension(name);
      if (!records) return;
      commands.push({ kind: 'extension-records', extension: name, records });
    }
    commands.push({ kind: 'loaded' });
    this.parts.log.info({ jobs: jobs.items.length, records: ledger.items.length }, 'took over');
    this.owner.start(commands);
    this.parts.spawn('jobs', () => this.watchJobs(jobs.revision));
    this.parts.spawn('ticks', () => this.ticks());
    this.parts.spawn('machines', () => this.watchMachines());
  }

  private async readExtension(name: string): Promise<ExtensionRecord[] | null> {
    const prefix = extensionPrefix(name);
    const stored = await this.readAll(prefix);
    if (!stored || !this.current) return null;
    return stored.items.map(({ key, value, revision }) => {
      this.persister.stamps.set(key, revision);
      return { key: key.slice(prefix.length), value };
    });
  }

  private jobFrom(key: string, value: unknown, revision: Revision, out: Command[]): void {
    const record = readJob(value);
    if (!record || key !== jobKey(record.spec.id)) {
      this.parts.log.error({ key }, 'unreadable record');
      return;
    }
    this.know(record, revision, out);
  }

  /** It may be older than the job's end, which the core knows. */
  private know(record: JobRecord, revision: Revision, out: Command[]): void {
    this.persister.stamps.set(jobKey(record.spec.id), revision);
    this.arrivals.push(steadyNow());
    out.push({ kind: 'job', spec: record.spec, submittedAt: fromTimeOfDay(record.at) });
  }

  /** A job that this very node has just stored. */
  admitted(record: JobRecord, revision: Revision): void {
    const commands: Command[] = [];
    this.know(record, revision, commands);
    for (const command of commands) this.owner.submit(command);
  }

  /** A job that the state service holds and this leader did not know yet. */
  found(key: string, value: unknown, revision: Revision): void {
    const commands: Command[] = [];
    this.jobFrom(key, value, revision, commands);
    for (const command of commands) this.owner.submit(command);
  }

  /** Jobs that other nodes accept show up as changes under their prefix. */
  private async watchJobs(from: Revision): Promise<void> {
    let revision = from;
    while (this.current) {
      const result = await this.parts.batchState.follow(JOBS, revision, JOBS_FOLLOW_MS);
      if (!this.current) return;
      const commands: Command[] = [];
      if (typeof result === 'object') {
        revision = result.revision;
        for (const c of result.changes) {
          if ('value' in c) this.jobFrom(c.key, c.value, c.revision, commands);
        }
      } else if (result === 'too-old') {
        const all = await this.readAll(JOBS);
        if (!all) return;
        revision = all.revision;
        for (const item of all.items) this.jobFrom(item.key, item.value, item.revision, commands);
      } else await sleep(this.parts.jitter.around(200));
      for (const command of commands) this.owner.submit(command);
    }
  }

  private async ticks(): Promise<void> {
    while (this.current) {
      this.shareWrites();
      this.owner.submit({ kind: 'tick' });
      await sleep(TICK_MS);
    }
  }

  /** What admissions leave of the write limit, by the jobs that came in of late, is the batches'. */
  private shareWrites(): void {
    const now = steadyNow();
    this.arrivals = this.arrivals.filter((at) => now - at < ARRIVALS_MS);
    const { writeRps } = this.parts.settings.stateLimits;
    const admissions = (this.arrivals.length * 1000) / ARRIVALS_MS / writeRps;
    const share = Math.min(
      MOST_BATCH_WRITES,
      Math.max(BATCH_WRITES, MOST_BATCH_WRITES - admissions),
    );
    this.parts.batchState.scaleWrites(share / BATCH_WRITES);
  }

  private async watchMachines(): Promise<void> {
    let typesAt = 0;
    while (this.current) {
      const askedAt = steadyNow();
      if (this.authority() === 'lead') {
        const machines = await this.parts.cloud.list();
        if (machines) this.owner.submit({ kind: 'listed', askedAt, machines });
        if (steadyNow() - typesAt > TYPES_EVERY_MS || !this.parts.types) {
          const types = await this.parts.cloud.types();
          if (types) {
            typesAt = steadyNow();
            this.parts.types = types;
            this.owner.submit({ kind: 'types', types });
          }
        }
      }
      await sleep(Math.max(LIST_EVERY_MS, this.parts.cloud.listPauseMs));
    }
  }

  // ---- effects -----------------------------------------------------------------------------------

  private carryOut(effect: Effect): void {
    if (!this.current) return;
    const entitled = () => this.current && this.authority() === 'lead';
    switch (effect.kind) {
      case 'answer':
        return this.checkIns.answer(effect.ticket, effect.orders);
      case 'operator-answer':
        return this.operatorCalls.answer(effect.ticket, effect.answer);
      case 'settled':
        return this.aborts.answer(effect.ticket, effect.outcome);
      case 'final':
        this.events.over(effect.job, effect);
        this.parts.log.info({ job: effect.job, outcome: effect.outcome }, 'job over');
        return;
      case 'save':
        this.parts.spawn('save', async () => {
          const refused = await this.persister.save(effect.ops);
          if (!this.current) return;
          const revision = this.persister.lastRevision;
          if (refused) this.owner.submit({ kind: 'saved', batch: effect.batch, refused, revision });
          else this.election.deposed();
        });
        return;
      case 'rent':
        this.parts.spawn('rent', async () => {
          const { request, type, zone, spot, count } = effect;
          const result = await this.parts.cloud.rent(request, type, zone, spot, count, entitled);
          const outcome = typeof result === 'string' ? result : 'ok';
          const machines = typeof result === 'string' ? [] : result;
          this.parts.log.info({ request, type, zone, spot, count, outcome, machines }, 'rent');
          this.owner.submit({ kind: 'rented', request, result: outcome, machines });
        });
        return;
      case 'delete':
        this.parts.spawn('delete', async () => {
          const ok = await this.parts.cloud.delete(effect.machines, entitled);
          this.parts.log.info({ machines: effect.machines, ok }, 'return machines');
          this.owner.submit({ kind: 'deleted', machines: effect.machines, ok });
        });
        return;
      case 'orders':
        this.parts.spawn('orders', async () => {
          const { endpoint, session, orders } = effect;
          const report = await this.parts.workers.orders(endpoint, this.term, session, orders);
          if (!report || !this.current || report.machine !== effect.machine) return;
          if (report.term > this.term) this.election.deposed();
          else this.owner.submit({ kind: 'report', report, ticket: null });
        });
        return;
      case 'note':
        this.parts.log[effect.level](effect.fields, effect.text);
    }
  }

  // ---- workers -----------------------------------------------------------------------------------

  /** The orders for a worker; 'elsewhere' when it should turn to another node; null for "not now". */
  async checkIn(report: Report): Promise<readonly Order[] | 'elsewhere' | null> {
    if (report.term > this.term) {
      this.parts.log.info(
        { machine: report.machine, term: report.term },
        'a worker has seen a higher term',
      );
      this.election.deposed();
      return 'elsewhere';
    }
    const authority = this.authority();
    if (authority === 'none') return 'elsewhere';
    if (
      authority === 'keep-alive' &&
      this.events.isIsolated() &&
      this.sendsElsewhere(report.machine)
    )
      return 'elsewhere';
    const orders = await this.checkIns.ask((ticket) =>
      this.owner.submit({ kind: 'report', report, ticket }),
    );
    if (!orders || !this.current) return null;
    // The process may have stood still since the orders were decided: right and time are looked at again as they go out.
    const now = this.authority();
    if (now === 'none') return null;
    return now === 'lead' ? orders : orders.filter((order) => order.op === 'kill');
  }

  /**
   * Cut off from the state service and all peers, this node is most likely the one that is cut off, and another leads or
   * soon will: it holds no worker that can go there. One that comes back well within its lease has found nobody, and is
   * kept alive here.
   */
  private sendsElsewhere(machine: MachineId): boolean {
    const now = steadyNow();
    const last = this.released.get(machine);
    if (last !== undefined && now - last < this.parts.settings.workers.leaseS * 750) return false;
    this.released.set(machine, now);
    return true;
  }

  /** How many workers a leader has heard of late, when they are suspiciously few. */
  hearing(): { recent: number; known: number } | null {
    const { core } = this.owner;
    const now = steadyNow();
    const span = this.parts.settings.workers.reportS * 2500;
    if (now - core.config.acquiredAt < 2 * span) return null;
    let recent = 0;
    let known = 0;
    for (const m of core.machines.values()) {
      if (!m.everSeen) continue;
      known += 1;
      if (now - m.lastSeen < span) recent += 1;
    }
    return known >= 2 && recent * 3 < known ? { recent, known } : null;
  }

  // ---- operators ---------------------------------------------------------------------------------

  /** An extension's answer to a call, or null when none comes in time. */
  operate(extension: string, call: OperatorCall): Promise<OperatorAnswer | null> {
    if (this.authority() !== 'lead') return Promise.resolve(null);
    return this.operatorCalls.ask((ticket) =>
      this.owner.submit({ kind: 'operator-call', extension, call, ticket }),
    );
  }

  // ---- users -------------------------------------------------------------------------------------

  /** How an abort ended: the job's final state, null when the job is not known here, or 'late'. */
  abort(id: JobId): Promise<Outcome | null | 'late'> {
    return this.aborts.ask((ticket) => this.owner.submit({ kind: 'abort', job: id, ticket }));
  }
}
