/** The whole state of a leader: one value, changed only by `applyCommands` and what it calls. */

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

/** What a term of leadership is started with; constant during the term. */
export interface CoreConfig {
  readonly fencingToken: FencingToken;
  /** When this node acquired the leader key. */
  readonly acquiredAt: Instant;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly policy: Policy;
  /** The interval at which workers report. */
  readonly heartbeatIntervalMs: Millis;
  /** Life of a worker's lease, which each reply to its heartbeats renews. */
  readonly workerLeaseMs: Millis;
  /** How long a leader without a valid lease may go on answering heartbeats. */
  readonly graceAfterLeaseLossMs: Millis;
  /** How far the cloud's list of machines lags behind, nominally. */
  readonly listLagMs: Millis;
  /** How many operations one transaction of the key-value store takes. */
  readonly maxTransactionOperations: number;
  /** Mutations a second that the key-value store is sure to take of the leader's batches. */
  readonly storeWritesPerSecond: number;
  /** Size of the largest value that the key-value store takes, in bytes. */
  readonly maxValueBytes: number;
  /** Attempts that one machine may hold at a time: its heartbeats must stay readable. */
  readonly maxAttemptsPerMachine: number;
  /** The time of day, in milliseconds, when the steady clock stood at 0. */
  readonly wallClockOffsetMs: number;
}

/** All that the leader knows: one flat object, since every step reads it; parts by owner. */
export interface CoreState {
  readonly config: CoreConfig;

  // ---- Steps (apply-commands.ts): when periodic work is due ----------------------------------

  /** When machines were last managed, kills repeated and extensions asked for decisions. */
  lastTickAt: Instant;
  /** When the last scheduling round was. */
  lastRoundAt: Instant;
  /** Something has changed that the next scheduling round should take into account. */
  isRoundDue: boolean;

  // ---- Recovery: what holds a new leader back ------------------------------------------------

  /** All that the store held has been told. */
  isRecovered: boolean;
  /** No scheduling round before then: workers must be able to report what they run. */
  schedulingStartsAt: Instant;
  /** Ledger segments that could not be read: what they entered may be on any machine. */
  readonly unreadableSegments: Set<SegmentKey>;

  // ---- Lifecycle (lifecycle/): jobs, attempts, and replies to workers ------------------------

  /** Unfinished jobs, and those whose completion is yet to be stored. */
  readonly jobs: Map<JobId, Job>;
  /** Jobs that ended of late, and when: a record of them as open is older than their end. */
  readonly recentlyEndedJobs: Map<JobId, Instant>;
  /** What the attempts that may be on a machine take of their teams' quotas. */
  readonly teamUsage: Map<TeamName, { cpus: number; gpus: number }>;
  /** Counts the attempts that this leader has numbered. */
  nextAttemptOffset: number;
  /** Machines whose heartbeat waits for its reply. */
  readonly machinesAwaitingReply: Set<Machine>;

  // ---- Scheduling (scheduling/) --------------------------------------------------------------

  /** The job at the head of the queue, for which capacity is reserved; null for none. */
  queueHead: JobId | null;
  /** When the head is expected to start; null when that is not known, or there is no head. */
  shadowTime: Instant | null;
  /** When there was last a service that may use on-demand machines only; null for never. */
  lastOnDemandServiceAt: Instant | null;
  /** The most processors that one such service took of late, all its replicas together. */
  largestServiceCpus: number;

  // ---- Fleet (fleet/): machines, and what the cloud offers -----------------------------------

  readonly machines: Map<MachineId, Machine>;
  /** Machines that the cloud has deleted; what they still report is late and changes nothing. */
  readonly deletedMachines: Set<MachineId>;
  /** Machine types of the cloud; empty until they are known. */
  readonly types: Map<MachineTypeName, MachineType>;
  /** What the cloud provisions, by the pools' keys. */
  readonly instancePools: Map<string, InstancePool>;
  /**
   * The cloud's list was read under this term. Before, a provision request could double what a
   * former leader has provisioned.
   */
  hasReadMachineList: boolean;
  /** When there was last unfinished work: for a while baseline capacity stays provisioned. */
  lastDemandAt: Instant;
  /** Counts provision requests; the fencing token in each request's id keeps it unique. */
  nextProvisionRequest: number;

  // ---- Ledger (ledger/): what is stored, and what waits to be --------------------------------

  /** Number of the next batch. */
  nextBatch: number;
  /** The batch that is being stored; the next one waits for its result. */
  pendingBatch: Batch | null;
  /** The newest revision that was stored under this term. */
  storedRevision: Revision;
  /** Attempts that wait for their ledger entry. */
  readonly awaitingLedgerEntry: Set<Placement>;
  /** Segments in the key-value store, the oldest first. */
  readonly segments: Map<SegmentKey, LedgerSegment>;
  /** Segments in which nothing matters any more: they wait for their deletion. */
  readonly obsoleteSegments: Set<SegmentKey>;
  /** Number of the next segment. */
  nextSegment: number;
  /** Chunks of which newer progress is known than is stored, by job and chunk number. */
  readonly unsavedProgress: Map<string, { job: Job; chunk: number }>;
  /** Since when there is unsaved progress; null for none. */
  unsavedProgressSince: Instant | null;
  /** Ended jobs whose completion waits to be stored. */
  readonly unsavedCompletions: Set<Job>;

  // ---- Extensions (extensions/) --------------------------------------------------------------

  /** null where no extension is enabled. */
  extensions: ExtensionRuntime | null;
}

/** The state of a leader that has recovered nothing yet. */
export const createCore = (config: CoreConfig): CoreState => ({
  config,
  lastTickAt: config.acquiredAt,
  lastRoundAt: config.acquiredAt,
  isRoundDue: false,
  isRecovered: false,
  schedulingStartsAt: Number.POSITIVE_INFINITY as Instant,
  unreadableSegments: new Set(),
  jobs: new Map(),
  recentlyEndedJobs: new Map(),
  teamUsage: new Map(),
  nextAttemptOffset: 0,
  machinesAwaitingReply: new Set(),
  queueHead: null,
  shadowTime: null,
  lastOnDemandServiceAt: null,
  largestServiceCpus: 0,
  machines: new Map(),
  deletedMachines: new Set(),
  types: new Map(),
  instancePools: new Map(),
  hasReadMachineList: false,
  lastDemandAt: config.acquiredAt,
  nextProvisionRequest: 0,
  nextBatch: 1,
  pendingBatch: null,
  storedRevision: config.fencingToken as number as Revision,
  awaitingLedgerEntry: new Set(),
  segments: new Map(),
  obsoleteSegments: new Set(),
  nextSegment: 1,
  unsavedProgress: new Map(),
  unsavedProgressSince: null,
  unsavedCompletions: new Set(),
  extensions: null,
});
