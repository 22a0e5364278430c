/** The placement ledger and all else that the leader stores, in batches; and its reading by a new leader. */

import type { CoreState } from '../core-state.js';
import { MAX_WRITES_PER_REQUEST } from '../extensions/extension.js';
import { releasePlacement } from '../lifecycle/attempts.js';
import { getOrCreateMachine, recoverPlacement } from '../lifecycle/heartbeat-reconciliation.js';
import { getOrCreateChunk, isTaskDone, recountPendingTasks } from '../lifecycle/job-tasks.js';
import { completeStoredJob } from '../lifecycle/jobs.js';
import type { Command } from '../model/command.js';
import type { Effect } from '../model/effect.js';
import type { Batch, Job, LedgerSegment, Placement } from '../model/entities.js';
import type { AttemptId, JobId, MachineId, Revision, SegmentKey, TaskIndex } from '../model/ids.js';
import { isService } from '../model/job.js';
import type {
  LedgerEntry,
  LedgerRow,
  ProgressRow,
  StoreOperation,
} from '../model/ledger-record.js';
import { addMillis, type Instant, type Millis } from '../model/time.js';
import {
  detachChunk,
  detachPlacement,
  getOrCreateSegment,
  maxSegmentBytes,
  segmentKey,
} from './segments.js';

/** A job of which something could not be stored waits this long before it is tried again, otherwise put. */
const REFUSED_PAUSE_MS = 30_000 as Millis;

/** Progress that only guards against a crash may wait this long for company. */
const PROGRESS_WAIT_MS = 700;
/** Well below what one transaction may hold. */
const BATCH_BYTES = 40_000;
/**
 * A batch goes out in as many transactions as it takes, one after the other in its order: where few changes fit one, a batch of
 * one transaction would cost a turn of the owner for each. It holds no more than is written in half a second, since all
 * of it waits for its last change.
 */
const BATCH_CHANGES = 24;
const BATCH_S = 0.5;
const LEAST_BATCH_CHANGES = 4;
/** Upper bounds of the JSON that frames rows of a ledger record, and of numbers that stay small. */
const RECORD_FRAME_BYTES = 40;
const ENTRY_BYTES = 9;
const MACHINE_BYTES = 22;
const JOB_BYTES = 14;
const PROGRESS_BYTES = 20;
/** Ledger records dropped in one batch, and how many may lie about before a batch is made for them alone. */
const DROPS_AT_ONCE = 8;
const DROPS_ALONE = 4;
/** A record of which less than this is left is moved into the newest one. */
const THIN_SHARE = 0.4;
const MOVES_AT_ONCE = 6;

const byteLength = (name: string): number => encodeURIComponent(name).length;

/** One ledger record in the making. */
class SegmentDraft {
  readonly machines = new Map<MachineId, { row: LedgerRow; entries: LedgerEntry[] }>();
  readonly progress: ProgressRow[] = [];
  private readonly jobs = new Set<JobId>();
  bytes = RECORD_FRAME_BYTES;

  constructor(readonly segment: LedgerSegment) {}

  private costOf({ entry, machine }: Placement): number {
    const row = this.machines.has(machine.id)
      ? 0
      : MACHINE_BYTES +
        byteLength(machine.id) +
        byteLength(machine.type) +
        byteLength(machine.zone);
    const { job, team, cpus, gpus, memoryGb } = entry;
    const named = this.jobs.has(job)
      ? 0
      : JOB_BYTES + job.length + byteLength(team) + `${cpus}${gpus}${memoryGb}`.length;
    return ENTRY_BYTES + `${entry.index}${entry.attempt}`.length + row + named;
  }

  /** False when the record has no room for it. */
  enter(state: CoreState, placement: Placement, limit: number): boolean {
    const cost = this.costOf(placement);
    if (this.bytes + cost > limit) return false;
    this.bytes += cost;
    const { entry, machine } = placement;
    this.jobs.add(entry.job);
    let at = this.machines.get(machine.id);
    if (!at) {
      const entries: LedgerEntry[] = [];
      const { type, zone, spot } = machine;
      at = { row: { machine: machine.id, attributes: { type, zone, spot }, entries }, entries };
      this.machines.set(machine.id, at);
    }
    at.entries.push(entry);
    detachPlacement(state, placement);
    placement.segment = this.segment;
    this.segment.placements.add(placement);
    this.segment.initialSize += 1;
    return true;
  }

