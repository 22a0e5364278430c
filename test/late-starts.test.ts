/**
 * Late copies of messages whose commands were carried out and answered before. Guards against a
 * start that reaches its worker again, so that a task runs on two machines or after its
 * cancellation. Starts travel in heartbeat replies only (`StartCommand`), so what may make one come
 * again is a copy of a heartbeat: at the same leader, at one that is back within a second, at its
 * successor, or while one is elected.
 */
import { afterEach, describe, expect, it } from 'vitest';
import {
  type ClusterNode,
  cleanUp,
  getJob,
  jobBody,
  startCluster,
  until,
} from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';

afterEach(cleanUp);

interface Order {
  readonly Verb: string;
  readonly Piece: string;
  readonly Try: number;
}

interface Task {
  readonly Piece: string;
  readonly Try: number;
  Status: 'running' | 'ended';
  Cause?: string;
}

/** A worker whose heartbeats are sent by the test, which may send copies of them later. */
class RecordingWorker {
  /** The body of each heartbeat so far. */
  readonly sent: object[] = [];
  /** Starts carried out, as `task#attempt`. */
  readonly started: string[] = [];
  readonly tasks = new Map<string, Task>();
  private tick = 0;
  private token = 0;

  constructor(private readonly id: string) {}

  private body(): object {
    this.tick += 1;
    return {
      Berth: this.id,
      Endpoint: '127.0.0.1:9',
      Hull: 'c8',
      Yard: 'a',
      Loaners: false,
      Tenure: 1,
      Tick: this.tick,
      Baton: this.token,
      RecallS: null,
      Pieces: [...this.tasks.values()].map((task) => ({ ...task })),
    };
  }

  /** Sends a heartbeat to the leader and carries out what the reply contains. */
  async report(nodes: readonly ClusterNode[]): Promise<void> {
    const body = this.body();
    this.sent.push(body);
    for (const { address } of nodes) {
      const reply = await requestJson(address, '/checkin', body);
      if (reply?.status !== 200) continue;
      const { Baton, Orders } = reply.body as { Baton: number; Orders: Order[] };
      this.token = Math.max(this.token, Baton);
      for (const order of Orders) this.carryOut(order);
      return;
    }
  }

  private carryOut({ Verb, Piece, Try }: Order): void {
    const known = this.tasks.get(Piece);
    if (Verb === 'start' && known?.Try !== Try) {
      this.started.push(`${Piece}#${Try}`);
      this.tasks.set(Piece, { Piece, Try, Status: 'running' });
    } else if (Verb === 'kill' && known?.Try === Try) this.end(Piece, 'halted');
    else if (Verb === 'reap' && known?.Try === Try && known.Status === 'ended')
      this.tasks.delete(Piece);
  }

  end(piece: string, cause: string): void {
    const task = this.tasks.get(piece);
    if (task) Object.assign(task, { Status: 'ended', Cause: cause });
  }
}

/** The starts in the answers of all nodes to copies of all heartbeats. */
const startsAnsweringCopies = async (
  nodes: readonly ClusterNode[],
  workers: readonly RecordingWorker[],
): Promise<string[]> => {
  const bodies = workers.flatMap(({ sent }) => [...sent]);
  const requests = nodes.flatMap(({ address }) =>
    bodies.map((body) => requestJson(address, '/checkin', body)),
  );
  const replies = await Promise.all(requests);
  return replies.flatMap((reply) => {
    const orders = reply?.status === 200 ? (reply.body as { Orders: Order[] }).Orders : [];
    return orders.filter(({ Verb }) => Verb === 'start').map(({ Piece, Try }) => `${Piece}#${Try}`);
  });
};

const leaderIndex = (nodes: readonly ClusterNode[]): number =>
  nodes.findIndex(({ controller }) => controller.authority() === 'lead');

describe('copies of heartbeats whose starts were carried out', () => {
  it('start nothing again, of ended, moved and cancelled tasks, however leaders come back', async () => {
    const { nodes, start } = await startCluster(2, { capacity: 0 });
    const workers = [new RecordingWorker('n-000901'), new RecordingWorker('n-000902')];
    const [first, second] = workers as [RecordingWorker, RecordingWorker];
    const submit = (id: string) =>
      requestJson(nodes[0]!.address, '/api/jobs', jobBody(id, { Pieces: 1, Cpus: 8 }));
    const statusOf = async (id: string) => (await getJob(nodes[0]!.address, id))?.body.Status;
    const reportUntil = (worker: RecordingWorker, condition: () => unknown) =>
      until(async () => {
        await worker.report(nodes);
        return condition();
      });

    // A task that ends, and is reaped.
    await submit('job-1');
    await reportUntil(first, () => first.tasks.has('job-1/0'));
    first.end('job-1/0', 'done');
    await reportUntil(first, () => first.tasks.size === 0);
    // A task that its machine loses, and that runs on another one.
    await submit('job-2');
    await reportUntil(first, () => first.tasks.has('job-2/0'));
    await first.report(nodes);
    first.tasks.clear();
    await first.report(nodes);
    await submit('job-3');
    await reportUntil(second, () => second.tasks.size > 0);
    await reportUntil(first, () => first.tasks.size > 0);
    // A task that is cancelled.
    const cancelled = [...first.tasks.keys()][0]!;
    const [cancelledJob] = cancelled.split('/') as [string];
    await requestJson(nodes[1]!.address, `/api/jobs/${cancelledJob}/abort`, {});
    await reportUntil(first, () => first.tasks.size === 0);
    expect(await statusOf(cancelledJob)).toBe('withdrawn');

    const carriedOut = [...first.started, ...second.started];
    expect(new Set(carriedOut).size).toBe(carriedOut.length);
    const startsOf = (piece: string, starts: readonly string[]) =>
      starts.filter((start) => start.startsWith(`${piece}#`)).length;
    expect(startsOf('job-2/0', carriedOut)).toBe(2);
    const repeated: string[] = [];
    repeated.push(...(await startsAnsweringCopies(nodes, workers)));
    for (let round = 0; round < 2; round += 1) {
      // The leader ends, copies arrive at both nodes meanwhile, and it is back within a second.
      const position = leaderIndex(nodes);
      nodes[position]!.stop();
      repeated.push(...(await startsAnsweringCopies(nodes, workers)));
      nodes[position] = start(position);
      await until(async () => {
        repeated.push(...(await startsAnsweringCopies(nodes, workers)));
        return leaderIndex(nodes) >= 0;
      });
      for (let i = 0; i < 5; i += 1) {
        repeated.push(...(await startsAnsweringCopies(nodes, workers)));
        await first.report(nodes);
        await second.report(nodes);
      }
    }
    // All tasks have ended or run: nothing is to be started, again or anew.
    expect(repeated).toEqual([]);
    expect([...first.started, ...second.started]).toEqual(carriedOut);
  });
});
