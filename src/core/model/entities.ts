/**
 * Jobs, machines and the placements that join them, as the leader tracks them. They refer to one
 * another, so they stand in one module.
 */

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
  TaskIndex,
  ZoneName,
} from './ids.js';
import type { JobSpec, TerminalState } from './job.js';
import type { LedgerEntry } from './ledger-record.js';
import type { MachineType } from './machine.js';
import type { Instant } from './time.js';

/** An attempt at running a task on a machine. */
export interface Placement {
  readonly entry: LedgerEntry;
  readonly machine: Machine;
  /** null when the job has ended or is unknown: then it is only counted and killed. */
  readonly job: Job | null;
  /** When this leader placed it, or first learnt of it. */
  readonly placedAt: Instant;
  phase: AttemptPhase;
  /** When it was first reported as running; null before. */
  startedAt: Instant | null;
  /** The agent epoch in whose replies its start has gone out; null for none. */
  dispatchedEpoch: number | null;
  /** It has to stop, with that grace in seconds; `sentAt`: when it was last told to. */
  stopRequest: { graceS: number; sentAt: Instant | null } | null;
  /** Its task was done by another attempt. */
  isSuperseded: boolean;
  /** The progress chunk and version that must be stored before the worker may drop the result. */
  requiredProgress: { chunk: number; version: number } | null;
  /** The ledger segment that holds it; null before its entry is written, and once it has ended. */
  segment: LedgerSegment | null;
}

/**
 * One segment of the placement ledger. It stays while anything in it still matters: an attempt that
 * may be on its machine, or the newest progress of a chunk of an unfinished job.
 */
export interface LedgerSegment {
  readonly key: SegmentKey;
  /** The attempts that it speaks for. */
  readonly placements: Set<Placement>;
  /** The chunks that it speaks for, each with its job and its number there. */
  readonly chunks: Map<ProgressChunk, { job: Job; number: number }>;
  /** How many rows it held when it was written: compaction compares what is left with it. */
  initialRowCount: number;
}

/** A chunk of a job: consecutive tasks of whose progress one ledger row tells. */
export interface ProgressChunk {
  /** One bit for each task, the lowest bit of the first byte for the first task; 1 for done. */
  bits: Uint8Array;
  /** Grows with each change of the bits. */
  version: number;
  /** The newest version that is stored. */
  storedVersion: number;
  /** The ledger segment that speaks for it; null while none does. */
  segment: LedgerSegment | null;
}

/** An unfinished job. */
export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Instant;
  /** Since when nothing of it has been on a machine. */
  idleSince: Instant;
  /** It has waited so long that capacity reserved for others does not hold back one task of it. */
  isStarving: boolean;
  /** What its tasks need of a machine: equal for jobs that suit the same machines. */
  readonly requirementsKey: string;
  /** Size of its progress chunks, a multiple of 8; the last one may be smaller. */
  readonly tasksPerChunk: number;
  /** Its chunks by number, from 0; one without done tasks may be missing. */
  readonly chunks: Map<number, ProgressChunk>;
  /** How many of its tasks are done. */
  doneCount: number;
  /** Attempts that may still be on a machine though another has done their task. */
  supersededAttempts: number;
  /** The lowest task that was never placed under this term. */
  nextUnplacedTask: number;
  /** Tasks whose attempts ended without a result, and that wait again. */
  readonly requeuedTasks: number[];
  /** How many tasks wait for a machine. */
  pendingTasks: number;
  /** Attempts that may be on a machine, by task. */
  readonly attemptsByTask: Map<TaskIndex, Placement[]>;
  /** How many attempts may be on machines of each zone. */
  readonly attemptsByZone: Map<ZoneName, number>;
  /** Machines on which a task failed since the last success. */
  readonly failedMachines: Set<MachineId>;
  /** No task of it is placed before then. */
  retryAt: Instant;
  /** Failures of its tasks since the last success; of a service, of its replicas. */
  consecutiveFailures: number;
  /** When a task of it last failed; 0 for never. */
  lastFailureAt: Instant;
  /** Set when it ends; it stays here until its completion is stored. */
  terminalState: TerminalState;
  /** Callers that wait for their cancellation to be stored. */
  cancellationTickets: ReplyTicket[];
  /** Why its tasks wait, in words for its user; empty when not known. */
  waitingReason: string;
}

