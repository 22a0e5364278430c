/** Commands sent straight to workers. */
import { createServer as createHttpServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { WorkerClient } from '../src/adapters/workers/worker-client.js';
import type { FencingToken } from '../src/core/model/ids.js';
import { cleanUp, cleanups } from './stand-ins/cluster.js';

afterEach(cleanUp);

describe('direct orders', () => {
  it('to many machines at once, as when a large job is cancelled, do not cut one another off', async () => {
    const count = 90;
    const waiting: (() => void)[] = [];
    const told = JSON.stringify({
      Berth: 'n-1',
      Endpoint: '127.0.0.1:9',
      Hull: 'c8',
      Yard: 'a',
      Tenure: 1,
      Tick: 2,
      Baton: 7,
    });
    const servers = await Promise.all(
      Array.from({ length: count }, async () => {
        const server = createHttpServer((_, res) => {
          waiting.push(() => res.writeHead(200, { 'content-type': 'application/json' }).end(told));
          // Nobody is answered before all have been asked.
          if (waiting.length === count) for (const answer of waiting) answer();
        });
        await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
        cleanups.push(
          () => server.close(),
          () => server.closeAllConnections(),
        );
        return server;
      }),
    );
    const client = new WorkerClient(count);
    const answers = await Promise.all(
      servers.map((server) => {
        const { port } = server.address() as AddressInfo;
        return client.sendCommands(`127.0.0.1:${port}`, 7 as FencingToken, 1, []);
      }),
    );
    expect(answers.filter((report) => report?.machine === 'n-1')).toHaveLength(count);
  });

  it('take no more sockets than they may, and all are sent even so', async () => {
    let open = 0;
    let most = 0;
    let asked = 0;
    const server = createHttpServer((_, res) => {
      asked += 1;
      setImmediate(() => res.writeHead(409).end('{}'));
    });
    server.on('connection', (socket) => {
      open += 1;
      most = Math.max(most, open);
      socket.on('close', () => (open -= 1));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const { port } = server.address() as AddressInfo;
    const client = new WorkerClient(5);
    const orders = Array.from({ length: 40 }, () =>
      client.sendCommands(`127.0.0.1:${port}`, 7 as FencingToken, 1, []),
    );
    await Promise.all(orders);
    expect(asked).toBe(40);
    expect(most).toBeLessThanOrEqual(5);
  });
});
