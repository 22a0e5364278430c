/** What the leader knows: jobs, machines and the attempts that may be on them. */
import type { ExtensionHost, ExtensionWrites } from './extension-host.js';
import {
  type Attempt,
  type ImageName,
  type Instant,
  isService,
  type JobId,
  type JobSpec,
  type LedgerEntry,
  type MachineId,
  type MachineType,
  type Millis,
  type Policy,
  type RequestName,
  type Revision,
  type SegmentKey,
  type TaskIndex,
  type Team,
  type TeamName,
  type Term,
  type Ticket,
  type TypeName,
  type ZoneName,
} from './types.js';

/** Ledger records tell progress by blocks of this many tasks, and smaller parts by their first task. */
export const BLOCK_TASKS = 8192;
/** Tasks in one part where a block does not fit a value of the state service. */
const SMALL_PART_TASKS = 1024;
const BLOCK_ROW_BYTES = 1500;

const RECORD_BYTES = 14_000;

/** What a ledger record may hold, by the settings' bound for a value. */
export const recordBytes = ({ valueBytes }: CoreConfig): number => Math.min(valueBytes * 0.96, RECORD_BYTES);

/**
 * Attempt numbers that belong to one revision of the state service, so that none is ever given twice: a leader begins at
 * those of its term. Revisions at which it has stored anything since, guarded by the leader key, can become nobody's term:
 * their numbers are its own too.
 */
export const ATTEMPTS_PER_REVISION = 1_000_000;

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
export type Phase = 'recorded' | 'entering' | 'offered' | 'fetching' | 'running' | 'saving' | 'ended';

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

export const newJob = (spec: JobSpec, submittedAt: Instant, config?: CoreConfig): Job => ({
  spec,
  submittedAt,
  idleSince: submittedAt,
  starving: false,
  needs: JSON.stringify([
    spec.shape,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.types,
    spec.zone,
    spec.spotOk,
  ]),
  partTasks: config && recordBytes(config) < BLOCK_ROW_BYTES ? SMALL_PART_TASKS : BLOCK_TASKS,
  chunks: new Map(),
  doneCount: 0,
  superseded: 0,
  cursor: 0,
  returned: [],
  pending: spec.tasks,
  held: new Map(),
  heldByZone: new Map(),
  failedOn: new Set(),
  retryAt: 0 as Instant,
  failures: 0,
  failedAt: 0 as Instant,
  final: 'none',
  finalSaving: false,
  abortTickets: [],
  blockedBy: '',
});

/** A job whose tasks fail on this many machines in a row is tried one task at a time, with pauses. */
export const SUSPECT_MACHINES = 3;

/** A service's replicas may fail on one machine time and again, where there is no other; one that runs proves it sound. */
export const failsEverywhere = (job: Job): boolean => {
  if (!isService(job)) return job.failedOn.size >= SUSPECT_MACHINES;
  if (job.failures < SUSPECT_MACHINES) return false;
  for (const held of job.held.values()) if (held.some((p) => p.phase === 'running')) return false;
  return true;
};

export const isDone = (job: Job, index: TaskIndex): boolean => {
  const bits = job.chunks.get(Math.floor(index / job.partTasks))?.bits;
  const at = index % job.partTasks;
  return bits !== undefined && ((bits[at >> 3] ?? 0) & (1 << (at & 7))) !== 0;
};

export const chunkOf = (job: Job, index: TaskIndex): Chunk => {
  const number = Math.floor(index / job.partTasks);
  let chunk = job.chunks.get(number);
  if (!chunk) {
    const size = Math.min(job.partTasks, job.spec.tasks - number * job.partTasks);
    chunk = { bits: new Uint8Array(Math.ceil(size / 8)), version: 0, saved: 0, segment: null };
    job.chunks.set(number, chunk);
  }
  return chunk;
};

/** Whether a number is left for another attempt. */
export const hasAttemptLeft = ({ config, nextAttempt, storedRevision }: CoreState): boolean =>
  nextAttempt < (storedRevision - config.term + 1) * ATTEMPTS_PER_REVISION;

/** Takes the next waiting task, or null. The caller places it or gives it back. */
export const takePending = (job: Job): TaskIndex | null => {
  while (job.returned.length > 0) {
    const index = job.returned.pop() as TaskIndex;
    if (!isDone(job, index) && !job.held.has(index)) return index;
  }
  while (job.cursor < job.spec.tasks) {
    const index = job.cursor as TaskIndex;
    job.cursor += 1;
    if (!isDone(job, index) && !job.held.has(index)) return index;
  }
  return null;
};

export const recountPending = (job: Job): void => {
  let heldOpen = 0;
  for (const index of job.held.keys()) if (!isDone(job, index)) heldOpen += 1;
  job.pending = Math.max(0, job.spec.tasks - job.doneCount - heldOpen);
};

export const occupies = (phase: Phase): boolean => phase !== 'ended';

/** Where ledger records stand in the state service; the term in the name keeps every name new. */
export const SEGMENTS = 'l/';
export const segmentKey = (term: Term, n: number): SegmentKey => `${SEGMENTS}${term}/${n}` as SegmentKey;

export const openSegment = (state: CoreState, key: SegmentKey): Segment => {
  let segment = state.segments.get(key);
  if (!segment) {
    segment = { key, placements: new Set(), chunks: new Map(), size: 0 };
    state.segments.set(key, segment);
  }
  return segment;
};

