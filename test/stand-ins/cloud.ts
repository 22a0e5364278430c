/** Our own stand-in for the cloud and its workers, written to the protocol; tasks run as long as `taskMs`. */
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson, sendJson } from './key-value-store.js';

interface Task {
  Piece: string;
  Try: number;
  Status: string;
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

type Orders = { Baton: number; Orders: { Verb: string; Piece: string; Try: number }[] };

class Worker {
  private tick = 0;
  private baton = 0;
  private at = 0;
  private readonly tasks = new Map<string, Task>();
  private timer: NodeJS.Timeout | null = null;
  private gone = false;
  private readonly startedAt = new Map<string, number>();

  constructor(
    readonly name: string,
    readonly hull: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly cloud: Cloud,
  ) {
    this.schedule(10);
  }

  private note(kind: TaskEvent['kind'], task: string): void {
    this.cloud.history.push({ at: Date.now(), kind, task, machine: this.name });
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
    if (this.gone) return;
    for (const task of this.running()) {
      this.note(kind, task);
      this.cloud.interrupted(task, this.ranMs(task), false);
    }
    this.gone = true;
    if (this.timer) clearTimeout(this.timer);
  }

  private schedule(ms: number): void {
    if (this.gone) return;
    if (this.timer) clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.checkIn(), ms);
  }

  private report() {
    this.tick += 1;
    return {
      Berth: this.name,
      Endpoint: '127.0.0.1:9',
      Hull: this.hull,
      Yard: this.zone,
      Loaners: this.spot,
      Tenure: 1,
      Tick: this.tick,
      Baton: this.baton,
      RecallS: null,
      Pieces: [...this.tasks.values()],
    };
  }

  private async checkIn(): Promise<void> {
    const nodes = this.cloud.nodes;
    const reply = await post(nodes[this.at % nodes.length]!, '/checkin', this.report());
    if (reply?.status === 200) this.execute(reply.body as Orders);
    else {
      const leader = (reply?.body as { Foreman?: string } | null)?.Foreman;
      const named = this.cloud.names.indexOf(leader ?? '');
      this.at = named >= 0 ? named : this.at + 1;
    }
    this.schedule(reply?.status === 200 ? this.cloud.checkInMs : 30);
  }

  private execute(answer: Orders): void {
    if (answer.Baton < this.baton) return;
    this.baton = answer.Baton;
    for (const o of answer.Orders) {
      const held = this.tasks.get(o.Piece);
      if (o.Verb === 'start' && held?.Try !== o.Try) {
        const task: Task = { Piece: o.Piece, Try: o.Try, Status: 'running' };
        this.tasks.set(o.Piece, task);
        this.cloud.starts.push(`${o.Piece}#${o.Try}`);
        this.note('start', o.Piece);
        const runMs = this.cloud.leftMsOf(o.Piece);
        this.startedAt.set(o.Piece, Date.now());
        if (runMs === null) continue;
        setTimeout(() => {
          if (task.Status === 'ended' || this.gone) return;
          this.note('done', o.Piece);
          task.Status = 'ended';
          task.Cause = 'done';
        }, runMs);
      } else if (o.Verb === 'kill' && held?.Try === o.Try && held.Status !== 'ended') {
        this.note('stop', o.Piece);
        this.cloud.interrupted(o.Piece, this.ranMs(o.Piece), true);
        held.Status = 'ended';
        held.Cause = 'halted';
      } else if (o.Verb === 'reap' && held?.Try === o.Try && held.Status === 'ended')
        this.tasks.delete(o.Piece);
    }
  }

  running(): string[] {
    return [...this.tasks.values()].filter((t) => t.Status === 'running').map((t) => t.Piece);
  }
}

export const post = (
  at: string,
  path: string,
  body: unknown,
  method = 'POST',
): Promise<{ status: number; body: unknown; headers: IncomingMessage['headers'] } | null> =>
  new Promise((resolve) => {
    const [host, port] = at.split(':');
    const text = typeof body === 'string' ? body : body === undefined ? '' : JSON.stringify(body);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    const req = request(
      { host, port: Number(port), path, method, headers, agent: false },
      async (res) => {
        let answer = '';
        for await (const part of res) answer += part;
        let json: unknown = null;
        try {
          json = JSON.parse(answer);
        } catch {
          json = answer;
        }
        resolve({ status: res.statusCode ?? 0, body: json, headers: res.headers });
      },
    );
    req.on('error', () => resolve(null));
    req.end(text);
  });

