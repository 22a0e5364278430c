/** Failed tasks: whether the job or a machine is at fault, and for how long the job backs off. */

import type { CoreState } from '../core-state.js';
import { quarantineFaultyMachine } from '../fleet/scale-in.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import { FAILED_MACHINES_LIMIT, failsEverywhere } from './job-tasks.js';

/** A replica that ran for this long was sound: its end says nothing against its service. */
const HEALTHY_RUN_MS = 30_000;
/** After this long without a failure a service's back-off starts anew. */
const FAILURE_RESET_MS = 120_000;
/** Pause of a service that fails repeatedly while other replicas of it run. */
const HEALTHY_SERVICE_PAUSE_MS = 3000 as Millis;

/** Bounds of the back-off of a job that fails everywhere; it doubles with each failure. */
const MIN_BACKOFF_S = 2;
const MAX_BACKOFF_S = 60;
const MAX_BACKOFF_EXPONENT = 6;

const backoffSeconds = ({ consecutiveFailures }: Job): number => {
  const exponent = Math.min(consecutiveFailures - FAILED_MACHINES_LIMIT + 1, MAX_BACKOFF_EXPONENT);
  return Math.min(MAX_BACKOFF_S, 2 ** exponent);
};

/** The job itself is at fault: no machine is blamed, and it may not hold the head of the queue. */
const backOffJob = (state: CoreState, job: Job, now: Instant, effects: Effect[]): void => {
  for (const machine of state.machines.values()) machine.failedJobs.delete(job.spec.id);
  const pauseS = backoffSeconds(job);
  job.retryAt = addMillis(now, seconds(Math.max(MIN_BACKOFF_S, pauseS)));
  if (state.queueHead === job.spec.id) state.queueHead = null;
  logEvent(effects, 'info', 'job fails on every machine, backing off', {
    jobId: job.spec.id,
    pauseS,
  });
};

/** Counts a failed task: it backs its job off, or quarantines a machine that fails several jobs. */
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
  else if (quarantineFaultyMachine(state, machine, now))
    logEvent(effects, 'info', 'machine fails several jobs, replacing it', {
      machineId: machine.id,
    });
};

/**
 * Counts a replica that ended by itself, for whatever cause: it runs again, elsewhere where it can.
 * One that ends soon after its start counts as failed, so that a service whose replicas end at once
 * everywhere backs off for longer and longer.
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
  // With others of it running the service is sound, but it must not be retried without a pause.
  if (!wasHealthy && job.consecutiveFailures >= FAILED_MACHINES_LIMIT && !failsEverywhere(job))
    job.retryAt = addMillis(now, HEALTHY_SERVICE_PAUSE_MS);
  // An end without an error says nothing against the machine.
  if (!hasFailed) placement.machine.failedJobs.delete(job.spec.id);
};