  record(state: CoreState, job: Job, number: number, limit: number): boolean {
    const chunk = job.chunks.get(number)!;
    const cost = PROGRESS_BYTES + job.spec.id.length + Math.ceil(chunk.bits.length / 3) * 4;
    if (this.bytes + cost > limit) return false;
    this.bytes += cost;
    this.progress.push({
      job: job.spec.id,
      firstTask: number * job.tasksPerChunk,
      bits: chunk.bits.slice(),
    });
    detachChunk(state, chunk);
    chunk.segment = this.segment;
    this.segment.chunks.set(chunk, { job, number });
    this.segment.initialSize += 1;
    return true;
  }
}

/** Replicas of services stay for as long as their job: records of their own do not grow thin with what ends soon. */
const isLongLived = (placement: Placement): boolean =>
  placement.job !== null && isService(placement.job);

type Put = (lasting: boolean, add: (draft: SegmentDraft) => boolean) => boolean;

/**
 * Old records of which little is left move into the newest ones, so that a few long tasks do not keep many records
 * alive that a new leader would have to read. Moved and dropped in one batch, the drop last; a record that is larger than
 * one may be now moves in pieces.
 */
const compactSparseSegments = (
  state: CoreState,
  fresh: ReadonlySet<LedgerSegment>,
  put: Put,
  limit: number,
): void => {
  let moved = 0;
  for (const segment of [...state.segments.values()]) {
    if (moved >= MOVES_AT_ONCE) return;
    const left = segment.placements.size + segment.chunks.size;
    if (fresh.has(segment) || left > segment.initialSize * THIN_SHARE) continue;
    moved += 1;
    for (const placement of [...segment.placements]) {
      if (!put(isLongLived(placement), (draft) => draft.enter(state, placement, limit))) return;
    }
    for (const { job, number } of [...segment.chunks.values()]) {
      if (
        job.supersededAttempts > 0 ||
        !put(false, (draft) => draft.record(state, job, number, limit))
      )
        return;
    }
  }
};

/** Of the changes of a batch, how many extensions may make: starts and ends wait for no more. */
const EXTENSION_SHARE = 0.25;

/** Adds what extensions want stored, as far as there is room; returns how many changes that makes. */
const takeExtensionWrites = (
  state: CoreState,
  batch: Batch,
  ops: StoreOperation[],
  room: number,
): number => {
  const waiting = state.extensions?.pendingWrites;
  if (!waiting || waiting.length === 0) return 0;
  const most = Math.max(MAX_WRITES_PER_REQUEST, Math.floor(room * EXTENSION_SHARE));
  let changes = 0;
  while (waiting.length > 0 && changes + waiting[0]!.writes.length <= most) {
    const next = waiting.shift()!;
    changes += next.writes.length;
    batch.extensionWrites.push(next);
    ops.push({ kind: 'write-extension-records', ...next });
  }
  return changes;
};

