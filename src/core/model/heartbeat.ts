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

/** Where a task stands on its machine. */
export type TaskPhase = 'fetching' | 'running' | 'checkpointing' | 'ended';

/** Why a task ended. */
export type EndCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

/** One attempt as its machine reports it. */
export interface TaskStatus {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: AttemptId;
  readonly phase: TaskPhase;
  readonly cause: EndCause | null;
  readonly checkpointSaved: boolean;
}

/** One heartbeat of a worker, with the status of all its tasks. */
export interface Heartbeat {
  readonly machine: MachineId;
  readonly endpoint: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly fencingToken: FencingToken;
  readonly reclaimNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}
