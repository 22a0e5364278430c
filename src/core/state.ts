/** What the leader knows: jobs, machines and the attempts that may be on them. */
import type { ExtensionHost, ExtensionWrites } from './extensions/extension-host.js';
import type {
  Attempt,
  ImageName,
  Instant,
  JobId,
  JobSpec,
  LedgerEntry,
  MachineId,
  MachineType,
  Millis,
  Policy,
  RequestName,
  Revision,
  SegmentKey,
  TaskIndex,
  Team,
  TeamName,
  Term,
  Ticket,
  TypeName,
  ZoneName,
} from './types.js';

export interface CoreConfig {
  readonly term: Term;
  readonly acquiredAt: Instant;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly policy: Policy;
  readonly reportMs: Millis;
  readonly leaseMs: Millis;
  /** How long a leader without a valid lease may go on answering check-ins. */
  readonly keepAliveMs: Millis;
  readonly listLagMs: Millis;
  readonly txnOps: number;
  /** Changes a second that it is sure to take. */
  readonly writeRps: number;
  /** What a value of the state service may hold. */
  readonly valueBytes: number;
  /** Attempts that one machine may hold at a time: its reports must stay readable. */
  readonly maxPerMachine: number;
  /** The time of day, in milliseconds, when the steady clock stood at 0. */
  readonly timeOfDayOffsetMs: number;
}

/**
 * recorded: in the ledger of a former leader, its machine has not answered for it yet;
 * entering: its ledger entry is being written; offered: its start goes out with every answer;
 * the rest as the worker reports.
 */
export type Phase =
  | 'recorded'
  | 'entering'
  | 'offered'
  | 'fetching'
  | 'running'
  | 'saving'
  | 'ended';

export interface Placement {
  readonly entry: LedgerEntry;
  readonly machine: Machine;
  /** null when the job is over or unknown: then it is only counted and killed. */
  readonly job: Job | null;
  readonly placedAt: Instant;
  phase: Phase;
  startedAt: Instant | null;
  /** The worker's session in whose answers its start has gone out. */
  sentIn: number | null;
  kill: { graceS: number; sentAt: Instant | null } | null;
  /** Its task was done by another attempt. */
  superseded: boolean;
  /** The progress chunk and version that must be persisted before the worker may drop the result. */
  needs: { chunk: number; version: number } | null;
  /** The ledger record that holds it. */
  segment: Segment | null;
}

/**
 * One record of the placement ledger. It stays while anything in it still matters: an attempt that may be on its
 * machine, or the newest word on a part of an unfinished job.
 */
export interface Segment {
  readonly key: SegmentKey;
  readonly placements: Set<Placement>;
  readonly chunks: Map<Chunk, { job: Job; number: number }>;
  /** How much it held when it was written. */
  size: number;
}

export interface Chunk {
  bits: Uint8Array;
  version: number;
  saved: number;
  /** The ledger record with its newest stored state. */
  segment: Segment | null;
}

export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Instant;
  /** Since when nothing of it has been on a machine. */
  idleSince: Instant;
  /** It has waited so long that for one task of it nothing is reserved or kept. */
  starving: boolean;
  /** What its tasks ask of a machine: equal for jobs that suit the same machines. */
  readonly needs: string;
  /** Tasks of which one progress row tells. */
  readonly partTasks: number;
  readonly chunks: Map<number, Chunk>;
  doneCount: number;
  /** Attempts that may still be on a machine though another has done their task. */
  superseded: number;
  /** Next task never placed under this term. */
  cursor: number;
  /** Tasks that came back and wait again. */
  readonly returned: number[];
  /** How many tasks wait for a machine. */
  pending: number;
  /** Attempts that may be on a machine, by task. */
  readonly held: Map<TaskIndex, Placement[]>;
  readonly heldByZone: Map<ZoneName, number>;
  /** Machines on which a task failed since the last success. */
  readonly failedOn: Set<MachineId>;
  retryAt: Instant;
  failures: number;
  /** When a task of it last failed. */
  failedAt: Instant;
  final: 'none' | 'done' | 'cancelled';
  finalSaving: boolean;
  abortTickets: Ticket[];
  blockedBy: string;
}