/** Gathers one batch; the next waits until this one is known to be stored. */
export const buildNextBatch = (state: CoreState, now: Instant, effects: Effect[]): void => {
  if (state.pendingBatch) return;
  const { fencingToken, maxTransactionOperations, storeWritesPerSecond } = state.config;
  const most = Math.min(
    Math.max(maxTransactionOperations, BATCH_CHANGES),
    Math.max(LEAST_BATCH_CHANGES, Math.ceil(storeWritesPerSecond * BATCH_S)),
  );
  const ops: StoreOperation[] = [];
  const batch: Batch = {
    id: state.nextBatch,
    enteredPlacements: [],
    progress: [],
    completedJobs: [],
    extensionWrites: [],
  };
  let changes = 0;
  let bytes = 0;
  for (const job of state.unsavedCompletions) {
    // The job's record goes and the final one comes.
    // Ends leave room for starts.
    if (changes > 0 && changes + 2 > (state.awaitingLedgerEntry.size > 0 ? most / 2 : most)) break;
    changes += 2;
    bytes += 300;
    const outcome = job.terminalState === 'cancelled' ? 'cancelled' : 'done';
    const { id, tasks, team } = job.spec;
    ops.push({ kind: 'job-completion', job: id, outcome, tasks, team });
    batch.completedJobs.push(job);
    state.unsavedCompletions.delete(job);
  }
  const limit = maxSegmentBytes(state.config);
  /** The records at hand, for what ends soon and for what lasts. */
  const open: { short: SegmentDraft | null; lasting: SegmentDraft | null } = {
    short: null,
    lasting: null,
  };
  const drafts: SegmentDraft[] = [];
  const fresh = new Set<LedgerSegment>();
  const openBytes = () => (open.short?.bytes ?? 0) + (open.lasting?.bytes ?? 0);
  /** Room for one thing more: in the record at hand, else in a new one. */
  const put: Put = (lasting, add) => {
    const which = lasting ? 'lasting' : 'short';
    const draft = open[which];
    if (draft && add(draft)) return true;
    if (changes + 1 > most || bytes + openBytes() > BATCH_BYTES) return false;
    const key = segmentKey(fencingToken, state.nextSegment);
    const next = new SegmentDraft({
      key,
      placements: new Set(),
      chunks: new Map(),
      initialSize: 0,
    });
    if (!add(next)) return false;
    state.nextSegment += 1;
    changes += 1;
    bytes += draft?.bytes ?? 0;
    open[which] = next;
    drafts.push(next);
    fresh.add(next.segment);
    state.segments.set(key, next.segment);
    return true;
  };
  // Replicas first: there are few, and somebody waits for each.
  for (const lasting of [true, false]) {
    for (const placement of state.awaitingLedgerEntry) {
      if (isLongLived(placement) !== lasting) continue;
      if (!put(lasting, (draft) => draft.enter(state, placement, limit))) break;
      state.awaitingLedgerEntry.delete(placement);
      if (placement.phase === 'persisting') batch.enteredPlacements.push(placement);
    }
  }
  // Progress that is not due only fills up what is written anyway: told with every batch, it took most of the changes.
  const progressDue =
    state.unsavedProgressSince !== null && now - state.unsavedProgressSince >= PROGRESS_WAIT_MS;
  if (progressDue || open.short) {
    for (const [key, { job, chunk }] of state.unsavedProgress) {
      const over = !state.jobs.has(job.spec.id) || job.terminalState !== 'none';
      // A new leader does not look for attempts of tasks that it reads as done: while another attempt may be on a machine, and counts
      // against its team, the task is not told as done.
      if (!over && job.supersededAttempts > 0) continue;
      const add = (draft: SegmentDraft) => draft.record(state, job, chunk, limit);
      if (!over && !(progressDue ? put(false, add) : add(open.short!))) break;
      state.unsavedProgress.delete(key);
      if (!over) batch.progress.push({ job, chunk, version: job.chunks.get(chunk)!.version });
    }
    if (state.unsavedProgress.size === 0) state.unsavedProgressSince = null;
  }
  const drops: SegmentKey[] = [];
  if (drafts.length > 0 || ops.length > 0 || state.obsoleteSegments.size >= DROPS_ALONE) {
    // While starts wait for their entries, nothing is moved: what ends soon ends by itself.
    if (drafts.length > 0 && state.awaitingLedgerEntry.size === 0)
      compactSparseSegments(state, fresh, put, limit);
    for (const key of state.obsoleteSegments) {
      if (drops.length >= DROPS_AT_ONCE || changes >= most) break;
      drops.push(key);
      changes += 1;
    }
  }
  changes += takeExtensionWrites(state, batch, ops, most - changes);
  for (const { segment, machines, progress } of drafts) {
    const rows = [...machines.values()].map((m) => m.row);
    ops.push({ kind: 'write-segment', key: segment.key, machines: rows, progress });
  }
  for (const key of drops) {
    state.obsoleteSegments.delete(key);
    ops.push({ kind: 'drop-segment', key });
  }
  if (ops.length === 0) return;
  state.nextBatch += 1;
  state.pendingBatch = batch;
  effects.push({ kind: 'store-batch', batch: batch.id, ops });
};

/** Changes that the state service takes in no size hold up only what they speak of. */
const handleRefusedOperations = (
  state: CoreState,
  batch: Batch,
  refused: readonly StoreOperation[],
  now: Instant,
): void => {
  const jobs = new Set<JobId>();
  const attempts = new Set<AttemptId>();
  for (const op of refused) {
    if (op.kind === 'job-completion') jobs.add(op.job);
    if (op.kind !== 'write-segment') continue;
    for (const { entries } of op.machines) for (const e of entries) attempts.add(e.attempt);
    for (const row of op.progress) jobs.add(row.job);
  }
  // An attempt that could not be entered was never sent: its task waits again.
  for (const placement of [...batch.enteredPlacements]) {
    if (!attempts.has(placement.entry.attempt) || placement.phase !== 'persisting') continue;
    if (placement.job) placement.job.retryAt = addMillis(now, REFUSED_PAUSE_MS);
    releasePlacement(state, placement, now);
    placement.machine.placements.delete(placement.entry.attempt);
  }
  for (const op of refused) {
    if (op.kind !== 'write-extension-records') continue;
    batch.extensionWrites = batch.extensionWrites.filter(({ writes }) => writes !== op.writes);
    state.extensions?.handleStoreResult(op, 'refused');
  }
  batch.progress = batch.progress.filter(({ job }) => !jobs.has(job.spec.id));
  batch.completedJobs = batch.completedJobs.filter((job) => !jobs.has(job.spec.id));
};

