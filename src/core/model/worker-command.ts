/** What the leader tells a worker to do. */
import type { AttemptId, JobId, TaskIndex } from './ids.js';

/** A command to a worker. Each names one attempt; `graceS` lets a task write its checkpoint first. */
export type WorkerCommand =
  | {
      readonly op: 'start';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
    }
  | {
      readonly op: 'kill';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
      readonly graceS: number;
    }
  | {
      readonly op: 'reap';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: AttemptId;
    };
