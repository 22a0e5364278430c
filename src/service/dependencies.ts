/** What the parts of a controller share. */
import type { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import type { StateClient } from '../adapters/key-value-store/key-value-store-client.js';
import type { Log } from '../adapters/logging/log.js';
import type { Peer } from '../adapters/peers/peer-link.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { WorkerClient } from '../adapters/workers/worker-client.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { MachineType, NodeId, Policy } from '../core/types.js';

export interface Dependencies {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly log: Log;
  readonly jitter: Jitter;
  /** The leader's batches and admissions draw on separate shares of the write limit. */
  readonly state: StateClient;
  readonly batchState: StateClient;
  readonly cloud: CloudClient;
  readonly workers: WorkerClient;
  readonly peers: ReadonlyMap<NodeId, Peer>;
  /** Optional packages that are enabled. */
  readonly extensions: readonly ExtensionModule[];
  /** null until they are known. */
  types: readonly MachineType[] | null;
  /** Work that goes on by itself; should it fail, the process ends. */
  readonly spawn: (name: string, work: () => Promise<void>) => void;
}
