/** Clients of a controller's external services, and shares of their limits. */
import { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import { KeyValueStoreClient } from '../adapters/key-value-store/key-value-store-client.js';
import type { RateShares } from '../adapters/key-value-store/store-rates.js';
import { type Log, LogDeduplicator } from '../adapters/logging/log.js';
import { PeerClient } from '../adapters/peers/peer-client.js';
import { WorkerClient } from '../adapters/workers/worker-client.js';
import type { Dependencies } from './dependencies.js';
import { MIN_BATCH_WRITE_SHARE } from './write-share.js';

/**
 * Shares of the key-value store's rate limits. All nodes' admissions together may exceed what the
 * leader's batches leave: users have priority, and a batch refused by the rate limit is retried.
 */
const RATE_SHARES = {
  batches: { reads: 0.3, writes: MIN_BATCH_WRITE_SHARE },
  allNodes: { reads: 0.7, writes: 1.25 },
} as const;
/** Share of the connection quota for commands to workers, and its minimum in sockets. */
const COMMAND_SOCKET_SHARE = 0.08;
const MIN_COMMAND_SOCKETS = 10;

/** Applies a share to the store's current limits, and to the announced lower ones. */
const rateSharesOf = (
  { rps, writeRps, nextRps, nextWriteRps }: Settings['keyValueStoreLimits'],
  { reads, writes }: { readonly reads: number; readonly writes: number },
): RateShares => ({
  rps: rps * reads,
  writeRps: writeRps * writes,
  lowered: { rps: nextRps * reads, writeRps: nextWriteRps * writes },
});

/** Logs malformed answers, once for each service and kind of request. */
const makeMalformedAnswerLogger = (log: Log) => {
  const logged = new LogDeduplicator();
  return (service: string) =>
    (request: string): void => {
      if (logged.isFirstOccurrence(`${service} ${request}`))
        log.info({ service, request }, 'malformed answer');
    };
};

/** Dependencies that the caller of `createDependencies` provides. */
export type ProvidedDependencies = Pick<
  Dependencies,
  'settings' | 'policy' | 'log' | 'jitter' | 'extensions' | 'runInBackground'
>;

/** Creates the clients of the key-value store, the cloud, the workers and the peers. */
export const createDependencies = (provided: ProvidedDependencies): Dependencies => {
  const { settings, log } = provided;
  const malformedAnswerLoggerFor = makeMalformedAnswerLogger(log);
  const nodes = settings.peers.length + 1;
  const { allNodes, batches } = RATE_SHARES;
  const nodeShare = { reads: allNodes.reads / nodes, writes: allNodes.writes / nodes };
  const openStore = (share: { readonly reads: number; readonly writes: number }) =>
    new KeyValueStoreClient(
      settings.keyValueStore,
      rateSharesOf(settings.keyValueStoreLimits, share),
      malformedAnswerLoggerFor('key-value store'),
    );
  const store = openStore(nodeShare);
  const commandSockets = Math.floor(settings.quota.maxConnections * COMMAND_SOCKET_SHARE);
  return {
    ...provided,
    store,
    electionStore: store.urgent(),
    batchStore: openStore(batches),
    cloud: new CloudClient(
      settings.cloud,
      settings.cloudLimits.rps,
      malformedAnswerLoggerFor('cloud'),
    ),
    workers: new WorkerClient(Math.max(MIN_COMMAND_SOCKETS, commandSockets)),
    peers: new Map(
      settings.peers.map((peer) => [peer.node, new PeerClient(peer.node, peer.endpoint)]),
    ),
    machineTypes: null,
    machineTypesReadAt: null,
  };
};

/** Closes the clients of the key-value store, the cloud and the peers. */
export const closeDependencies = ({ store, batchStore, cloud, peers }: Dependencies): void => {
  store.close();
  batchStore.close();
  cloud.close();
  for (const peer of peers.values()) peer.close();
};