export class Cloud {
  nodes: string[] = [];
  names: string[] = [];
  taskMs = 20;
  /** Takes requests and never answers them; how many came, and how many of them were given up. */
  silent = false;
  unanswered = 0;
  /** Answers what is none of the protocol's. */
  odd = false;
  givenUp = 0;
  readonly starts: string[] = [];
  /** All that happened to tasks, in order. */
  readonly history: TaskEvent[] = [];
  /** Machines that were returned, in order. */
  readonly returned: string[] = [];
  /** What tasks that save have saved, and the run time of others that was lost. */
  private readonly saved = new Map<string, number>();
  redoneMs = 0;
  savesOf: (task: string) => boolean = () => false;
  /** Pause between the check-ins of a worker. */
  checkInMs = 60;
  /** How long a task runs; null: for ever. */
  runMsOf: (task: string) => number | null = () => this.taskMs;
  readonly workers = new Map<string, Worker>();
  readonly hires = new Map<string, string[]>();
  private next = 0;
  private readonly server: Server;

  constructor(private readonly capacity: number) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** What is left to run of a task. */
  leftMsOf(task: string): number | null {
    const runMs = this.runMsOf(task);
    return runMs === null ? null : Math.max(0, runMs - (this.saved.get(task) ?? 0));
  }

  /** A task was stopped, or lost with its machine. */
  interrupted(task: string, ranMs: number, stopped: boolean): void {
    // A replica has no end that it could be short of.
    if (this.runMsOf(task) === null) return;
    if (stopped && this.savesOf(task)) this.saved.set(task, (this.saved.get(task) ?? 0) + ranMs);
    else this.redoneMs += ranMs;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const w of this.workers.values()) w.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readJson(req);
    if (this.silent) {
      this.unanswered += 1;
      res.on('close', () => (this.givenUp += 1));
      return;
    }
    if (this.odd) return sendJson(res, 200, { Hulls: 7, Berths: 'none' });
    const path = (req.url ?? '').split('?')[0];
    if (path === '/machine_types') {
      const Hulls = [
        {
          Label: 'c8',
          Cpus: 8,
          Accelerators: 0,
          MemoryGb: 32,
          CacheGb: 50,
          FetchGbPerS: 1,
          Price: 1,
          SpotPrice: 0.3,
          StartupS: 1,
          Yards: ['a', 'b'],
        },
      ];
      return sendJson(res, 200, { Hulls });
    }
    if (path === '/machines/delete') {
      for (const name of (body as { Berths: string[] }).Berths) {
        this.workers.get(name)?.stop();
        if (this.workers.delete(name)) this.returned.push(name);
      }
      return sendJson(res, 200, {});
    }
    if (req.method === 'POST') {
      const b = body as {
        Hire: string;
        Hull: string;
        Yard: string;
        Loaners: boolean;
        HowMany: number;
      };
      const before = this.hires.get(b.Hire);
      if (before) return sendJson(res, 200, { Berths: before });
      const free = Math.min(b.HowMany, this.capacity - this.workers.size);
      if (free <= 0) return sendJson(res, 503, { error: 'no capacity' });
      const names: string[] = [];
      for (let i = 0; i < free; i += 1) {
        const name = `n-${String(this.next++).padStart(6, '0')}`;
        this.workers.set(name, new Worker(name, b.Hull, b.Yard, b.Loaners, this));
        names.push(name);
      }
      this.hires.set(b.Hire, names);
      return sendJson(res, 200, { Berths: names });
    }
    const Berths = [...this.workers.values()].map((w) => ({
      Ref: w.name,
      Endpoint: '127.0.0.1:9',
      Hull: w.hull,
      Yard: w.zone,
      Loaners: w.spot,
      Status: 'running',
      HeldS: 1,
    }));
    return sendJson(res, 200, { Berths, More: false });
  }
}
