/** One term of leadership: the takeover, what the leader watches, and what its decisions set in motion. */
import { fromTimeOfDay, sleep, steadyNow } from '../adapters/runtime/clock.js';
import { createCore } from '../core/core-state.js';
import type { OperatorAnswer, OperatorCall } from '../core/extensions/extension.js';
import { ExtensionHost } from '../core/extensions/extension-host.js';
import { graceAfterLeaseLoss } from '../core/lifecycle/worker-leases.js';
import type { Command } from '../core/model/command.js';
import type { Authority, Effect } from '../core/model/effect.js';
import type { ExtensionRecord } from '../core/model/extension-record.js';
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { FencingToken, JobId, MachineId, Revision, SegmentKey } from '../core/model/ids.js';
import type { JobOutcome } from '../core/model/job.js';
import { type Instant, type Millis, seconds } from '../core/model/time.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import { BatchWriter } from './batch-writer.js';
import { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import type { LeaderElection } from './leader-election.js';
import { PendingReplies, TicketCounter } from './pending-replies.js';
import type { HeartbeatDecision } from './ports/heartbeat-service.js';
import {
  decodeJob,
  decodeSegment,
  extensionPrefix,
  FIRST_VERSION_LEDGER_PREFIX,
  JOB_PREFIX,
  type JobCompletion,
  type JobRecord,
  jobKey,
  LEDGER_PREFIX,
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

const REDIRECT: HeartbeatDecision = { kind: 'redirect', leader: null };
const UNAVAILABLE: HeartbeatDecision = { kind: 'unavailable' };

/** How a cancellation ended on the leader. */
export type CancellationOutcome =
  /** The job's end is stored. */
  | { readonly kind: 'ended'; readonly outcome: JobOutcome }
  /** The leader does not know it as unfinished: it is over, was never accepted, or was accepted elsewhere a moment ago. */
  | { readonly kind: 'unknown-job' }
  /** Its end may still be stored. */
  | { readonly kind: 'timed-out' };

export interface LeaderTermEvents {
  /** A job's end is stored. */
  onJobEnded(id: JobId, final: JobCompletion): void;
  /** Neither the state service nor any peer answers this node. */
  isIsolated(): boolean;
}

export class LeaderTerm {
  readonly commandLoop: CommandLoop;
  private readonly persister: BatchWriter;
  private readonly tickets = new TicketCounter();
  private readonly checkIns = new PendingReplies<readonly WorkerCommand[] | null>(
    this.tickets,
    TICKET_MS,
    null,
  );
  private readonly operatorCalls = new PendingReplies<OperatorAnswer | null>(
    this.tickets,
    OPERATE_MS,
    null,
  );
  private readonly aborts = new PendingReplies<CancellationOutcome>(this.tickets, ABORT_MS, {
    kind: 'timed-out',
  });
  /** Workers turned away while this node was cut off from all but them, and when. */
  private readonly redirectedWorkers = new Map<MachineId, number>();
  /** When jobs came in, of late. */
  private arrivals: Instant[] = [];
  private current = true;
  private readonly keepAliveMs: Millis;

  constructor(
    private readonly dependencies: Dependencies,
    readonly fencingToken: FencingToken,
    acquiredAt: Instant,
    private readonly election: LeaderElection,
    private readonly events: LeaderTermEvents,
  ) {
    const { workers, cloudLimits, keyValueStoreLimits, teams, quota } = dependencies.settings;
    this.keepAliveMs = graceAfterLeaseLoss(seconds(workers.cancelS), seconds(workers.leaseS));
    const core = createCore({
      fencingToken,
      acquiredAt,
      teams,
      policy: dependencies.policy,
      heartbeatIntervalMs: seconds(workers.heartbeatIntervalS),
      workerLeaseMs: seconds(workers.leaseS),
      graceAfterLeaseLossMs: this.keepAliveMs,
      listLagMs: seconds(cloudLimits.listLagS),
      maxTransactionOperations: keyValueStoreLimits.maxTransactionOperations,
      storeWritesPerSecond: keyValueStoreLimits.nextWriteRps,
      maxValueBytes: keyValueStoreLimits.maxValueBytes,
      maxAttemptsPerMachine: MAX_PER_MACHINE,
      timeOfDayOffsetMs: Date.now() - steadyNow(),
    });
    if (dependencies.extensions.length > 0) {
      core.extensions = new ExtensionHost(
        core,
        dependencies.extensions.map((module) => module.create()),
      );
    }
    this.commandLoop = new CommandLoop({
      core,
      authority: () => this.authority(),
      runEffect: (effect) => this.runEffect(effect),
      cores: quota.cores,
    });
    this.persister = new BatchWriter(
      dependencies.batchStore,
      fencingToken,
      dependencies.log,
      dependencies.jitter,
      keyValueStoreLimits.maxTransactionOperations,
    );
  }

  start(): void {
    this.dependencies.spawn('takeover', () => this.recoverState());
  }

  stop(): void {
    this.current = false;
    this.commandLoop.stop();
    this.persister.stop();
    this.checkIns.close();
    this.aborts.close();
    this.operatorCalls.close();
  }

  authority(): Authority {
    if (!this.current || this.election.fencingToken !== this.fencingToken) return 'none';
    const now = steadyNow();
    if (now < this.election.leaseValidUntil) return 'lead';
    return now < this.election.leaseValidUntil + this.keepAliveMs ? 'keep-alive' : 'none';
  }

  // ---- takeover and watches ----------------------------------------------------------------------

  private async readAll(prefix: string) {
    while (this.current) {
      const all = await this.dependencies.batchStore.listAll(prefix);
      if (typeof all === 'object') return all;
      await sleep(this.dependencies.jitter.around(200));
    }
    return null;
  }

  private async recoverState(): Promise<void> {
    const { keyRevisions } = this.persister;
    // Only a leader writes the ledger, and none but this one can any more; of jobs accepted meanwhile the watch tells.
    const all = await Promise.all(
      [JOB_PREFIX, LEDGER_PREFIX, FIRST_VERSION_LEDGER_PREFIX].map((prefix) =>
        this.readAll(prefix),
      ),
    );
    const [jobs, ledger, old] = all;
    if (!jobs || !ledger || !old || !this.current) return;
    const commands: Command[] = [];
    if (this.dependencies.machineTypes)
      commands.push({ kind: 'machine-types', types: this.dependencies.machineTypes });
    for (const item of jobs.items)
      this.addJobFromRecord(item.key, item.value, item.revision, commands);
    const entered: Command[] = [];
    for (const { key, value, revision } of [...ledger.items, ...old.items]) {
      keyRevisions.set(key, revision);
      const segment = key as SegmentKey;
      const record = decodeSegment(value);
      if (!record) {
        this.dependencies.log.error({ key }, 'unreadable record');
        commands.push({ kind: 'unreadable-segment', segment });
        continue;
      }
      for (const row of record.progress)
        commands.push({ kind: 'recovered-progress', segment, ...row });
      for (const row of record.machines)
        entered.push({ kind: 'recovered-attempts', segment, ...row });
    }
    // What is done first: an attempt of a task that is done needs no second look.
    commands.push(...entered);
    for (const { name } of this.dependencies.extensions) {
      const records = await this.readExtension(name);
      if (!records) return;
      commands.push({ kind: 'extension-records', extension: name, records });
    }
    commands.push({ kind: 'recovery-completed' });
    this.dependencies.log.info(
      { jobs: jobs.items.length, records: ledger.items.length },
      'took over',
    );
    this.commandLoop.start(commands);
    this.dependencies.spawn('jobs', () => this.watchJobs(jobs.revision));
    this.dependencies.spawn('ticks', () => this.ticks());
    this.dependencies.spawn('machines', () => this.watchMachines());
  }

  private async readExtension(name: string): Promise<ExtensionRecord[] | null> {
    const prefix = extensionPrefix(name);
    const stored = await this.readAll(prefix);
    if (!stored || !this.current) return null;
    return stored.items.map(({ key, value, revision }) => {
      this.persister.keyRevisions.set(key, revision);
      return { key: key.slice(prefix.length), value };
    });
  }

  private addJobFromRecord(key: string, value: unknown, revision: Revision, out: Command[]): void {
    const record = decodeJob(value);
    if (!record || key !== jobKey(record.spec.id)) {
      this.dependencies.log.error({ key }, 'unreadable record');
      return;
    }
    this.addJobCommand(record, revision, out);
  }

  /** It may be older than the job's end, which the core knows. */
  private addJobCommand(record: JobRecord, revision: Revision, out: Command[]): void {
    this.persister.keyRevisions.set(jobKey(record.spec.id), revision);
    this.arrivals.push(steadyNow());
    out.push({ kind: 'job', spec: record.spec, submittedAt: fromTimeOfDay(record.acceptedAt) });
  }

  /** A job that this very node has just stored. */
  addAdmittedJob(record: JobRecord, revision: Revision): void {
    const commands: Command[] = [];
    this.addJobCommand(record, revision, commands);
    for (const command of commands) this.commandLoop.submit(command);
  }

  /** A job that the state service holds and this leader did not know yet. */
  addStoredJob(key: string, value: unknown, revision: Revision): void {
    const commands: Command[] = [];
    this.addJobFromRecord(key, value, revision, commands);
    for (const command of commands) this.commandLoop.submit(command);
  }

  /** Jobs that other nodes accept show up as changes under their prefix. */
  private async watchJobs(from: Revision): Promise<void> {
    let revision = from;
    while (this.current) {
      const result = await this.dependencies.batchStore.watch(JOB_PREFIX, revision, JOBS_FOLLOW_MS);
      if (!this.current) return;
      const commands: Command[] = [];
      if (typeof result === 'object') {
        revision = result.revision;
        for (const c of result.changes) {
          if ('value' in c) this.addJobFromRecord(c.key, c.value, c.revision, commands);
        }
      } else if (result === 'too-old') {
        const all = await this.readAll(JOB_PREFIX);
        if (!all) return;
        revision = all.revision;
        for (const item of all.items)
          this.addJobFromRecord(item.key, item.value, item.revision, commands);
      } else await sleep(this.dependencies.jitter.around(200));
      for (const command of commands) this.commandLoop.submit(command);
    }
  }

  private async ticks(): Promise<void> {
    while (this.current) {
      this.adjustWriteShare();
      this.commandLoop.submit({ kind: 'tick' });
      await sleep(TICK_MS);
    }
  }

  /** What admissions leave of the write limit, by the jobs that came in of late, is the batches'. */
  private adjustWriteShare(): void {
    const now = steadyNow();
    this.arrivals = this.arrivals.filter((at) => now - at < ARRIVALS_MS);
    const { writeRps } = this.dependencies.settings.keyValueStoreLimits;
    const admissions = (this.arrivals.length * 1000) / ARRIVALS_MS / writeRps;
    const share = Math.min(
      MOST_BATCH_WRITES,
      Math.max(BATCH_WRITES, MOST_BATCH_WRITES - admissions),
    );
    this.dependencies.batchStore.scaleWrites(share / BATCH_WRITES);
  }

  private async watchMachines(): Promise<void> {
    let typesAt = 0;
    while (this.current) {
      const askedAt = steadyNow();
      if (this.authority() === 'lead') {
        const machines = await this.dependencies.cloud.listMachines();
        if (machines) this.commandLoop.submit({ kind: 'machines-listed', askedAt, machines });
        if (steadyNow() - typesAt > TYPES_EVERY_MS || !this.dependencies.machineTypes) {
          const types = await this.dependencies.cloud.listMachineTypes();
          if (types) {
            typesAt = steadyNow();
            this.dependencies.machineTypes = types;
            this.commandLoop.submit({ kind: 'machine-types', types });
          }
        }
      }
      await sleep(Math.max(LIST_EVERY_MS, this.dependencies.cloud.listPauseMs));
    }
  }

  // ---- effects -----------------------------------------------------------------------------------

  private runEffect(effect: Effect): void {
    if (!this.current) return;
    const entitled = () => this.current && this.authority() === 'lead';
    switch (effect.kind) {
      case 'reply-to-heartbeat':
        return this.checkIns.settle(effect.ticket, effect.commands);
      case 'operator-answer':
        return this.operatorCalls.settle(effect.ticket, effect.answer);
      case 'cancellation-settled':
        return this.aborts.settle(
          effect.ticket,
          effect.outcome === null
            ? { kind: 'unknown-job' }
            : { kind: 'ended', outcome: effect.outcome },
        );
      case 'job-ended':
        this.events.onJobEnded(effect.job, effect);
        this.dependencies.log.info({ job: effect.job, outcome: effect.outcome }, 'job over');
        return;
      case 'store-batch':
        this.dependencies.spawn('save', async () => {
          const refused = await this.persister.storeBatch(effect.ops);
          if (!this.current) return;
          const revision = this.persister.lastRevision;
          if (refused)
            this.commandLoop.submit({
              kind: 'batch-stored',
              batch: effect.batch,
              refused,
              revision,
            });
          else this.election.stepDown();
        });
        return;
      case 'provision':
        this.dependencies.spawn('rent', async () => {
          const { request, type, zone, spot, count } = effect;
          const result = await this.dependencies.cloud.provision(
            request,
            type,
            zone,
            spot,
            count,
            entitled,
          );
          const outcome = typeof result === 'string' ? result : 'ok';
          const machines = typeof result === 'string' ? [] : result;
          this.dependencies.log.info(
            { request, type, zone, spot, count, outcome, machines },
            'rent',
          );
          this.commandLoop.submit({ kind: 'provision-result', request, result: outcome, machines });
        });
        return;
      case 'delete-machines':
        this.dependencies.spawn('delete', async () => {
          const ok = await this.dependencies.cloud.deleteMachines(effect.machines, entitled);
          this.dependencies.log.info({ machines: effect.machines, ok }, 'return machines');
          this.commandLoop.submit({ kind: 'deletion-result', machines: effect.machines, ok });
        });
        return;
      case 'send-commands':
        this.dependencies.spawn('orders', async () => {
          const { endpoint, agentEpoch, commands } = effect;
          const heartbeat = await this.dependencies.workers.sendCommands(
            endpoint,
            this.fencingToken,
            agentEpoch,
            commands,
          );
          if (!heartbeat || !this.current || heartbeat.machine !== effect.machine) return;
          if (heartbeat.fencingToken > this.fencingToken) this.election.stepDown();
          else this.commandLoop.submit({ kind: 'heartbeat', heartbeat, ticket: null });
        });
        return;
      case 'log':
        this.dependencies.log[effect.level](effect.fields, effect.text);
    }
  }

  // ---- workers -----------------------------------------------------------------------------------

  async handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision> {
    if (heartbeat.fencingToken > this.fencingToken) {
      const { machine: machineId, fencingToken } = heartbeat;
      this.dependencies.log.info({ machineId, fencingToken }, 'worker has seen a higher token');
      this.election.stepDown();
      return REDIRECT;
    }
    const authority = this.authority();
    if (authority === 'none') return REDIRECT;
    if (
      authority === 'keep-alive' &&
      this.events.isIsolated() &&
      this.shouldRedirect(heartbeat.machine)
    )
      return REDIRECT;
    const commands = await this.checkIns.request((ticket) =>
      this.commandLoop.submit({ kind: 'heartbeat', heartbeat, ticket }),
    );
    if (!commands || !this.current) return UNAVAILABLE;
    return this.decisionAsItGoesOut(commands);
  }

  /**
   * The process may have stood still since the commands were decided: right and time are looked at
   * again as they go out.
   */
  private decisionAsItGoesOut(commands: readonly WorkerCommand[]): HeartbeatDecision {
    const { fencingToken } = this;
    switch (this.authority()) {
      case 'lead':
        return { kind: 'commands', fencingToken, commands };
      case 'keep-alive': {
        const kills = commands.filter((command) => command.op === 'kill');
        return { kind: 'commands', fencingToken, commands: kills };
      }
      case 'none':
        return UNAVAILABLE;
    }
  }

  /**
   * Cut off from the state service and all peers, this node is most likely the one that is cut off, and another leads or
   * soon will: it holds no worker that can go there. One that comes back well within its lease has found nobody, and is
   * kept alive here.
   */
  private shouldRedirect(machine: MachineId): boolean {
    const now = steadyNow();
    const last = this.redirectedWorkers.get(machine);
    if (last !== undefined && now - last < this.dependencies.settings.workers.leaseS * 750)
      return false;
    this.redirectedWorkers.set(machine, now);
    return true;
  }

  /** How many workers a leader has heard of late, when they are suspiciously few. */
  heartbeatCoverage(): { recent: number; known: number } | null {
    const { core } = this.commandLoop;
    const now = steadyNow();
    const span = this.dependencies.settings.workers.heartbeatIntervalS * 2500;
    if (now - core.config.acquiredAt < 2 * span) return null;
    let recent = 0;
    let known = 0;
    for (const machine of core.machines.values()) {
      if (!machine.hasReported) continue;
      known += 1;
      if (now - machine.lastHeartbeatAt < span) recent += 1;
    }
    return known >= 2 && recent * 3 < known ? { recent, known } : null;
  }

  // ---- operators ---------------------------------------------------------------------------------

  /** An extension's answer to a call, or null when none comes in time. */
  handleOperatorCall(extension: string, call: OperatorCall): Promise<OperatorAnswer | null> {
    if (this.authority() !== 'lead') return Promise.resolve(null);
    return this.operatorCalls.request((ticket) =>
      this.commandLoop.submit({ kind: 'operator-call', extension, call, ticket }),
    );
  }

  // ---- users -------------------------------------------------------------------------------------

  cancelJob(id: JobId): Promise<CancellationOutcome> {
    return this.aborts.request((ticket) =>
      this.commandLoop.submit({ kind: 'cancel-job', job: id, ticket }),
    );
  }
}
