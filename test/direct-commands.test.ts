/** Commands sent to workers directly, outside of heartbeat replies. */
import { createServer as createHttpServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { WorkerClient } from '../src/adapters/workers/worker-client.js';
import type { FencingToken } from '../src/core/model/ids.js';
import { cleanUp, cleanups } from './stand-ins/cluster.js';

afterEach(cleanUp);

describe('WorkerClient', () => {
  it('sends commands to many machines concurrently, as to cancel a large job', async () => {
    const machineCount = 90;
    const heldResponses: (() => void)[] = [];
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
      Array.from({ length: machineCount }, async () => {
        const server = createHttpServer((_, res) => {
          heldResponses.push(() =>
            res.writeHead(200, { 'content-type': 'application/json' }).end(heartbeat),
          );
          // No request is answered before all have arrived.
          if (heldResponses.length === machineCount) for (const respond of heldResponses) respond();
        });
        await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
        cleanups.push(
          () => server.close(),
          () => server.closeAllConnections(),
        );
        return server;
      }),
    );
    const client = new WorkerClient(machineCount);
    const responses = await Promise.all(
      servers.map((server) => {
        const { port } = server.address() as AddressInfo;
        return client.sendCommands(`127.0.0.1:${port}`, 7 as FencingToken, 1, []);
      }),
    );
    expect(responses.filter((heartbeat) => heartbeat?.machine === 'n-1')).toHaveLength(
      machineCount,
    );
  });

  it('opens no more sockets than allowed, and sends all commands', async () => {
    let openSockets = 0;
    let maxOpenSockets = 0;
    let receivedRequests = 0;
    const server = createHttpServer((_, res) => {
      receivedRequests += 1;
      setImmediate(() => res.writeHead(409).end('{}'));
    });
    server.on('connection', (socket) => {
      openSockets += 1;
      maxOpenSockets = Math.max(maxOpenSockets, openSockets);
      socket.on('close', () => (openSockets -= 1));
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
    expect(receivedRequests).toBe(40);
    expect(maxOpenSockets).toBeLessThanOrEqual(5);
  });
});
