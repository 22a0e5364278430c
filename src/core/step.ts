/** The core's one entry: commands in, effects out. No input or output, no clock, no randomness. */
import { runRound, SUSPECT_MACHINES } from './backfill.js';
import { deleted, everyLeaseOver, listed, manageFleet, quarantine, rented, setTypes } from './fleet.js';
import {
  type Batch,
  CHUNK_TASKS,
  type CoreState,
  chunkOf,
  hold,
  isDone,
  type Job,
  leaveChunkSegment,
  leaveSegment,
  type Machine,
  newJob,
  newMachine,
  occupies,
  openSegment,
  type Placement,
  recountPending,
  release,
  type Segment,
  segmentKey,
  settleSegment,
  UNHEARD_STOPS,
  usable,
} from './state.js';
import {
  type Command,
  type Effect,
  type Instant,
  type JobId,
  type LedgerEntry,
  type LedgerMachine,
  type LedgerRow,
  later,
  type MachineId,
  type Millis,
  type Order,
  type ProgressRow,
  type Report,
  type ReportedTask,
  type SaveOp,
  type SegmentKey,
  seconds,
  type Ticket,
  type TypeName,
  type ZoneName,
} from './types.js';

/** What the service may do now: everything, only keep workers' leases alive, or nothing. */
export type Authority = 'lead' | 'keep-alive' | 'none';

/** A check-in waits at most this long for the ledger entries of its starts. */
const ANSWER_WAIT_MS = 900;
/**
 * An idle worker's check-in is answered when there is something to start, or after this long: a start that
 * misses it would wait for the next report. Busy workers are answered at once, since theirs bring results.
 */
const IDLE_HOLD_SHARE = 0.6;
const IDLE_HOLD_MAX_MS = 2900;
const MAX_ORDERS = 300;
const TICK_MS = 500;
/** Progress that only guards against a crash may wait this long for company. */
const PROGRESS_WAIT_MS = 700;
/** Rounds without an event, so that scores that change with time alone take effect. */
const ROUND_EVERY_MS = 2000;
const KILL_RESEND_MS = 2000;
/** Kept well below what one transaction may hold. */
const BATCH_BYTES = 40_000;
const RECORD_BYTES = 14_000;
/** Upper bounds of what a row of a ledger record takes, besides its names. */
const ENTRY_BYTES = 36;
const ROW_BYTES = 60;
/** Ledger records dropped in one batch, and how many may lie about before a batch is made for them alone. */
const DROPS_AT_ONCE = 8;
const DROPS_ALONE = 4;
/** A record of which less than this is left is moved into the newest one. */
const THIN_SHARE = 0.4;
const MOVES_AT_ONCE = 6;
/** Unheard answers after which a machine is replaced, unless more than this share of the fleet seems deaf. */
const UNHEARD_REPLACES = 4;
const DEAF_SHARE = 0.2;

const note = (
  effects: Effect[],
  level: 'info' | 'debug',
  text: string,
  fields: Record<string, unknown>,
): void => {
  effects.push({ kind: 'note', level, text, fields });
};

// ---- jobs ----------------------------------------------------------------------------------------

const addJob = (state: CoreState, spec: Job['spec'], submittedAt: Instant): void => {
  if (state.jobs.has(spec.id)) return;
  const job = newJob(spec, submittedAt);
  state.jobs.set(spec.id, job);
  state.placementDue = true;
};

const settle = (job: Job, effects: Effect[]): void => {
  const outcome = job.final === 'cancelled' ? 'cancelled' : 'done';
  for (const ticket of job.abortTickets) effects.push({ kind: 'settled', ticket, outcome });
  job.abortTickets = [];
};

const abortJob = (state: CoreState, id: JobId, ticket: Ticket, effects: Effect[]): void => {
  const job = state.jobs.get(id);
  if (!job) {
    effects.push({ kind: 'settled', ticket, outcome: null });
    return;
  }
  job.abortTickets.push(ticket);
  if (job.final !== 'none') return;
  job.final = 'cancelled';
  state.dirtyFinals.add(job);
  // Until the result is stored the tasks run on: should the write fail, the job is not cancelled.
};

const killAll = (job: Job): void => {
  for (const placements of job.held.values()) {
    for (const p of placements) p.kill = { graceS: 0, sentAt: null };
  }
};

