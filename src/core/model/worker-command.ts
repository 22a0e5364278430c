/** Commands from the leader to a worker. */
import type { AttemptId, JobId, TaskIndex } from './ids.js';

/** The attempt that a command is about. */
interface AttemptCommand {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
}

/**
 * Runs a task. It is sent in heartbeat replies only, which a worker takes just once and in time: a
 * late copy of a direct command would start an attempt again that was reaped meanwhile.
 */
export interface StartCommand extends AttemptCommand {
  readonly op: 'start';
}

/** Stops a task; a task with checkpoints first writes one if the grace period allows it. */
export interface KillCommand extends AttemptCommand {
  readonly op: 'kill';
  readonly graceS: number;
}

/** Removes an ended task from the worker's heartbeats. */
export interface ReapCommand extends AttemptCommand {
  readonly op: 'reap';
}

/**
 * A command to a worker about one attempt. Commands may be repeated, except a start after the
 * attempt's reap: the worker then has no record of the attempt, and would run it again.
 */
export type WorkerCommand = StartCommand | KillCommand | ReapCommand;
