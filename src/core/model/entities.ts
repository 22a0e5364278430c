/** Jobs, machines and placements, in one module because their types refer to one another. */

import type { AttemptPhase } from './attempt.js';
import type { ExtensionWrites } from './extension-record.js';
import type {
  AttemptId,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ReplyTicket,
  SegmentKey,
  ZoneName,
} from './ids.js';
import type { JobSpec, TerminalState } from './job.js';
import type { LedgerEntry } from './ledger-record.js';
import type { MachineType } from './machine.js';
import type { TaskAttempts } from './task-attempts.js';
import type { Instant } from './time.js';

/** An attempt at running a task on a machine. */
export interface Placement {
  readonly entry: LedgerEntry;
  readonly machine: Machine;
  /** null if the job has ended or is unknown: the attempt is then only counted and killed. */
  readonly job: Job | null;
  /** When this leader placed or first discovered it, in whole milliseconds. */
  readonly placedAt: Instant;
  phase: AttemptPhase;
  /** When it was first reported as running, in whole milliseconds; null before. */
  startedAt: Instant | null;
  /** The agent epoch in which its start was sent; null before. */
  dispatchedEpoch: number | null;
  /** Requested stop, with its grace period and when the kill was last sent; null if none. */
  stopRequest: { graceS: number; sentAt: Instant | null } | null;
  /** Whether another attempt has completed the task. */
  isSuperseded: boolean;
  /** Progress that must be stored before the worker may drop the result. */
  requiredProgress: { chunk: number; version: number } | null;
  /** The ledger segment with its entry; null before the entry is in a batch, and once ended. */
  segment: LedgerSegment | null;
}

/**
 * A segment of the placement ledger. It is kept while it has a live row: the entry of an attempt
 * that may be on its machine, or the newest progress of a chunk of an unfinished job.
 */
export interface LedgerSegment {
  readonly key: SegmentKey;
  /** Attempts whose current entry it holds. */
  readonly placements: Set<Placement>;
  /** Chunks whose current progress it holds, each with its job and its number in the job. */
  readonly chunks: Map<ProgressChunk, { job: Job; number: number }>;
  /** Number of rows when it was written; compaction compares the live rows with it. */
  initialRowCount: number;
}

/** A range of consecutive tasks of a job, whose progress is stored as one ledger row. */
export interface ProgressChunk {
  /** One bit per task, the first task in the lowest bit of the first byte; 1 means done. */
  bits: Uint8Array;
  /** Increases with each change of the bits. */
  version: number;
  storedVersion: number;
  /** The ledger segment with its current progress; null if there is none. */
  segment: LedgerSegment | null;
}

/** An unfinished job. */
export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Instant;
  /** Since when none of its tasks has been on a machine. */
  idleSince: Instant;
  /** Set while a round places one of its tasks on reserved capacity, after a long wait. */
  isStarving: boolean;
  /** Key of its requirements of a machine: equal for jobs that fit the same machines. */
  readonly requirementsKey: string;
  /** Tasks per progress chunk, a multiple of 8; the last chunk may be smaller. */
  readonly tasksPerChunk: number;
  /** Its chunks by number, from 0; a chunk without done tasks may be missing. */
  readonly chunks: Map<number, ProgressChunk>;
  doneCount: number;
  /** Number of superseded attempts that may still be on a machine. */
  supersededAttempts: number;
  /** The lowest task index that has not been placed under this term. */
  nextUnplacedTask: number;
  /** Tasks that wait again because their attempts ended without a result. */
  readonly requeuedTasks: number[];
  /** Number of tasks waiting for a machine. */
  pendingTasks: number;
  /** Attempts that may be on a machine, by task. */
  readonly attemptsByTask: TaskAttempts<Placement>;
  /** Number of attempts that may be on machines, by zone. */
  readonly attemptsByZone: Map<ZoneName, number>;
  /** Machines on which its tasks failed since the last success. */
  readonly failedMachines: Set<MachineId>;
  /** No task of it is placed before this time. */
  retryAt: Instant;
  /** Number of failures of its tasks or replicas since the last success. */
  consecutiveFailures: number;
  /** When one of its tasks last failed; 0 for never. */
  lastFailureAt: Instant;
  /** Set when it ends; the job is removed once its completion is stored. */
  terminalState: TerminalState;
  /** Tickets of callers that wait for the cancellation to be stored. */
  cancellationTickets: ReplyTicket[];
  /** Why its tasks wait, as text for users; empty when unknown. */
  waitingReason: string;
}

