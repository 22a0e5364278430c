/** The election against a state service of our own that answers late, on a fake clock. */
import pino from 'pino';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type {
  KeyValueStoreClient,
  LeaseId,
  Mutation,
  Precondition,
} from '../src/adapters/key-value-store/key-value-store-client.js';
import { steadyNow } from '../src/adapters/runtime/clock.js';
import { Jitter } from '../src/adapters/runtime/random.js';
import type { FencingToken, NodeId, Revision } from '../src/core/model/ids.js';
import { LeaderElection } from '../src/service/leader-election.js';

const LEASE_MS = 3000;

/** One leader key, leases, and a delay each way; requests under way when a process ends are still carried out. */
class SlowState {
  delayMs = 0;
  revision = 0;
  key: { value: unknown; revision: number; lease: number } | null = null;
  private readonly ends = new Map<number, number>();
  private nextLease = 1;
  private watchers: (() => void)[] = [];

  private async carry<T>(act: () => T): Promise<T> {
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    this.sweep();
    const result = act();
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    return result;
  }

  private sweep(): void {
    for (const [lease, end] of this.ends) {
      if (steadyNow() <= end) continue;
      this.ends.delete(lease);
      if (this.key?.lease === lease) this.change(null);
    }
  }

  private change(key: { value: unknown; lease: number } | null): void {
    this.revision += 1;
    this.key = key && { ...key, revision: this.revision };
    for (const wake of this.watchers.splice(0)) wake();
  }

  client(): KeyValueStoreClient {
    return {
      get: () =>
        this.carry(() =>
          this.key
            ? { key: 'leader', value: this.key.value, revision: this.key.revision }
            : 'absent',
        ),
      grant: (lifeMs: number) =>
        this.carry(() => {
          const lease = this.nextLease++;
          this.ends.set(lease, steadyNow() + lifeMs);
          return lease;
        }),
      renew: (lease: LeaseId) =>
        this.carry(() => {
          if (!this.ends.has(lease)) return 'gone';
          this.ends.set(lease, steadyNow() + LEASE_MS);
          return 'ok';
        }),
      revoke: (lease: LeaseId) =>
        this.carry(() => {
          this.ends.delete(lease);
          if (this.key?.lease === lease) this.change(null);
        }),
      compareAndSwap: (guards: Precondition[], writes: Mutation[]) =>
        this.carry(() => {
          const write = writes[0]!;
          if (!('put' in write) || guards[0]!.revision !== (this.key?.revision ?? 0))
            return 'conflict';
          if (!this.ends.has(write.lease!)) return 'expired';
          this.change({ value: write.value, lease: write.lease! });
          return { revision: this.revision as Revision };
        }),
      watch: (_: string, since: Revision, holdMs: number) =>
        this.carry(async () => {
          if (this.revision <= since) {
            await Promise.race([
              new Promise<void>((resolve) => this.watchers.push(resolve)),
              new Promise((resolve) => setTimeout(resolve, Math.min(holdMs, 500))),
            ]);
            this.sweep();
          }
          return { revision: this.revision, changes: [] };
        }),
    } as unknown as KeyValueStoreClient;
  }
}

describe('an election', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  const start = (state: SlowState, node: string, terms: FencingToken[], seed: number) => {
    const events = {
      onElected: (term: FencingToken) => void terms.push(term),
      onDeposed: () => {},
    };
    const log = pino({ level: 'silent' });
    const election = new LeaderElection(
      node as NodeId,
      state.client(),
      LEASE_MS,
      events,
      log,
      new Jitter(seed),
    );
    void election.run();
    return election;
  };

  it('keeps its lease alive without a gap while every answer takes two seconds', async () => {
    const state = new SlowState();
    state.delayMs = 1000;
    const terms: FencingToken[] = [];
    const election = start(state, 'node-0', terms, 1);
    await vi.advanceTimersByTimeAsync(12_000);
    expect(terms).toHaveLength(1);
    for (let i = 0; i < 300; i += 1) {
      await vi.advanceTimersByTimeAsync(100);
      expect(election.leaseValidUntil).toBeGreaterThan(steadyNow());
    }
    expect(terms).toHaveLength(1);
    election.stop();
  });

  it('gives each leader a new term, and never two at once, while processes are back within a moment', async () => {
    const state = new SlowState();
    state.delayMs = 3;
    const terms: FencingToken[] = [];
    const running = ['node-0', 'node-1', 'node-2'].map((node, i) =>
      start(state, node, terms, i + 1),
    );
    const draw = new Jitter(77);
    for (let i = 0; i < 200; i += 1) {
      await vi.advanceTimersByTimeAsync(draw.around(300));
      const valid = running.filter(
        (e) => e.fencingToken !== null && e.leaseValidUntil > steadyNow(),
      );
      expect(valid.length).toBeLessThanOrEqual(1);
      // One ends, the leader most often, also in mid-election, and is back after anything up to a quarter second.
      const at =
        i % 3 === 0
          ? i % running.length
          : Math.max(
              0,
              running.findIndex((e) => e.fencingToken !== null),
            );
      running[at]!.stop();
      running[at]!.stepDown();
      await vi.advanceTimersByTimeAsync(i % 250);
      running[at] = start(state, `node-${at}`, terms, 100 + i);
    }
    await vi.advanceTimersByTimeAsync(10_000);
    expect(
      running.filter((e) => e.fencingToken !== null && e.leaseValidUntil > steadyNow()),
    ).toHaveLength(1);
    expect(new Set(terms).size).toBe(terms.length);
    expect(terms.length).toBeGreaterThan(50);
    expect([...terms].sort((a, b) => a - b)).toEqual(terms);
    for (const e of running) e.stop();
  });
});
