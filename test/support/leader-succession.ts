/**
 * Leaders that follow one another while machines are lost: what each says of the lost machines'
 * jobs. Ten machines with one job each; workers, cloud list and key-value store are modelled as far
 * as they matter for that.
 */
import { applyCommands } from '../../src/core/apply-commands.js';
import type { CoreState } from '../../src/core/core-state.js';
import { viewJob } from '../../src/core/lifecycle/job-view.js';
import type { Command } from '../../src/core/model/command.js';
import type { Effect } from '../../src/core/model/effect.js';
import type { FencingToken, JobId, MachineId, ReplyTicket } from '../../src/core/model/ids.js';
import type { StoreOperation } from '../../src/core/model/ledger-record.js';
import type { ListedMachine } from '../../src/core/model/machine.js';
import type { Instant, Millis } from '../../src/core/model/time.js';
import { recoveredLossesCommand } from '../../src/service/recovered-losses.js';
import {
  decodeMachineLosses,
  decodeSegment,
  encodeMachineLosses,
  encodeSegment,
} from '../../src/service/stored-records.js';
import { core, heartbeatOf, job, machineType, taskStatus, team } from './builders.js';

const STEP_MS = 250;
const HEARTBEAT_MS = 3000;
const WORKER_LEASE_MS = 26_000;
const LIST_LAG_MS = 4000;
const LIST_INTERVAL_MS = 4000;
/** From a leader's end until the next one has recovered the stored state. */
const ELECTION_MS = 3500;
/** A machine that dies is listed as running for this long. */
const LISTED_AFTER_DEATH_MS = 30_000;
const MACHINES = 10;
const BLUE = team('blue', 1000);

/**
 * How machines are lost. `taken`: they are gone and soon not listed; `dead`: they are gone and first
 * listed as running; `cut`: nobody reaches them, and their tasks go on until their lease ends.
 */
export type Loss = 'taken' | 'dead' | 'cut';

/** What a run showed. */
export interface SuccessionResult {
  /** The longest time without an answer about a lost machine's job, in milliseconds. */
  readonly longestSilenceMs: number;
  /** Times at which such a job was called queued while its task ran, in milliseconds. */
  readonly falseAnswersAt: number[];
}

/** What is to happen. */
export interface SuccessionOptions {
  readonly loss: Loss;
  readonly lostMachines: number;
  /** How long each leader serves. */
  readonly termMs: number;
  readonly durationMs: number;
}

interface ModelMachine {
  readonly id: MachineId;
  readonly job: JobId;
  token: number;
  sequence: number;
  nextHeartbeatAt: number;
  attempt: number | null;
  lostAt: number | null;
  lastReplyAt: number;
  deletedAt: number | null;
}

class Succession {
  private now = 0;
  private token = 1000;
  private leader: CoreState | null = null;
  private nextListAt = 0;
  private readonly ledger = new Map<string, string>();
  private readonly losses = new Map<number, string>();
  private readonly delayed: { readonly at: number; readonly command: Command }[] = [];
  private readonly machines: ModelMachine[] = Array.from({ length: MACHINES }, (_, i) => ({
    id: `n-${i}` as MachineId,
    job: `job-${i}` as JobId,
    token: 0,
    sequence: 0,
    nextHeartbeatAt: i * 100,
    attempt: null,
    lostAt: null,
    lastReplyAt: 0,
    deletedAt: null,
  }));

  constructor(private readonly options: SuccessionOptions) {}

  /** The first leader serves until all jobs run and the machines are lost; others follow. */
  run(): SuccessionResult {
    this.elect();
    while (this.machines.some(({ attempt }) => attempt === null)) this.step();
    for (let i = 0; i < 40; i += 1) this.step();
    const lostAt = this.now;
    for (const machine of this.machines.slice(0, this.options.lostMachines))
      machine.lostAt = lostAt;
    let changeAt = lostAt;
    const result = { longestSilenceMs: 0, falseAnswersAt: [] as number[] };
    const silentSince = new Map<JobId, number>();
    while (this.now - lostAt < this.options.durationMs) {
      if (this.now >= changeAt) {
        if (this.leader) {
          this.leader = null;
          changeAt = this.now + ELECTION_MS;
        } else {
          this.elect();
          changeAt = this.now + this.options.termMs;
        }
      }
      this.step();
      this.observe(silentSince, result, lostAt);
    }
    return result;
  }

  private observe(
    silentSince: Map<JobId, number>,
    result: { longestSilenceMs: number; falseAnswersAt: number[] },
    lostAt: number,
  ): void {
    for (const machine of this.machines) {
      if (machine.lostAt === null) continue;
      const view = this.leader && viewJob(this.leader, machine.job, this.now as Instant);
      const since = silentSince.get(machine.job) ?? this.now;
      if (view) silentSince.delete(machine.job);
      else silentSince.set(machine.job, since);
      if (!view) result.longestSilenceMs = Math.max(result.longestSilenceMs, this.now - since);
      if (view?.status === 'queued' && this.runsTask(machine))
        result.falseAnswersAt.push(this.now - lostAt);
    }
  }

  private runsTask(machine: ModelMachine): boolean {
    if (machine.attempt === null || machine.deletedAt !== null) return false;
    if (machine.lostAt === null) return true;
    return this.options.loss === 'cut' && this.now - machine.lastReplyAt <= WORKER_LEASE_MS;
  }

