/** A stand-in for a machine's worker, written to the protocol: reports, obeys, and runs tasks. */
import { requestJson } from './http.js';

/** The pause before the first heartbeat, and before the next after one without an answer. */
const FIRST_HEARTBEAT_MS = 10;
const RETRY_MS = 30;

/** A task as the worker reports it, in the protocol's words. */
interface Piece {
  readonly Piece: string;
  readonly Try: number;
  Status: 'running' | 'ended';
  Cause?: string;
}

/** What has happened to a task on a machine, by the machine's own word. */
export interface TaskEvent {
  readonly at: number;
  /** `lost`: its machine was returned with it; `crashed`: its machine died. */
  readonly kind: 'start' | 'stop' | 'done' | 'lost' | 'crashed';
  readonly task: string;
  readonly machine: string;
}

/** The answer to a heartbeat, in the protocol's words. */
interface Reply {
  readonly Baton: number;
  readonly Orders: readonly {
    readonly Verb: string;
    readonly Piece: string;
    readonly Try: number;
  }[];
}

/** Where a worker finds controllers, and where it tells what happened to its tasks. */
export interface WorkerEnvironment {
  /** Addresses of the controllers, and their names in the same order. */
  readonly controllerAddresses: readonly string[];
  readonly controllerNames: readonly string[];
  readonly heartbeatMs: number;
  /** Starts, as `task#attempt`. */
  readonly starts: string[];
  readonly taskEvents: TaskEvent[];
  /** What is left to run of a task, in milliseconds; null: it never ends. */
  remainingMsOf(task: string): number | null;
  /** A task was stopped, or lost with its machine. */
  recordInterruption(task: string, ranMs: number, stopped: boolean): void;
}

/** What a worker is told to do, in the protocol's words. */
type Order = Reply['Orders'][number];

/** The machine that a worker runs on. */
export interface WorkerMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Reports from its creation on, until its machine dies or is returned. */
export class Worker {
  private sequence = 0;
  private fencingToken = 0;
  /** Which of the controllers it reports to. */
  private at = 0;
  private readonly tasks = new Map<string, Piece>();
  private timer: NodeJS.Timeout | null = null;
  private isGone = false;
  private readonly startedAt = new Map<string, number>();

  constructor(
    readonly machine: WorkerMachine,
    private readonly surroundings: WorkerEnvironment,
  ) {
    this.schedule(FIRST_HEARTBEAT_MS);
  }

  private recordEvent(kind: TaskEvent['kind'], task: string): void {
    const { taskEvents: history } = this.surroundings;
    history.push({ at: Date.now(), kind, task, machine: this.machine.id });
  }

  private ranMs(task: string): number {
    return Date.now() - (this.startedAt.get(task) ?? Date.now());
  }

  /** The machine dies, with all that runs on it; the cloud lists it until it is deleted. */
  crash(): void {
    this.end('crashed');
  }

  /** The machine is returned. */
  stop(): void {
    this.end('lost');
  }

  private end(kind: 'lost' | 'crashed'): void {
    if (this.isGone) return;
    for (const task of this.running()) {
      this.recordEvent(kind, task);
      this.surroundings.recordInterruption(task, this.ranMs(task), false);
    }
    this.isGone = true;
    if (this.timer) clearTimeout(this.timer);
  }

  private schedule(ms: number): void {
    if (this.isGone) return;
    if (this.timer) clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.sendHeartbeat(), ms);
  }

  private heartbeat(): object {
    this.sequence += 1;
    const { id, type, zone, spot } = this.machine;
    return {
      Berth: id,
      Endpoint: '127.0.0.1:9',
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
    const { controllerAddresses: nodes, controllerNames: names, heartbeatMs } = this.surroundings;
    const reply = await requestJson(nodes[this.at % nodes.length]!, '/checkin', this.heartbeat());
    if (reply?.status === 200) {
      this.obey(reply.body as Reply);
      this.schedule(heartbeatMs);
      return;
    }
    const leader = (reply?.body as { Foreman?: string } | null)?.Foreman;
    const named = names.indexOf(leader ?? '');
    this.at = named >= 0 ? named : this.at + 1;
    this.schedule(RETRY_MS);
  }

  private obey(reply: Reply): void {
    if (reply.Baton < this.fencingToken) return;
    this.fencingToken = reply.Baton;
    for (const order of reply.Orders) {
      const held = this.tasks.get(order.Piece);
      const isHeld = held?.Try === order.Try;
      if (order.Verb === 'start') {
        if (!isHeld) this.start(order);
      } else if (order.Verb === 'kill') {
        if (held && isHeld && held.Status !== 'ended') this.kill(held);
      } else if (order.Verb === 'reap' && isHeld && held?.Status === 'ended')
        this.tasks.delete(order.Piece);
    }
  }

  private start({ Piece: name, Try: attempt }: Order): void {
    const { starts } = this.surroundings;
    const task: Piece = { Piece: name, Try: attempt, Status: 'running' };
    this.tasks.set(name, task);
    starts.push(`${name}#${attempt}`);
    this.recordEvent('start', name);
    const runMs = this.surroundings.remainingMsOf(name);
    this.startedAt.set(name, Date.now());
    if (runMs === null) return;
    setTimeout(() => {
      if (task.Status === 'ended' || this.isGone) return;
      this.recordEvent('done', name);
      task.Status = 'ended';
      task.Cause = 'done';
    }, runMs);
  }

  private kill(task: Piece): void {
    this.recordEvent('stop', task.Piece);
    this.surroundings.recordInterruption(task.Piece, this.ranMs(task.Piece), true);
    task.Status = 'ended';
    task.Cause = 'halted';
  }

  /** Tasks that run. */
  running(): string[] {
    return [...this.tasks.values()].filter((t) => t.Status === 'running').map((t) => t.Piece);
  }
}
