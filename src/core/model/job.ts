/** Jobs as users submit them: shapes, priorities and outcomes. */
import type { ImageName, JobId, MachineTypeName, TeamName, ZoneName } from './ids.js';

/** Priority of a job; a job may preempt jobs of lower priority. */
export type Priority = 'critical' | 'urgent' | 'standard' | 'best_effort';

/** Numeric priority levels, the largest for the most urgent. */
export const PRIORITY_LEVEL: Record<Priority, number> = {
  critical: 3,
  urgent: 2,
  standard: 1,
  // biome-ignore lint/style/useNamingConvention: the name that users send and the store holds
  best_effort: 0,
};

/** `array`: each task runs to completion. `service`: replicas run until the job is cancelled. */
export type JobShape = 'array' | 'service';

/** A job as submitted. Resource amounts are per task. */
export interface JobSpec {
  readonly id: JobId;
  readonly shape: JobShape;
  /** The class of jobs it belongs to, to which settings can refer. */
  readonly jobClass: string;
  readonly team: TeamName;
  readonly priority: Priority;
  /** Number of tasks, or of a service's replicas; at least 1. */
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Machine types on which it may run; null for all. */
  readonly machineTypes: readonly MachineTypeName[] | null;
  /** The only zone in which it may run; null for all. */
  readonly zone: ZoneName | null;
  /** Whether all its tasks must run in the same zone. */
  readonly singleZone: boolean;
  /** Whether at most half of its tasks, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** Whether it may run on spot machines. */
  readonly allowsSpot: boolean;
  readonly image: ImageName;
  /** Size of the image, in gigabytes. */
  readonly imageGb: number;
  /** The user's estimate of a task's run time, in seconds, without fetching the image. */
  readonly estimateS: number;
  /** Seconds of progress between checkpoints; 0: none, so that stopping a task loses its work. */
  readonly checkpointIntervalS: number;
  /** Seconds that a task needs to write a checkpoint when it is stopped. */
  readonly checkpointWriteS: number;
  /** Deadline in seconds after submission; null if it has none. */
  readonly deadlineS: number | null;
}

/** Whether the job is a service, whose tasks are replicas. */
export const isService = ({ spec }: { readonly spec: Pick<JobSpec, 'shape'> }): boolean =>
  spec.shape === 'service';

/** How a job ended. */
export type JobOutcome = 'done' | 'cancelled';

/** The outcome of an ended job whose completion is not yet stored; `none` before it ends. */
export type TerminalState = 'none' | JobOutcome;
