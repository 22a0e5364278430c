/** Workers' reports on themselves and their tasks. */
import type {
  AttemptId,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  TaskIndex,
  ZoneName,
} from './ids.js';

/** Phase of a task on its machine. */
export type TaskPhase = 'fetching' | 'running' | 'checkpointing' | 'ended';

/**
 * Why a task ended. `done`: completed; `stopped`: by a command; `error`: failed. Refused starts:
 * `no_room`: the machine lacks free resources; `busy`: another attempt at the task is on it;
 * `unknown`: no such job or task. `other`: a cause that this version does not know.
 */
export type EndCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

/** A machine's report of one attempt. */
export interface TaskStatus {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
  readonly phase: TaskPhase;
  /** null until it has ended. */
  readonly cause: EndCause | null;
  /** Whether a stopped task wrote a checkpoint before it ended. */
  readonly checkpointSaved: boolean;
}

/** A worker's heartbeat, with the status of all its tasks. */
export interface Heartbeat {
  readonly machine: MachineId;
  /** `host:port` at which the worker accepts commands. */
  readonly endpoint: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Starts at 1 and increases when the worker's lease expires, which ends all its tasks. */
  readonly agentEpoch: number;
  /** Increases with each message: the larger (`agentEpoch`, `sequence`) is the newer. */
  readonly sequence: number;
  /** The highest token that the worker has seen: it rejects commands with a lower one. */
  readonly fencingToken: FencingToken;
  /** Seconds until the cloud reclaims the machine; null without a reclaim notice. */
  readonly reclaimNoticeS: number | null;
  /** All tasks on the machine, ended ones included until they are reaped. */
  readonly tasks: readonly TaskStatus[];
}