  private elect(): void {
    this.token += 1000;
    this.delayed.length = 0;
    this.nextListAt = this.now;
    this.leader = core({
      fencingToken: this.token as FencingToken,
      acquiredAt: this.now as Instant,
      teams: new Map([[BLUE.name, BLUE]]),
      heartbeatIntervalMs: HEARTBEAT_MS as Millis,
      workerLeaseMs: WORKER_LEASE_MS as Millis,
      graceAfterLeaseLossMs: 17_000 as Millis,
      listLagMs: LIST_LAG_MS as Millis,
    });
    const commands: Command[] = [{ kind: 'machine-types', types: [machineType('c8')] }];
    for (const { job: id } of this.machines)
      commands.push({
        kind: 'job',
        spec: job(id, { cpus: 8, estimateS: 300 }),
        submittedAt: 0 as Instant,
      });
    for (const text of this.losses.values()) {
      const page = decodeMachineLosses(JSON.parse(text));
      if (page) commands.push(recoveredLossesCommand(page, (time) => time as Instant));
    }
    for (const [segment, text] of this.ledger) {
      const record = decodeSegment(JSON.parse(text));
      const recordedAt = (record?.recordedAtTimeOfDayMs ?? null) as Instant | null;
      for (const row of record?.machines ?? [])
        commands.push({
          kind: 'recovered-attempts',
          segment: segment as never,
          recordedAt,
          ...row,
        });
    }
    this.apply([...commands, { kind: 'recovery-completed' }]);
    for (const machine of this.machines)
      machine.nextHeartbeatAt = Math.max(machine.nextHeartbeatAt, this.now + 500);
  }

  private step(): void {
    this.now += STEP_MS;
    if (!this.leader) return;
    for (const machine of this.machines) this.heartbeat(machine);
    if (this.now >= this.nextListAt) {
      this.nextListAt = this.now + LIST_INTERVAL_MS;
      this.apply([
        { kind: 'machines-listed', requestedAt: this.now as Instant, machines: this.list() },
      ]);
    }
    const due = this.delayed.filter(({ at }) => at <= this.now);
    for (const entry of due) this.delayed.splice(this.delayed.indexOf(entry), 1);
    this.apply([...due.map(({ command }) => command), { kind: 'tick' }]);
  }

  private heartbeat(machine: ModelMachine): void {
    if (machine.lostAt !== null || machine.deletedAt !== null) return;
    if (this.now < machine.nextHeartbeatAt) return;
    machine.nextHeartbeatAt = this.now + HEARTBEAT_MS;
    machine.sequence += 1;
    const { attempt } = machine;
    const tasks = attempt === null ? [] : [taskStatus(machine.job, 0, attempt)];
    const heartbeat = heartbeatOf(machine.id, machine.sequence, machine.token, tasks);
    const ticket = machine.sequence as ReplyTicket;
    this.apply([{ kind: 'heartbeat', heartbeat, ticket }], machine);
  }

  private apply(commands: readonly Command[], sender: ModelMachine | null = null): void {
    if (!this.leader) return;
    const effects = applyCommands(this.leader, commands, this.now as Instant, 'lead');
    for (const effect of effects) this.carryOut(effect, sender);
  }

  private carryOut(effect: Effect, sender: ModelMachine | null): void {
    switch (effect.kind) {
      case 'store-batch':
        for (const operation of effect.operations) this.store(operation);
        return this.apply([{ kind: 'batch-stored', batch: effect.batch }], sender);
      case 'delete-machines':
        for (const machine of this.machines)
          if (effect.machines.includes(machine.id)) machine.deletedAt ??= this.now;
        this.delayed.push({
          at: this.now + STEP_MS,
          command: { kind: 'deletion-result', machines: effect.machines, ok: true },
        });
        return;
      case 'reply-to-heartbeat':
        if (sender && effect.commands) this.receiveReply(sender, effect.commands);
        return;
      default:
    }
  }

  /** Replies to idle workers may come steps later: each machine takes those for its job. */
  private receiveReply(
    sender: ModelMachine,
    commands: Extract<Effect, { kind: 'reply-to-heartbeat' }>['commands'],
  ): void {
    sender.token = this.token;
    sender.lastReplyAt = this.now;
    for (const command of commands ?? [])
      if (command.op === 'start') sender.attempt = command.attempt;
  }

  private store(operation: StoreOperation): void {
    switch (operation.kind) {
      case 'write-segment':
        this.ledger.set(operation.key, JSON.stringify(encodeSegment(operation)));
        return;
      case 'delete-segment':
        this.ledger.delete(operation.key);
        return;
      case 'write-machine-losses':
        if (operation.content)
          this.losses.set(operation.page, JSON.stringify(encodeMachineLosses(operation.content)));
        else this.losses.delete(operation.page);
        return;
      default:
    }
  }

  private list(): ListedMachine[] {
    const asOf = this.now - LIST_LAG_MS;
    return this.machines
      .filter((machine) => !this.isUnlisted(machine, asOf))
      .map((machine) => ({
        id: machine.id,
        endpoint: '127.0.0.1:9',
        type: 'c8' as never,
        zone: 'a' as never,
        spot: false,
        status: this.hasFailed(machine, asOf) ? 'failed' : 'running',
        ageS: asOf / 1000,
      }));
  }

  private isUnlisted({ lostAt, deletedAt }: ModelMachine, asOf: number): boolean {
    if (deletedAt !== null && deletedAt <= asOf) return true;
    return this.options.loss === 'taken' && lostAt !== null && lostAt <= asOf;
  }

  private hasFailed({ lostAt }: ModelMachine, asOf: number): boolean {
    const isDead = this.options.loss === 'dead' && lostAt !== null;
    return isDead && lostAt + LISTED_AFTER_DEATH_MS <= asOf;
  }
}

/** Plays leaders that follow one another while machines are lost. */
export const playSuccession = (options: SuccessionOptions): SuccessionResult =>
  new Succession(options).run();
