/** Progress of jobs: tasks that are done, and completion when the last one is. */

import type { CoreState } from '../core-state.js';
import type { Job, Placement } from '../model/entities.js';
import type { TaskIndex } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import { requestImmediateKill } from './attempts.js';
import { chunkNumber, getOrCreateChunk, isTaskDone, setTaskDone } from './job-tasks.js';

/** Decides the job's end once all of its tasks are done; the end counts once it is stored. */
export const completeJobIfAllDone = (state: CoreState, job: Job): void => {
  if (job.doneCount < job.spec.tasks || job.terminalState !== 'none') return;
  job.terminalState = 'done';
  state.unsavedCompletions.add(job);
};

/** Other attempts of a task that is done are killed; they count until they have ended. */
const supersedeOtherAttempts = (job: Job, index: TaskIndex, finished: Placement): void => {
  for (const other of job.attemptsByTask.get(index) ?? []) {
    if (other === finished) continue;
    requestImmediateKill(other);
    if (!other.isSuperseded) job.supersededAttempts += 1;
    other.isSuperseded = true;
  }
};

/**
 * Records that an attempt has done its task. The worker must keep the result until this progress is
 * stored (`requiredProgress`): otherwise a failover would run the task again.
 */
export const markTaskDone = (
  state: CoreState,
  job: Job,
  placement: Placement,
  now: Instant,
): void => {
  const { index } = placement.entry;
  if (index >= job.spec.tasks) return;
  const chunk = getOrCreateChunk(job, index);
  const number = chunkNumber(job, index);
  if (!isTaskDone(job, index)) {
    setTaskDone(job, chunk, index);
    state.unsavedProgress.set(`${job.spec.id}/${number}`, { job, chunk: number });
    state.unsavedProgressSince ??= now;
    supersedeOtherAttempts(job, index, placement);
    completeJobIfAllDone(state, job);
  }
  placement.requiredProgress = { chunk: number, version: chunk.version };
  job.failedMachines.clear();
  job.consecutiveFailures = 0;
};
