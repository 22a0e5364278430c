/**
 * A follower of a leader that has led for long. Guards against a follower that asks the key-value
 * store without a pause, once the store has forgotten the changes since the leader's election.
 */
import { describe, expect, it } from 'vitest';
import { Jitter } from '../src/adapters/runtime/random.js';
import type { NodeId, Revision } from '../src/core/model/ids.js';
import type { KeyValueStore } from '../src/ports/key-value-store.js';
import { LeaderElection } from '../src/service/leader-election.js';
import { log } from './stand-ins/cluster.js';

const ELECTED_AT = 5 as Revision;
const PRESENT = 20_000 as Revision;
const KEPT_CHANGES = 10_000;
const WATCHED_MS = 1500;

describe('a follower of a leader elected more changes ago than the store keeps', () => {
  it('asks the store a few times, and then waits for the next change', async () => {
    let requests = 0;
    const waitingWatches: Revision[] = [];
    const leader = { key: 'leader', value: { node: 'node-2', life: 'x' }, revision: ELECTED_AT };
    const store: Partial<KeyValueStore> = {
      get: async () => {
        requests += 1;
        return { kind: 'found', item: leader };
      },
      listAll: async () => {
        requests += 1;
        return { kind: 'listed', items: [leader as never], revision: PRESENT };
      },
      watch: (_prefix, since, pollTimeoutMs) => {
        requests += 1;
        if (since < PRESENT - KEPT_CHANGES) return Promise.resolve({ kind: 'too-old' });
        waitingWatches.push(since);
        return new Promise((resolve) =>
          setTimeout(
            () => resolve({ kind: 'changes', revision: PRESENT, changes: [] }),
            pollTimeoutMs,
          ).unref(),
        );
      },
    };
    const election = new LeaderElection({
      node: 'node-1' as NodeId,
      store: store as KeyValueStore,
      leaseMs: 3000,
      events: { onElected: () => {}, onDeposed: () => {} },
      log,
      jitter: new Jitter(1),
    });
    void election.run();
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    election.stop();
    expect(requests).toBeLessThan(10);
    expect(waitingWatches).toEqual([PRESENT]);
    expect(election.leaderNode).toBe('node-2');
  });
});
