/** Controllers in this process, beside stand-ins of cloud and key-value store on loopback. */
import { createServer, type Server } from 'node:net';
import pino from 'pino';
import { DEFAULT_POLICY } from '../../src/adapters/configuration/policy.js';
import { parseSettings } from '../../src/adapters/configuration/settings.js';
import { startApi } from '../../src/adapters/http/api-server.js';
import type { Log } from '../../src/adapters/logging/log.js';
import { servePeers } from '../../src/adapters/peers/peer-server.js';
import { Jitter } from '../../src/adapters/runtime/random.js';
import { Controller } from '../../src/service/controller.js';
import { Cloud } from './cloud.js';
import { requestJson } from './http.js';
import { KeyValueStoreServer } from './key-value-store.js';
import { settingsText } from './settings.js';

/** A log that is not kept. */
export const log = pino({ level: 'silent' });
/** What is to end when the test has. */
export const cleanups: (() => void)[] = [];

/** Ends what a test has started, the last first. */
export const cleanUp = (): void => {
  for (const clean of cleanups.splice(0).reverse()) clean();
};

/** Below the ports that the system gives to outgoing connections and to servers on port 0. */
const PORTS = { first: 10_000, last: 29_999, perProcess: 100 };
let lastPort = PORTS.first + (process.pid % 200) * PORTS.perProcess;

const canListen = async (port: number): Promise<boolean> => {
  const server = createServer();
  const isFree = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  if (isFree) await new Promise((resolve) => server.close(resolve));
  return isFree;
};

/**
 * A port on which nothing listens. Processes begin in ranges of their own, and none gives a port
 * twice, so that no other test takes it before it is used.
 */
export const freePort = async (): Promise<number> => {
  do {
    lastPort = lastPort < PORTS.last ? lastPort + 1 : PORTS.first;
  } while (!(await canListen(lastPort)));
  return lastPort;
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

/** A controller, its API's address, and how to end it. */
export interface ClusterNode {
  address: string;
  controller: Controller;
  stop: () => void;
}

/** What a test may set about a cluster. */
export interface ClusterOptions {
  /** How many machines the cloud has. */
  readonly capacity?: number;
  readonly leaderLeaseMs?: number;
  readonly heartbeatIntervalS?: number;
  /** A controller, by position, that no peer reaches and that reaches none. */
  readonly isolatedNode?: number;
  /** Limits of the key-value store, as the settings name them. */
  readonly storeLimits?: object;
  readonly log?: Log;
}

/** Addresses of one controller and of what it reaches. */
interface NodeAddresses {
  readonly api: string;
  readonly back: string;
  readonly seeds: readonly { readonly node: string; readonly zone: string; endpoint: string }[];
  readonly outside: { readonly cloud: string; readonly state: string };
}

const startNode = (i: number, addresses: NodeAddresses, options: ClusterOptions): ClusterNode => {
  const { leaderLeaseMs = 600, heartbeatIntervalS = 0.2, storeLimits } = options;
  const { api: api_addr, ...others } = addresses;
  const nodeLog = options.log ?? log;
  const base = JSON.parse(settingsText()) as { params: { workers: unknown; state: object } };
  base.params.workers = { report_s: heartbeatIntervalS, lease_s: 16, cancel_s: 40 };
  Object.assign(base.params.state, storeLimits);
  const settings = parseSettings(
    JSON.stringify({ ...base, node: `node-${i}`, api_addr, ...others }),
  );
  const controller = new Controller({
    settings,
    policy: { ...DEFAULT_POLICY, leaderLeaseMs },
    log: nodeLog,
    jitter: new Jitter(i + 1),
  });
  const api = startApi(settings, controller, nodeLog);
  const peers: Server = servePeers(
    settings.peerAddress,
    (request) => controller.handlePeerRequest(request),
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
  return { address: api_addr, controller, stop };
};

/** Starts controllers beside stand-ins, and waits until all are ready and one leads. */
export const startCluster = async (count: number, options: ClusterOptions = {}) => {
  const { capacity = 3, isolatedNode = -1 } = options;
  const state = new KeyValueStoreServer();
  const cloud = new Cloud(capacity);
  const storeEndpoints = await Promise.all(
    Array.from({ length: count }, () => state.openEndpoint()),
  );
  const cloudAt = await cloud.listen();
  cleanups.push(
    () => state.close(),
    () => cloud.close(),
  );
  const ports: { api: number; back: number }[] = [];
  for (let i = 0; i < count; i += 1) ports.push({ api: await freePort(), back: await freePort() });
  cloud.controllerAddresses = ports.map((p) => `127.0.0.1:${p.api}`);
  cloud.controllerNames = ports.map((_, i) => `node-${i}`);
  const nowhere = await freePort();
  const endpointOf = (i: number, j: number) =>
    `127.0.0.1:${i === isolatedNode || j === isolatedNode ? nowhere : ports[j]!.back}`;
  const start = (i: number): ClusterNode => {
    const seeds = ports.flatMap((_, j) =>
      j === i ? [] : [{ node: `node-${j}`, zone: 'a', endpoint: endpointOf(i, j) }],
    );
    const { api, back } = ports[i]!;
    const addresses = {
      api: `127.0.0.1:${api}`,
      back: `127.0.0.1:${back}`,
      seeds,
      outside: { cloud: cloudAt, state: storeEndpoints[i]!.address },
    };
    return startNode(i, addresses, options);
  };
  const nodes = ports.map((_, i) => start(i));
  for (const node of nodes)
    await until(
      async () => (await requestJson(node.address, '/up', undefined, 'GET'))?.status === 200,
    );
  await until(() => nodes.some((n) => n.controller.authority() === 'lead'));
  return { state, cloud, nodes, storeEndpoints, start };
};

/** A job to submit, in the protocol's words. */
export const jobBody = (id: string, change: object = {}) => ({
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

/** What a controller tells of a job. */
export const getJob = async (at: string, id: string) =>
  (await requestJson(at, `/api/jobs/${id}`, undefined, 'GET')) as {
    status: number;
    body: Record<string, unknown>;
  } | null;
