/** Constants and options of the simulated world. */
import type { ExtensionModule } from '../../../src/core/extensions/extension.js';
import { graceAfterLeaseLoss } from '../../../src/core/lifecycle/worker-leases.js';
import type { Millis } from '../../../src/core/model/time.js';
import { machineType, team } from '../builders.js';

/** Interval of a worker's heartbeats, without jitter. */
export const HEARTBEAT_MS = 2000;

/** How long a worker runs its tasks without a reply. */
export const WORKER_LEASE_MS = 16_000;

/** How long tasks of a cancelled job may run after the cancellation is stored. */
export const CANCEL_MS = 40_000;

/** The longest grace that the settings allow, to detect tasks kept alive for too long. */
export const GRACE_MS = graceAfterLeaseLoss(CANCEL_MS as Millis, WORKER_LEASE_MS as Millis);

/** Time-out of a worker for the reply to a heartbeat. */
export const ANSWER_TIMEOUT_MS = 4000;

export const MACHINE_TYPE = machineType('c8', { bootS: 5 });

export const TEAMS = [team('blue', 20), team('green', 12)];

/** Limits of the key-value store until they are reduced. */
export const INITIAL_LIMITS = { maxValueBytes: 8192, maxTransactionOperations: 12 };

/** Limits after the reduction; leaders of the current version always respect them. */
export const REDUCED_LIMITS = { maxValueBytes: 1024, maxTransactionOperations: 3 };

/** Options of a simulated world. */
export interface WorldOptions {
  /** An extension that every leader of the current version runs. */
  readonly module?: ExtensionModule;
  /** At first, leaders may be of the previous version; the default. */
  readonly bothVersions?: boolean;
  /** Services may be critical and preempt arrays' tasks; the default. */
  readonly preemption?: boolean;
  /** Machines are provisioned in the requested zone instead of a drawn one. */
  readonly keepZones?: boolean;
  /** Maximum number of machines. */
  readonly maxMachines?: number;
}
