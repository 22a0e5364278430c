/**
 * Jobs on lost machines while leaders change. Guards against leaders that each wait anew for a
 * machine that is gone, so that nobody answers questions about its jobs for as long as they change.
 */
import { describe, expect, it } from 'vitest';
import { type Loss, playSuccession } from './support/leader-succession.js';

/** The operators' bound of the time without an answer to any question about a job. */
const MAX_SILENCE_MS = 75_000;
const LOSSES: readonly Loss[] = ['taken', 'dead', 'cut'];
/** One machine is replaced after a few heartbeats; three of ten count as an outage of many. */
const LOST_MACHINES = [1, 3];
const TERMS_MS = [1500, 2000, 5000, 8000, 13_500, 26_500, 60_000];

const play = (loss: Loss, lostMachines: number, termMs: number, durationMs = 200_000) =>
  playSuccession({ loss, lostMachines, termMs, durationMs });

describe('a job whose machine is lost', () => {
  it.each(LOSSES)('is answered for within the bound however leaders change (%s)', (loss) => {
    for (const lostMachines of LOST_MACHINES)
      for (const termMs of TERMS_MS)
        expect(
          play(loss, lostMachines, termMs).longestSilenceMs,
          `${lostMachines} machines, terms of ${termMs} ms`,
        ).toBeLessThan(MAX_SILENCE_MS);
  });

  it.each(LOSSES)('has no longer silence with more changes of leader (%s)', (loss) => {
    for (const termMs of TERMS_MS) {
      const few = play(loss, 3, termMs, 100_000);
      const many = play(loss, 3, termMs, 400_000);
      expect(many.longestSilenceMs).toBe(few.longestSilenceMs);
    }
  });

  it.each(LOSSES)('is never called queued while its task may run (%s)', (loss) => {
    for (const lostMachines of LOST_MACHINES)
      for (const termMs of TERMS_MS)
        expect(play(loss, lostMachines, termMs).falseAnswersAt).toEqual([]);
  });
});