const finishSaved = (state: CoreState, job: Job, effects: Effect[]): void => {
  state.jobs.delete(job.spec.id);
  for (const chunk of job.chunks.values()) leaveChunkSegment(state, chunk);
  if (state.head === job.spec.id) state.head = null;
  const outcome = job.final === 'cancelled' ? 'cancelled' : 'done';
  effects.push({ kind: 'final', job: job.spec.id, outcome, tasks: job.spec.tasks, team: job.spec.team });
  settle(job, effects);
  killAll(job);
  for (const m of state.machines.values()) m.failedJobs.delete(job.spec.id);
  if (outcome === 'cancelled') for (const m of machinesOf(job)) sendKills(m, effects);
  state.placementDue = true;
};

const machinesOf = (job: Job): Set<Machine> => {
  const machines = new Set<Machine>();
  for (const placements of job.held.values()) for (const p of placements) machines.add(p.machine);
  return machines;
};

const markDone = (state: CoreState, job: Job, p: Placement, now: Instant): void => {
  const { index } = p.entry;
  if (index >= job.spec.tasks) return;
  const chunk = chunkOf(job, index);
  const number = Math.floor(index / CHUNK_TASKS);
  if (!isDone(job, index)) {
    const at = index % CHUNK_TASKS;
    chunk.bits[at >> 3] = (chunk.bits[at >> 3] ?? 0) | (1 << (at & 7));
    chunk.version += 1;
    job.doneCount += 1;
    state.dirtyChunks.set(`${job.spec.id}/${number}`, { job, chunk: number });
    state.dirtySince ??= now;
    for (const other of job.held.get(index) ?? []) {
      if (other !== p) other.kill = { graceS: 0, sentAt: null };
    }
    if (job.doneCount >= job.spec.tasks && job.final === 'none') {
      job.final = 'done';
      state.dirtyFinals.add(job);
    }
  }
  p.needs = { chunk: number, version: chunk.version };
  job.failedOn.clear();
  job.failures = 0;
};

const noteFailure = (state: CoreState, job: Job, m: Machine, now: Instant, effects: Effect[]): void => {
  job.failures += 1;
  job.failedOn.add(m.id);
  m.failedJobs.add(job.spec.id);
  if (job.failedOn.size >= SUSPECT_MACHINES) {
    // The job's own mistake: the machines are not to blame, and it must neither hold the head nor burn them.
    for (const other of state.machines.values()) other.failedJobs.delete(job.spec.id);
    const pause = Math.min(60, 2 ** Math.min(job.failures - SUSPECT_MACHINES + 1, 6));
    job.retryAt = later(now, seconds(Math.max(2, pause)));
    if (state.head === job.spec.id) state.head = null;
    note(effects, 'info', 'job fails on every machine, pausing', { job: job.spec.id, pauseS: pause });
  } else if (quarantine(state, m, now)) {
    note(effects, 'info', 'machine fails tasks of several jobs, replacing it', { machine: m.id });
  }
};

// ---- reports -------------------------------------------------------------------------------------

const ensureMachine = (
  state: CoreState,
  id: MachineId,
  report: Report | null,
  now: Instant,
  recorded?: LedgerMachine,
): Machine => {
  let m = state.machines.get(id);
  if (!m) {
    const at = {
      endpoint: report?.endpoint ?? '',
      type: report?.type ?? recorded?.type ?? ('' as TypeName),
      zone: report?.zone ?? recorded?.zone ?? ('' as ZoneName),
      spot: report?.spot ?? recorded?.spot ?? true,
    };
    m = newMachine(id, at, now, now);
    state.machines.set(id, m);
  }
  if (report) {
    m.endpoint = report.endpoint;
    m.type = report.type;
    m.spot = report.spot;
    if (m.zone !== report.zone) {
      for (const p of m.placements.values()) {
        if (!p.job || !occupies(p.phase)) continue;
        const left = (p.job.heldByZone.get(m.zone) ?? 1) - 1;
        if (left > 0) p.job.heldByZone.set(m.zone, left);
        else p.job.heldByZone.delete(m.zone);
        p.job.heldByZone.set(report.zone, (p.job.heldByZone.get(report.zone) ?? 0) + 1);
      }
      m.zone = report.zone;
    }
  }
  return m;
};

