/** Jobs, machines and the placements that join them, as the leader tracks them. They refer to one
 * another, so they stand in one module. */

import type { ExtensionWrites } from '../extensions/extension-runtime.js';
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
import type { JobSpec } from './job.js';
import type { LedgerEntry } from './ledger-record.js';
import type { MachineType } from './machine.js';
import type { Instant } from './time.js';

/**
 * recorded: in the ledger of a former leader, its machine has not answered for it yet;
 * entering: its ledger entry is being written; offered: its start goes out with every answer;
 * the rest as the worker reports.
 */
export type AttemptPhase =
  | 'unconfirmed'
  | 'persisting'
  | 'dispatched'
  | 'fetching'
  | 'running'
  | 'checkpointing'
  | 'ended';

/** An attempt at running a task on a machine. */
export interface Placement {
  readonly entry: LedgerEntry;
  readonly machine: Machine;
  /** null when the job is over or unknown: then it is only counted and killed. */
  readonly job: Job | null;
  readonly placedAt: Instant;
  phase: AttemptPhase;
  startedAt: Instant | null;
  /** The worker's session in whose answers its start has gone out. */
  dispatchedEpoch: number | null;
  stopRequest: { graceS: number; sentAt: Instant | null } | null;
  /** Its task was done by another attempt. */
  isSuperseded: boolean;
  /** The progress chunk and version that must be persisted before the worker may drop the result. */
  requiredProgress: { chunk: number; version: number } | null;
  /** The ledger record that holds it. */
  segment: LedgerSegment | null;
}

/**
 * One record of the placement ledger. It stays while anything in it still matters: an attempt that may be on its
 * machine, or the newest word on a part of an unfinished job.
 */
export interface LedgerSegment {
  readonly key: SegmentKey;
  readonly placements: Set<Placement>;
  readonly chunks: Map<ProgressChunk, { job: Job; number: number }>;
  /** How much it held when it was written. */
  initialSize: number;
}

/** Which tasks of one part of a job are done, and which version of that is stored. */
export interface ProgressChunk {
  bits: Uint8Array;
  version: number;
  storedVersion: number;
  /** The ledger record with its newest stored state. */
  segment: LedgerSegment | null;
}

/** An unfinished job. */
export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Instant;
  /** Since when nothing of it has been on a machine. */
  idleSince: Instant;
  /** It has waited so long that for one task of it nothing is reserved or kept. */
  isStarving: boolean;
  /** What its tasks ask of a machine: equal for jobs that suit the same machines. */
  readonly requirementsKey: string;
  /** Tasks of which one progress row tells. */
  readonly tasksPerChunk: number;
  readonly chunks: Map<number, ProgressChunk>;
  doneCount: number;
  /** Attempts that may still be on a machine though another has done their task. */
  supersededAttempts: number;
  /** Next task never placed under this term. */
  nextUnplacedTask: number;
  /** Tasks that came back and wait again. */
  readonly requeuedTasks: number[];
  /** How many tasks wait for a machine. */
  pendingTasks: number;
  /** Attempts that may be on a machine, by task. */
  readonly attemptsByTask: Map<TaskIndex, Placement[]>;
  readonly attemptsByZone: Map<ZoneName, number>;
  /** Machines on which a task failed since the last success. */
  readonly failedMachines: Set<MachineId>;
  retryAt: Instant;
  consecutiveFailures: number;
  /** When a task of it last failed. */
  lastFailureAt: Instant;
  terminalState: 'none' | 'done' | 'cancelled';
  finalSaving: boolean;
  cancellationTickets: ReplyTicket[];
  waitingReason: string;
}

/** A provisioned machine. */
export interface Machine {
  readonly id: MachineId;
  endpoint: string;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  provisionedAt: Instant;
  /** When this leader first heard of it. */
  readonly knownAt: Instant;
  agentEpoch: number;
  heartbeatSequence: number;
  /** The session of a report that this leader has answered; 0 for none. */
  acknowledgedEpoch: number;
  /** Its last report carried our term on a session that we answered. */
  isReady: boolean;
  hasReported: boolean;
  /** Rented under this very term: no former leader can have sent it a start. */
  isProvisionedThisTerm: boolean;
  isListed: boolean;
  lastHeartbeatAt: Instant;
  lostAt: Instant | null;
  lostReason: string;
  reclaimAt: Instant | null;
  isDraining: boolean;
  isDeleting: boolean;
  /** An extension keeps it from new work. */
  isCordoned: boolean;
  deleteNotBefore: Instant;
  readonly placements: Map<AttemptId, Placement>;
  /** Attempts that may be on it. */
  attemptCount: number;
  usedCpus: number;
  usedGpus: number;
  usedMemoryGb: number;
  idleSince: Instant;
  readonly images: Set<ImageName>;
  /** Failed tasks since the last success, by job. */
  readonly failedJobs: Set<JobId>;
  saturatedUntil: Instant;
  /** The starts of the last answer, and its report's number: the next report must show them. */
  dispatchedStarts: { seq: number; attempts: AttemptId[] } | null;
  /** Answers in a row that did not reach it, as far as its reports tell. */
  unacknowledgedReplies: number;
  /** Until when it gets no work because of that; then it is tried once more. */
  quarantinedUntil: Instant;
  /** Since when it reports without proof that it hears this leader. */
  unverifiedSince: Instant | null;
  /** It does not hear us: it gets no more work and is replaced. */
  isUnreachable: boolean;
  /** Kept for services: what may use cheap machines leaves it alone. */
  isReservedForServices: boolean;
  pendingReply: { ticket: ReplyTicket; since: Instant } | null;
}

/** A type of machine in one zone, spot or on demand, that the cloud provisions. */
export interface InstancePool {
  readonly key: string;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  retryAt: Instant;
  refusals: number;
  /** Requests whose answer has not come. */
  readonly outstandingRequests: Map<ProvisionRequestId, { count: number; askedAt: Instant }>;
}

/** A batch that is being stored. */
export interface Batch {
  readonly id: number;
  readonly enteredPlacements: Placement[];
  progress: { job: Job; chunk: number; version: number }[];
  completedJobs: Job[];
  extensionWrites: ExtensionWrites[];
}
