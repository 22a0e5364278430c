import { performance } from 'node:perf_hooks';
import type { Instant } from '../core/types.js';

/** The steady clock: every lease and time-out counts on it. */
export const steadyNow = (): Instant => performance.now() as Instant;

/** Turns a time of day from another node into an instant here; it may be off by the clocks' bound. */
export const fromTimeOfDay = (wallMs: number): Instant => (steadyNow() - (Date.now() - wallMs)) as Instant;

export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