/** An attempt this leader did not place: from a former leader's ledger, or found on a machine. */
const adopt = (
  state: CoreState,
  m: Machine,
  entry: LedgerEntry,
  now: Instant,
  segment: Segment | null,
): Placement => {
  // A task that its job does not have is only counted and killed, like one of an unknown job.
  const named = state.jobs.get(entry.job);
  const job = named && entry.index < named.spec.tasks ? named : null;
  const p: Placement = {
    entry,
    machine: m,
    job,
    placedAt: now,
    phase: 'recorded',
    startedAt: null,
    sentIn: null,
    kill: job ? null : { graceS: 0, sentAt: null },
    needs: null,
    segment,
  };
  segment?.placements.add(p);
  hold(state, p);
  return p;
};

const adoptReported = (state: CoreState, m: Machine, task: ReportedTask, now: Instant): Placement => {
  const spec = state.jobs.get(task.job)?.spec;
  const entry: LedgerEntry = {
    job: task.job,
    index: task.index,
    attempt: task.attempt,
    team: spec?.team ?? ('' as LedgerEntry['team']),
    cpus: spec?.cpus ?? 0,
    gpus: spec?.gpus ?? 0,
    memoryGb: spec?.memoryGb ?? 0,
  };
  const p = adopt(state, m, entry, now, null);
  const rivals = (p.job?.held.get(entry.index) ?? []).length > 1;
  if (rivals) p.kill = { graceS: 0, sentAt: null };
  state.toEnter.add(p);
  return p;
};

const onTask = (
  state: CoreState,
  p: Placement,
  task: ReportedTask,
  now: Instant,
  effects: Effect[],
): void => {
  const { job, machine } = p;
  if (p.phase === 'ended') return;
  if (task.phase !== 'ended') {
    if (task.phase === 'running' && p.startedAt === null) p.startedAt = now;
    p.phase = task.phase;
    if (job) machine.images.add(job.spec.image);
    return;
  }
  if (task.cause === 'done' && job && job.final === 'none') markDone(state, job, p, now);
  else if (task.cause === 'error' && job && !p.kill) noteFailure(state, job, machine, now, effects);
  else if (task.cause === 'no_room') machine.fullUntil = later(now, 1500 as Millis);
  else if (task.cause === 'unknown' && job) job.retryAt = later(now, seconds(2));
  if (task.cause === 'done') machine.failedJobs.clear();
  if (task.cause !== 'done' && job) {
    note(effects, 'debug', 'attempt ended', {
      job: job.spec.id,
      task: p.entry.index,
      machine: machine.id,
      cause: task.cause,
      saved: task.saved,
    });
  }
  release(state, p, now);
};

/**
 * Guards against a machine whose reports arrive while our answers do not reach it. Its next report tells: a start in
 * an answer that was heard shows up in it, in whatever state; and no session ends while answers arrive.
 */
const noteHearing = (state: CoreState, m: Machine, report: Report, now: Instant, effects: Effect[]): void => {
  const { offered } = m;
  m.offered = null;
  const before = m.unheard;
  if (report.session > m.session && m.answeredSession === m.session && m.session > 0) m.unheard += 1;
  else if (offered && report.session === m.session && report.seq > offered.seq) {
    const shown = new Set<number>(report.tasks.map((t) => t.attempt));
    m.unheard = offered.attempts.some((attempt) => shown.has(attempt)) ? 0 : m.unheard + 1;
  }
  if (m.unheard > before && m.unheard >= UNHEARD_STOPS) m.shunUntil = later(now, state.config.leaseMs);
  else if (m.unheard === 0) m.shunUntil = 0 as Instant;
  const { unprovenSince } = m;
  const unproven = unprovenSince !== null && now - unprovenSince > 1.5 * state.config.leaseMs;
  if (m.deaf || (m.unheard < UNHEARD_REPLACES && !unproven)) return;
  let deaf = 0;
  for (const other of state.machines.values()) if (other.deaf || other.unheard >= UNHEARD_STOPS) deaf += 1;
  // When many seem deaf the fault is more likely our own slowness: replacing them would help nobody.
  if (deaf > Math.max(2, state.machines.size * DEAF_SHARE)) {
    m.unheard = Math.min(m.unheard, UNHEARD_STOPS);
    return;
  }
  m.deaf = true;
  note(effects, 'info', 'machine does not hear our answers, replacing it', { machine: m.id });
};

