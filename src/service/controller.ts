/** One controller: leads or follows, and answers users, workers and its peers. */

import * as v from 'valibot';
import { fromTimeOfDay, sleep, steadyNow } from '../adapters/clock.js';
import { CloudClient } from '../adapters/cloud-client.js';
import type { Log } from '../adapters/log.js';
import { Peer, type Question } from '../adapters/peer-link.js';
import type { Jitter } from '../adapters/random.js';
import type { Settings } from '../adapters/settings.js';
import { type Guard, StateClient, type Write } from '../adapters/state-client.js';
import type { JobView } from '../adapters/wire.js';
import { WorkerClient } from '../adapters/worker-client.js';
import { createCore } from '../core/state.js';
import {
  type Authority,
  type Command,
  type Effect,
  type Instant,
  type JobId,
  type JobSpec,
  type MachineId,
  type MachineType,
  type Millis,
  type NodeId,
  type Order,
  type Policy,
  type Report,
  type Revision,
  type SegmentKey,
  seconds,
  type TeamName,
  type Term,
  type Ticket,
} from '../core/types.js';
import { explainJob, viewJob } from '../core/view.js';
import { Election } from './election.js';
import { Owner } from './owner.js';
import { Persister } from './persister.js';
import {
  type FinalRecord,
  finalKey,
  JOBS,
  type JobRecord,
  jobKey,
  LEDGER,
  OLD_LEDGER,
  readFinal,
  readJob,
  readSegment,
  readTypes,
  TYPES_KEY,
} from './records.js';

/** Final states kept in memory; older ones are read from the state service again. */
const MAX_FINALS = 20_000;
/** Attempts on one machine: its report must fit a request of 64 KiB. */
const MAX_PER_MACHINE = 400;
const TICK_MS = 250;
/** A worker gives an answer up after 4 s. */
const TICKET_MS = 3700;
const PEER_MS = 700;
const ABORT_MS = 3000;
const LIST_EVERY_MS = 4000;
const TYPES_EVERY_MS = 60_000;
const GOSSIP_MS = 800;
/** After stepping aside for a peer, how long before campaigning again. */
const ASIDE_MS = 20_000;
const JOBS_FOLLOW_MS = 15_000;
/**
 * How the state service's limits are shared. Admissions may go beyond what the leader's batches leave: users come
 * first, and a batch that is refused for the rate is sent again a moment later.
 */
const BATCH_READS = 0.3;
const BATCH_WRITES = 0.4;
const READS_OF_ALL = 0.7;
const ADMISSIONS_OF_ALL = 1.25;
/** Tries at an admission that the state service turns away for its rate, within what a user waits for. */
const ADMIT_TRIES = 3;
const ADMIT_WAIT_MS = 500;
const ADMIT_MS = 1500;
const ALONE_MS = 1000;
/** Of all sockets, how many direct orders may use at a time. */
const ORDER_SOCKETS = 0.08;

export type Submitted =
  | { readonly kind: 'accepted' | 'known'; readonly view: JobView }
  | { readonly kind: 'malformed' | 'impossible'; readonly reason: string }
  | { readonly kind: 'later'; readonly reason: string };

export type Lookup = JobView | 'absent' | 'later';

const healthSchema = v.object({
  leader: v.nullable(v.string()),
  term: v.pipe(v.number(), v.integer()),
  workers: v.pipe(v.number(), v.integer()),
  state: v.optional(v.boolean(), false),
});

interface Health {
  readonly leader: NodeId | null;
  readonly term: Term;
  readonly workers: number;
  /** The state service answers it. */
  readonly state: boolean;
}

const readHealth = (answer: unknown): Health | null => {
  const r = v.safeParse(healthSchema, answer);
  return r.success ? (r.output as Health) : null;
};

const viewSchema = v.object({
  id: v.string(),
  team: v.string(),
  status: v.picklist(['queued', 'running', 'done', 'cancelled']),
  done: v.number(),
  running: v.number(),
  waiting: v.optional(v.string()),
});

