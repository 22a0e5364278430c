/** A stand-in for a machine's worker: sends heartbeats, executes commands and runs tasks. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { requestJson, sendJson } from './http.js';

/** Delay of the first heartbeat, and of a heartbeat after one without a reply. */
const FIRST_HEARTBEAT_MS = 10;
const RETRY_MS = 30;
const UNUSED_ENDPOINT = '127.0.0.1:9';

/** A task in a heartbeat, in protocol format. */
interface TaskReport {
  readonly Piece: string;
  readonly Try: number;
  Status: 'running' | 'ended';
  Cause?: string;
}

/** An event of a task, as its machine observed it; `at` is in milliseconds. */
export interface TaskEvent {
  readonly at: number;
  /** `lost`: its machine was returned while it ran; `crashed`: its machine crashed. */
  readonly kind: 'start' | 'stop' | 'done' | 'lost' | 'crashed';
  readonly task: string;
  readonly machine: string;
}

/** The reply to a heartbeat, in protocol format. */
interface HeartbeatReply {
  readonly Baton: number;
  readonly Orders: readonly {
    readonly Verb: string;
    readonly Piece: string;
    readonly Try: number;
  }[];
}

/** The controllers that a worker reports to, and the record of its tasks. */
export interface WorkerEnvironment {
  /** Addresses of the controllers, and their names in the same order. */
  readonly controllerAddresses: readonly string[];
  readonly controllerNames: readonly string[];
  readonly heartbeatMs: number;
  /** Whether workers answer inspections; else nothing listens on their endpoints. */
  readonly servesInspections: boolean;
  /** Started attempts, as `task#attempt`. */
  readonly starts: string[];
  readonly taskEvents: TaskEvent[];
  /** Remaining run time of a task, in milliseconds; null if it never ends. */
  remainingMsOf(task: string): number | null;
  /** Called when a task was `stopped`, or else lost with its machine. */
  recordInterruption(task: string, ranMs: number, stopped: boolean): void;
}

/** A command to a worker, in protocol format. */
type Command = HeartbeatReply['Orders'][number];

/** The machine that a worker runs on. */
export interface WorkerMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Sends heartbeats from its creation until its machine crashes or is returned. */
export class Worker {
  private sequence = 0;
  private fencingToken = 0;
  /** Position of the controller that gets the heartbeats. */
  private controllerIndex = 0;
  private readonly tasks = new Map<string, TaskReport>();
  private timer: NodeJS.Timeout | null = null;
  private isEnded = false;
  private readonly startedAt = new Map<string, number>();
  private readonly server: Server | null;
  /** Number of inspections that were answered. */
  inspectionCount = 0;

  constructor(
    readonly machine: WorkerMachine,
    private readonly environment: WorkerEnvironment,
  ) {
    this.server = environment.servesInspections ? this.serveInspections() : null;
    this.schedule(FIRST_HEARTBEAT_MS);
  }

  private serveInspections(): Server {
    const server = createServer((_request, response) => {
      this.inspectionCount += 1;
      sendJson(response, 200, this.heartbeat());
    });
    return server.listen(0, '127.0.0.1');
  }

  private get endpoint(): string {
    const address = this.server?.address() as AddressInfo | null | undefined;
    return address ? `127.0.0.1:${address.port}` : UNUSED_ENDPOINT;
  }

  private recordEvent(kind: TaskEvent['kind'], task: string): void {
    const { taskEvents } = this.environment;
    taskEvents.push({ at: Date.now(), kind, task, machine: this.machine.id });
  }

  private ranMs(task: string): number {
    return Date.now() - (this.startedAt.get(task) ?? Date.now());
  }

  /** Crashes the machine with its tasks; the cloud lists it until it is deleted. */
  crash(): void {
    this.end('crashed');
  }

  /** Ends the worker of a returned machine. */
  stop(): void {
    this.end('lost');
  }

  private end(kind: 'lost' | 'crashed'): void {
    if (this.isEnded) return;
    for (const task of this.running()) {
      this.recordEvent(kind, task);
      this.environment.recordInterruption(task, this.ranMs(task), false);
    }
    this.isEnded = true;
    this.server?.close();
    if (this.timer) clearTimeout(this.timer);
  }

  private schedule(ms: number): void {
    if (this.isEnded) return;
    if (this.timer) clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.sendHeartbeat(), ms);
  }

  private heartbeat(): object {
    this.sequence += 1;
    const { id, type, zone, spot } = this.machine;
    return {
      Berth: id,
      Endpoint: this.endpoint,
      Hull: type,
      Yard: zone,
      Loaners: spot,
      Tenure: 1,
      Tick: this.sequence,
      Baton: this.fencingToken,
      RecallS: null,
      Pieces: [...this.tasks.values()],
    };
  }

  private async sendHeartbeat(): Promise<void> {
    const { controllerAddresses, controllerNames, heartbeatMs } = this.environment;
    const reply = await requestJson(
      controllerAddresses[this.controllerIndex % controllerAddresses.length]!,
      '/checkin',
      this.heartbeat(),
    );
    if (reply?.status === 200) {
      this.execute(reply.body as HeartbeatReply);
      this.schedule(heartbeatMs);
      return;
    }
    const leader = (reply?.body as { Foreman?: string } | null)?.Foreman;
    const leaderIndex = controllerNames.indexOf(leader ?? '');
    this.controllerIndex = leaderIndex >= 0 ? leaderIndex : this.controllerIndex + 1;
    this.schedule(RETRY_MS);
  }

  private execute(reply: HeartbeatReply): void {
    if (reply.Baton < this.fencingToken) return;
    this.fencingToken = reply.Baton;
    for (const command of reply.Orders) {
      const known = this.tasks.get(command.Piece);
      const isSameAttempt = known?.Try === command.Try;
      if (command.Verb === 'start') {
        if (!isSameAttempt) this.start(command);
      } else if (command.Verb === 'kill') {
        if (known && isSameAttempt && known.Status !== 'ended') this.kill(known);
      } else if (command.Verb === 'reap' && isSameAttempt && known?.Status === 'ended')
        this.tasks.delete(command.Piece);
    }
  }

  private start({ Piece: name, Try: attempt }: Command): void {
    const { starts } = this.environment;
    const task: TaskReport = { Piece: name, Try: attempt, Status: 'running' };
    this.tasks.set(name, task);
    starts.push(`${name}#${attempt}`);
    this.recordEvent('start', name);
    const runMs = this.environment.remainingMsOf(name);
    this.startedAt.set(name, Date.now());
    if (runMs === null) return;
    setTimeout(() => {
      if (task.Status === 'ended' || this.isEnded) return;
      this.recordEvent('done', name);
      task.Status = 'ended';
      task.Cause = 'done';
    }, runMs);
  }

  private kill(task: TaskReport): void {
    this.recordEvent('stop', task.Piece);
    this.environment.recordInterruption(task.Piece, this.ranMs(task.Piece), true);
    task.Status = 'ended';
    task.Cause = 'halted';
  }

  /** Names of the running tasks. */
  running(): string[] {
    return [...this.tasks.values()].filter((t) => t.Status === 'running').map((t) => t.Piece);
  }
}