const onReport = (
  state: CoreState,
  report: Report,
  ticket: Ticket | null,
  now: Instant,
  effects: Effect[],
): void => {
  const refuse = () => {
    if (ticket !== null) effects.push({ kind: 'answer', ticket, orders: null });
  };
  if (state.gone.has(report.machine)) return refuse();
  const known = state.machines.get(report.machine);
  if (
    known &&
    (report.session < known.session || (report.session === known.session && report.seq <= known.seq))
  ) {
    return refuse();
  }
  const m = ensureMachine(state, report.machine, report, now);
  if (ticket !== null) noteHearing(state, m, report, now, effects);
  if (m.ticket) effects.push({ kind: 'answer', ticket: m.ticket.ticket, orders: null });
  m.ticket = ticket === null ? null : { ticket, since: now };
  if (m.ticket) state.waiting.add(m);
  else state.waiting.delete(m);
  const first = !m.everSeen;
  if (first) note(effects, 'debug', 'machine is up', { machine: m.id, type: m.type, zone: m.zone });
  m.session = report.session;
  m.seq = report.seq;
  m.everSeen = true;
  if (ticket !== null) m.lastSeen = now;
  if (m.lostAt !== null && !m.deleting && !(m.draining && m.placements.size === 0)) {
    m.lostAt = null;
    m.lostWhy = '';
  }
  m.noticeUntil = report.noticeS === null ? null : later(now, seconds(report.noticeS));
  // Only a report that carries our term, on a session we answered, proves what is not on the machine:
  // a report sent before could be older than a start that a former leader's answer still brought.
  // Nor does a reply to direct orders, which may cross the answer to a check-in that is still under way.
  const proof = ticket !== null && report.term === state.config.term && m.answeredSession === report.session;
  if (proof && !m.ready) {
    m.ready = true;
    state.placementDue = true;
  }
  if (proof) m.unprovenSince = null;
  else if (ticket !== null && !m.ready) m.unprovenSince ??= now;
  if (m.answeredSession !== report.session) m.ready = false;
  // The first word of a machine rented under this term: nothing can be on its way to it, so the answer may start
  // tasks at once. What it takes for an absence to be proof stays the same.
  if (first && m.ownRental && report.session === 1 && report.tasks.length === 0) {
    m.ready = true;
    state.placementDue = true;
  }
  const seen = new Set<number>();
  for (const task of report.tasks) {
    seen.add(task.attempt);
    const p = m.placements.get(task.attempt) ?? adoptReported(state, m, task, now);
    onTask(state, p, task, now, effects);
  }
  if (proof) {
    for (const p of [...m.placements.values()]) {
      if (seen.has(p.entry.attempt) || p.phase === 'entering') continue;
      // On its way, unless it went out in a session that has ended: what that one held is gone, and answers to its
      // reports are dropped. Sent again, it would run under an attempt that may have run before.
      if (p.phase === 'offered' && !p.kill && (p.sentIn === null || p.sentIn === report.session)) continue;
      release(state, p, now);
      m.placements.delete(p.entry.attempt);
    }
  }
};

// ---- orders --------------------------------------------------------------------------------------

const reapable = (state: CoreState, p: Placement): boolean => {
  if (!p.needs || !p.job) return true;
  if (!state.jobs.has(p.job.spec.id)) return true;
  const chunk = p.job.chunks.get(p.needs.chunk);
  return chunk !== undefined && chunk.saved >= p.needs.version;
};

const ordersFor = (state: CoreState, m: Machine, now: Instant): Order[] => {
  const orders: Order[] = [];
  for (const p of m.placements.values()) {
    if (orders.length >= MAX_ORDERS) break;
    const { job, index, attempt } = p.entry;
    if (p.phase === 'ended') {
      if (reapable(state, p)) orders.push({ op: 'reap', job, index, attempt });
    } else if (p.kill) {
      if (p.phase === 'entering' || p.phase === 'offered') continue;
      if (p.phase === 'saving' && p.kill.graceS > 0) continue;
      orders.push({ op: 'kill', job, index, attempt, graceS: p.kill.graceS });
      p.kill.sentAt = now;
    } else if (p.phase === 'offered' && m.ready && !m.deaf && !m.deleting) {
      if (p.sentIn !== null && p.sentIn !== m.session) continue;
      p.sentIn = m.session;
      orders.push({ op: 'start', job, index, attempt });
    }
  }
  return orders;
};

