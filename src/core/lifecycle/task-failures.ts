/** Task failures: whether the job or a machine is at fault, and how long the job backs off. */

import type { CoreState } from '../core-state.js';
import { drainFaultyMachine } from '../fleet/scale-in.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import { FAILED_MACHINES_LIMIT, failsEverywhere } from './job-tasks.js';

/** A replica that ran for this long was healthy: its exit is no failure of its service. */
const HEALTHY_RUN_MS = 30_000;
/** Time without an exit of a replica after which a service's failure count is reset. */
const FAILURE_RESET_MS = 120_000;
/** Pause of a service whose replicas fail repeatedly while other replicas run. */
const HEALTHY_SERVICE_PAUSE_MS = 3000 as Millis;

/** Bounds of the backoff of a job that fails everywhere, which doubles with each failure. */
const MIN_BACKOFF_S = 2;
const MAX_BACKOFF_S = 60;
const MAX_BACKOFF_EXPONENT = 6;

const backoffSeconds = ({ consecutiveFailures }: Job): number => {
  const exponent = Math.min(consecutiveFailures - FAILED_MACHINES_LIMIT + 1, MAX_BACKOFF_EXPONENT);
  return Math.min(MAX_BACKOFF_S, 2 ** exponent);
};

/** Backs off a job that is itself at fault: no machine is blamed, and it may not be queue head. */
const backOffJob = (state: CoreState, job: Job, now: Instant, effects: Effect[]): void => {
  for (const machine of state.machines.values()) machine.failedJobs.delete(job.spec.id);
  const pauseS = backoffSeconds(job);
  job.retryAt = addMillis(now, seconds(Math.max(MIN_BACKOFF_S, pauseS)));
  if (state.queueHead === job.spec.id) state.queueHead = null;
  logEvent(effects, 'info', 'tasks of job fail repeatedly; pausing job', {
    jobId: job.spec.id,
    pauseS,
  });
};

/** Counts a failed task. Backs off its job, or drains a machine on which several jobs failed. */
export const recordTaskFailure = (
  state: CoreState,
  job: Job,
  machine: Machine,
  now: Instant,
  effects: Effect[],
): void => {
  job.consecutiveFailures += 1;
  job.lastFailureAt = now;
  job.failedMachines.add(machine.id);
  machine.failedJobs.add(job.spec.id);
  if (failsEverywhere(job)) backOffJob(state, job, now, effects);
  else if (drainFaultyMachine(state, machine, now))
    logEvent(effects, 'info', 'tasks of several jobs failed on machine; replacing it', {
      machineId: machine.id,
    });
};

/**
 * Counts a replica that exited by itself, for any cause. It runs again, on another machine if
 * possible. An exit soon after the start is a failure, so that a service whose replicas exit early
 * on every machine backs off ever longer.
 */
export const recordReplicaExit = (
  state: CoreState,
  job: Job,
  placement: Placement,
  hasFailed: boolean,
  now: Instant,
  effects: Effect[],
): void => {
  if (now - job.lastFailureAt > FAILURE_RESET_MS) {
    job.failedMachines.clear();
    job.consecutiveFailures = 0;
  }
  job.lastFailureAt = now;
  const wasHealthy = placement.startedAt !== null && now - placement.startedAt >= HEALTHY_RUN_MS;
  if (wasHealthy) job.failedMachines.add(placement.machine.id);
  else recordTaskFailure(state, job, placement.machine, now, effects);
  // Other running replicas show that the service works, but retries still need a pause.
  if (!wasHealthy && job.consecutiveFailures >= FAILED_MACHINES_LIMIT && !failsEverywhere(job))
    job.retryAt = addMillis(now, HEALTHY_SERVICE_PAUSE_MS);
  // An exit without an error does not count against the machine.
  if (!hasFailed) placement.machine.failedJobs.delete(job.spec.id);
};
