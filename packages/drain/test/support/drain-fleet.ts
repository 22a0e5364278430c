/**
 * A simulated fleet with one leader at a time, for scripted cases. Its workers, cloud and key-value
 * store execute requests at once, except for faults that tests set, and record them.
 */
import { applyCommands } from '../../../../src/core/apply-commands.js';
import type { CoreState } from '../../../../src/core/core-state.js';
import { ExtensionHost } from '../../../../src/core/extensions/extension-host.js';
import type { Command } from '../../../../src/core/model/command.js';
import type { Effect } from '../../../../src/core/model/effect.js';
import type { Heartbeat } from '../../../../src/core/model/heartbeat.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ReplyTicket,
} from '../../../../src/core/model/ids.js';
import type { StoreOperation } from '../../../../src/core/model/ledger-record.js';
import type { Instant } from '../../../../src/core/model/time.js';
import { recoveredLossesCommand } from '../../../../src/service/recovered-losses.js';
import {
  core,
  type JobOverrides,
  job,
  machineType,
  team,
} from '../../../../test/support/builders.js';
import { drainModule } from '../../src/index.js';
import { type Clock, noFaults, STEP_MS } from './faults.js';
import { ModelCloud } from './model-cloud.js';
import { MAX_VALUE_BYTES, ModelKeyValueStore } from './model-key-value-store.js';
import { type ModelWorker, ModelWorkers } from './model-workers.js';
import { settingsOf } from './settings.js';

const LIST_INTERVAL_MS = 4000;
/** Time of day at which the leaders' clocks were 0, in milliseconds. */
const WALL_CLOCK_OFFSET_MS = 1_000_000;
/** Time for the first leader to hear from every machine. */
const START_UP_MS = 6000;
/** Time-out of an operator API call, in steps of `STEP_MS`. */
const MAX_STEPS_PER_CALL = 80;

type OperatorAnswer = { readonly status: number; readonly body: Record<string, unknown> };

/** A blocker as the operator API reports it. */
interface BlockerAnswer {
  readonly kind: string;
  readonly text: string;
}

/** The status of a drain as the operator API reports it. */
export interface DrainStatusAnswer {
  readonly status: string;
  readonly why: string | null;
  readonly returned: number;
  readonly failed: number;
  readonly step: number;
  readonly blocked: BlockerAnswer | null;
  readonly machines: readonly {
    readonly name: string;
    readonly state: string;
    readonly replacement: string | null;
    readonly blocked: BlockerAnswer | null;
  }[];
}

/** A failover to a version without the drain package, or to other settings. */
export interface FailoverOptions {
  readonly withoutExtension?: boolean;
  readonly settings?: string;
}

/** A fleet, its services and its current leader. */
export class DrainFleet {
  /** Violated invariants. */
  readonly violations: string[] = [];
  readonly faults = noFaults();
  readonly store: ModelKeyValueStore;
  readonly workers: ModelWorkers;
  readonly cloud: ModelCloud;
  state: CoreState;
  /** A fault has crashed the current leader. */
  hasLeaderCrashed = false;
  private readonly clock: Clock = { now: 0 };
  private fencingToken = 10;
  private queue: Command[] = [];
  /** Replies still on their way to the leader. */
  private pendingCloudReplies: { readonly at: number; readonly command: Command }[] = [];
  private pendingBatch: { readonly batch: number; readonly ops: readonly StoreOperation[] } | null =
    null;
  private nextTicket = 1;
  /** The worker that waits for the reply with a ticket. */
  private readonly workerByTicket = new Map<number, string>();
  private readonly answersByTicket = new Map<number, OperatorAnswer>();

  constructor(
    machines: readonly { zone?: string; spot?: boolean }[],
    private settings: string = '(drain (let-end-s 5))',
  ) {
    const { clock, faults, violations } = this;
    this.store = new ModelKeyValueStore(faults, violations);
    this.workers = new ModelWorkers({
      clock,
      violations,
      isLeaderUp: () => !this.hasLeaderCrashed,
      isJobUnfinished: (id) => this.store.isUnfinished(id),
      sendHeartbeat: (worker, heartbeat) => this.queueHeartbeat(worker, heartbeat),
    });
    this.cloud = new ModelCloud({
      clock,
      faults,
      violations,
      workers: this.workers,
      isMachineHealthy: (id) => this.isMachineHealthy(id),
      reply: (command) => this.pendingCloudReplies.push({ at: clock.now + STEP_MS, command }),
    });
    for (const { zone, spot } of machines) this.workers.add(zone ?? 'a', spot ?? false, 0);
    this.state = this.electLeader();
    this.run(START_UP_MS);
  }