/** Kills go straight to the worker, since its next check-in may be a while away. */
const sendKills = (m: Machine, effects: Effect[], now?: Instant): void => {
  if (!m.endpoint || m.session === 0) return;
  const orders: Order[] = [];
  for (const p of m.placements.values()) {
    if (!p.kill || p.phase === 'entering' || p.phase === 'ended' || orders.length >= MAX_ORDERS) continue;
    if (now !== undefined && p.kill.sentAt !== null && now - p.kill.sentAt < KILL_RESEND_MS) continue;
    const { job, index, attempt } = p.entry;
    orders.push({ op: 'kill', job, index, attempt, graceS: p.kill.graceS });
    if (now !== undefined) p.kill.sentAt = now;
  }
  if (orders.length === 0) return;
  effects.push({ kind: 'orders', machine: m.id, endpoint: m.endpoint, session: m.session, orders });
};

const answerTickets = (state: CoreState, now: Instant, authority: Authority, effects: Effect[]): void => {
  const idleHoldMs = Math.min(IDLE_HOLD_MAX_MS, state.config.reportMs * IDLE_HOLD_SHARE);
  for (const m of state.waiting) {
    if (!m.ticket) {
      state.waiting.delete(m);
      continue;
    }
    const { ticket, since } = m.ticket;
    if (authority === 'lead' && now - since < ANSWER_WAIT_MS) {
      let waits = false;
      for (const p of m.placements.values()) waits ||= p.phase === 'entering';
      if (waits) continue;
    }
    if (authority === 'lead' && m.placements.size === 0 && usable(m, now) && now - since < idleHoldMs)
      continue;
    m.ticket = null;
    state.waiting.delete(m);
    if (authority === 'none') {
      effects.push({ kind: 'answer', ticket, orders: null });
      continue;
    }
    m.answeredSession = m.session;
    const orders = authority === 'lead' ? ordersFor(state, m, now) : [];
    const attempts = orders.filter((o) => o.op === 'start').map((o) => o.attempt);
    if (attempts.length > 0) m.offered = { seq: m.seq, attempts };
    effects.push({ kind: 'answer', ticket, orders });
  }
};

// ---- persistence ---------------------------------------------------------------------------------

const byteLength = (name: string): number => encodeURIComponent(name).length;

/** One ledger record in the making. */
class SegmentDraft {
  readonly machines = new Map<MachineId, { row: LedgerRow; entries: LedgerEntry[] }>();
  readonly progress: ProgressRow[] = [];
  private readonly jobs = new Set<JobId>();
  bytes = ROW_BYTES;

  constructor(readonly segment: Segment) {}

  private costOf({ entry, machine }: Placement): number {
    const row = this.machines.has(machine.id)
      ? 0
      : ROW_BYTES + byteLength(machine.id) + byteLength(machine.type) + byteLength(machine.zone);
    const named = this.jobs.has(entry.job) ? 0 : ROW_BYTES + entry.job.length + byteLength(entry.team);
    return ENTRY_BYTES + row + named;
  }

  /** False when the record has no room for it. */
  enter(state: CoreState, p: Placement, limit: number): boolean {
    const cost = this.costOf(p);
    if (this.bytes + cost > limit) return false;
    this.bytes += cost;
    const { entry, machine } = p;
    this.jobs.add(entry.job);
    let at = this.machines.get(machine.id);
    if (!at) {
      const entries: LedgerEntry[] = [];
      const { type, zone, spot } = machine;
      at = { row: { machine: machine.id, at: { type, zone, spot }, entries }, entries };
      this.machines.set(machine.id, at);
    }
    at.entries.push(entry);
    leaveSegment(state, p);
    p.segment = this.segment;
    this.segment.placements.add(p);
    this.segment.size += 1;
    return true;
  }

  record(state: CoreState, job: Job, number: number, limit: number): boolean {
    const chunk = job.chunks.get(number)!;
    const cost = ROW_BYTES + job.spec.id.length + Math.ceil(chunk.bits.length / 3) * 4;
    if (this.bytes + cost > limit) return false;
    this.bytes += cost;
    this.progress.push({ job: job.spec.id, chunk: number, bits: chunk.bits.slice() });
    leaveChunkSegment(state, chunk);
    chunk.segment = this.segment;
    this.segment.chunks.set(chunk, { job, number });
    this.segment.size += 1;
    return true;
  }
}

/**
 * Old records of which little is left move into the newest one, so that a few long tasks do not keep many records
 * alive that a new leader would have to read. Moved and dropped in one transaction.
 */
