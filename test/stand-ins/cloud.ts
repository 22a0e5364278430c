/** A stand-in for the cloud, written to the protocol; tasks on its machines run for `taskMs`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson, sendJson } from './http.js';
import { type TaskEvent, Worker, type WorkerEnvironment } from './worker.js';

/** A provision request, in the protocol's words. */
interface Hire {
  readonly Hire: string;
  readonly Hull: string;
  readonly Yard: string;
  readonly Loaners: boolean;
  readonly HowMany: number;
}

/** The only machine type, in the protocol's words. */
const MACHINE_TYPE = {
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
};

/** An HTTP server that provisions workers in this process. */
export class Cloud implements WorkerEnvironment {
  /** Addresses of the controllers, and their names in the same order. */
  controllerAddresses: string[] = [];
  controllerNames: string[] = [];
  /** How long tasks run. */
  taskMs = 20;
  /** Takes requests and never answers them. */
  isUnresponsive = false;
  /** How many requests got no answer, and how many of them the client gave up. */
  unansweredRequests = 0;
  abandonedRequests = 0;
  /** Answers what is none of the protocol's. */
  sendsMalformedAnswers = false;
  readonly starts: string[] = [];
  /** All that happened to tasks, in order. */
  readonly taskEvents: TaskEvent[] = [];
  /** Machines that were returned, in order. */
  readonly returnedMachines: string[] = [];
  /** How far tasks that write checkpoints have come, by their last one. */
  private readonly checkpointedMs = new Map<string, number>();
  /** The run time of other tasks that was lost. */
  lostRunMs = 0;
  /** Whether a task writes a checkpoint when it is stopped. */
  writesCheckpoints: (task: string) => boolean = () => false;
  /** Pause between the heartbeats of a worker. */
  heartbeatMs = 60;
  /** How long a task runs; null: never ends. */
  runMsOf: (task: string) => number | null = () => this.taskMs;
  readonly workers = new Map<string, Worker>();
  /** Machines by provision request; a repeated request provisions nothing new. */
  readonly machinesByRequest = new Map<string, string[]>();
  private nextMachine = 0;
  private readonly server: Server;

  constructor(private readonly capacity: number) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** What is left to run of a task. */
  remainingMsOf(task: string): number | null {
    const runMs = this.runMsOf(task);
    return runMs === null ? null : Math.max(0, runMs - (this.checkpointedMs.get(task) ?? 0));
  }

  /** A task was stopped, or lost with its machine. */
  recordInterruption(task: string, ranMs: number, stopped: boolean): void {
    // A replica has no end that it could be short of.
    if (this.runMsOf(task) === null) return;
    if (stopped && this.writesCheckpoints(task))
      this.checkpointedMs.set(task, (this.checkpointedMs.get(task) ?? 0) + ranMs);
    else this.lostRunMs += ranMs;
  }

  /** Starts to serve; returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** How many connections are open. */
  countConnections(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.getConnections((error, count) => (error ? reject(error) : resolve(count)));
    });
  }

  /** Ends the server and all workers. */
  close(): void {
    for (const w of this.workers.values()) w.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readJson(req);
    if (this.isUnresponsive) {
      this.unansweredRequests += 1;
      res.on('close', () => (this.abandonedRequests += 1));
      return;
    }
    if (this.sendsMalformedAnswers) return sendJson(res, 200, { Hulls: 7, Berths: 'none' });
    const path = (req.url ?? '').split('?')[0];
    if (path === '/machine_types') return sendJson(res, 200, { Hulls: [MACHINE_TYPE] });
    if (path === '/machines/delete') {
      this.deleteMachines((body as { Berths: string[] }).Berths);
      return sendJson(res, 200, {});
    }
    if (req.method === 'POST') return this.provision(body as Hire, res);
    return sendJson(res, 200, { Berths: this.listMachines(), More: false });
  }

  private deleteMachines(ids: readonly string[]): void {
    for (const id of ids) {
      this.workers.get(id)?.stop();
      if (this.workers.delete(id)) this.returnedMachines.push(id);
    }
  }

  private provision(hire: Hire, res: ServerResponse): void {
    const before = this.machinesByRequest.get(hire.Hire);
    if (before) return sendJson(res, 200, { Berths: before });
    const free = Math.min(hire.HowMany, this.capacity - this.workers.size);
    if (free <= 0) return sendJson(res, 503, { error: 'no capacity' });
    const ids: string[] = [];
    for (let i = 0; i < free; i += 1) {
      const id = `n-${String(this.nextMachine++).padStart(6, '0')}`;
      const machine = { id, type: hire.Hull, zone: hire.Yard, spot: hire.Loaners };
      this.workers.set(id, new Worker(machine, this));
      ids.push(id);
    }
    this.machinesByRequest.set(hire.Hire, ids);
    sendJson(res, 200, { Berths: ids });
  }

  private listMachines(): object[] {
    return [...this.workers.values()].map(({ machine: { id, type, zone, spot } }) => ({
      Ref: id,
      Endpoint: '127.0.0.1:9',
      Hull: type,
      Yard: zone,
      Loaners: spot,
      Status: 'running',
      HeldS: 1,
    }));
  }
}
