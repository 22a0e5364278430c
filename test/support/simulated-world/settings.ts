/** Fixed figures of the simulated world, and what a test may set. */
import type { ExtensionModule } from '../../../src/core/extensions/extension.js';
import { graceAfterLeaseLoss } from '../../../src/core/lifecycle/worker-leases.js';
import type { Millis } from '../../../src/core/model/time.js';
import { machineType, team } from '../builders.js';

/** Interval at which workers report. */
export const HEARTBEAT_MS = 2000;

/** How long a worker runs on without an answer. */
export const WORKER_LEASE_MS = 16_000;

/** How long tasks of a cancelled job may run on once its end is stored. */
export const CANCEL_MS = 40_000;

/** The longest grace that the settings allow: whatever is kept alive for too long shows. */
export const GRACE_MS = graceAfterLeaseLoss(CANCEL_MS as Millis, WORKER_LEASE_MS as Millis);

/** After this long a worker gives up on the answer to a heartbeat. */
export const ANSWER_TIMEOUT_MS = 4000;

/** The only type of machine. */
export const MACHINE_TYPE = machineType('c8', { bootS: 5 });

/** The teams and their quotas. */
export const TEAMS = [team('blue', 20), team('green', 12)];

/** What the key-value store takes until its limits fall. */
export const INITIAL_LIMITS = { maxValueBytes: 8192, maxTransactionOperations: 12 };

/** What it takes after that; leaders of this version obey it from the first second. */
export const REDUCED_LIMITS = { maxValueBytes: 1024, maxTransactionOperations: 3 };

/** What a test may set about a world. */
export interface WorldOptions {
  /** A package whose extension every leader of this version runs. */
  readonly module?: ExtensionModule;
  /** Leaders of the version before this one take turns with it. */
  readonly bothVersions?: boolean;
  /** Services are critical: they may preempt arrays' tasks. */
  readonly preemption?: boolean;
  /** Machines are provisioned in the zone that was asked for, and not in a drawn one. */
  readonly keepZones?: boolean;
  /** How many machines there may be. */
  readonly maxMachines?: number;
}
