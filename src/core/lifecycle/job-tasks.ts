/** The state of jobs: their tasks that wait, are done, or are held. */

import type { CoreConfig } from '../core-state.js';
import { maxSegmentBytes } from '../ledger/segments.js';
import type { Job, ProgressChunk } from '../model/entities.js';
import type { TaskIndex } from '../model/ids.js';
import { isService, type JobSpec } from '../model/job.js';
import type { Instant } from '../model/time.js';

/** Ledger records tell progress by blocks of this many tasks, and smaller parts by their first task. */
export const TASKS_PER_BLOCK = 8192;
/** Tasks in one part where a block does not fit a value of the state service. */
const SMALL_PART_TASKS = 1024;
const BLOCK_ROW_BYTES = 1500;

export const createJob = (spec: JobSpec, submittedAt: Instant, config?: CoreConfig): Job => ({
  spec,
  submittedAt,
  idleSince: submittedAt,
  isStarving: false,
  requirementsKey: JSON.stringify([
    spec.shape,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.machineTypes,
    spec.zone,
    spec.allowsSpot,
  ]),
  tasksPerChunk:
    config && maxSegmentBytes(config) < BLOCK_ROW_BYTES ? SMALL_PART_TASKS : TASKS_PER_BLOCK,
  chunks: new Map(),
  doneCount: 0,
  supersededAttempts: 0,
  nextUnplacedTask: 0,
  requeuedTasks: [],
  pendingTasks: spec.tasks,
  attemptsByTask: new Map(),
  attemptsByZone: new Map(),
  failedMachines: new Set(),
  retryAt: 0 as Instant,
  consecutiveFailures: 0,
  lastFailureAt: 0 as Instant,
  terminalState: 'none',
  cancellationTickets: [],
  waitingReason: '',
});

/** A job whose tasks fail on this many machines in a row is tried one task at a time, with pauses. */
export const FAILED_MACHINES_LIMIT = 3;

/** A service's replicas may fail on one machine time and again, where there is no other; one that runs proves it sound. */
export const failsEverywhere = (job: Job): boolean => {
  if (!isService(job)) return job.failedMachines.size >= FAILED_MACHINES_LIMIT;
  if (job.consecutiveFailures < FAILED_MACHINES_LIMIT) return false;
  for (const held of job.attemptsByTask.values())
    if (held.some((placement) => placement.phase === 'running')) return false;
  return true;
};

export const isTaskDone = (job: Job, index: TaskIndex): boolean => {
  const bits = job.chunks.get(Math.floor(index / job.tasksPerChunk))?.bits;
  const at = index % job.tasksPerChunk;
  return bits !== undefined && ((bits[at >> 3] ?? 0) & (1 << (at & 7))) !== 0;
};

export const getOrCreateChunk = (job: Job, index: TaskIndex): ProgressChunk => {
  const number = Math.floor(index / job.tasksPerChunk);
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

/** Takes the next waiting task, or null. The caller places it or gives it back. */
export const takePendingTask = (job: Job): TaskIndex | null => {
  while (job.requeuedTasks.length > 0) {
    const index = job.requeuedTasks.pop() as TaskIndex;
    if (!isTaskDone(job, index) && !job.attemptsByTask.has(index)) return index;
  }
  while (job.nextUnplacedTask < job.spec.tasks) {
    const index = job.nextUnplacedTask as TaskIndex;
    job.nextUnplacedTask += 1;
    if (!isTaskDone(job, index) && !job.attemptsByTask.has(index)) return index;
  }
  return null;
};

export const recountPendingTasks = (job: Job): void => {
  let heldOpen = 0;
  for (const index of job.attemptsByTask.keys()) if (!isTaskDone(job, index)) heldOpen += 1;
  job.pendingTasks = Math.max(0, job.spec.tasks - job.doneCount - heldOpen);
};