/** A peer's word on a job; anything odd counts as no answer. */
const readView = (answer: unknown): JobView | null => {
  const r = v.safeParse(viewSchema, answer);
  return r.success ? (r.output as JobView) : null;
};

const admittedSchema = v.object({ kind: v.picklist(['accepted', 'known']), view: viewSchema });

interface Leadership {
  readonly term: Term;
  readonly owner: Owner;
  readonly persister: Persister;
}

const finalView = (id: JobId, f: FinalRecord): JobView => ({
  id,
  team: f.team,
  status: f.outcome,
  done: f.outcome === 'done' ? f.tasks : 0,
  running: 0,
});

export class Controller {
  readonly election: Election;
  private readonly state: StateClient;
  /** The leader's batches and admissions draw on separate shares of the write limit. */
  private readonly batchState: StateClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly peers = new Map<NodeId, Peer>();
  private readonly finals = new Map<JobId, FinalRecord>();
  private types: readonly MachineType[] | null = null;
  private leading: Leadership | null = null;
  private readonly answers = new Map<Ticket, (orders: readonly Order[] | null) => void>();
  private readonly aborts = new Map<Ticket, (outcome: FinalRecord['outcome'] | null | 'late') => void>();
  /** Workers that have turned to this node while it did not lead, and when. */
  private readonly turnedAway = new Map<MachineId, number>();
  /** Peers that the state service answered when they were last heard of, while it does not answer this node. */
  private helpers: readonly Peer[] = [];
  /** Since when neither the state service nor any peer answers. */
  private aloneSince: Instant | null = null;
  /** Workers turned away while this node was cut off from all but them, and when. */
  private readonly released = new Map<MachineId, number>();
  private nextTicket = 1;
  private turn = 0;
  private stopped = false;

  constructor(
    private readonly settings: Settings,
    private readonly policy: Policy,
    private readonly log: Log,
    private readonly jitter: Jitter,
  ) {
    const { rps, writeRps } = settings.stateLimits;
    const nodes = settings.peers.length + 1;
    this.workers = new WorkerClient(Math.max(10, Math.floor(settings.quota.maxConnections * ORDER_SOCKETS)));
    this.state = new StateClient(settings.state, {
      rps: (rps * READS_OF_ALL) / nodes,
      writeRps: (writeRps * ADMISSIONS_OF_ALL) / nodes,
    });
    this.batchState = new StateClient(settings.state, {
      rps: rps * BATCH_READS,
      writeRps: writeRps * BATCH_WRITES,
    });
    this.cloud = new CloudClient(settings.cloud, settings.cloudLimits.rps);
    for (const peer of settings.peers) this.peers.set(peer.node, new Peer(peer.node, peer.at));
    this.election = new Election(
      settings.node,
      this.state,
      policy.leaderLeaseMs,
      { acquired: (term, at) => this.lead(term, at), lost: () => this.follow() },
      log,
      jitter,
    );
  }

