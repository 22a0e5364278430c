/** The whole state of a leader: one value, changed only by `applyCommands`. */

import type { ExtensionRuntime } from './extensions/extension-runtime.js';
import type {
  Batch,
  InstancePool,
  Job,
  LedgerSegment,
  Machine,
  Placement,
} from './model/entities.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  Revision,
  SegmentKey,
  TeamName,
} from './model/ids.js';
import type { MachineType } from './model/machine.js';
import type { Policy } from './model/policy.js';
import type { Team } from './model/team.js';
import type { Instant, Millis } from './model/time.js';

/** What a term of leadership is started with. */
export interface CoreConfig {
  readonly fencingToken: FencingToken;
  readonly acquiredAt: Instant;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly policy: Policy;
  readonly heartbeatIntervalMs: Millis;
  readonly workerLeaseMs: Millis;
  /** How long a leader without a valid lease may go on answering check-ins. */
  readonly graceAfterLeaseLossMs: Millis;
  readonly listLagMs: Millis;
  readonly maxTransactionOperations: number;
  /** Changes a second that it is sure to take. */
  readonly storeWritesPerSecond: number;
  /** What a value of the state service may hold. */
  readonly maxValueBytes: number;
  /** Attempts that one machine may hold at a time: its reports must stay readable. */
  readonly maxAttemptsPerMachine: number;
  /** The time of day, in milliseconds, when the steady clock stood at 0. */
  readonly timeOfDayOffsetMs: number;
}

/** All that the leader knows. */
export interface CoreState {
  readonly config: CoreConfig;
  /** null where no extension is enabled. */
  extensions: ExtensionRuntime | null;
  isRecovered: boolean;
  schedulingStartsAt: Instant;
  readonly jobs: Map<JobId, Job>;
  /** Jobs that ended of late, and when: what still tells of them as open is older than their end. */
  readonly recentlyEndedJobs: Map<JobId, Instant>;
  readonly machines: Map<MachineId, Machine>;
  /** Machines that a cloud delete has removed; what they still say is late and changes nothing. */
  readonly deletedMachines: Set<MachineId>;
  readonly types: Map<MachineTypeName, MachineType>;
  readonly instancePools: Map<string, InstancePool>;
  readonly teamUsage: Map<TeamName, { cpus: number; gpus: number }>;
  queueHead: JobId | null;
  nextAttemptOffset: number;
  /** The newest revision that was stored under this term. */
  storedRevision: Revision;
  nextProvisionRequest: number;
  nextBatch: number;
  pendingBatch: Batch | null;
  /** Attempts that wait for their ledger entry. */
  readonly awaitingLedgerEntry: Set<Placement>;
  /** Ledger records in the state service, the oldest first. */
  readonly segments: Map<SegmentKey, LedgerSegment>;
  /** Ledger records in which nothing matters any more. */
  readonly obsoleteSegments: Set<SegmentKey>;
  /** Ledger records that could not be read. */
  readonly unreadableSegments: Set<SegmentKey>;
  nextSegment: number;
  /** Machines whose check-in waits for its answer. */
  readonly machinesAwaitingReply: Set<Machine>;
  readonly unsavedProgress: Map<string, { job: Job; chunk: number }>;
  readonly unsavedCompletions: Set<Job>;
  unsavedProgressSince: Instant | null;
  isRoundDue: boolean;
  /** The cloud's list was read under this term; before, renting could double what a former leader rented. */
  hasReadMachineList: boolean;
  lastDemandAt: Instant;
  /** When there was last a service that may use ordinary machines only, and the most processors that one took. */
  lastOnDemandServiceAt: Instant | null;
  largestServiceCpus: number;
  lastTickAt: Instant;
  lastRoundAt: Instant;
  shadowTime: Instant | null;
}

/** The state of a leader that has recovered nothing yet. */
export const createCore = (config: CoreConfig): CoreState => ({
  config,
  extensions: null,
  isRecovered: false,
  schedulingStartsAt: Number.POSITIVE_INFINITY as Instant,
  jobs: new Map(),
  recentlyEndedJobs: new Map(),
  machines: new Map(),
  deletedMachines: new Set(),
  types: new Map(),
  instancePools: new Map(),
  teamUsage: new Map(),
  queueHead: null,
  nextAttemptOffset: 0,
  storedRevision: config.fencingToken as number as Revision,
  nextProvisionRequest: 0,
  nextBatch: 1,
  pendingBatch: null,
  awaitingLedgerEntry: new Set(),
  segments: new Map(),
  obsoleteSegments: new Set(),
  unreadableSegments: new Set(),
  nextSegment: 1,
  machinesAwaitingReply: new Set(),
  unsavedProgress: new Map(),
  unsavedCompletions: new Set(),
  unsavedProgressSince: null,
  isRoundDue: false,
  hasReadMachineList: false,
  lastDemandAt: config.acquiredAt,
  lastOnDemandServiceAt: null,
  largestServiceCpus: 0,
  lastTickAt: config.acquiredAt,
  lastRoundAt: config.acquiredAt,
  shadowTime: null,
});