  /** The steady clock, in milliseconds. */
  get now(): number {
    return this.clock.now;
  }

  // ---- Leaders ----

  /** Elects a leader that recovers from the stored data. */
  failOver({ withoutExtension = false, settings = this.settings }: FailoverOptions = {}): void {
    this.settings = settings;
    this.state = this.electLeader(withoutExtension);
  }

  private electLeader(withoutExtension = false): CoreState {
    this.fencingToken += 10;
    this.hasLeaderCrashed = false;
    this.pendingBatch = null;
    this.pendingCloudReplies = [];
    const state = core(
      {
        teams: new Map([team('blue', 20_000), team('green', 20_000)].map((t) => [t.name, t])),
        fencingToken: this.fencingToken as FencingToken,
        acquiredAt: this.now as Instant,
        wallClockOffsetMs: WALL_CLOCK_OFFSET_MS,
        maxValueBytes: MAX_VALUE_BYTES,
      },
      // No baseline or spare capacity: only drains and waiting work change the fleet's size.
      { baselineCapacityShare: 0, capacityHeadroom: 1, scaleInAfterIdleS: 80_000 },
    );
    if (!withoutExtension) {
      const extension = drainModule(settingsOf(this.settings)).create();
      state.extensions = new ExtensionHost(state, [extension]);
    }
    this.queue = this.recoveryCommands();
    return state;
  }

  private recoveryCommands(): Command[] {
    const { jobs, ledger, machineLosses, records } = this.store;
    const commands: Command[] = [
      { kind: 'machine-types', types: [machineType('c8', { bootS: 5 })] },
    ];
    for (const spec of jobs.values())
      commands.push({ kind: 'job', spec, submittedAt: this.now as Instant });
    const toInstant = (time: number): Instant => (time - WALL_CLOCK_OFFSET_MS) as Instant;
    for (const page of machineLosses.values())
      commands.push(recoveredLossesCommand(page, toInstant));
    for (const [segment, { progress }] of ledger) {
      for (const row of progress) commands.push({ kind: 'recovered-progress', segment, ...row });
    }
    for (const [segment, { machines, recordedAtTimeOfDayMs: time }] of ledger) {
      const recordedAt = time === undefined ? null : toInstant(time);
      for (const row of machines)
        commands.push({ kind: 'recovered-attempts', segment, recordedAt, ...row });
    }
    const extensionRecords = [...records].map(([key, value]) => ({ key, value }));
    commands.push(
      { kind: 'extension-records', extension: 'drain', records: extensionRecords },
      { kind: 'recovery-completed' },
    );
    return commands;
  }

  // ---- Users and operators ----

  /** Submits a job; its tasks never end unless `workers.runMsByJob` says so. */
  submitJob(id: string, change: JobOverrides = {}): void {
    const spec = job(id, { estimateS: 600, ...change });
    this.store.jobs.set(id, spec);
    this.queue.push({ kind: 'job', spec, submittedAt: this.now as Instant });
  }

  cancelJob(id: string): void {
    const ticket = this.nextTicket++ as ReplyTicket;
    this.queue.push({ kind: 'cancel-job', job: id as JobId, ticket });
  }

  /** Calls the operator API and runs until it answers; throws on time-out. */
  callOperatorApi(route: string, subject = '', body: object = {}): OperatorAnswer {
    const ticket = this.nextTicket++ as ReplyTicket;
    const call = { route, subject, body };
    this.queue.push({ kind: 'operator-call', extension: 'drain', call, ticket });
    for (let step = 0; step < MAX_STEPS_PER_CALL && !this.answersByTicket.has(ticket); step += 1)
      this.run(STEP_MS);
    const answer = this.answersByTicket.get(ticket);
    if (!answer) throw new Error(`no answer to ${route} from the leader`);
    return answer;
  }

  startDrain(name: string, body: object): OperatorAnswer {
    return this.callOperatorApi('start', '', { name, ...body });
  }

  drainStatus(name: string): DrainStatusAnswer {
    return this.callOperatorApi('status', name).body as unknown as DrainStatusAnswer;
  }

  // ---- Observations ----