export const handleBatchStored = (
  state: CoreState,
  id: number,
  refused: readonly StoreOperation[],
  revision: Revision | undefined,
  now: Instant,
  effects: Effect[],
): void => {
  if (revision !== undefined && revision > state.storedRevision) state.storedRevision = revision;
  const batch = state.pendingBatch;
  if (!batch || batch.id !== id) return;
  state.pendingBatch = null;
  if (refused.length > 0) handleRefusedOperations(state, batch, refused, now);
  for (const placement of batch.enteredPlacements)
    if (placement.phase === 'persisting') placement.phase = 'dispatched';
  for (const { job, chunk, version } of batch.progress) {
    const c = job.chunks.get(chunk);
    if (c) c.storedVersion = Math.max(c.storedVersion, version);
  }
  for (const writes of batch.extensionWrites) state.extensions?.handleStoreResult(writes, 'stored');
  for (const job of batch.completedJobs) completeStoredJob(state, job, now, effects);
};

/** What a row says of one part of a job; `at` is the part's first byte in the row, which may be before its start. */
const readPart = (
  state: CoreState,
  job: Job,
  number: number,
  row: Uint8Array,
  at: number,
  segment: LedgerSegment,
) => {
  const chunk = getOrCreateChunk(job, (number * job.tasksPerChunk) as TaskIndex);
  // Several records may speak of one part of a job; mostly the newest says all that the others do.
  const known = chunk.segment !== null;
  let news = !known;
  let whole = true;
  for (const [i, old] of chunk.bits.entries()) {
    const told = row[at + i] ?? 0;
    const bits = old | told;
    news ||= bits !== old;
    whole &&= bits === told;
    chunk.bits[i] = bits;
  }
  if (!news) return;
  detachChunk(state, chunk);
  chunk.segment = segment;
  segment.chunks.set(chunk, { job, number });
  segment.initialSize += 1;
  if (whole) return;
  // Records of smaller parts, each of which says only its own: told anew as one, before any of them is dropped.
  chunk.version += 1;
  state.unsavedProgress.set(`${job.spec.id}/${number}`, { job, chunk: number });
  state.unsavedProgressSince = 0 as Instant;
};

/** A new leader reads what is done of a job. */
export const recoverProgress = (
  state: CoreState,
  command: Extract<Command, { kind: 'recovered-progress' }>,
): void => {
  const job = state.jobs.get(command.job);
  const segment = getOrCreateSegment(state, command.segment);
  const { firstTask, bits: row } = command;
  // A service is never done, in no part.
  if (!job || isService(job)) return;
  if (
    !Number.isInteger(firstTask) ||
    firstTask < 0 ||
    firstTask % 8 !== 0 ||
    firstTask >= job.spec.tasks
  )
    return;
  const end = Math.min(firstTask + Math.max(1, row.length) * 8, job.spec.tasks);
  for (
    let number = Math.floor(firstTask / job.tasksPerChunk);
    number * job.tasksPerChunk < end;
    number += 1
  ) {
    readPart(state, job, number, row, (number * job.tasksPerChunk - firstTask) / 8, segment);
  }
  let done = 0;
  for (const { bits } of job.chunks.values()) {
    for (let byte of bits) for (; byte > 0; byte &= byte - 1) done += 1;
  }
  job.doneCount = done;
  recountPendingTasks(job);
};

/** A new leader reads which attempts may be on a machine. */
export const recoverLedgerRow = (
  state: CoreState,
  command: Extract<Command, { kind: 'recovered-attempts' }>,
  now: Instant,
): void => {
  const segment = getOrCreateSegment(state, command.segment);
  const machine = getOrCreateMachine(state, command.machine, null, now, command.attributes);
  for (const entry of command.entries) {
    segment.initialSize += 1;
    const job = state.jobs.get(entry.job);
    // A task already recorded as done needs no second look: its result is safe.
    if (job && isTaskDone(job, entry.index)) continue;
    if (!machine.placements.has(entry.attempt))
      recoverPlacement(state, machine, entry, now, segment);
  }
};
