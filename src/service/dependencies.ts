/** Settings, logging and clients of external services. */
import type { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import type { Log } from '../adapters/logging/log.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { WorkerClient } from '../adapters/workers/worker-client.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { NodeId } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machine.js';
import type { Policy } from '../core/model/policy.js';
import type { Instant } from '../core/model/time.js';
import type { KeyValueStore } from '../ports/key-value-store.js';
import type { Peer } from '../ports/peer.js';

/** What a controller's components share; only the machine types change after the start. */
export interface Dependencies {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly log: Log;
  readonly jitter: Jitter;
  /** For admissions and reads; its share of the write limit is separate from the batches'. */
  readonly store: KeyValueStore;
  /** `store` for the election, whose requests must not wait behind users' questions. */
  readonly electionStore: KeyValueStore;
  /** For the leader's batches, listings and watches. */
  readonly batchStore: KeyValueStore;
  readonly cloud: CloudClient;
  readonly workers: WorkerClient;
  readonly peers: ReadonlyMap<NodeId, Peer>;
  readonly extensions: readonly ExtensionModule[];
  /** null before discovery, when submissions are answered as unavailable. */
  machineTypes: readonly MachineType[] | null;
  /** When the cloud listed them; null if they are from the key-value store. */
  machineTypesReadAt: Instant | null;
  /** Runs a named task in the background; the process exits if the task fails. */
  readonly runInBackground: (name: string, work: () => Promise<void>) => void;
}
