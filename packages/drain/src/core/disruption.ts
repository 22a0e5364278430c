/** Disruptions: tasks and replicas that are kept from running by something other than their end. */
import type { AttemptId, JobId, TaskIndex, TeamName } from '@robinspread/extension-api';

/**
 * requested: its record is not stored yet; granted: it may be stopped; stopped: it is being stopped
 * or has been; settled: it runs again or need not, and counts for the window alone.
 */
export type DisruptionPhase = 'requested' | 'granted' | 'stopped' | 'settled';

/** One task or replica that is, or may be, disrupted. */
export interface Disruption {
  readonly attempt: AttemptId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly team: TeamName;
  readonly jobClass: string;
  /** Time of day, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Decided by the package, not brought about by a lost machine or a reclaim notice. */
  readonly isVoluntary: boolean;
  phase: DisruptionPhase;
  /** The key of the record that holds it; null until it has one. */
  recordKey: string | null;
  /** When it was granted, on the steady clock; a grant that is not used in time lapses. */
  grantedAt: number | null;
  /** Read from the key-value store: whether its stop was sent is not known. */
  readonly isInherited: boolean;
}
