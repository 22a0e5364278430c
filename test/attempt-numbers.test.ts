/**
 * Attempt numbers of a key-value store that has been in use for long. Guards against numbers that are
 * no longer exact, which make workers' reports unreadable and give two attempts one number.
 */
import { describe, expect, it } from 'vitest';
import { parseHeartbeat } from '../src/adapters/workers/heartbeat-parser.js';
import type { FencingToken, Revision } from '../src/core/model/ids.js';
import { core } from './support/builders.js';
import { CoreDriver } from './support/core-driver.js';

/** As many changes as 5 and 40 years of 60 a second make, about, and where numbers get scarce. */
const TOKENS = [1, 8_999_999_999, 9_000_000_000, 9_000_000_001, 10_000_000_000, 75_000_000_000];

/** The attempts of four tasks that a leader with this token starts. */
const attemptsOf = (token: number): number[] => {
  const driver = new CoreDriver(core({ fencingToken: token as FencingToken }));
  driver.bringUp('n-1');
  driver.submit('job-1', { tasks: 4 });
  const starts = driver.startsIn(driver.sendHeartbeat('n-1'));
  return starts.map(({ attempt }) => attempt);
};

const heartbeatWith = (attempt: number) => ({
  Berth: 'n-1',
  Endpoint: '127.0.0.1:9',
  Hull: 'c8',
  Yard: 'a',
  Tenure: 1,
  Tick: 1,
  Baton: 1,
  Pieces: [{ Piece: 'job-1/0', Try: attempt, Status: 'running' }],
});

describe('attempt numbers', () => {
  it.each(TOKENS)('are distinct, exact and readable in a heartbeat (token %d)', (token) => {
    const attempts = attemptsOf(token);
    expect(new Set(attempts).size).toBe(4);
    for (const attempt of attempts) {
      expect(Number.isSafeInteger(attempt)).toBe(true);
      const text = JSON.stringify(heartbeatWith(attempt));
      expect(parseHeartbeat(JSON.parse(text))?.tasks[0]?.attempt).toBe(attempt);
    }
  });

  it('increase with the token', () => {
    const all = TOKENS.flatMap(attemptsOf);
    expect(all).toEqual([...all].sort((a, b) => a - b));
    expect(new Set(all).size).toBe(all.length);
  });

  it('are never those of a later leader, however many tasks are placed', () => {
    const token = 10_000_000_000;
    const state = core({ fencingToken: token as FencingToken, storeWritesPerSecond: 4000 });
    const driver = new CoreDriver(state);
    for (let i = 0; i < 20; i += 1) driver.bringUp(`n-${i}`);
    driver.submit('job-1', { tasks: 1000, cpus: 0.05, memoryGb: 0.1 });
    driver.advance(500);
    const attempts = [...state.machines.values()].flatMap((machine) => [
      ...machine.placements.keys(),
    ]);
    expect(attempts).toHaveLength(100);
    const [firstOfNext] = attemptsOf(token + 1) as [number];
    for (const attempt of attempts) expect(attempt).toBeLessThan(firstOfNext);
    // The revisions that this leader has stored are no other leader's token.
    state.storedRevision = (token + 2) as Revision;
    driver.advance(4000);
    const further = [...state.machines.values()].flatMap((machine) => [
      ...machine.placements.keys(),
    ]);
    expect(further.length).toBeGreaterThan(100);
    expect(further.length).toBeLessThanOrEqual(300);
  });
});
