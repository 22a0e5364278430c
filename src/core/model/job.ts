/** What users submit: jobs, their kinds, priorities and outcomes. */
import type { ImageName, JobId, MachineTypeName, TeamName, ZoneName } from './ids.js';

/** How urgent a job is; a higher one may preempt a lower one. */
export type Priority = 'critical' | 'urgent' | 'standard' | 'best_effort';

/** Priorities as numbers, the most urgent the largest. */
export const PRIORITY_LEVEL: Record<Priority, number> = {
  critical: 3,
  urgent: 2,
  standard: 1,
  best_effort: 0,
};

/** array: each task runs to its end. service: its tasks, the replicas, run until the job is cancelled. */
export type JobShape = 'array' | 'service';

/** A job as submitted. Amounts are those of one task; `…S` are seconds, `…Gb` gigabytes. */
export interface JobSpec {
  readonly id: JobId;
  readonly shape: JobShape;
  readonly jobClass: string;
  readonly team: TeamName;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly machineTypes: readonly MachineTypeName[] | null;
  readonly zone: ZoneName | null;
  readonly singleZone: boolean;
  readonly spreadZones: boolean;
  readonly allowsSpot: boolean;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly estimateS: number;
  readonly checkpointIntervalS: number;
  readonly checkpointWriteS: number;
  readonly deadlineS: number | null;
}

/** Whether the job is a service: its tasks, the replicas, run until it is cancelled. */
export const isService = ({ spec }: { readonly spec: Pick<JobSpec, 'shape'> }): boolean =>
  spec.shape === 'service';

/** How a job ended. */
export type JobOutcome = 'done' | 'cancelled';
