/** What the parts of a controller share. */
import type { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import type { KeyValueStoreClient } from '../adapters/key-value-store/key-value-store-client.js';
import type { Log } from '../adapters/logging/log.js';
import type { Peer } from '../adapters/peers/peer-link.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { WorkerClient } from '../adapters/workers/worker-client.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { NodeId } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machine.js';
import type { Policy } from '../core/model/policy.js';

export interface Dependencies {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly log: Log;
  readonly jitter: Jitter;
  /** The leader's batches and admissions draw on separate shares of the write limit. */
  readonly store: KeyValueStoreClient;
  readonly batchStore: KeyValueStoreClient;
  readonly cloud: CloudClient;
  readonly workers: WorkerClient;
  readonly peers: ReadonlyMap<NodeId, Peer>;
  /** Optional packages that are enabled. */
  readonly extensions: readonly ExtensionModule[];
  /** null until they are known. */
  machineTypes: readonly MachineType[] | null;
  /** Work that goes on by itself; should it fail, the process ends. */
  readonly spawn: (name: string, work: () => Promise<void>) => void;
}
