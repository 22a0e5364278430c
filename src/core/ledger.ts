/** The placement ledger and all else that the leader stores, in batches; and its reading by a new leader. */

import { finishSaved } from './jobs.js';
import { adopt, ensureMachine } from './reports.js';
import {
  type Batch,
  CHUNK_TASKS,
  type CoreState,
  chunkOf,
  isDone,
  type Job,
  leaveChunkSegment,
  leaveSegment,
  openSegment,
  type Placement,
  recountPending,
  type Segment,
  segmentKey,
} from './state.js';
import type {
  Command,
  Effect,
  Instant,
  JobId,
  LedgerEntry,
  LedgerRow,
  MachineId,
  ProgressRow,
  SaveOp,
  SegmentKey,
} from './types.js';

/** Progress that only guards against a crash may wait this long for company. */
const PROGRESS_WAIT_MS = 700;
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
export const nextBatch = (state: CoreState, now: Instant, effects: Effect[]): void => {
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

export const onSaved = (state: CoreState, id: number, effects: Effect[]): void => {
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

/** A new leader reads what is done of a job. */
export const onProgress = (state: CoreState, command: Extract<Command, { kind: 'progress' }>): void => {
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
};

/** A new leader reads which attempts may be on a machine. */
export const onLedger = (
  state: CoreState,
  command: Extract<Command, { kind: 'ledger' }>,
  now: Instant,
): void => {
  const segment = openSegment(state, command.segment);
  const m = ensureMachine(state, command.machine, null, now, command.at);
  for (const entry of command.entries) {
    segment.size += 1;
    const job = state.jobs.get(entry.job);
    // A task already recorded as done needs no second look: its result is safe.
    if (job && isDone(job, entry.index)) continue;
    if (!m.placements.has(entry.attempt)) adopt(state, m, entry, now, segment);
  }
};