/** A provisioned machine. */
export interface Machine {
  readonly id: MachineId;
  /** `host:port` of its worker; empty while unknown. */
  endpoint: string;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  provisionedAt: Instant;
  /** A time at which it certainly existed: it is gone if a list of a later time lacks it. */
  existsSince: Instant;
  /** When this leader discovered it. */
  readonly firstSeenAt: Instant;
  /** Agent epoch of its newest heartbeat; 0 for none. */
  agentEpoch: number;
  /** Sequence number of its newest heartbeat. */
  heartbeatSequence: number;
  /** Agent epoch of the newest heartbeat that this leader has replied to; 0 for none. */
  acknowledgedEpoch: number;
  /** Its last heartbeat carried this leader's fencing token, in the acknowledged epoch. */
  isReady: boolean;
  hasReported: boolean;
  /** Provisioned under this term: no former leader can have sent it a start. */
  isProvisionedThisTerm: boolean;
  lastHeartbeatAt: Instant;
  /** Since when it has counted as lost; null while it does not. */
  lostAt: Instant | null;
  /** Why it counts as lost; empty while it does not. */
  lostReason: string;
  /** When the cloud reclaims it, according to its notice; null without one. */
  reclaimAt: Instant | null;
  /** Whether it gets no more tasks and is deleted once it is empty. */
  isDraining: boolean;
  /** Whether its deletion has been requested. */
  isDeleting: boolean;
  /** Whether an extension excludes it from new placements. */
  isCordoned: boolean;
  /** Its deletion is not requested before this time, to delay the retry after a failure. */
  deleteNotBefore: Instant;
  /** Attempts that may be on it, and ended ones not yet reaped. */
  readonly placements: Map<AttemptId, Placement>;
  /** Number of attempts that may be on it. */
  attemptCount: number;
  usedCpus: number;
  usedGpus: number;
  usedMemoryGb: number;
  /** Since when it has certainly had no attempt. */
  idleSince: Instant;
  /** Images that it is known to have fetched. */
  readonly images: Set<ImageName>;
  /** Jobs with a task that failed on it since the last success. */
  readonly failedJobs: Set<JobId>;
  /** It gets no work before this time, after it refused a start for lack of resources. */
  saturatedUntil: Instant;
  /** Starts in the last reply: a heartbeat with a higher sequence number must list them. */
  dispatchedStarts: { heartbeatSequence: number; attempts: AttemptId[] } | null;
  /** Consecutive replies that did not arrive, as inferred from its heartbeats. */
  unacknowledgedReplies: number;
  /** After unacknowledged replies, it gets no work before this time, then is tried again. */
  quarantinedUntil: Instant;
  /** Since when its heartbeats have not shown that replies arrive; null while they do. */
  unverifiedSince: Instant | null;
  /** Replies do not reach it: it gets no more work and is replaced. */
  isUnreachable: boolean;
  /** Reserved for services: array jobs that allow spot machines are not placed on it. */
  isReservedForServices: boolean;
  /** Its heartbeat that waits for a reply, and since when. */
  pendingReply: { ticket: ReplyTicket; since: Instant } | null;
}

/** Machines of one type, in one zone, either spot or on-demand. */
export interface InstancePool {
  /** Its key in `CoreState.instancePools`. */
  readonly key: string;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** No provision request is made before this time. */
  retryAt: Instant;
  /** Consecutive unfilled provision requests, up to a maximum. */
  refusals: number;
  /** Provision requests without a result yet. */
  readonly outstandingRequests: Map<ProvisionRequestId, { count: number; requestedAt: Instant }>;
}

/** The changes to apply once a batch is stored. */
export interface Batch {
  /** The batch's number under this term. */
  readonly id: number;
  /** Attempts whose entries it stores, which may then be dispatched. */
  readonly recordedPlacements: Placement[];
  /** Chunk numbers with the versions that it stores. */
  progress: { job: Job; chunk: number; version: number }[];
  /** Jobs whose completion it stores. */
  completedJobs: Job[];
  extensionWrites: ExtensionWrites[];
}