  /** The stored phase of a drain. */
  drainPhase(drain: string): string {
    return (this.store.records.get(`d/${drain}`) as { phase: string }).phase;
  }

  /** The stored phase of a machine in a drain's step; null if it is in no step. */
  machinePhase(drain: string, machine: string): string | null {
    const record = this.store.records.get(`m/${drain}/${machine}`) as { phase: string } | undefined;
    return record?.phase ?? null;
  }

  /** The machine that runs a task, or null. */
  machineOf(task: string): string | null {
    return this.workers.machineOf(task);
  }

  tasksOn(machine: string): string[] {
    return this.workers.tasksOn(machine);
  }

  private isMachineHealthy(id: MachineId): boolean {
    const known = this.state.machines.get(id);
    return known !== undefined && known.lostAt === null && known.hasReported;
  }

  // ---- Simulated time ----

  /** Runs until the condition holds; throws if it does not hold within `maxMs`. */
  runUntil(condition: () => boolean, maxMs = 600_000): void {
    for (const end = this.now + maxMs; !condition(); this.run(STEP_MS)) {
      if (this.now > end) throw new Error(`condition not met within ${maxMs} ms: ${condition}`);
    }
  }

  /** Advances the simulated time. */
  run(ms: number): void {
    for (const end = this.now + ms; this.now < end; ) {
      this.clock.now += STEP_MS;
      this.workers.advance();
      this.queueCloudReplies();
      this.queueMachineList();
      this.storeBatch();
      this.queue.push({ kind: 'tick' });
      this.applyQueue();
    }
  }

  private queueCloudReplies(): void {
    const due = this.pendingCloudReplies.filter(({ at }) => at <= this.now);
    this.pendingCloudReplies = this.pendingCloudReplies.filter(({ at }) => at > this.now);
    this.queue.push(...due.map(({ command }) => command));
  }

  private queueMachineList(): void {
    if (this.now % LIST_INTERVAL_MS !== 0) return;
    const list = this.cloud.list();
    if (list) this.queue.push(list);
  }

  private queueHeartbeat({ id }: ModelWorker, heartbeat: Heartbeat): void {
    const ticket = this.nextTicket++ as ReplyTicket;
    this.workerByTicket.set(ticket, id);
    this.queue.push({ kind: 'heartbeat', heartbeat, ticket });
  }

  private applyQueue(): void {
    while (this.queue.length > 0 && !this.hasLeaderCrashed) {
      const commands = this.queue.splice(0);
      for (const effect of applyCommands(this.state, commands, this.now as Instant, 'lead')) {
        if (!this.hasLeaderCrashed) this.executeEffect(effect);
      }
    }
    if (this.hasLeaderCrashed) this.queue = [];
  }

  private executeEffect(effect: Effect): void {
    switch (effect.kind) {
      case 'store-batch':
        this.pendingBatch = { batch: effect.batch, ops: effect.operations };
        return this.storeBatch();
      case 'operator-answer':
        this.answersByTicket.set(effect.ticket, effect.answer as OperatorAnswer);
        return;
      case 'provision':
        return this.cloud.provision(effect);
      case 'delete-machines':
        return this.cloud.delete(effect.machines);
      case 'reply-to-heartbeat': {
        const worker = this.workerByTicket.get(effect.ticket) ?? '';
        return this.workers.receiveReply(worker, this.fencingToken, effect.commands);
      }
      case 'send-commands':
        return this.workers.receiveCommands(effect.machine, effect.agentEpoch, effect.commands);
      default:
    }
  }

  /** Stores the pending batch; keeps it while the key-value store is unavailable. */
  private storeBatch(): void {
    if (!this.pendingBatch || this.faults.storeUnavailable || this.hasLeaderCrashed) return;
    const { batch, ops } = this.pendingBatch;
    this.pendingBatch = null;
    if (this.store.storeAll(ops)) this.queue.push({ kind: 'batch-stored', batch });
    else this.hasLeaderCrashed = true;
  }
}

/** Machines of one zone, for a new `DrainFleet`. */
export const machinesInZone = (
  count: number,
  zone = 'a',
  spot = false,
): { zone: string; spot: boolean }[] => Array.from({ length: count }, () => ({ zone, spot }));

/** An array whose tasks write checkpoints, two to a machine of 8 processors. */
export const CHECKPOINTING = { cpus: 4, checkpointIntervalS: 5, checkpointWriteS: 1 };
