/** What users submit: jobs, their kinds, priorities and outcomes. */
import type { ImageName, JobId, MachineTypeName, TeamName, ZoneName } from './ids.js';

/** How urgent a job is; a higher one may preempt a lower one. */
export type Priority = 'critical' | 'urgent' | 'standard' | 'best_effort';

/** Priorities as numbers, the most urgent the largest. */
export const PRIORITY_LEVEL: Record<Priority, number> = {
  critical: 3,
  urgent: 2,
  standard: 1,
  // biome-ignore lint/style/useNamingConvention: the name that users send and the store holds
  best_effort: 0,
};

/** array: each task runs to its end. service: its replicas run until it is cancelled. */
export type JobShape = 'array' | 'service';

/** A job as submitted. Amounts are those of one task. */
export interface JobSpec {
  readonly id: JobId;
  readonly shape: JobShape;
  /** The class of jobs it belongs to; the settings say what is expected of each class. */
  readonly jobClass: string;
  readonly team: TeamName;
  readonly priority: Priority;
  /** How many tasks, at least 1; of a service, how many replicas. */
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** The types of machine on which it may run; null for any. */
  readonly machineTypes: readonly MachineTypeName[] | null;
  /** The only zone in which it may run; null for any. */
  readonly zone: ZoneName | null;
  /** All its tasks must run in the same zone. */
  readonly singleZone: boolean;
  /** At most half of its tasks, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** Whether it may run on spot machines. */
  readonly allowsSpot: boolean;
  readonly image: ImageName;
  /** Size of the image, in gigabytes. */
  readonly imageGb: number;
  /** The user's estimate of a task's run time, in seconds, without the image's fetch. */
  readonly estimateS: number;
  /** Seconds of progress between checkpoints; 0: none, and its work is lost when it is stopped. */
  readonly checkpointIntervalS: number;
  /** Seconds that a task needs to write a checkpoint when it is stopped. */
  readonly checkpointWriteS: number;
  /** Seconds from its submission by which it should be done; null for no deadline. */
  readonly deadlineS: number | null;
}

/** Whether the job is a service: its tasks, the replicas, run until it is cancelled. */
export const isService = ({ spec }: { readonly spec: Pick<JobSpec, 'shape'> }): boolean =>
  spec.shape === 'service';

/** How a job ended. */
export type JobOutcome = 'done' | 'cancelled';

/** The outcome of a job that has ended and whose completion is yet to be stored; else `none`. */
export type TerminalState = 'none' | JobOutcome;
