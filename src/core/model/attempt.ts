/** Phases of an attempt, and reasons for its release. */
import type { TaskPhase } from './heartbeat.js';

/**
 * Phase of an attempt. `unconfirmed`: recovered, but not yet confirmed by its machine;
 * `persisting`: its ledger entry is being written; `dispatched`: each reply to its machine carries
 * its start command. The worker reports the later phases.
 */
export type AttemptPhase = 'unconfirmed' | 'persisting' | 'dispatched' | TaskPhase;

/**
 * Why an attempt was released. `reported`: its worker reported that the task ended, by itself or by
 * a command; `gone`: it was never sent, a heartbeat lacks it, or its machine, agent epoch or lease
 * ended.
 */
export type AttemptRelease = 'reported' | 'gone';
