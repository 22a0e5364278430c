/** Restores a new leader's state from former leaders' ledger rows. */

import type { CoreState } from '../core-state.js';
import { applyRecoveredFindings, isProvenGone } from '../fleet/machine-losses.js';
import { getOrCreateChunk, isTaskDone, recountPendingTasks } from '../lifecycle/job-tasks.js';
import { getOrCreateMachine } from '../lifecycle/machine-registry.js';
import { recoverPlacement } from '../lifecycle/task-reconciliation.js';
import type { Command } from '../model/command.js';
import type { Job, LedgerSegment, ProgressChunk } from '../model/entities.js';
import type { TaskIndex } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { ProgressRow } from '../model/ledger-record.js';
import type { Instant } from '../model/time.js';
import { detachChunk, getOrCreateSegment } from './segments.js';

const TASKS_PER_BYTE = 8;
/** A value of `unsavedProgressSince` that makes progress due at once. */
const OVERDUE_SINCE = 0 as Instant;

interface MergeResult {
  /** Whether the row marks further tasks as done. */
  readonly hasNewDoneTasks: boolean;
  /** Whether the row includes all tasks of the chunk now known as done. */
  readonly rowCoversChunk: boolean;
}

/** Merges a row's bits into a chunk that begins at the row's byte `offset`, which may be < 0. */
const mergeBits = (chunk: ProgressChunk, row: Uint8Array, offset: number): MergeResult => {
  let hasNewDoneTasks = false;
  let rowCoversChunk = true;
  for (const [i, known] of chunk.bits.entries()) {
    const stored = row[offset + i] ?? 0;
    const merged = known | stored;
    hasNewDoneTasks ||= merged !== known;
    rowCoversChunk &&= merged === stored;
    chunk.bits[i] = merged;
  }
  return { hasNewDoneTasks, rowCoversChunk };
};

const recoverChunk = (
  state: CoreState,
  job: Job,
  number: number,
  { firstTask, bits }: ProgressRow,
  segment: LedgerSegment,
): void => {
  const chunkStart = (number * job.tasksPerChunk) as TaskIndex;
  const chunk = getOrCreateChunk(job, chunkStart);
  // Several segments may have rows of a chunk; usually the newest row includes the others.
  const isFirst = chunk.segment === null;
  const { hasNewDoneTasks, rowCoversChunk } = mergeBits(
    chunk,
    bits,
    (chunkStart - firstTask) / TASKS_PER_BYTE,
  );
  if (!isFirst && !hasNewDoneTasks) return;
  detachChunk(state, chunk);
  chunk.segment = segment;
  segment.chunks.set(chunk, { job, number });
  segment.initialRowCount += 1;
  if (rowCoversChunk) return;
  // Rows of smaller chunks each cover a part of this chunk: it is stored again as one row before
  // any of their segments is deleted.
  chunk.version += 1;
  state.unsavedProgress.set(`${job.spec.id}/${number}`, { job, chunk: number });
  state.unsavedProgressSince = OVERDUE_SINCE;
};

const countDoneTasks = ({ chunks }: Job): number => {
  let done = 0;
  for (const { bits } of chunks.values()) {
    // `byte & (byte - 1)` clears the lowest bit that is set.
    for (let byte of bits) for (; byte > 0; byte &= byte - 1) done += 1;
  }
  return done;
};

const isRowWithinJob = ({ firstTask }: ProgressRow, job: Job): boolean =>
  Number.isInteger(firstTask) &&
  firstTask >= 0 &&
  firstTask % TASKS_PER_BYTE === 0 &&
  firstTask < job.spec.tasks;

/** Restores which tasks of a job are done; ignores a row that does not match the job. */
export const recoverProgress = (
  state: CoreState,
  row: Extract<Command, { kind: 'recovered-progress' }>,
): void => {
  const job = state.jobs.get(row.job);
  const segment = getOrCreateSegment(state, row.segment);
  // Tasks of a service are never done.
  if (!job || isService(job) || !isRowWithinJob(row, job)) return;
  const { tasksPerChunk } = job;
  const rowEnd = row.firstTask + Math.max(1, row.bits.length) * TASKS_PER_BYTE;
  const end = Math.min(rowEnd, job.spec.tasks);
  const firstChunk = Math.floor(row.firstTask / tasksPerChunk);
  for (let number = firstChunk; number * tasksPerChunk < end; number += 1) {
    recoverChunk(state, job, number, row, segment);
  }
  job.doneCount = countDoneTasks(job);
  recountPendingTasks(job);
};

/** Restores the attempts that may be on a machine. Progress must be recovered first. */
export const recoverAttempts = (
  state: CoreState,
  row: Extract<Command, { kind: 'recovered-attempts' }>,
  now: Instant,
): void => {
  const segment = getOrCreateSegment(state, row.segment);
  segment.initialRowCount += row.entries.length;
  const entries = row.entries.filter(({ attempt }) => !isProvenGone(state, row.machine, attempt));
  if (entries.length === 0) return;
  const machine = getOrCreateMachine(state, row.machine, row.attributes, now);
  applyRecoveredFindings(state, machine, row.recordedAt ?? null);
  for (const entry of entries) {
    const job = state.jobs.get(entry.job);
    // The result of a task stored as done is safe: its attempts need no reconciliation.
    if (job && isTaskDone(job, entry.index)) continue;
    if (!machine.placements.has(entry.attempt))
      recoverPlacement(state, machine, entry, now, segment);
  }
};
