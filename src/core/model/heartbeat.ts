/** What a worker reports of itself and of its tasks. */
import type {
  AttemptId,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  TaskIndex,
  ZoneName,
} from './ids.js';

/** Where a task stands on its machine. An ended one stays in the heartbeats until it is reaped. */
export type TaskPhase = 'fetching' | 'running' | 'checkpointing' | 'ended';

/**
 * Why a task ended. `done`: completed; `stopped`: by a command; `error`: it failed. Refused starts:
 * `no_room`: the machine lacks free resources; `busy`: the task is on it with another attempt;
 * `unknown`: no such job or task. `other`: a cause that this version does not know.
 */
export type EndCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

/** One attempt as its machine reports it. */
export interface TaskStatus {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
  readonly phase: TaskPhase;
  /** null while it has not ended. */
  readonly cause: EndCause | null;
  /** Whether a stopped task wrote a checkpoint first. */
  readonly checkpointSaved: boolean;
}

/** One heartbeat of a worker, with the status of all its tasks. */
export interface Heartbeat {
  readonly machine: MachineId;
  /** `host:port` at which the worker takes commands. */
  readonly endpoint: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Starts at 1 and grows each time the worker's lease expires, which ends all its tasks. */
  readonly agentEpoch: number;
  /** Grows with each message: the larger (`agentEpoch`, `sequence`) is the newer one. */
  readonly sequence: number;
  /** The highest token that the worker has seen: it obeys no lower one. */
  readonly fencingToken: FencingToken;
  /** Seconds until the cloud reclaims the machine; null without a notice. */
  readonly reclaimNoticeS: number | null;
  /** All tasks on the machine, ended ones included until they are reaped. */
  readonly tasks: readonly TaskStatus[];
}
