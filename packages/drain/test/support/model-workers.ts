/** Model of the machines and their workers, which send heartbeats and execute commands. */
import type { Heartbeat, TaskStatus } from '../../../../src/core/model/heartbeat.js';
import type { JobId, ZoneName } from '../../../../src/core/model/ids.js';
import type { WorkerCommand } from '../../../../src/core/model/worker-command.js';
import { heartbeatOf, taskStatus } from '../../../../test/support/builders.js';
import { type Clock, STEP_MS } from './faults.js';

const HEARTBEAT_MS = 1000;
const LEASE_MS = 16_000;
/** A worker waits this long for the reply to a heartbeat. */
const REPLY_TIMEOUT_MS = 4000;

type ModelTask = TaskStatus & { readonly startedAt: number };

/** A machine and its worker. */
export interface ModelWorker {
  readonly id: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly bootedAt: number;
  /** Tasks by name, `job/index`. */
  readonly tasks: Map<string, ModelTask>;
  heartbeatSequence: number;
  fencingToken: number;
  agentEpoch: number;
  /** Until then it neither sends nor receives anything. */
  unreachableUntil: number;
  /** Its heartbeats arrive, but no replies or commands reach it. */
  isInboundBlocked: boolean;
  /** When the cloud reclaims it; null without a reclaim notice. */
  reclaimedAt: number | null;
  heartbeatDueAt: number;
  /** When it sent the heartbeat whose reply last renewed its lease. */
  leaseRenewedAt: number;
  /** When it sent the heartbeat that awaits a reply; null if none. */
  heartbeatSentAt: number | null;
}

/** Something that happened to a task on a machine. */
export interface ModelTaskEvent {
  readonly task: string;
  readonly machine: string;
  readonly at: number;
}

/** What the workers need from the rest of the model. */
export interface WorkerContext {
  readonly clock: Clock;
  readonly violations: string[];
  /** Whether a leader receives heartbeats. */
  isLeaderUp(): boolean;
  isJobUnfinished(job: JobId): boolean;
  sendHeartbeat(worker: ModelWorker, heartbeat: Heartbeat): void;
}

const isActive = (current: ModelTask | undefined): boolean =>
  current !== undefined && current.phase !== 'ended';

/** All workers, and the starts and stops of their tasks. */
export class ModelWorkers {
  readonly machines = new Map<string, ModelWorker>();
  /** Run times of tasks, by job; tasks of other jobs never end. */
  readonly runMsByJob = new Map<string, number>();
  /** Stops by command of tasks of unfinished jobs, on machines without a reclaim notice. */
  readonly stops: ModelTaskEvent[] = [];
  readonly starts: ModelTaskEvent[] = [];
  private nextMachine = 0;

  constructor(private readonly context: WorkerContext) {}

  private get now(): number {
    return this.context.clock.now;
  }

  /** Adds a machine with the next ID. */
  add(zone: string, spot: boolean, bootMs: number): ModelWorker {
    const id = `n-${String(this.nextMachine++).padStart(4, '0')}`;
    const worker: ModelWorker = {
      id,
      zone,
      spot,
      bootedAt: this.now + bootMs,
      tasks: new Map(),
      heartbeatSequence: 0,
      fencingToken: 0,
      agentEpoch: 1,
      unreachableUntil: 0,
      isInboundBlocked: false,
      reclaimedAt: null,
      heartbeatDueAt: 0,
      leaseRenewedAt: this.now + bootMs,
      heartbeatSentAt: null,
    };
    this.machines.set(id, worker);
    return worker;
  }

  /** The machine that runs a task, or null. */
  machineOf(name: string): string | null {
    for (const { id, tasks } of this.machines.values()) if (isActive(tasks.get(name))) return id;
    return null;
  }

  tasksOn(id: string): string[] {
    const tasks = this.machines.get(id)?.tasks ?? new Map<string, ModelTask>();
    return [...tasks.keys()].filter((name) => isActive(tasks.get(name)));
  }

  /** Restarts a worker: its tasks are lost, and a new agent epoch begins. */
  restart(id: string): void {
    const worker = this.machines.get(id);
    if (!worker) throw new Error(`no machine ${id}`);
    worker.tasks.clear();
    worker.agentEpoch += 1;
    worker.heartbeatSequence = 0;
    worker.heartbeatSentAt = null;
  }

  /** Has every worker do what is due. */
  advance(): void {
    for (const worker of [...this.machines.values()]) this.advanceWorker(worker);
  }