const moveThin = (state: CoreState, draft: SegmentDraft, limit: number): void => {
  let moved = 0;
  for (const segment of state.segments.values()) {
    if (moved >= MOVES_AT_ONCE) return;
    const left = segment.placements.size + segment.chunks.size;
    if (segment === draft.segment || left > segment.size * THIN_SHARE) continue;
    moved += 1;
    for (const p of [...segment.placements]) if (!draft.enter(state, p, limit)) return;
    for (const { job, number } of [...segment.chunks.values()]) {
      if (!draft.record(state, job, number, limit)) return;
    }
  }
};

/** Gathers one batch; the next waits until this one is known to be stored. */
const nextBatch = (state: CoreState, now: Instant, effects: Effect[]): void => {
  if (state.batch) return;
  const { txnOps, valueBytes, term } = state.config;
  const ops: SaveOp[] = [];
  const batch: Batch = { id: state.nextBatch, entered: [], chunks: [], finals: [] };
  let changes = 0;
  let bytes = 0;
  for (const job of state.dirtyFinals) {
    // The job's record goes and the final one comes.
    if (changes + 2 > txnOps) break;
    changes += 2;
    bytes += 300;
    const outcome = job.final === 'cancelled' ? 'cancelled' : 'done';
    const { id, tasks, team } = job.spec;
    ops.push({ kind: 'final', job: id, outcome, tasks, team });
    batch.finals.push(job);
    state.dirtyFinals.delete(job);
  }
  const limit = Math.min(valueBytes * 0.9, RECORD_BYTES);
  let draft: SegmentDraft | null = null;
  const drafts: SegmentDraft[] = [];
  /** Room for one thing more: in the record at hand, else in a new one. */
  const put = (add: (draft: SegmentDraft) => boolean): boolean => {
    if (draft && add(draft)) return true;
    if (changes + 1 > txnOps || bytes + (draft?.bytes ?? 0) > BATCH_BYTES) return false;
    const key = segmentKey(term, state.nextSegment);
    const fresh = new SegmentDraft({ key, placements: new Set(), chunks: new Map(), size: 0 });
    if (!add(fresh)) return false;
    state.nextSegment += 1;
    changes += 1;
    bytes += draft?.bytes ?? 0;
    draft = fresh;
    drafts.push(fresh);
    state.segments.set(key, fresh.segment);
    return true;
  };
  for (const p of state.toEnter) {
    if (!put((d) => d.enter(state, p, limit))) break;
    state.toEnter.delete(p);
    if (p.phase === 'entering') batch.entered.push(p);
  }
  const progressDue = state.dirtySince !== null && now - state.dirtySince >= PROGRESS_WAIT_MS;
  if (progressDue || ops.length > 0 || drafts.length > 0) {
    for (const [key, { job, chunk: number }] of state.dirtyChunks) {
      const over = !state.jobs.has(job.spec.id) || job.final !== 'none';
      if (!over && !put((d) => d.record(state, job, number, limit))) break;
      state.dirtyChunks.delete(key);
      if (!over) batch.chunks.push({ job, chunk: number, version: job.chunks.get(number)!.version });
    }
    state.dirtySince = state.dirtyChunks.size > 0 ? now : null;
  }
  const drops: SegmentKey[] = [];
  if (drafts.length > 0 || ops.length > 0 || state.deadSegments.size >= DROPS_ALONE) {
    if (draft) moveThin(state, draft, limit);
    for (const key of state.deadSegments) {
      if (drops.length >= DROPS_AT_ONCE || changes >= txnOps) break;
      drops.push(key);
      changes += 1;
    }
  }
  for (const { segment, machines, progress } of drafts) {
    const rows = [...machines.values()].map((m) => m.row);
    ops.push({ kind: 'segment', key: segment.key, machines: rows, progress });
  }
  for (const key of drops) {
    state.deadSegments.delete(key);
    ops.push({ kind: 'segment-gone', key });
  }
  if (ops.length === 0) return;
  state.nextBatch += 1;
  state.batch = batch;
  effects.push({ kind: 'save', batch: batch.id, ops });
};

const onSaved = (state: CoreState, id: number, effects: Effect[]): void => {
  const batch = state.batch;
  if (!batch || batch.id !== id) return;
  state.batch = null;
  for (const p of batch.entered) if (p.phase === 'entering') p.phase = 'offered';
  for (const { job, chunk, version } of batch.chunks) {
    const c = job.chunks.get(chunk);
    if (c) c.saved = Math.max(c.saved, version);
  }
  for (const job of batch.finals) finishSaved(state, job, effects);
};

