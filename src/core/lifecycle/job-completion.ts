/** Job progress: records done tasks, and completes a job when its last task is done. */

import type { CoreState } from '../core-state.js';
import type { Job, Placement } from '../model/entities.js';
import type { TaskIndex } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import { requestImmediateKill } from './attempts.js';
import { chunkNumber, getOrCreateChunk, isTaskDone, setTaskDone } from './job-tasks.js';

/** Decides the job's end if all of its tasks are done; it takes effect once it is stored. */
export const completeJobIfAllDone = (state: CoreState, job: Job): void => {
  if (job.doneCount < job.spec.tasks || job.terminalState !== 'none') return;
  job.terminalState = 'done';
  state.unsavedCompletions.add(job);
};

/** Kills the other attempts of a done task; `supersededAttempts` counts them until they end. */
const supersedeOtherAttempts = (job: Job, index: TaskIndex, finished: Placement): void => {
  for (const other of job.attemptsByTask.get(index) ?? []) {
    if (other === finished) continue;
    requestImmediateKill(other);
    if (!other.isSuperseded) job.supersededAttempts += 1;
    other.isSuperseded = true;
  }
};

/**
 * Records that an attempt has completed its task. The worker must keep the result until this
 * progress is stored (`requiredProgress`); otherwise the task would run again after a failover.
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
