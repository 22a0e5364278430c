/** Controllers in this process, with stand-ins for cloud and key-value store on loopback. */
import { createServer, type Server, type Socket } from 'node:net';
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

/** A log that discards everything. */
export const log = pino({ level: 'silent' });
/** What `cleanUp` runs after a test. */
export const cleanups: (() => void)[] = [];

/** Stops what a test has started, in reverse order. */
export const cleanUp = (): void => {
  for (const clean of cleanups.splice(0).reverse()) clean();
};

/** Below the ephemeral ports, which the system assigns to connections and servers on port 0. */
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
 * Returns a port on which nothing listens. Each process starts in a range of its own and returns no
 * port twice, so that no other test takes it before it is used.
 */
export const freePort = async (): Promise<number> => {
  do {
    lastPort = lastPort < PORTS.last ? lastPort + 1 : PORTS.first;
  } while (!(await canListen(lastPort)));
  return lastPort;
};

/** Polls until the result is truthy; only the test's own time-out limits the wait. */
export const until = async <T>(
  poll: () => Promise<T | null | false | undefined> | T | null | false | undefined,
): Promise<T> => {
  for (;;) {
    const value = await poll();
    if (value) return value;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
};

/** A controller, the address of its API, and functions that act on it. */
export interface ClusterNode {
  address: string;
  controller: Controller;
  /** Closes the connections from its peers, and refuses new ones. */
  refusePeers: () => void;
  stop: () => void;
}

/** Options of a cluster. */
export interface ClusterOptions {
  /** Number of machines that the cloud can provision. */
  readonly capacity?: number;
  readonly leaderLeaseMs?: number;
  readonly heartbeatIntervalS?: number;
  /** Whether workers answer inspections. */
  readonly servesInspections?: boolean;
  /** Position of a controller that is cut off from its peers. */
  readonly isolatedNode?: number;
  /** Limits of the key-value store, under their names in the settings. */
  readonly storeLimits?: object;
  readonly log?: Log;
}

/** Addresses of one controller, its peers, the cloud and the key-value store. */
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
  const peerSockets = new Set<Socket>();
  peers.on('connection', (socket) => peerSockets.add(socket));
  const refusePeers = () => {
    peers.close();
    for (const socket of peerSockets) socket.destroy();
  };
  controller.start();
  const stop = () => {
    controller.stop();
    api.closeAllConnections();
    api.close();
    peers.close();
  };
  cleanups.push(stop);
  return { address: api_addr, controller, refusePeers, stop };
};

/** Starts stand-ins and controllers; waits until all are ready and one leads. */
export const startCluster = async (count: number, options: ClusterOptions = {}) => {
  const { capacity = 3, isolatedNode = -1 } = options;
  const state = new KeyValueStoreServer();
  const cloud = new Cloud(capacity);
  cloud.servesInspections = options.servesInspections ?? false;
  const storeEndpoints = await Promise.all(
    Array.from({ length: count }, () => state.openEndpoint()),
  );
  const cloudAddress = await cloud.listen();
  cleanups.push(
    () => state.close(),
    () => cloud.close(),
  );
  const ports: { api: number; back: number }[] = [];
  for (let i = 0; i < count; i += 1) ports.push({ api: await freePort(), back: await freePort() });
  cloud.controllerAddresses = ports.map((p) => `127.0.0.1:${p.api}`);
  cloud.controllerNames = ports.map((_, i) => `node-${i}`);
  const unusedPort = await freePort();
  const endpointOf = (i: number, j: number) =>
    `127.0.0.1:${i === isolatedNode || j === isolatedNode ? unusedPort : ports[j]!.back}`;
  const start = (i: number): ClusterNode => {
    const seeds = ports.flatMap((_, j) =>
      j === i ? [] : [{ node: `node-${j}`, zone: 'a', endpoint: endpointOf(i, j) }],
    );
    const { api, back } = ports[i]!;
    const addresses = {
      api: `127.0.0.1:${api}`,
      back: `127.0.0.1:${back}`,
      seeds,
      outside: { cloud: cloudAddress, state: storeEndpoints[i]!.address },
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

/** The body of a job submission, in protocol format. */
export const jobBody = (id: string, overrides: object = {}) => ({
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
  ...overrides,
});

/** Requests a job from a controller; null without a response. */
export const getJob = async (address: string, id: string) =>
  (await requestJson(address, `/api/jobs/${id}`, undefined, 'GET')) as {
    status: number;
    body: Record<string, unknown>;
  } | null;
