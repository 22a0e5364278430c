/** Selects the jobs that wait for machines, and ranks them. */

import type { CoreState } from '../core-state.js';
import { FAILED_MACHINES_LIMIT } from '../lifecycle/job-tasks.js';
import type { Job } from '../model/entities.js';
import type { MachineTypeName } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';
import { type RankedJob, rankJobs } from './scoring.js';

/**
 * How long a job avoids a machine on which one of its tasks failed. Limits the wait of a job with
 * no other feasible machine; the machine may work again.
 */
const FAILED_MACHINE_AVOIDANCE_MS = 60_000;

const countFleetGpus = (state: CoreState): Map<MachineTypeName, number> => {
  const total = new Map<MachineTypeName, number>();
  for (const machine of state.machines.values()) {
    const gpus = state.types.get(machine.type)?.gpus ?? 0;
    if (gpus > 0) total.set(machine.type, (total.get(machine.type) ?? 0) + gpus);
  }
  return total;
};

/** Ends the avoidance, except for services and jobs that fail everywhere, which back off. */
const expireFailedMachines = (job: Job, now: Instant): void => {
  if (isService(job) || job.failedMachines.size >= FAILED_MACHINES_LIMIT) return;
  if (now - job.lastFailureAt > FAILED_MACHINE_AVOIDANCE_MS) job.failedMachines.clear();
};

/** Ranks the jobs with pending tasks, without those that back off after failures. */
export const rankWaitingJobs = (state: CoreState, now: Instant): RankedJob<Job>[] => {
  const waiting: Job[] = [];
  for (const job of state.jobs.values()) {
    if (job.terminalState !== 'none' || job.pendingTasks <= 0) continue;
    expireFailedMachines(job, now);
    if (now < job.retryAt) {
      job.waitingReason = 'pausing after failures';
      continue;
    }
    waiting.push(job);
  }
  const { types, config } = state;
  const fleetGpus = countFleetGpus(state);
  return rankJobs(waiting, { types, fleetGpus, now, policy: config.policy });
};

/** Whether the job was submitted at least `minWaitMs` ago and has no task placed or done. */
export const isFirstTaskOverdue = (job: Job, minWaitMs: number, now: Instant): boolean =>
  now - job.submittedAt >= minWaitMs && job.attemptsByTask.size === 0 && job.doneCount === 0;