// ---- the step ------------------------------------------------------------------------------------

const apply = (state: CoreState, command: Command, now: Instant, effects: Effect[]): void => {
  switch (command.kind) {
    case 'job':
      return addJob(state, command.spec, command.submittedAt);
    case 'progress': {
      const job = state.jobs.get(command.job);
      const segment = openSegment(state, command.segment);
      if (!job || !Number.isInteger(command.chunk) || command.chunk < 0) return;
      if (command.chunk * CHUNK_TASKS >= job.spec.tasks) return;
      const chunk = chunkOf(job, (command.chunk * CHUNK_TASKS) as never);
      // Several records may speak of one part of a job; the newest says all that the others do.
      let news = chunk.segment === null;
      for (const [i, old] of chunk.bits.entries()) {
        const bits = old | (command.bits[i] ?? 0);
        news ||= bits !== old;
        chunk.bits[i] = bits;
      }
      if (news) {
        leaveChunkSegment(state, chunk);
        chunk.segment = segment;
        chunk.segment.chunks.set(chunk, { job, number: command.chunk });
        chunk.segment.size += 1;
      }
      let done = 0;
      for (const { bits } of job.chunks.values()) {
        for (let byte of bits) for (; byte > 0; byte &= byte - 1) done += 1;
      }
      job.doneCount = done;
      recountPending(job);
      return;
    }
    case 'ledger': {
      const segment = openSegment(state, command.segment);
      const m = ensureMachine(state, command.machine, null, now, command.at);
      for (const entry of command.entries) {
        segment.size += 1;
        const job = state.jobs.get(entry.job);
        // A task already recorded as done needs no second look: its result is safe.
        if (job && isDone(job, entry.index)) continue;
        if (!m.placements.has(entry.attempt)) adopt(state, m, entry, now, segment);
      }
      return;
    }
    case 'unreadable':
      state.unreadable.add(command.segment);
      return;
    case 'loaded':
      state.loaded = true;
      // One report period, at its longest, lets the workers speak first. (Without it at a first start, whichever
      // jobs arrive first take the few machines that are up, not those that rank best.)
      state.placeFrom = later(now, (state.config.reportMs * 1.3) as Millis);
      if (state.unreadable.size > 0) state.placeFrom = everyLeaseOver(state);
      for (const segment of [...state.segments.values()]) settleSegment(state, segment);
      for (const job of state.jobs.values()) {
        if (job.doneCount >= job.spec.tasks && job.final === 'none') {
          job.final = 'done';
          state.dirtyFinals.add(job);
        }
      }
      return;
    case 'abort':
      return abortJob(state, command.job, command.ticket, effects);
    case 'report':
      return onReport(state, command.report, command.ticket, now, effects);
    case 'saved':
      return onSaved(state, command.batch, effects);
    case 'types':
      return setTypes(state, command.types);
    case 'listed':
      return listed(state, command.askedAt, command.machines, now);
    case 'rented':
      return rented(state, command.request, command.result, command.machines, now);
    case 'deleted':
      return deleted(state, command.machines, command.ok, now);
    case 'tick':
      return;
  }
};

export const step = (
  state: CoreState,
  commands: readonly Command[],
  now: Instant,
  authority: Authority,
): Effect[] => {
  const effects: Effect[] = [];
  for (const command of commands) apply(state, command, now, effects);
  if (authority === 'lead' && state.loaded) {
    if (now - state.lastTick >= TICK_MS) {
      state.lastTick = now;
      effects.push(...manageFleet(state, now));
      for (const m of state.machines.values()) sendKills(m, effects, now);
    }
    const due = state.placementDue || now - state.lastPlaced >= ROUND_EVERY_MS;
    if (due && now >= state.placeFrom) {
      state.placementDue = false;
      state.lastPlaced = now;
      // Whatever an unreadable record spoke of has ended by now, or its machine has reported it.
      for (const key of state.unreadable) state.deadSegments.add(key);
      state.unreadable.clear();
      const round = runRound(state, now);
      if (round.placed.length > 0) {
        note(effects, 'debug', 'placed', {
          head: state.head,
          tasks: round.placed.map((p) => `${p.entry.job}/${p.entry.index}@${p.machine.id}`),
        });
      }
    }
    nextBatch(state, now, effects);
  }
  answerTickets(state, now, authority, effects);
  return effects;
};
