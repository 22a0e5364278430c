/**
 * What a leader learns of machines that do not answer, as it is stored for the next one. Without it
 * each leader would begin to wait anew for a machine that is long gone.
 */
import type { MachineId } from './ids.js';
import type { Instant } from './time.js';

/** A machine with attempts that sends no heartbeats. */
export interface UnresponsiveMachine {
  readonly machine: MachineId;
  /** No leader has heard it since this time of day, in milliseconds since 1970. */
  readonly sinceTimeOfDayMs: number;
  /** For how long leaders have listened for it in vain meanwhile, up to a maximum. */
  readonly listenedMs: number;
}

/** Attempts that are certainly no longer on their machine. */
export interface GoneAttempts {
  readonly machine: MachineId;
  /** All attempts with lower numbers are gone; null if the machine is deleted, with all of them. */
  readonly attemptsBelow: number | null;
  /** When that was proven: time of day, in milliseconds since 1970. */
  readonly provenAtTimeOfDayMs: number;
}

/** One page of a leader's findings. The pages together hold all of them. */
export interface MachineLossPage {
  readonly page: number;
  /** When the page was written: time of day, in milliseconds since 1970. */
  readonly writtenAtTimeOfDayMs: number;
  readonly unresponsive: readonly UnresponsiveMachine[];
  readonly gone: readonly GoneAttempts[];
}

/** A page to write; null content: the page is no longer needed. */
export interface MachineLossWrite {
  readonly page: number;
  readonly content: MachineLossPage | null;
}

/** Since when former leaders had not heard a machine, and for how long they listened. */
export interface UnresponsivePeriod {
  readonly since: Instant;
  readonly listenedMs: number;
}

/** Findings of this leader and its predecessors. */
export interface MachineLosses {
  /** The oldest proof first. */
  readonly gone: Map<MachineId, GoneAttempts>;
  /** What former leaders recorded of machines that this one has not heard either. */
  readonly unresponsivePeriods: Map<MachineId, UnresponsivePeriod>;
  /** The rows of each stored page, as JSON, and when it was last written. */
  readonly storedPages: { rows: string; writtenAt: Instant }[];
  /** No page is written before this time. */
  nextWriteAt: Instant;
}

/** No findings, and no stored pages. */
export const createMachineLosses = (): MachineLosses => ({
  gone: new Map(),
  unresponsivePeriods: new Map(),
  storedPages: [],
  nextWriteAt: 0 as Instant,
});
