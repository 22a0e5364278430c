/** The state of jobs: their tasks that wait, are done, or are held. */
import { recordBytes } from '../ledger/segments.js';
import type { Chunk, CoreConfig, Job } from '../state.js';
import { type Instant, isService, type JobSpec, type TaskIndex } from '../types.js';

/** Ledger records tell progress by blocks of this many tasks, and smaller parts by their first task. */
export const BLOCK_TASKS = 8192;
/** Tasks in one part where a block does not fit a value of the state service. */
const SMALL_PART_TASKS = 1024;
const BLOCK_ROW_BYTES = 1500;

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
