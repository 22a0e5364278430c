/** Commands from the leader to a worker. */
import type { AttemptId, JobId, TaskIndex } from './ids.js';

/**
 * A command to a worker about one attempt. Commands may be repeated, except a start after the
 * attempt's reap: the worker then has no record of the attempt, and would run it again.
 */
export type WorkerCommand =
  /** Runs a task. */
  | {
      readonly op: 'start';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
    }
  /** Stops a task; a task with checkpoints first writes one if the grace period allows it. */
  | {
      readonly op: 'kill';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
      readonly graceS: number;
    }
  /** Removes an ended task from the worker's heartbeats. */
  | {
      readonly op: 'reap';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
    };
