/** What the parts of a controller share: settings, logging, and the clients of the outside. */
import type { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import type { Log } from '../adapters/logging/log.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { WorkerClient } from '../adapters/workers/worker-client.js';
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { NodeId } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machine.js';
import type { Policy } from '../core/model/policy.js';
import type { KeyValueStore } from '../ports/key-value-store.js';
import type { Peer } from '../ports/peer.js';

/** Made once for each controller; all but the machine types stays as it is. */
export interface Dependencies {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly log: Log;
  readonly jitter: Jitter;
  /** For admissions and reads; it draws on another share of the write limit than the batches. */
  readonly store: KeyValueStore;
  /** For the leader's batches and watches. */
  readonly batchStore: KeyValueStore;
  readonly cloud: CloudClient;
  readonly workers: WorkerClient;
  readonly peers: ReadonlyMap<NodeId, Peer>;
  /** Enabled extensions. */
  readonly extensions: readonly ExtensionModule[];
  /** null until discovered; no submission is judged before. */
  machineTypes: readonly MachineType[] | null;
  /** Runs work in the background; should it fail, the process ends. */
  readonly runInBackground: (name: string, work: () => Promise<void>) => void;
}