  private advanceWorker(worker: ModelWorker): void {
    if (this.now < worker.bootedAt || this.now < worker.unreachableUntil) return;
    if (worker.reclaimedAt !== null && this.now >= worker.reclaimedAt) {
      this.machines.delete(worker.id);
      return;
    }
    this.endDueTasks(worker);
    if (this.now - worker.leaseRenewedAt > LEASE_MS) {
      this.restart(worker.id);
      worker.leaseRenewedAt = this.now;
    }
    const { heartbeatSentAt } = worker;
    if (heartbeatSentAt !== null && this.now - heartbeatSentAt > REPLY_TIMEOUT_MS)
      worker.heartbeatSentAt = null;
    const isDue = this.now >= worker.heartbeatDueAt && worker.heartbeatSentAt === null;
    if (isDue && this.context.isLeaderUp()) this.sendHeartbeat(worker);
  }

  private endDueTasks({ tasks }: ModelWorker): void {
    for (const [name, current] of tasks) {
      const runMs = this.runMsByJob.get(current.job) ?? Number.POSITIVE_INFINITY;
      if (current.phase !== 'ended' && this.now - current.startedAt >= runMs)
        tasks.set(name, { ...current, phase: 'ended', cause: 'done' });
    }
  }

  private sendHeartbeat(worker: ModelWorker): void {
    worker.heartbeatSentAt = this.now;
    worker.heartbeatDueAt = this.now + HEARTBEAT_MS;
    worker.heartbeatSequence += 1;
    const { id, heartbeatSequence, fencingToken, reclaimedAt } = worker;
    const tasks = [...worker.tasks.values()];
    const heartbeat = heartbeatOf(id, heartbeatSequence, fencingToken, tasks, {
      zone: worker.zone as ZoneName,
      spot: worker.spot,
      agentEpoch: worker.agentEpoch,
      reclaimNoticeS: reclaimedAt === null ? null : (reclaimedAt - this.now) / 1000,
    });
    this.context.sendHeartbeat(worker, heartbeat);
  }

  private isReachable(worker: ModelWorker | undefined): worker is ModelWorker {
    return worker !== undefined && !worker.isInboundBlocked && this.now >= worker.unreachableUntil;
  }

  /** Handles a heartbeat's reply; `commands` is null if the leader does not know the worker. */
  receiveReply(id: string, fencingToken: number, commands: readonly WorkerCommand[] | null): void {
    const worker = this.machines.get(id);
    if (!this.isReachable(worker)) return;
    const { heartbeatSentAt } = worker;
    worker.heartbeatSentAt = null;
    if (!commands) return;
    worker.leaseRenewedAt = heartbeatSentAt ?? worker.leaseRenewedAt;
    worker.fencingToken = fencingToken;
    this.execute(worker, commands);
  }

  /** Handles commands that the leader sends outside replies, to one agent epoch. */
  receiveCommands(id: string, agentEpoch: number, commands: readonly WorkerCommand[]): void {
    const worker = this.machines.get(id);
    if (this.isReachable(worker) && agentEpoch === worker.agentEpoch)
      this.execute(worker, commands);
  }

  private execute(worker: ModelWorker, commands: readonly WorkerCommand[]): void {
    for (const command of commands) {
      const name = `${command.job}/${command.index}`;
      const current = worker.tasks.get(name);
      switch (command.op) {
        case 'start':
          if (current?.attempt !== command.attempt) this.startTask(worker, name, command);
          break;
        case 'kill':
          if (current?.attempt === command.attempt) this.stopTask(worker, name, current);
          break;
        case 'reap':
          if (current?.phase === 'ended') worker.tasks.delete(name);
          break;
      }
      if (command.op !== 'reap')
        worker.heartbeatDueAt = Math.min(worker.heartbeatDueAt, this.now + STEP_MS);
    }
  }

  private startTask(worker: ModelWorker, name: string, command: WorkerCommand): void {
    const holder = this.machineOf(name);
    if (holder !== null)
      this.context.violations.push(`task ${name} runs both on ${holder} and on ${worker.id}`);
    const status = taskStatus(command.job, command.index, command.attempt);
    worker.tasks.set(name, { ...status, startedAt: this.now });
    this.starts.push({ task: name, machine: worker.id, at: this.now });
  }

  private stopTask(worker: ModelWorker, name: string, current: ModelTask): void {
    if (current.phase === 'ended') return;
    worker.tasks.set(name, { ...current, phase: 'ended', cause: 'stopped' });
    if (worker.reclaimedAt === null && this.context.isJobUnfinished(current.job))
      this.stops.push({ task: name, machine: worker.id, at: this.now });
  }
}
