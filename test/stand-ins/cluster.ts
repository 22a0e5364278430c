/** Controllers in this process, against our own stand-ins on loopback. */
import { type AddressInfo, createServer, type Server } from 'node:net';
import pino from 'pino';
import { DEFAULT_POLICY } from '../../src/adapters/configuration/policy.js';
import { parseSettings } from '../../src/adapters/configuration/settings.js';
import { startApi } from '../../src/adapters/http/api-server.js';
import type { Log } from '../../src/adapters/logging/log.js';
import { servePeers } from '../../src/adapters/peers/peer-server.js';
import { Jitter } from '../../src/adapters/runtime/random.js';
import { Controller } from '../../src/service/controller.js';
import { Cloud } from './cloud.js';
import { post } from './http.js';
import { KeyValueStoreServer } from './key-value-store.js';
import { settingsText } from './settings.js';

export const log = pino({ level: 'silent' });
export const cleanups: (() => void)[] = [];
/** Ends what a test has started, the last first. */
export const cleanUp = (): void => {
  for (const clean of cleanups.splice(0).reverse()) clean();
};

export const freePort = async (): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
};

/** Waits for something to become true; the test's own time-out is the only clock. */
export const until = async <T>(
  what: () => Promise<T | null | false | undefined> | T | null | false | undefined,
): Promise<T> => {
  for (;;) {
    const value = await what();
    if (value) return value;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
};

export interface Node {
  at: string;
  controller: Controller;
  stop: () => void;
}

/** `lonely`: a node that no peer reaches and that reaches none. */
export const cluster = async (
  count: number,
  capacity = 3,
  leaderLeaseMs = 600,
  lonely = -1,
  reportS = 0.2,
  change: { state?: object; log?: Log } = {},
) => {
  const state = new KeyValueStoreServer();
  const cloud = new Cloud(capacity);
  const fronts = await Promise.all(Array.from({ length: count }, () => state.front()));
  const cloudAt = await cloud.listen();
  cleanups.push(
    () => state.close(),
    () => cloud.close(),
  );
  const ports: { api: number; back: number }[] = [];
  for (let i = 0; i < count; i += 1) ports.push({ api: await freePort(), back: await freePort() });
  cloud.nodes = ports.map((p) => `127.0.0.1:${p.api}`);
  cloud.names = ports.map((_, i) => `node-${i}`);
  const nowhere = await freePort();
  const backOf = (i: number, j: number) =>
    i === lonely || j === lonely ? nowhere : ports[j]!.back;
  const told = change.log ?? log;
  const start = (i: number): Node => {
    const base = JSON.parse(settingsText()) as { params: { workers: unknown; state: object } };
    base.params.workers = { report_s: reportS, lease_s: 16, cancel_s: 40 };
    Object.assign(base.params.state, change.state);
    const settings = parseSettings(
      JSON.stringify({
        ...base,
        node: `node-${i}`,
        api_addr: `127.0.0.1:${ports[i]!.api}`,
        back: `127.0.0.1:${ports[i]!.back}`,
        seeds: ports.flatMap((_, j) =>
          j === i ? [] : [{ node: `node-${j}`, zone: 'a', endpoint: `127.0.0.1:${backOf(i, j)}` }],
        ),
        outside: { cloud: cloudAt, state: fronts[i]!.at },
      }),
    );
    const controller = new Controller({
      settings,
      policy: { ...DEFAULT_POLICY, leaderLeaseMs },
      log: told,
      jitter: new Jitter(i + 1),
    });
    const api = startApi(settings, controller, told);
    const peers: Server = servePeers(
      settings.peerAddress,
      (q) => controller.handlePeerRequest(q),
      () => {},
    );
    controller.start();
    const stop = () => {
      controller.stop();
      api.closeAllConnections();
      api.close();
      peers.close();
    };
    cleanups.push(stop);
    return { at: `127.0.0.1:${ports[i]!.api}`, controller, stop };
  };
  const nodes = ports.map((_, i) => start(i));
  for (const node of nodes)
    await until(async () => (await post(node.at, '/up', undefined, 'GET'))?.status === 200);
  await until(() => nodes.some((n) => n.controller.authority() === 'lead'));
  return { state, cloud, nodes, fronts, start };
};

export const body = (id: string, change: object = {}) => ({
  Ref: id,
  Lane: 'any',
  Crew: 'blue',
  Shape: 'sweep',
  Rank: 'standard',
  Pieces: 3,
  Cpus: 1,
  Accelerators: 0,
  MemoryGb: 1,
  Bundle: 'img',
  ImageGb: 1,
  Hulls: null,
  Yard: null,
  OneZone: false,
  Scatter: false,
  Loaners: true,
  GuessS: 5,
  BookmarkS: 0,
  StowS: 0,
  DueS: null,
  ...change,
});

export const status = async (at: string, id: string) =>
  (await post(at, `/api/jobs/${id}`, undefined, 'GET')) as {
    status: number;
    body: Record<string, unknown>;
  } | null;