/** A provisioned machine. */
export interface Machine {
  readonly id: MachineId;
  /** `host:port` of its worker; empty while it is not known. */
  endpoint: string;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  provisionedAt: Instant;
  /** When this leader first heard of it. */
  readonly firstSeenAt: Instant;
  /** Agent epoch of its newest heartbeat; 0 for none. */
  agentEpoch: number;
  /** Sequence number of its newest heartbeat. */
  heartbeatSequence: number;
  /** Agent epoch of the newest heartbeat that this leader has answered; 0 for none. */
  acknowledgedEpoch: number;
  /** Its last heartbeat carried our fencing token, in an agent epoch that we have answered. */
  isReady: boolean;
  hasReported: boolean;
  /** Provisioned under this very term: no former leader can have sent it a start. */
  isProvisionedThisTerm: boolean;
  /** The cloud's list has shown it. */
  isListed: boolean;
  lastHeartbeatAt: Instant;
  /** Since when it counts as lost; null while it does not. */
  lostAt: Instant | null;
  /** Why it counts as lost; empty while it does not. */
  lostReason: string;
  /** When the cloud takes it away, by its own notice; null without one. */
  reclaimAt: Instant | null;
  /** It gets no more work and is deleted once it is empty. */
  isDraining: boolean;
  /** Its deletion has been requested. */
  isDeleting: boolean;
  /** An extension keeps it from new work. */
  isCordoned: boolean;
  /** Its deletion is not requested before then: the last one may have failed a moment ago. */
  deleteNotBefore: Instant;
  /** Attempts that may be on it, and ended ones that its worker has not yet reaped. */
  readonly placements: Map<AttemptId, Placement>;
  /** How many attempts may be on it. */
  attemptCount: number;
  usedCpus: number;
  usedGpus: number;
  usedMemoryGb: number;
  /** Since when no attempt may be on it. */
  idleSince: Instant;
  /** Images that it has fetched, as far as is known. */
  readonly images: Set<ImageName>;
  /** Jobs of which a task failed on it since the last success. */
  readonly failedJobs: Set<JobId>;
  /** It refused a start for lack of room, and gets no more work before then. */
  saturatedUntil: Instant;
  /** The starts of the last reply; the next heartbeat of a higher sequence must show them. */
  dispatchedStarts: { heartbeatSequence: number; attempts: AttemptId[] } | null;
  /** Replies in a row that did not reach it, as far as its heartbeats tell. */
  unacknowledgedReplies: number;
  /** Until when it gets no work because of that; then it is tried once more. */
  quarantinedUntil: Instant;
  /** Since when its heartbeats do not show that our replies reach it; null while they do. */
  unverifiedSince: Instant | null;
  /** Our replies do not reach it: it gets no more work and is replaced. */
  isUnreachable: boolean;
  /** Kept for services: jobs that may use spot machines leave it alone. */
  isReservedForServices: boolean;
  /** A heartbeat of it that waits for its reply, and since when. */
  pendingReply: { ticket: ReplyTicket; since: Instant } | null;
}

/** A type of machine in one zone, spot or on demand, that the cloud provisions. */
export interface InstancePool {
  /** Its key in the state's map of pools. */
  readonly key: string;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** No request before then. */
  retryAt: Instant;
  /** Requests in a row that were not filled, up to a bound. */
  refusals: number;
  /** Requests whose answer has not come. */
  readonly outstandingRequests: Map<ProvisionRequestId, { count: number; requestedAt: Instant }>;
}

/** What a batch that is being stored changes once it is stored. */
export interface Batch {
  /** Its number under this term. */
  readonly id: number;
  /** Attempts that may be dispatched then. */
  readonly recordedPlacements: Placement[];
  /** Chunks, with the version that it stores. */
  progress: { job: Job; chunk: number; version: number }[];
  /** Jobs that have ended then. */
  completedJobs: Job[];
  extensionWrites: ExtensionWrites[];
}
