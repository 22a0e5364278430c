/** Who leads: the holder of the leader key, which hangs on a lease of the state service. */

import type {
  KeyValueStoreClient,
  LeaseId,
  Mutation,
} from '../adapters/key-value-store/key-value-store-client.js';
import type { Log } from '../adapters/logging/log.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { FencingToken, NodeId, Revision } from '../core/model/ids.js';
import type { Instant } from '../core/model/time.js';
import { decodeLeader, LEADER_KEY } from './stored-records.js';

const FOLLOW_MS = 10_000;
const DRIFT = 0.001;
const SLACK_MS = 50;

export interface LeaderElectionEvents {
  onElected(fencingToken: FencingToken, at: Instant): void;
  onDeposed(): void;
}

/** A lease under renewal. */
interface HeldLease {
  readonly lease: LeaseId;
  /** Until when it is surely alive. */
  until: Instant;
  over: boolean;
}

export class LeaderElection {
  /** Names this run of the process: what an earlier run of the node claimed is not ours. Read together with a lease's id. */
  readonly incarnation: string;
  fencingToken: FencingToken | null = null;
  private heldLease: HeldLease | null = null;
  leaderNode: NodeId | null = null;
  /** The term of the leader last heard of. */
  highestKnownToken = 0 as FencingToken;
  private campaignNotBefore = 0;
  private stopped = false;

  constructor(
    private readonly node: NodeId,
    private readonly state: KeyValueStoreClient,
    private readonly leaseMs: number,
    private readonly events: LeaderElectionEvents,
    private readonly log: Log,
    private readonly jitter: Jitter,
  ) {
    this.incarnation = `${Date.now()}-${process.hrtime.bigint()}`;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Until when this leader's lease is surely alive. */
  get leaseValidUntil(): Instant {
    return this.heldLease?.until ?? (0 as Instant);
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      const item = await this.state.get(LEADER_KEY);
      if (item === 'absent') {
        this.leaderNode = null;
        if (steadyNow() < this.campaignNotBefore) await sleep(this.jitter.around(200));
        else await this.campaign(0 as Revision);
      } else if (typeof item === 'object') {
        const leader = decodeLeader(item.value);
        if (leader?.node === this.node) {
          // Left behind by an earlier life of this node, which is over; guarded by its version.
          await this.campaign(item.revision);
        } else {
          this.leaderNode = (leader?.node ?? null) as NodeId | null;
          this.highestKnownToken = item.revision as number as FencingToken;
          // What the watch tells need not be asked for again: each round trip saved shortens the time without a leader.
          if (!(await this.awaitLeaderKeyDeletion(item.revision))) continue;
          this.leaderNode = null;
          if (steadyNow() >= this.campaignNotBefore) await this.campaign(0 as Revision);
        }
      } else await sleep(this.jitter.around(250));
    }
  }

  /** True when the leader key has gone, and nothing has come in its place as far as the watch tells. */
  private async awaitLeaderKeyDeletion(since: Revision): Promise<boolean> {
    const result = await this.state.watch(LEADER_KEY, since, FOLLOW_MS);
    if (typeof result === 'object') {
      const last = result.changes.filter((c) => c.key === LEADER_KEY).at(-1);
      return last !== undefined && 'deleted' in last;
    }
    if (result !== 'too-old') await sleep(this.jitter.around(250));
    return false;
  }

  /** Step down: a worker has seen a higher term, or a write was refused. */
  stepDown(): void {
    if (this.fencingToken === null) return;
    this.fencingToken = null;
    if (this.heldLease) this.heldLease.over = true;
    this.heldLease = null;
    this.leaderNode = null;
    this.events.onDeposed();
  }

  /** What a peer says of the leader, for a node that cannot see the state service itself. */
  learnLeaderFromPeer(node: NodeId, fencingToken: FencingToken): void {
    if (
      fencingToken <= this.highestKnownToken ||
      (this.fencingToken !== null && fencingToken <= this.fencingToken)
    )
      return;
    this.stepDown();
    this.highestKnownToken = fencingToken;
    this.leaderNode = node;
  }

  /** Gives leadership up for a peer that the workers can reach, and leaves it the time to take over. */
  resign(pauseMs: number): void {
    this.campaignNotBefore = steadyNow() + pauseMs;
    this.stepDown();
  }

  private async campaign(guard: Revision): Promise<void> {
    const sentAt = steadyNow();
    const lease = await this.state.grant(this.leaseMs);
    if (typeof lease === 'string') {
      await sleep(this.jitter.around(200));
      return;
    }
    // Renewed from the start: where the key is slow to be written, the lease must not run out meanwhile.
    const holding: HeldLease = { lease, until: this.leaseValidityFrom(sentAt), over: false };
    const renewing = this.keepRenewing(holding);
    const value = { node: this.node, life: this.incarnation, lease };
    const writes: Mutation[] = [{ put: LEADER_KEY, value, lease }];
    const result = await this.state.compareAndSwap([{ key: LEADER_KEY, revision: guard }], writes);
    let term: FencingToken | null = null;
    if (typeof result === 'object') term = result.revision as number as FencingToken;
    else if (result === 'unknown') term = await this.readBack(lease);
    if (term === null || holding.over) {
      holding.over = true;
      await this.state.revoke(lease);
      await sleep(this.jitter.around(50));
      return;
    }
    this.fencingToken = term;
    this.heldLease = holding;
    this.leaderNode = this.node;
    this.highestKnownToken = term;
    this.log.info({ term }, 'leading');
    this.events.onElected(term, steadyNow());
    await renewing;
    if (!this.stopped) await this.state.revoke(lease);
  }

  private async readBack(lease: LeaseId): Promise<FencingToken | null> {
    for (let i = 0; i < 5; i += 1) {
      const item = await this.state.get(LEADER_KEY);
      if (item === 'absent') return null;
      if (typeof item === 'object') {
        const value = item.value as { life?: unknown; lease?: unknown } | null;
        const ours = value?.life === this.incarnation && value?.lease === lease;
        return ours ? (item.revision as number as FencingToken) : null;
      }
      await sleep(this.jitter.around(200));
    }
    return null;
  }

  /** A lease counts from before its renewal was sent, less what the clocks may drift apart. */
  private leaseValidityFrom(sentAt: Instant): Instant {
    return (sentAt + this.leaseMs * (1 - DRIFT) - SLACK_MS) as Instant;
  }

  /**
   * Renewals overlap: one that is slow to be answered holds up none after it, so that a state service which takes
   * whole seconds for an answer does not cost the leader its lease.
   */
  private async keepRenewing(holding: HeldLease): Promise<void> {
    const every = this.leaseMs / 4;
    while (!this.stopped && !holding.over) {
      const sentAt = steadyNow();
      const result = await Promise.race([this.renewOnce(holding), sleep(every).then(() => 'slow')]);
      if (result === 'ok') await sleep(Math.max(0, every - (steadyNow() - sentAt)));
      else if (result !== 'slow') await sleep(this.jitter.around(150));
    }
  }

  private async renewOnce(holding: HeldLease): Promise<string> {
    const sentAt = steadyNow();
    const result = await this.state.renew(holding.lease);
    if (holding.over) return 'over';
    if (result === 'gone') {
      this.log.info({ term: this.fencingToken }, 'lease ended');
      holding.over = true;
      if (this.heldLease === holding) this.stepDown();
    } else if (result === 'ok') {
      // The key hangs on the lease: while the lease lives, nobody else has taken it. Answers may come in any order.
      holding.until = Math.max(holding.until, this.leaseValidityFrom(sentAt)) as Instant;
    }
    return result;
  }
}
