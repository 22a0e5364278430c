/** The whole state of a leader, modified only by `applyCommands` and the functions it calls. */

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
import { createMachineLosses, type MachineLosses } from './model/machine-loss.js';
import type { Policy } from './model/policy.js';
import type { Team } from './model/team.js';
import type { Instant, Millis } from './model/time.js';

/** Configuration of a term of leadership; constant during the term. */
export interface CoreConfig {
  readonly fencingToken: FencingToken;
  /** When this node acquired the leader key. */
  readonly acquiredAt: Instant;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly policy: Policy;
  /** The interval at which workers send heartbeats. */
  readonly heartbeatIntervalMs: Millis;
  /** Duration of a worker's lease, which each reply to its heartbeats renews. */
  readonly workerLeaseMs: Millis;
  /** How long a leader without a valid lease may continue to reply to heartbeats. */
  readonly graceAfterLeaseLossMs: Millis;
  /** Nominal delay with which the cloud's machine list shows a change. */
  readonly listLagMs: Millis;
  /** Maximum number of operations in one transaction of the key-value store. */
  readonly maxTransactionOperations: number;
  /** Mutations per second that the key-value store always accepts from batches. */
  readonly storeWritesPerSecond: number;
  /** Maximum size of a value in the key-value store, in bytes. */
  readonly maxValueBytes: number;
  /** Maximum number of attempts on one machine, which bounds the size of its heartbeats. */
  readonly maxAttemptsPerMachine: number;
  /** Memory that this state may take, in bytes; it bounds the number of attempts. */
  readonly maxStateBytes: number;
  /** Wall-clock time, in milliseconds since the epoch, at which the steady clock was 0. */
  readonly wallClockOffsetMs: number;
}

/** State of the leader: one flat object, which every step reads, in sections by owner. */
export interface CoreState {
  readonly config: CoreConfig;

  // ---- Steps (apply-commands.ts): when periodic work is due ----------------------------------

  /** Time of the last tick: fleet management, resending of kills, decisions of extensions. */
  lastTickAt: Instant;
  lastRoundAt: Instant;
  /** Whether something has changed that a scheduling round must take into account. */
  isRoundDue: boolean;

  // ---- Recovery: what a new leader waits for before it schedules -----------------------------

  /** Whether the whole stored state has been read. */
  isRecovered: boolean;
  /** No scheduling round runs before this time, so that workers can report their tasks first. */
  schedulingStartsAt: Instant;
  /** Ledger segments that could not be read: their attempts may be on any machine. */
  readonly unreadableSegments: Set<SegmentKey>;

  // ---- Lifecycle (lifecycle/): jobs, attempts, and replies to workers ------------------------

  /** Unfinished jobs, and ended jobs whose completion is not yet stored. */
  readonly jobs: Map<JobId, Job>;
  /** End times of recently ended jobs: a record that shows one as unfinished is outdated. */
  readonly recentlyEndedJobs: Map<JobId, Instant>;
  /** Resources used by each team's attempts that may be on a machine. */
  readonly teamUsage: Map<TeamName, { cpus: number; gpus: number }>;
  /** Number of attempts in memory: those that may be on machines, and ended ones not yet reaped. */
  trackedAttempts: number;
  /** How many attempt ids this leader has assigned. */
  nextAttemptOffset: number;
  /** Machines whose last heartbeat has not been replied to. */
  readonly machinesAwaitingReply: Set<Machine>;

  // ---- Scheduling (scheduling/) --------------------------------------------------------------

  /** The job at the head of the queue, for which capacity is reserved; null if there is none. */
  queueHead: JobId | null;
  /** Expected start time of the queue head; null when it is unknown or there is no head. */
  shadowTime: Instant | null;
  /** When a service restricted to on-demand machines last existed; null if there was none. */
  lastOnDemandServiceAt: Instant | null;
  /** The most processors that one such recent service needs for all its replicas. */
  largestServiceCpus: number;

  // ---- Fleet (fleet/): machines, machine types and provisioning ------------------------------

  readonly machines: Map<MachineId, Machine>;
  /** Machines that the cloud has deleted: their late heartbeats are ignored. */
  readonly deletedMachines: Set<MachineId>;
  /** What this leader and former ones know of machines that do not answer. */
  readonly losses: MachineLosses;
  /** The cloud's machine types; empty until read. */
  readonly types: Map<MachineTypeName, MachineType>;
  /** Instance pools by `InstancePool.key`. */
  readonly instancePools: Map<string, InstancePool>;
  /**
   * Whether the cloud's machine list has been read under this term. Until then, a provision request
   * could duplicate a former leader's machines.
   */
  hasReadMachineList: boolean;
  /** Last time with unfinished work: baseline capacity stays provisioned for a while after. */
  lastDemandAt: Instant;
  /** Counts provision requests; the fencing token in each request's id keeps it unique. */
  nextProvisionRequest: number;

  // ---- Ledger (ledger/): stored segments, and changes not yet stored -------------------------

  nextBatch: number;
  /** The batch that is being stored, or null; the next batch is built after its result. */
  pendingBatch: Batch | null;
  /** The newest revision stored under this term. */
  storedRevision: Revision;
  /** Attempts whose ledger entry is not yet in a batch. */
  readonly awaitingLedgerEntry: Set<Placement>;
  /** Ledger segments that are not obsolete, the oldest first. */
  readonly segments: Map<SegmentKey, LedgerSegment>;
  /** Segments without live rows, to be deleted from the store. */
  readonly obsoleteSegments: Set<SegmentKey>;
  nextSegment: number;
  /** Chunks with progress that is not yet in a batch, by `JOB/CHUNK_NUMBER`. */
  readonly unsavedProgress: Map<string, { job: Job; chunk: number }>;
  /** Since when there has been unsaved progress; null if there is none. */
  unsavedProgressSince: Instant | null;
  /** Ended jobs whose completion is not yet in a batch. */
  readonly unsavedCompletions: Set<Job>;

  // ---- Extensions (extensions/) --------------------------------------------------------------

  /** null when no extension is enabled. */
  extensions: ExtensionRuntime | null;
}

/** The initial state of a leader, before recovery. */
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
  trackedAttempts: 0,
  nextAttemptOffset: 0,
  machinesAwaitingReply: new Set(),
  queueHead: null,
  shadowTime: null,
  lastOnDemandServiceAt: null,
  largestServiceCpus: 0,
  machines: new Map(),
  deletedMachines: new Set(),
  losses: createMachineLosses(),
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
