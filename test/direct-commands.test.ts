/** Commands sent straight to workers. */
import { createServer as createHttpServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { WorkerClient } from '../src/adapters/workers/worker-client.js';
import type { FencingToken } from '../src/core/model/ids.js';
import { cleanUp, cleanups } from './stand-ins/cluster.js';

afterEach(cleanUp);

describe('direct commands', () => {
  it('reach many machines at once, as when a large job is cancelled', async () => {
    const count = 90;
    const waiting: (() => void)[] = [];
    const heartbeat = JSON.stringify({
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
          waiting.push(() =>
            res.writeHead(200, { 'content-type': 'application/json' }).end(heartbeat),
          );
          // Nobody is answered before all have received theirs.
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
    expect(answers.filter((heartbeat) => heartbeat?.machine === 'n-1')).toHaveLength(count);
  });

  it('use no more sockets than allowed, and are all sent', async () => {
    let open = 0;
    let maxOpen = 0;
    let received = 0;
    const server = createHttpServer((_, res) => {
      received += 1;
      setImmediate(() => res.writeHead(409).end('{}'));
    });
    server.on('connection', (socket) => {
      open += 1;
      maxOpen = Math.max(maxOpen, open);
      socket.on('close', () => (open -= 1));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const { port } = server.address() as AddressInfo;
    const client = new WorkerClient(5);
    const requests = Array.from({ length: 40 }, () =>
      client.sendCommands(`127.0.0.1:${port}`, 7 as FencingToken, 1, []),
    );
    await Promise.all(requests);
    expect(received).toBe(40);
    expect(maxOpen).toBeLessThanOrEqual(5);
  });
});
