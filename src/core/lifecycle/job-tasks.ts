/** A job's tasks: which are pending, which are done, and whether they keep failing. */

import type { CoreConfig } from '../core-state.js';
import { maxSegmentBytes } from '../ledger/segments.js';
import type { Job, ProgressChunk } from '../model/entities.js';
import type { TaskIndex } from '../model/ids.js';
import { isService, type JobSpec } from '../model/job.js';
import { TaskAttempts } from '../model/task-attempts.js';
import type { Instant } from '../model/time.js';

/** Tasks per block (a large chunk). Records name blocks by number, small chunks by first task. */
export const TASKS_PER_BLOCK = 8192;
/** Tasks per chunk if a block does not fit into one value of the key-value store. */
const TASKS_PER_SMALL_CHUNK = 1024;
/** Stored size of one block, in bytes. If a value holds less, small chunks are used. */
const BLOCK_ROW_BYTES = 1500;

/** Equal for jobs that fit the same machines. */
const requirementsKeyOf = (spec: JobSpec): string =>
  JSON.stringify([
    spec.shape,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.machineTypes,
    spec.zone,
    spec.allowsSpot,
  ]);

/** Creates an unfinished job with no task placed. Without `config`, values of any size fit. */
export const createJob = (spec: JobSpec, submittedAt: Instant, config?: CoreConfig): Job => ({
  spec,
  submittedAt,
  idleSince: submittedAt,
  isStarving: false,
  requirementsKey: requirementsKeyOf(spec),
  tasksPerChunk:
    config && maxSegmentBytes(config) < BLOCK_ROW_BYTES ? TASKS_PER_SMALL_CHUNK : TASKS_PER_BLOCK,
  chunks: new Map(),
  doneCount: 0,
  supersededAttempts: 0,
  nextUnplacedTask: 0,
  requeuedTasks: [],
  pendingTasks: spec.tasks,
  attemptsByTask: new TaskAttempts(),
  attemptsByZone: new Map(),
  failedMachines: new Set(),
  retryAt: 0 as Instant,
  consecutiveFailures: 0,
  lastFailureAt: 0 as Instant,
  terminalState: 'none',
  cancellationTickets: [],
  waitingReason: '',
});

/**
 * Number of machines on which a job's tasks fail, without a success in between, before it runs one
 * task at a time, with pauses. For a service, number of consecutive failures of replicas.
 */
export const FAILED_MACHINES_LIMIT = 3;

/**
 * Whether the job itself seems at fault, not the machines. Failures of a service's replicas count
 * even on the same machine, as there may be no other, but not while another replica runs.
 */
export const failsEverywhere = (job: Job): boolean => {
  if (!isService(job)) return job.failedMachines.size >= FAILED_MACHINES_LIMIT;
  if (job.consecutiveFailures < FAILED_MACHINES_LIMIT) return false;
  return !job.attemptsByTask.some(({ phase }) => phase === 'running');
};

/** The number, from 0, of the progress chunk that holds a task. */
export const chunkNumber = (job: Job, index: TaskIndex): number =>
  Math.floor(index / job.tasksPerChunk);

/** Whether a task is done, stored or not. */
export const isTaskDone = (job: Job, index: TaskIndex): boolean => {
  const bits = job.chunks.get(chunkNumber(job, index))?.bits;
  const offset = index % job.tasksPerChunk;
  return bits !== undefined && ((bits[offset >> 3] ?? 0) & (1 << (offset & 7))) !== 0;
};

/** Marks a task as done in its chunk and counts it; the task must not be done yet. */
export const setTaskDone = (job: Job, chunk: ProgressChunk, index: TaskIndex): void => {
  const offset = index % job.tasksPerChunk;
  chunk.bits[offset >> 3] = (chunk.bits[offset >> 3] ?? 0) | (1 << (offset & 7));
  chunk.version += 1;
  job.doneCount += 1;
};

/** The progress chunk that holds a task; created empty if none of its tasks is done yet. */
export const getOrCreateChunk = (job: Job, index: TaskIndex): ProgressChunk => {
  const number = chunkNumber(job, index);
  let chunk = job.chunks.get(number);
  if (!chunk) {
    const size = Math.min(job.tasksPerChunk, job.spec.tasks - number * job.tasksPerChunk);
    chunk = {
      bits: new Uint8Array(Math.ceil(size / 8)),
      version: 0,
      storedVersion: 0,
      segment: null,
    };
    job.chunks.set(number, chunk);
  }
  return chunk;
};

const isPending = (job: Job, index: TaskIndex): boolean =>
  !isTaskDone(job, index) && !job.attemptsByTask.has(index);

/** Takes the next pending task; null if there is none. The caller must place or requeue it. */
export const takePendingTask = (job: Job): TaskIndex | null => {
  for (let index = job.requeuedTasks.pop(); index !== undefined; index = job.requeuedTasks.pop())
    if (isPending(job, index as TaskIndex)) return index as TaskIndex;
  while (job.nextUnplacedTask < job.spec.tasks) {
    const index = job.nextUnplacedTask as TaskIndex;
    job.nextUnplacedTask += 1;
    if (isPending(job, index)) return index;
  }
  return null;
};

/** Recounts the pending tasks after recovery has changed progress and attempts. */
export const recountPendingTasks = (job: Job): void => {
  let unfinishedWithAttempts = 0;
  for (const index of job.attemptsByTask.keys())
    if (!isTaskDone(job, index)) unfinishedWithAttempts += 1;
  job.pendingTasks = Math.max(0, job.spec.tasks - job.doneCount - unfinishedWithAttempts);
};
