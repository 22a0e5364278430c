/** Leader election against a stand-in for a slow key-value store, on a fake clock. */
import pino from 'pino';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { steadyNow } from '../src/adapters/runtime/clock.js';
import { Jitter } from '../src/adapters/runtime/random.js';
import type { FencingToken, NodeId, Revision } from '../src/core/model/ids.js';
import type {
  KeyValueStore,
  LeaseId,
  Mutation,
  Precondition,
} from '../src/ports/key-value-store.js';
import { LeaderElection } from '../src/service/leader-election.js';

const LEASE_MS = 3000;

/** The key-value store methods that an election calls. */
type ElectionRequests = Pick<
  KeyValueStore,
  'get' | 'grantLease' | 'renewLease' | 'revokeLease' | 'compareAndSwap' | 'watch'
>;

/** A slow store of one leader key and leases. It executes requests even of stopped clients. */
class SlowKeyValueStore {
  delayMs = 0;
  revision = 0;
  key: { value: unknown; revision: Revision; lease: number } | null = null;
  private readonly leaseExpiries = new Map<number, number>();
  private nextLease = 1;
  private watchers: (() => void)[] = [];

  private async execute<T>(request: () => T | Promise<T>): Promise<T> {
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    this.expireLeases();
    const result = request();
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    return result;
  }

  private expireLeases(): void {
    for (const [lease, expiry] of this.leaseExpiries) {
      if (steadyNow() <= expiry) continue;
      this.leaseExpiries.delete(lease);
      if (this.key?.lease === lease) this.writeLeaderKey(null);
    }
  }

  private writeLeaderKey(key: { value: unknown; lease: number } | null): void {
    this.revision += 1;
    this.key = key && { ...key, revision: this.revision as Revision };
    for (const notify of this.watchers.splice(0)) notify();
  }

  client(): KeyValueStore {
    const client: ElectionRequests = {
      get: () =>
        this.execute(() =>
          this.key
            ? {
                kind: 'found',
                item: { key: 'leader', value: this.key.value, revision: this.key.revision },
              }
            : { kind: 'absent' },
        ),
      grantLease: (lifeMs: number) =>
        this.execute(() => {
          const lease = this.nextLease++ as LeaseId;
          this.leaseExpiries.set(lease, steadyNow() + lifeMs);
          return { kind: 'granted', lease };
        }),
      renewLease: (lease: LeaseId) =>
        this.execute(() => {
          if (!this.leaseExpiries.has(lease)) return { kind: 'lease-expired' };
          this.leaseExpiries.set(lease, steadyNow() + LEASE_MS);
          return { kind: 'renewed' };
        }),
      revokeLease: (lease: LeaseId) =>
        this.execute(() => {
          this.leaseExpiries.delete(lease);
          if (this.key?.lease === lease) this.writeLeaderKey(null);
        }),
      compareAndSwap: (preconditions: Precondition[], writes: Mutation[]) =>
        this.execute(() => {
          const write = writes[0]!;
          if (!('put' in write) || preconditions[0]!.revision !== (this.key?.revision ?? 0))
            return { kind: 'conflict' };
          if (!this.leaseExpiries.has(write.lease!)) return { kind: 'lease-expired' };
          this.writeLeaderKey({ value: write.value, lease: write.lease! });
          return { kind: 'committed', revision: this.revision as Revision };
        }),
      watch: (_: string, since: Revision, holdMs: number) =>
        this.execute(async () => {
          if (this.revision <= since) {
            await Promise.race([
              new Promise<void>((resolve) => this.watchers.push(resolve)),
              new Promise((resolve) => setTimeout(resolve, Math.min(holdMs, 500))),
            ]);
            this.expireLeases();
          }
          return { kind: 'changes', revision: this.revision as Revision, changes: [] };
        }),
    };
    return client as KeyValueStore;
  }
}

describe('LeaderElection', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  const startElection = (
    store: SlowKeyValueStore,
    node: string,
    tokens: FencingToken[],
    seed: number,
  ) => {
    const election = new LeaderElection({
      node: node as NodeId,
      store: store.client(),
      leaseMs: LEASE_MS,
      events: {
        onElected: (token) => void tokens.push(token),
        onDeposed: () => {},
      },
      log: pino({ level: 'silent' }),
      jitter: new Jitter(seed),
    });
    void election.run();
    return election;
  };
  const isLeading = (election: LeaderElection): boolean =>
    election.fencingToken !== null && election.leaseValidUntil > steadyNow();

  it('keeps its lease valid without a gap while every answer takes two seconds', async () => {
    const store = new SlowKeyValueStore();
    store.delayMs = 1000;
    const tokens: FencingToken[] = [];
    const election = startElection(store, 'node-0', tokens, 1);
    await vi.advanceTimersByTimeAsync(12_000);
    expect(tokens).toHaveLength(1);
    for (let i = 0; i < 300; i += 1) {
      await vi.advanceTimersByTimeAsync(100);
      expect(election.leaseValidUntil).toBeGreaterThan(steadyNow());
    }
    expect(tokens).toHaveLength(1);
    election.stop();
  });

  it('elects one leader at a time, each with a new fencing token, as nodes restart', async () => {
    const store = new SlowKeyValueStore();
    store.delayMs = 3;
    const tokens: FencingToken[] = [];
    const elections = ['node-0', 'node-1', 'node-2'].map((node, i) =>
      startElection(store, node, tokens, i + 1),
    );
    const jitter = new Jitter(77);
    for (let i = 0; i < 200; i += 1) {
      await vi.advanceTimersByTimeAsync(jitter.apply(300));
      expect(elections.filter(isLeading).length).toBeLessThanOrEqual(1);
      // Stops one node, mostly the leader, even mid-election, and restarts it within 250 ms.
      const index =
        i % 3 === 0
          ? i % elections.length
          : Math.max(
              0,
              elections.findIndex((election) => election.fencingToken !== null),
            );
      elections[index]!.stop();
      elections[index]!.stepDown();
      await vi.advanceTimersByTimeAsync(i % 250);
      elections[index] = startElection(store, `node-${index}`, tokens, 100 + i);
    }
    await vi.advanceTimersByTimeAsync(10_000);
    expect(elections.filter(isLeading)).toHaveLength(1);
    expect(new Set(tokens).size).toBe(tokens.length);
    expect(tokens.length).toBeGreaterThan(50);
    expect([...tokens].sort((a, b) => a - b)).toEqual(tokens);
    for (const election of elections) election.stop();
  });
});
