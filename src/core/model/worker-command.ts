/** What the leader tells a worker to do. */
import type { AttemptId, JobId, TaskIndex } from './ids.js';

/**
 * A command to a worker, about one attempt. Each may be repeated, but a start after its reap: the
 * worker no longer knows the attempt then, and would run it again.
 */
export type WorkerCommand =
  /** Runs a task. */
  | {
      readonly op: 'start';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
    }
  /** Stops a task. One with checkpoints writes one first where the grace, in seconds, allows it. */
  | {
      readonly op: 'kill';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
      readonly graceS: number;
    }
  /** Takes an ended task out of the heartbeats. */
  | {
      readonly op: 'reap';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
    };
