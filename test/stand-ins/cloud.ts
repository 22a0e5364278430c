/** A stand-in for the cloud that implements its protocol. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson, sendJson } from './http.js';
import { type TaskEvent, Worker, type WorkerEnvironment } from './worker.js';

/** A provision request, in protocol format. */
interface ProvisionRequest {
  readonly Hire: string;
  readonly Hull: string;
  readonly Yard: string;
  readonly Loaners: boolean;
  readonly HowMany: number;
}

/** The machine type that it offers at first, in protocol format. */
export const MACHINE_TYPE = {
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

/** An HTTP server that provisions machines, whose workers run in this process. */
export class Cloud implements WorkerEnvironment {
  /** Addresses of the controllers, and their names in the same order. */
  controllerAddresses: string[] = [];
  controllerNames: string[] = [];
  /** Default run time of a task. */
  taskMs = 20;
  /** The machine types that it offers, in protocol format. */
  machineTypes: object[] = [MACHINE_TYPE];
  /** Answers as in an outage. */
  isDown = false;
  /** Accepts requests and never answers them. */
  isUnresponsive = false;
  /** Unanswered requests, and those of them whose client closed the connection. */
  unansweredRequests = 0;
  abandonedRequests = 0;
  /** Answers with bodies that violate the protocol. */
  sendsMalformedAnswers = false;
  readonly starts: string[] = [];
  readonly taskEvents: TaskEvent[] = [];
  /** Machines that a controller deleted, in order. */
  readonly returnedMachines: string[] = [];
  /** Progress of each task at its last checkpoint. */
  private readonly checkpointedMs = new Map<string, number>();
  /** Run time of interrupted tasks that no checkpoint saved. */
  lostRunMs = 0;
  /** Whether a task writes a checkpoint when it is stopped. */
  writesCheckpoints: (task: string) => boolean = () => false;
  /** Whether workers of machines provisioned from now on answer inspections. */
  servesInspections = false;
  /** Interval between the heartbeats of a worker. */
  heartbeatMs = 60;
  /** Run time of a task; null if it never ends. */
  runMsOf: (task: string) => number | null = () => this.taskMs;
  readonly workers = new Map<string, Worker>();
  /** Machines by provision request; a repeated request returns the same ones. */
  readonly machinesByRequest = new Map<string, string[]>();
  private nextMachine = 0;
  private readonly server: Server;

  constructor(private readonly capacity: number) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** Remaining run time of a task; null if it never ends. */
  remainingMsOf(task: string): number | null {
    const runMs = this.runMsOf(task);
    return runMs === null ? null : Math.max(0, runMs - (this.checkpointedMs.get(task) ?? 0));
  }

  /** Counts the run time of a stopped or lost task as saved by a checkpoint or lost. */
  recordInterruption(task: string, ranMs: number, stopped: boolean): void {
    // A replica never ends, so it has no progress to lose.
    if (this.runMsOf(task) === null) return;
    if (stopped && this.writesCheckpoints(task))
      this.checkpointedMs.set(task, (this.checkpointedMs.get(task) ?? 0) + ranMs);
    else this.lostRunMs += ranMs;
  }

  /** Starts the server; returns its address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Counts open connections. */
  countConnections(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.getConnections((error, count) => (error ? reject(error) : resolve(count)));
    });
  }

  /** Stops the server and all workers. */
  close(): void {
    for (const worker of this.workers.values()) worker.stop();
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
    if (this.isDown) return sendJson(res, 503, { error: 'trouble' });
    if (this.sendsMalformedAnswers) return sendJson(res, 200, { Hulls: 7, Berths: 'none' });
    const path = (req.url ?? '').split('?')[0];
    if (path === '/machine_types') return sendJson(res, 200, { Hulls: this.machineTypes });
    if (path === '/machines/delete') {
      this.deleteMachines((body as { Berths: string[] }).Berths);
      return sendJson(res, 200, {});
    }
    if (req.method === 'POST') return this.provision(body as ProvisionRequest, res);
    return sendJson(res, 200, { Berths: this.listMachines(), More: false });
  }

  private deleteMachines(ids: readonly string[]): void {
    for (const id of ids) {
      this.workers.get(id)?.stop();
      if (this.workers.delete(id)) this.returnedMachines.push(id);
    }
  }

  private provision(request: ProvisionRequest, res: ServerResponse): void {
    const provisioned = this.machinesByRequest.get(request.Hire);
    if (provisioned) return sendJson(res, 200, { Berths: provisioned });
    const free = Math.min(request.HowMany, this.capacity - this.workers.size);
    if (free <= 0) return sendJson(res, 503, { error: 'no capacity' });
    const ids: string[] = [];
    for (let i = 0; i < free; i += 1) {
      const id = `n-${String(this.nextMachine++).padStart(6, '0')}`;
      const machine = { id, type: request.Hull, zone: request.Yard, spot: request.Loaners };
      this.workers.set(id, new Worker(machine, this));
      ids.push(id);
    }
    this.machinesByRequest.set(request.Hire, ids);
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