  start(): void {
    this.spawn('election', () => this.election.run());
    this.spawn('types', () => this.readTypes());
    this.spawn('gossip', () => this.gossip());
  }

  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.follow();
    this.state.close();
    this.batchState.close();
    this.cloud.close();
    for (const peer of this.peers.values()) peer.close();
  }

  private spawn(name: string, work: () => Promise<void>): void {
    work().catch((error: Error) => {
      // A loop that ends takes its duty with it: better to start afresh than to limp on.
      this.log.error({ err: error, loop: name }, 'loop ended');
      if (!this.stopped) process.exit(1);
    });
  }

  // ---- leading -----------------------------------------------------------------------------------

  private keepAliveMs(): Millis {
    const { cancelS, leaseS } = this.settings.workers;
    return seconds(Math.min(60, Math.max(0, cancelS - leaseS - 3)));
  }

  authority(): Authority {
    if (!this.leading || this.election.term !== this.leading.term) return 'none';
    const now = steadyNow();
    if (now < this.election.validUntil) return 'lead';
    return now < this.election.validUntil + this.keepAliveMs() ? 'keep-alive' : 'none';
  }

  private lead(term: Term, acquiredAt: Instant): void {
    const { workers, cloudLimits, stateLimits, teams } = this.settings;
    const core = createCore({
      term,
      acquiredAt,
      teams,
      policy: this.policy,
      reportMs: seconds(workers.reportS),
      leaseMs: seconds(workers.leaseS),
      keepAliveMs: this.keepAliveMs(),
      listLagMs: seconds(cloudLimits.listLagS),
      txnOps: stateLimits.txnOps,
      valueBytes: stateLimits.valueBytes,
      maxPerMachine: MAX_PER_MACHINE,
    });
    const owner = new Owner(
      core,
      () => this.authority(),
      (effect) => this.carryOut(effect),
      steadyNow,
      this.settings.quota.cores,
    );
    const persister = new Persister(this.batchState, term, this.log, this.jitter);
    const leading: Leadership = { term, owner, persister };
    this.leading = leading;
    this.spawn('takeover', () => this.takeOver(leading));
  }

  private follow(): void {
    const was = this.leading;
    this.leading = null;
    this.released.clear();
    if (!was) return;
    was.owner.stop();
    was.persister.stop();
    for (const resolve of this.answers.values()) resolve(null);
    this.answers.clear();
    for (const resolve of this.aborts.values()) resolve('late');
    this.aborts.clear();
  }

  private isLeading(leading: Leadership): boolean {
    return !this.stopped && this.leading === leading;
  }

  private async readAll(leading: Leadership, prefix: string) {
    while (this.isLeading(leading)) {
      const all = await this.batchState.listAll(prefix);
      if (typeof all === 'object') return all;
      await sleep(this.jitter.around(200));
    }
    return null;
  }

  private async takeOver(leading: Leadership): Promise<void> {
    const { stamps } = leading.persister;
    // Only a leader writes the ledger, and none but this one can any more; of jobs accepted meanwhile the watch tells.
    const all = await Promise.all([JOBS, LEDGER, OLD_LEDGER].map((prefix) => this.readAll(leading, prefix)));
    const [jobs, ledger, old] = all;
    if (!jobs || !ledger || !old || !this.isLeading(leading)) return;
    const commands: Command[] = [];
    if (this.types) commands.push({ kind: 'types', types: this.types });
    for (const item of jobs.items) this.jobFrom(leading, item.key, item.value, item.revision, commands);
    const entered: Command[] = [];
    for (const { key, value, revision } of [...ledger.items, ...old.items]) {
      stamps.set(key, revision);
      const segment = key as SegmentKey;
      const record = readSegment(value);
      if (!record) {
        this.log.error({ key }, 'unreadable record');
        commands.push({ kind: 'unreadable', segment });
        continue;
      }
      for (const row of record.progress) commands.push({ kind: 'progress', segment, ...row });
      for (const row of record.machines) entered.push({ kind: 'ledger', segment, ...row });
    }
    // What is done first: an attempt of a task that is done needs no second look.
    commands.push(...entered);
    commands.push({ kind: 'loaded' });
    this.log.info({ jobs: jobs.items.length, records: ledger.items.length }, 'took over');
    leading.owner.start(commands);
    this.spawn('jobs', () => this.watchJobs(leading, jobs.revision));
    this.spawn('ticks', () => this.ticks(leading));
    this.spawn('machines', () => this.watchMachines(leading));
  }

  private jobFrom(
    leading: Leadership,
    key: string,
    value: unknown,
    revision: Revision,
    out: Command[],
  ): void {
    const record = readJob(value);
    if (!record || key !== jobKey(record.spec.id)) {
      this.log.error({ key }, 'unreadable record');
      return;
    }
    leading.persister.stamps.set(key, revision);
    out.push({ kind: 'job', spec: record.spec, submittedAt: fromTimeOfDay(record.at) });
  }

  /** Jobs that other nodes accept show up as changes under their prefix. */
  private async watchJobs(leading: Leadership, from: Revision): Promise<void> {
    let revision = from;
    while (this.isLeading(leading)) {
      const result = await this.batchState.follow(JOBS, revision, JOBS_FOLLOW_MS);
      if (!this.isLeading(leading)) return;
      const commands: Command[] = [];
      if (typeof result === 'object') {
        revision = result.revision;
        for (const c of result.changes) {
          if ('value' in c) this.jobFrom(leading, c.key, c.value, c.revision, commands);
        }
      } else if (result === 'too-old') {
        const all = await this.readAll(leading, JOBS);
        if (!all) return;
        revision = all.revision;
        for (const item of all.items) this.jobFrom(leading, item.key, item.value, item.revision, commands);
      } else await sleep(this.jitter.around(200));
      for (const command of commands) {
        // A change of before this leader finished the job says nothing new.
        if (command.kind === 'job' && this.finals.has(command.spec.id)) continue;
        leading.owner.submit(command);
      }
    }
  }

  private async ticks(leading: Leadership): Promise<void> {
    while (this.isLeading(leading)) {
      leading.owner.submit({ kind: 'tick' });
      await sleep(TICK_MS);
    }
  }

  private async watchMachines(leading: Leadership): Promise<void> {
    let typesAt = 0;
    while (this.isLeading(leading)) {
      const askedAt = steadyNow();
      if (this.authority() === 'lead') {
        const machines = await this.cloud.list();
        if (machines) leading.owner.submit({ kind: 'listed', askedAt, machines });
        if (steadyNow() - typesAt > TYPES_EVERY_MS || !this.types) {
          const types = await this.cloud.types();
          if (types) {
            typesAt = steadyNow();
            this.types = types;
            leading.owner.submit({ kind: 'types', types });
          }
        }
      }
      await sleep(LIST_EVERY_MS);
    }
  }

  /** Every node needs the machine types to judge submissions: from the state service, else the cloud. */
  private async readTypes(): Promise<void> {
    while (!this.stopped && !this.types) {
      const [stored, fresh] = await Promise.all([this.state.get(TYPES_KEY), this.cloud.types()]);
      this.types ??= fresh ?? (typeof stored === 'object' ? readTypes(stored.value) : null);
      if (fresh && stored === 'absent') {
        await this.state.txn(
          [{ key: TYPES_KEY, revision: 0 as Revision }],
          [{ put: TYPES_KEY, value: fresh }],
        );
      }
      if (this.types) this.leading?.owner.submit({ kind: 'types', types: this.types });
      else await sleep(this.jitter.around(700));
    }
  }

  /**
   * What the state service does not tell a node. A leader cut off from it learns here that another leads, so that
   * workers do not stay with it; one cut off from the workers alone steps aside for a peer that hears them.
   */
  private async gossip(): Promise<void> {
    while (!this.stopped) {
      await sleep(this.jitter.around(GOSSIP_MS));
      const leading = this.leading;
      const leads = leading !== null && this.authority() === 'lead';
      if (!this.state.down) this.aloneSince = null;
      if (!leading && !this.state.down) continue;
      const heard = leads ? this.hearing(leading) : null;
      if (leads && !heard && !this.state.down) continue;
      const peers = [...this.peers.values()];
      const answers = await Promise.all(peers.map((peer) => peer.ask({ ask: 'health' }, PEER_MS)));
      const told = answers.map(readHealth);
      this.helpers = peers.filter((_, i) => told[i]?.state);
      const alone = told.length > 0 && told.every((health) => health === null);
      if (this.state.down && alone) this.aloneSince ??= steadyNow();
      else this.aloneSince = null;
      if (this.leading !== leading) continue;
      let most = 0;
      for (const health of told) {
        if (!health) continue;
        most = Math.max(most, health.workers);
        if (!leads && health.leader !== null) this.election.hear(health.leader, health.term);
      }
      if (heard && most > heard.recent) {
        this.log.info(
          { ...heard, peerHears: most },
          'workers reach a peer but not this leader: stepping aside',
        );
        this.election.resign(ASIDE_MS);
      }
    }
  }

  /** How many workers a leader has heard of late, when they are suspiciously few. */
  private hearing(leading: Leadership): { recent: number; known: number } | null {
    const { core } = leading.owner;
    const now = steadyNow();
    const span = this.settings.workers.reportS * 2500;
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

  private health(): Health {
    const now = steadyNow();
    const span = this.settings.workers.reportS * 2500;
    for (const [id, at] of this.turnedAway) if (now - at > span) this.turnedAway.delete(id);
    return {
      leader: this.election.leaderNode,
      term: this.election.knownTerm,
      workers: this.turnedAway.size,
      state: !this.state.down,
    };
  }

  // ---- effects -----------------------------------------------------------------------------------

  private carryOut(effect: Effect): void {
    const leading = this.leading;
    if (!leading) return;
    const entitled = () => this.isLeading(leading) && this.authority() === 'lead';
    switch (effect.kind) {
      case 'answer': {
        const resolve = this.answers.get(effect.ticket);
        this.answers.delete(effect.ticket);
        resolve?.(effect.orders);
        return;
      }
      case 'settled': {
        const resolve = this.aborts.get(effect.ticket);
        this.aborts.delete(effect.ticket);
        resolve?.(effect.outcome);
        return;
      }
      case 'final':
        this.remember(effect.job, effect);
        this.log.info({ job: effect.job, outcome: effect.outcome }, 'job over');
        return;
      case 'save':
        this.spawn('save', async () => {
          const stored = await leading.persister.save(effect.ops);
          if (!this.isLeading(leading)) return;
          if (stored) leading.owner.submit({ kind: 'saved', batch: effect.batch });
          else this.election.deposed();
        });
        return;
      case 'rent':
        this.spawn('rent', async () => {
          const { request, type, zone, spot, count } = effect;
          const result = await this.cloud.rent(request, type, zone, spot, count, entitled);
          const outcome = typeof result === 'string' ? result : 'ok';
          const machines = typeof result === 'string' ? [] : result;
          this.log.info({ request, type, zone, spot, count, outcome, machines }, 'rent');
          leading.owner.submit({ kind: 'rented', request, result: outcome, machines });
        });
        return;
      case 'delete':
        this.spawn('delete', async () => {
          const ok = await this.cloud.delete(effect.machines, entitled);
          this.log.info({ machines: effect.machines, ok }, 'return machines');
          leading.owner.submit({ kind: 'deleted', machines: effect.machines, ok });
        });
        return;
      case 'orders':
        this.spawn('orders', async () => {
          const { endpoint, session, orders } = effect;
          const report = await this.workers.orders(endpoint, leading.term, session, orders);
          if (!report || !this.isLeading(leading) || report.machine !== effect.machine) return;
          if (report.term > leading.term) this.election.deposed();
          else leading.owner.submit({ kind: 'report', report, ticket: null });
        });
        return;
      case 'note':
        this.log[effect.level](effect.fields, effect.text);
    }
  }

  private remember(id: JobId, { outcome, tasks, team }: FinalRecord): void {
    this.finals.set(id, { outcome, tasks, team });
    if (this.finals.size > MAX_FINALS) {
      const oldest = this.finals.keys().next().value;
      if (oldest !== undefined) this.finals.delete(oldest);
    }
  }

  // ---- workers -----------------------------------------------------------------------------------

  /** The orders for a worker; or the leader to turn to; or null for "not now". */
  async checkIn(
    report: Report,
  ): Promise<
    | { readonly kind: 'orders'; readonly term: Term; readonly orders: readonly Order[] }
    | { readonly kind: 'elsewhere'; readonly leader: NodeId | null }
    | { readonly kind: 'later' }
  > {
    const leading = this.leading;
    if (!leading) {
      this.turnedAway.set(report.machine, steadyNow());
      const leader = this.election.leaderNode;
      return { kind: 'elsewhere', leader: leader === this.settings.node ? null : leader };
    }
    if (report.term > leading.term) {
      this.log.info({ machine: report.machine, term: report.term }, 'a worker has seen a higher term');
      this.election.deposed();
      return { kind: 'elsewhere', leader: null };
    }
    const authority = this.authority();
    if (authority === 'none') return { kind: 'elsewhere', leader: null };
    if (authority === 'keep-alive' && this.isAlone() && this.release(report.machine)) {
      return { kind: 'elsewhere', leader: null };
    }
    const ticket = this.nextTicket++ as Ticket;
    const orders = await new Promise<readonly Order[] | null>((resolve) => {
      const timer = setTimeout(() => {
        this.answers.delete(ticket);
        resolve(null);
      }, TICKET_MS);
      this.answers.set(ticket, (given) => {
        clearTimeout(timer);
        resolve(given);
      });
      leading.owner.submit({ kind: 'report', report, ticket });
    });
    if (!orders || !this.isLeading(leading)) return { kind: 'later' };
    // The process may have stood still since the orders were decided: right and time are looked at again as they go out.
    const now = this.authority();
    if (now === 'none') return { kind: 'later' };
    return { kind: 'orders', term: leading.term, orders: now === 'lead' ? orders : [] };
  }

  /**
   * Cut off from the state service and all peers, this node is most likely the one that is cut off, and another leads or
   * soon will: it holds no worker that can go there. One that comes back well within its lease has found nobody, and is
   * kept alive here.
   */
  private release(machine: MachineId): boolean {
    const now = steadyNow();
    const last = this.released.get(machine);
    if (last !== undefined && now - last < this.settings.workers.leaseS * 750) return false;
    this.released.set(machine, now);
    return true;
  }

  private isAlone(): boolean {
    return this.aloneSince !== null && steadyNow() - this.aloneSince > ALONE_MS;
  }

  // ---- users -------------------------------------------------------------------------------------

  /** A node that reaches neither the state service nor a peer can do nothing for users. */
  ready(): boolean {
    return this.types !== null && !this.isAlone();
  }

  private fault(spec: JobSpec): { kind: 'impossible'; reason: string } | null {
    const team = this.settings.teams.get(spec.team);
    const no = (reason: string) => ({ kind: 'impossible' as const, reason });
    if (!team) return no(`unknown team ${spec.team}`);
    if (spec.cpus > team.cpusMax || spec.gpus > team.gpusMax) return no("a task exceeds the team's limit");
    const fits = (this.types ?? []).some(
      (t) =>
        (!spec.types || spec.types.includes(t.name)) &&
        (spec.zone === null || t.zones.includes(spec.zone)) &&
        spec.cpus <= t.cpus &&
        spec.gpus <= t.gpus &&
        spec.memoryGb <= t.memoryGb,
    );
    return fits ? null : no('no allowed machine type fits a task');
  }

  /** `parsed` is the job, or what is wrong with the body; an accepted id is answered as known either way. */
  async submit(id: JobId, parsed: JobSpec | { readonly fault: string }): Promise<Submitted> {
    const known = this.localView(id);
    if (known) return { kind: 'known', view: known };
    if ('fault' in parsed) return this.refuse(id, { kind: 'malformed', reason: parsed.fault });
    if (!this.types) return { kind: 'later', reason: 'machine types not known yet' };
    const fault = this.fault(parsed);
    if (fault) return this.refuse(id, fault);
    const record: JobRecord = { at: Date.now(), spec: parsed };
    if (Buffer.byteLength(JSON.stringify(record)) > this.settings.stateLimits.valueBytes) {
      return { kind: 'malformed', reason: 'description too large' };
    }
    return this.state.down ? this.admitElsewhere(record, this.helper()) : this.admit(record, true);
  }

  private async admit(record: JobRecord, mayAsk: boolean): Promise<Submitted> {
    const { id, team } = record.spec;
    const key = jobKey(id);
    const none = 0 as Revision;
    const guards: Guard[] = [
      { key, revision: none },
      { key: finalKey(id), revision: none },
    ];
    const writes: Write[] = [{ put: key, value: record }];
    const write = () => this.state.txn(guards, writes, ADMIT_WAIT_MS, ADMIT_MS);
    let result = await write();
    for (let i = 1; i < ADMIT_TRIES && result === 'refused' && !this.state.down; i += 1) {
      // The load balancer does not spread users evenly: a peer may have some of its share of the rate left.
      if (mayAsk && i === 1) {
        const peers = [...this.peers.values()];
        const peer = peers[this.turn++ % Math.max(1, peers.length)] ?? null;
        const elsewhere = await this.admitElsewhere(record, peer);
        if (elsewhere.kind !== 'later') return elsewhere;
      } else await sleep(this.jitter.around(150));
      result = await write();
    }
    if (typeof result === 'object') {
      const leading = this.leading;
      if (leading) {
        leading.persister.stamps.set(key, result.revision);
        leading.owner.submit({ kind: 'job', spec: record.spec, submittedAt: fromTimeOfDay(record.at) });
      }
      return { kind: 'accepted', view: { id, team, status: 'queued', done: 0, running: 0 } };
    }
    if (result === 'conflict' || (result === 'unknown' && !this.state.down)) {
      const view = await this.storedView(id);
      if (typeof view === 'object') return { kind: 'known', view };
    }
    return { kind: 'later', reason: 'state service away' };
  }

  /** Cut off from the state service alone, a node has a peer write the job; it says 201 only on that peer's word. */
  private async admitElsewhere(record: JobRecord, helper: Peer | null): Promise<Submitted> {
    const answer = await helper?.ask({ ask: 'admit', record }, ADMIT_MS);
    const r = v.safeParse(admittedSchema, answer);
    if (r.success && r.output.view.id === record.spec.id) return r.output as Submitted;
    return { kind: 'later', reason: 'state service away' };
  }

  /** The leader if it can help, since it knows best; else any peer that can. */
  private helper(): Peer | null {
    const leader = this.helpers.find((peer) => peer.node === this.election.leaderNode);
    return leader ?? this.helpers[0] ?? null;
  }

  /** A bad repeat of an accepted job is still answered with the job. */
  private async refuse(
    id: JobId,
    answer: { kind: 'malformed' | 'impossible'; reason: string },
  ): Promise<Submitted> {
    const view = await this.lookUp(id);
    if (view === 'later') return { kind: 'later', reason: 'state service away' };
    return view === 'absent' ? answer : { kind: 'known', view };
  }

  /** What this node may say by itself: final states, and as leader with a valid lease all it knows. */
  private localView(id: JobId): JobView | null {
    const final = this.finals.get(id);
    if (final) return finalView(id, final);
    if (this.leading && this.authority() === 'lead') {
      const view = viewJob(this.leading.owner.core, id, steadyNow());
      if (view) return view;
    }
    return null;
  }

  private async storedView(id: JobId): Promise<Lookup> {
    // In this order: a job's record and its final one change places in a single transaction.
    const job = await this.state.get(jobKey(id));
    if (typeof job === 'object') {
      // A record that cannot be read still says that the job was accepted.
      const team = readJob(job.value)?.spec.team ?? ('' as TeamName);
      return { id, team, status: 'queued', done: 0, running: 0, waiting: 'no leader to ask' };
    }
    if (job !== 'absent') return 'later';
    const final = await this.state.get(finalKey(id));
    if (typeof final === 'object') {
      const record = readFinal(final.value);
      if (!record) return 'later';
      this.remember(id, record);
      return finalView(id, record);
    }
    return final === 'absent' ? 'absent' : 'later';
  }

  async lookUp(id: JobId): Promise<Lookup> {
    const local = this.localView(id);
    if (local) return local;
    const leader = this.leaderPeer();
    if (leader) {
      const answer = readView(await leader.ask({ ask: 'status', job: id }, PEER_MS));
      if (answer?.id === id) {
        if (answer.status === 'done' || answer.status === 'cancelled') {
          this.remember(id, { outcome: answer.status, tasks: answer.done, team: answer.team });
        }
        return answer;
      }
    }
    if (!this.state.down) return this.storedView(id);
    const elsewhere = await this.helper()?.ask({ ask: 'look', job: id }, PEER_MS);
    if (elsewhere === 'absent') return 'absent';
    const view = readView(elsewhere);
    return view?.id === id ? view : 'later';
  }

  private leaderPeer(): Peer | null {
    const node = this.election.leaderNode;
    return node === null || this.leading ? null : (this.peers.get(node) ?? null);
  }

  async abort(id: JobId): Promise<Lookup> {
    const final = this.finals.get(id);
    if (final) return finalView(id, final);
    if (this.leading) return this.abortHere(id);
    const leader = this.leaderPeer();
    if (leader) {
      const answer = readView(await leader.ask({ ask: 'abort', job: id }, ABORT_MS));
      if (answer?.id === id && (answer.status === 'done' || answer.status === 'cancelled')) {
        this.remember(id, { outcome: answer.status, tasks: answer.done, team: answer.team });
        return answer;
      }
    }
    const view = await this.storedView(id);
    if (typeof view === 'object' && (view.status === 'queued' || view.status === 'running')) return 'later';
    return view;
  }

  private async abortHere(id: JobId): Promise<Lookup> {
    const leading = this.leading;
    if (!leading || this.authority() !== 'lead') return 'later';
    for (let round = 0; round < 2; round += 1) {
      const ticket = this.nextTicket++ as Ticket;
      const outcome = await new Promise<FinalRecord['outcome'] | null | 'late'>((resolve) => {
        const timer = setTimeout(() => {
          this.aborts.delete(ticket);
          resolve('late');
        }, ABORT_MS - 300);
        this.aborts.set(ticket, (o) => {
          clearTimeout(timer);
          resolve(o);
        });
        leading.owner.submit({ kind: 'abort', job: id, ticket });
      });
      if (outcome === 'late') return 'later';
      if (outcome !== null) {
        const record = this.finals.get(id);
        return record ? finalView(id, record) : this.storedView(id);
      }
      // Not known here: over, never accepted, or accepted elsewhere a moment ago.
      const item = await this.state.get(jobKey(id));
      if (typeof item !== 'object') break;
      const commands: Command[] = [];
      this.jobFrom(leading, item.key, item.value, item.revision, commands);
      for (const command of commands) leading.owner.submit(command);
    }
    const view = await this.storedView(id);
    return typeof view === 'object' && view.status === 'queued' ? 'later' : view;
  }

  // ---- peers -------------------------------------------------------------------------------------

  async respond(question: Question): Promise<unknown> {
    const job = question.job as JobId | undefined;
    switch (question.ask) {
      case 'status':
        return job ? this.localView(job) : null;
      case 'abort':
        return job && this.leading ? this.abortHere(job) : 'later';
      case 'explain':
        return job ? this.explainHere(job) : null;
      case 'list':
        return question.team ? this.listHere(question.team as TeamName) : null;
      case 'health':
        return this.health();
      case 'look':
        return job ? (this.localView(job) ?? this.storedView(job)) : null;
      case 'admit': {
        const record = readJob(question.record);
        return record && !this.state.down ? this.admit(record, false) : null;
      }
    }
  }

  private explainHere(id: JobId) {
    if (!this.leading || this.authority() !== 'lead') return null;
    const told = explainJob(this.leading.owner.core, id, steadyNow());
    return told ? { ...told, cloud: this.cloud.away ? 'away' : 'ok', state: 'ok' } : null;
  }

  private listHere(team: TeamName): JobView[] | null {
    if (!this.leading || this.authority() !== 'lead') return null;
    const { core } = this.leading.owner;
    const views: JobView[] = [];
    for (const job of core.jobs.values()) {
      if (job.spec.team !== team || views.length >= 200) continue;
      const view = viewJob(core, job.spec.id, steadyNow());
      if (view) views.push(view);
    }
    return views;
  }

  async explain(id: JobId): Promise<unknown> {
    const here = this.explainHere(id);
    if (here) return here;
    const answer = await this.leaderPeer()?.ask({ ask: 'explain', job: id }, PEER_MS);
    if (answer) return answer;
    if (!this.state.down) return null;
    return { id, waiting: 'the state service is away: nothing starts until it is back', state: 'away' };
  }

  async list(team: TeamName): Promise<readonly JobView[] | null> {
    const here = this.listHere(team);
    if (here) return here;
    const answer = await this.leaderPeer()?.ask({ ask: 'list', team }, PEER_MS);
    return Array.isArray(answer) ? answer.map(readView).filter((view) => view !== null) : null;
  }
}