/** Drops the record once nothing in it matters. */
export const settleSegment = (state: CoreState, segment: Segment): void => {
  // While the ledger is read, a record that seems spent may have rows yet to come.
  if (
    !state.loaded ||
    segment.placements.size + segment.chunks.size > 0 ||
    !state.segments.delete(segment.key)
  )
    return;
  state.deadSegments.add(segment.key);
};

/** From now on another record speaks for the attempt, or none needs to. */
export const leaveSegment = (state: CoreState, p: Placement): void => {
  const { segment } = p;
  p.segment = null;
  if (segment?.placements.delete(p)) settleSegment(state, segment);
};

export const leaveChunkSegment = (state: CoreState, chunk: Chunk): void => {
  const { segment } = chunk;
  chunk.segment = null;
  if (segment?.chunks.delete(chunk)) settleSegment(state, segment);
};

/** Counts an attempt on its machine, against its team and in its job. */
export const addPlacement = (state: CoreState, p: Placement): void => {
  const { entry, machine, job } = p;
  machine.placements.set(entry.attempt, p);
  machine.occupied += 1;
  machine.usedCpus += entry.cpus;
  machine.usedGpus += entry.gpus;
  machine.usedMemoryGb += entry.memoryGb;
  const usage = state.usage.get(entry.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += entry.cpus;
  usage.gpus += entry.gpus;
  state.usage.set(entry.team, usage);
  if (job) {
    const others = job.held.get(entry.index);
    if (others) others.push(p);
    else {
      job.held.set(entry.index, [p]);
      if (!isDone(job, entry.index)) job.pending -= 1;
    }
    job.heldByZone.set(machine.zone, (job.heldByZone.get(machine.zone) ?? 0) + 1);
  }
};

/**
 * The attempt is certainly not on its machine any more: gives back what it held. `reported`: it has ended by itself or
 * by a command, as its machine says.
 */
export const release = (
  state: CoreState,
  p: Placement,
  now: Instant,
  how: 'reported' | 'gone' = 'gone',
): void => {
  const { entry, machine, job } = p;
  if (!occupies(p.phase)) return;
  state.extensions?.observe({ kind: 'released', attempt: p, how });
  p.phase = 'ended';
  state.toEnter.delete(p);
  leaveSegment(state, p);
  machine.usedCpus -= entry.cpus;
  machine.usedGpus -= entry.gpus;
  machine.usedMemoryGb -= entry.memoryGb;
  const usage = state.usage.get(entry.team);
  if (usage) {
    usage.cpus -= entry.cpus;
    usage.gpus -= entry.gpus;
  }
  if (job && p.superseded) job.superseded -= 1;
  if (job) {
    const left = (job.held.get(entry.index) ?? []).filter((other) => other !== p);
    if (left.length > 0) job.held.set(entry.index, left);
    else {
      job.held.delete(entry.index);
      if (job.held.size === 0) job.idleSince = now;
      if (!isDone(job, entry.index)) {
        job.pending += 1;
        job.returned.push(entry.index);
      }
    }
    const inZone = (job.heldByZone.get(machine.zone) ?? 1) - 1;
    if (inZone > 0) job.heldByZone.set(machine.zone, inZone);
    else job.heldByZone.delete(machine.zone);
  }
  machine.occupied -= 1;
  if (machine.occupied <= 0) {
    machine.idleSince = now;
    machine.usedCpus = 0;
    machine.usedGpus = 0;
    machine.usedMemoryGb = 0;
  }
  state.placementDue = true;
};

export const newMachine = (
  id: MachineId,
  at: { endpoint: string; type: TypeName; zone: ZoneName; spot: boolean },
  rentedAt: Instant,
  now: Instant,
): Machine => ({
  id,
  ...at,
  rentedAt,
  knownAt: now,
  session: 0,
  seq: 0,
  answeredSession: 0,
  ready: false,
  everSeen: false,
  ownRental: false,
  listed: false,
  lastSeen: now,
  lostAt: null,
  lostWhy: '',
  noticeUntil: null,
  draining: false,
  deleting: false,
  cordoned: false,
  deleteAfter: 0 as Instant,
  placements: new Map(),
  occupied: 0,
  usedCpus: 0,
  usedGpus: 0,
  usedMemoryGb: 0,
  idleSince: now,
  images: new Set(),
  failedJobs: new Set(),
  fullUntil: 0 as Instant,
  offered: null,
  unheard: 0,
  shunUntil: 0 as Instant,
  unprovenSince: null,
  deaf: false,
  kept: false,
  ticket: null,
});

/** Answers that went unheard in a row after which a machine gets no more work. */
export const UNHEARD_STOPS = 2;

/** Without a word for this many report periods a machine gets no more work: it would only wait there. */
const QUIET_REPORTS = 2;

export const isQuiet = (state: CoreState, m: Machine, now: Instant): boolean =>
  now - m.lastSeen > QUIET_REPORTS * state.config.reportMs;

export const usable = (state: CoreState, m: Machine, now: Instant): boolean =>
  m.ready &&
  !isQuiet(state, m, now) &&
  !m.deaf &&
  now >= m.shunUntil &&
  !m.draining &&
  !m.cordoned &&
  !m.deleting &&
  m.lostAt === null &&
  m.noticeUntil === null &&
  now >= m.fullUntil;
