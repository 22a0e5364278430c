/** Disruptions: tasks and replicas interrupted before they end by themselves. */
import type { AttemptId, JobId, TaskIndex, TeamName } from '@robinspread/extension-api';

/**
 * requested: the record is not stored yet; granted: the attempt may be stopped; stopped: it is
 * being stopped, or has been; settled: the task runs again or need not, so it counts in windows
 * only.
 */
export type DisruptionPhase = 'requested' | 'granted' | 'stopped' | 'settled';

/** One task or replica that is, or may be, disrupted. */
export interface Disruption {
  readonly attempt: AttemptId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly team: TeamName;
  readonly jobClass: string;
  /** When it was requested or observed, in Unix ms. */
  readonly startedAt: number;
  /** Decided by the package or the core, not caused by a lost machine or a reclaim notice. */
  readonly isVoluntary: boolean;
  phase: DisruptionPhase;
  /** The key of its record; null until it has one. */
  recordKey: string | null;
  /** When it was granted, on the steady clock; an unused grant expires. */
  grantedAt: number | null;
  /** Loaded from the record of a previous leader, which may have sent the stop. */
  readonly isInherited: boolean;
}