export interface Machine {
  readonly id: MachineId;
  endpoint: string;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  rentedAt: Instant;
  /** When this leader first heard of it. */
  readonly knownAt: Instant;
  session: number;
  seq: number;
  /** The session of a report that this leader has answered; 0 for none. */
  answeredSession: number;
  /** Its last report carried our term on a session that we answered. */
  ready: boolean;
  everSeen: boolean;
  /** Rented under this very term: no former leader can have sent it a start. */
  ownRental: boolean;
  listed: boolean;
  lastSeen: Instant;
  lostAt: Instant | null;
  lostWhy: string;
  noticeUntil: Instant | null;
  draining: boolean;
  deleting: boolean;
  /** An extension keeps it from new work. */
  cordoned: boolean;
  deleteAfter: Instant;
  readonly placements: Map<Attempt, Placement>;
  /** Attempts that may be on it. */
  occupied: number;
  usedCpus: number;
  usedGpus: number;
  usedMemoryGb: number;
  idleSince: Instant;
  readonly images: Set<ImageName>;
  /** Failed tasks since the last success, by job. */
  readonly failedJobs: Set<JobId>;
  fullUntil: Instant;
  /** The starts of the last answer, and its report's number: the next report must show them. */
  offered: { seq: number; attempts: Attempt[] } | null;
  /** Answers in a row that did not reach it, as far as its reports tell. */
  unheard: number;
  /** Until when it gets no work because of that; then it is tried once more. */
  shunUntil: Instant;
  /** Since when it reports without proof that it hears this leader. */
  unprovenSince: Instant | null;
  /** It does not hear us: it gets no more work and is replaced. */
  deaf: boolean;
  /** Kept for services: what may use cheap machines leaves it alone. */
  kept: boolean;
  ticket: { ticket: Ticket; since: Instant } | null;
}

export interface RentOption {
  readonly key: string;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  blockedUntil: Instant;
  refusals: number;
  /** Requests whose answer has not come. */
  readonly outstanding: Map<RequestName, { count: number; askedAt: Instant }>;
}

export interface Batch {
  readonly id: number;
  readonly entered: Placement[];
  chunks: { job: Job; chunk: number; version: number }[];
  finals: Job[];
  extensionWrites: ExtensionWrites[];
}

export interface CoreState {
  readonly config: CoreConfig;
  /** null where no extension is enabled. */
  extensions: ExtensionHost | null;
  loaded: boolean;
  placeFrom: Instant;
  readonly jobs: Map<JobId, Job>;
  /** Jobs that ended of late, and when: what still tells of them as open is older than their end. */
  readonly endedLately: Map<JobId, Instant>;
  readonly machines: Map<MachineId, Machine>;
  /** Machines that a cloud delete has removed; what they still say is late and changes nothing. */
  readonly gone: Set<MachineId>;
  readonly types: Map<TypeName, MachineType>;
  readonly options: Map<string, RentOption>;
  readonly usage: Map<TeamName, { cpus: number; gpus: number }>;
  head: JobId | null;
  nextAttempt: number;
  /** The newest revision that was stored under this term. */
  storedRevision: Revision;
  nextRequest: number;
  nextBatch: number;
  batch: Batch | null;
  /** Attempts that wait for their ledger entry. */
  readonly toEnter: Set<Placement>;
  /** Ledger records in the state service, the oldest first. */
  readonly segments: Map<SegmentKey, Segment>;
  /** Ledger records in which nothing matters any more. */
  readonly deadSegments: Set<SegmentKey>;
  /** Ledger records that could not be read. */
  readonly unreadable: Set<SegmentKey>;
  nextSegment: number;
  /** Machines whose check-in waits for its answer. */
  readonly waiting: Set<Machine>;
  readonly dirtyChunks: Map<string, { job: Job; chunk: number }>;
  readonly dirtyFinals: Set<Job>;
  dirtySince: Instant | null;
  placementDue: boolean;
  /** The cloud's list was read under this term; before, renting could double what a former leader rented. */
  listRead: boolean;
  lastWorkAt: Instant;
  /** When there was last a service that may use ordinary machines only, and the most processors that one took. */
  servicesAt: Instant | null;
  largestService: number;
  lastTick: Instant;
  lastPlaced: Instant;
  shadowAt: Instant | null;
}

export const createCore = (config: CoreConfig): CoreState => ({
  config,
  extensions: null,
  loaded: false,
  placeFrom: Number.POSITIVE_INFINITY as Instant,
  jobs: new Map(),
  endedLately: new Map(),
  machines: new Map(),
  gone: new Set(),
  types: new Map(),
  options: new Map(),
  usage: new Map(),
  head: null,
  nextAttempt: 0,
  storedRevision: config.term as number as Revision,
  nextRequest: 0,
  nextBatch: 1,
  batch: null,
  toEnter: new Set(),
  segments: new Map(),
  deadSegments: new Set(),
  unreadable: new Set(),
  nextSegment: 1,
  waiting: new Set(),
  dirtyChunks: new Map(),
  dirtyFinals: new Set(),
  dirtySince: null,
  placementDue: false,
  listRead: false,
  lastWorkAt: config.acquiredAt,
  servicesAt: null,
  largestService: 0,
  lastTick: config.acquiredAt,
  lastPlaced: config.acquiredAt,
  shadowAt: null,
});
