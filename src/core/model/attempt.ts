/** States and ends of attempts at running tasks. */
import type { TaskPhase } from './heartbeat.js';

/**
 * Where an attempt stands. `unconfirmed`: known from the ledger or a heartbeat, and its machine has
 * yet to confirm it; `persisting`: its ledger entry is being written; `dispatched`: its start goes
 * out with each reply to its machine; from then on as the worker reports.
 */
export type AttemptPhase = 'unconfirmed' | 'persisting' | 'dispatched' | TaskPhase;

/**
 * How an attempt came off its machine. `reported`: its worker says that the task ended, by itself
 * or by a command; `gone`: its machine, agent epoch or lease ended.
 */
export type AttemptRelease = 'reported' | 'gone';
