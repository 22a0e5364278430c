/**
 * Leader election over the key-value store. The leader is the node that wrote the leader key, which
 * hangs on a lease: when the lease ends, the store deletes the key and another node may claim it.
 *
 * Why two nodes never lead at once:
 * - The key is claimed by compare-and-swap, and only while absent or left by an earlier run of this
 *   node. The revision of the successful write is the fencing token: each one is higher than all
 *   before it, and the store and the workers turn away what carries an older one.
 * - A lease counts from before its grant or renewal was sent, less the drift of the clocks. The
 *   store counts from when it carried the request out, which is later: this node stops first.
 * - A claim without an answer may have been carried out. The key is read back, and counts as ours
 *   only with our incarnation and our lease: an earlier run or an earlier claim matches neither.
 * - When the outcome stays unknown, the lease is revoked: the store deletes the key if it was
 *   written, and turns a write away that arrives later.
 */

import type { Log } from '../adapters/logging/log.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { FencingToken, NodeId, Revision } from '../core/model/ids.js';
import type { Instant } from '../core/model/time.js';
import type { KeyValueStore, LeaseId, Mutation } from '../ports/key-value-store.js';
import { LeaderLease } from './leader-lease.js';
import { decodeLeader, LEADER_KEY } from './stored-records.js';

/** How long one watch of the leader key is held open, in milliseconds. */
const WATCH_HOLD_MS = 10_000;

/** Pauses before a request is repeated, in milliseconds; each is drawn around its value. */
const RETRY_MS = {
  read: 250,
  campaignPaused: 200,
  grant: 200,
  claimLost: 50,
  claimReadBack: 200,
} as const;

const MAX_CLAIM_READ_BACKS = 5;

/** The revision that a key must have when it is to be written only while absent. */
const ABSENT = 0 as Revision;

/** Told of changes of this node's role, synchronously: nothing of the service runs in between. */
export interface LeaderElectionEvents {
  /** This node leads, under this fencing token. */
  onElected(fencingToken: FencingToken, at: Instant): void;
  /** This node does not lead any more. */
  onDeposed(): void;
}

/** What an election needs. */
export interface LeaderElectionOptions {
  readonly node: NodeId;
  readonly store: KeyValueStore;
  /** Length of the leader's lease, in milliseconds. */
  readonly leaseMs: number;
  readonly events: LeaderElectionEvents;
  readonly log: Log;
  readonly jitter: Jitter;
}

/** Campaigns for the leader key, keeps its lease, and knows who leads. */
export class LeaderElection {
  /**
   * Names this run of the process, so that what an earlier run of the node has claimed is not taken
   * for ours. It is compared together with the lease's id.
   */
  readonly incarnation: string;
  /** The token under which this node leads, or null. */
  fencingToken: FencingToken | null = null;
  /** The leader as last known, or null. */
  leaderNode: NodeId | null = null;
  /** The highest fencing token of any leader that this node has heard of. */
  highestKnownToken = 0 as FencingToken;
  private readonly node: NodeId;
  private readonly store: KeyValueStore;
  private readonly leaseMs: number;
  private readonly events: LeaderElectionEvents;
  private readonly log: Log;
  private readonly jitter: Jitter;
  private heldLease: LeaderLease | null = null;
  /** Until then this node leaves the leader key to others. */
  private campaignNotBefore = 0;
  private isStopped = false;

  constructor({ node, store, leaseMs, events, log, jitter }: LeaderElectionOptions) {
    this.node = node;
    this.store = store;
    this.leaseMs = leaseMs;
    this.events = events;
    this.log = log;
    this.jitter = jitter;
    this.incarnation = `${Date.now()}-${process.hrtime.bigint()}`;
  }

  /** Ends campaigns and renewals; the lease is left to expire, as if the process had ended. */
  stop(): void {
    this.isStopped = true;
  }

  /** Until when this leader's lease is surely alive; 0 for a node that does not lead. */
  get leaseValidUntil(): Instant {
    return this.heldLease?.validUntil ?? (0 as Instant);
  }

  /** Follows the leader, and campaigns whenever there is none, until `stop`. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const leader = await this.store.get(LEADER_KEY);
      if (leader.kind === 'absent') await this.handleNoLeader();
      else if (leader.kind === 'found')
        await this.handleLeaderRecord(leader.item.value, leader.item.revision);
      else await sleep(this.jitter.around(RETRY_MS.read));
    }
  }

  private async handleNoLeader(): Promise<void> {
    this.leaderNode = null;
    if (this.mayCampaign()) await this.campaign(ABSENT);
    else await sleep(this.jitter.around(RETRY_MS.campaignPaused));
  }

  private async handleLeaderRecord(value: unknown, revision: Revision): Promise<void> {
    const leader = decodeLeader(value);
    if (leader?.node === this.node) {
      // Left by an earlier run of this node, which is over. The revision guards a newer claim.
      await this.campaign(revision);
      return;
    }
    this.leaderNode = (leader?.node ?? null) as NodeId | null;
    this.highestKnownToken = revision as number as FencingToken;
    if (!(await this.awaitLeaderKeyDeletion(revision))) return;
    // The watch has told of the deletion: reading the key again would lengthen the time without a
    // leader by a round trip.
    this.leaderNode = null;
    if (this.mayCampaign()) await this.campaign(ABSENT);
  }

  private mayCampaign(): boolean {
    return steadyNow() >= this.campaignNotBefore;
  }

  /** True when the key has been deleted and, as far as the watch tells, not been written since. */
  private async awaitLeaderKeyDeletion(since: Revision): Promise<boolean> {
    const result = await this.store.watch(LEADER_KEY, since, WATCH_HOLD_MS);
    if (result.kind === 'changes') {
      const last = result.changes.filter((change) => change.key === LEADER_KEY).at(-1);
      return last !== undefined && 'deleted' in last;
    }
    if (result.kind !== 'too-old') await sleep(this.jitter.around(RETRY_MS.read));
    return false;
  }

  /** Gives leadership up at once: a worker knows a higher token, or a fenced write was refused. */
  stepDown(): void {
    if (this.fencingToken === null) return;
    this.fencingToken = null;
    this.heldLease?.abandon();
    this.heldLease = null;
    this.leaderNode = null;
    this.events.onDeposed();
  }

  /** Takes a peer's word on who leads, where this node cannot read the key-value store itself. */
  learnLeaderFromPeer(node: NodeId, fencingToken: FencingToken): void {
    if (fencingToken <= this.highestKnownToken) return;
    if (this.fencingToken !== null && fencingToken <= this.fencingToken) return;
    this.stepDown();
    this.highestKnownToken = fencingToken;
    this.leaderNode = node;
  }

  /** Steps down for a peer that the workers reach, and leaves it `pauseMs` to be elected. */
  resign(pauseMs: number): void {
    this.campaignNotBefore = steadyNow() + pauseMs;
    this.stepDown();
  }

  /** Claims the leader key if it stands at `expected`, and leads until the lease has ended. */
  private async campaign(expected: Revision): Promise<void> {
    const lease = await LeaderLease.acquire({
      store: this.store,
      leaseMs: this.leaseMs,
      jitter: this.jitter,
      isStopped: () => this.isStopped,
      onExpired: (expired) => this.handleLeaseExpired(expired),
    });
    if (!lease) {
      await sleep(this.jitter.around(RETRY_MS.grant));
      return;
    }
    // Renewed from the start: the lease must not run out while the key is slow to be written.
    const renewing = lease.keepRenewing();
    const token = await this.claimLeaderKey(lease.id, expected);
    if (token === null || lease.hasEnded) {
      lease.abandon();
      await lease.revoke();
      await sleep(this.jitter.around(RETRY_MS.claimLost));
      return;
    }
    this.startLeading(token, lease);
    await renewing;
    if (!this.isStopped) await lease.revoke();
  }

  /** The new fencing token, or null when the key was not written or the outcome stays unknown. */
  private async claimLeaderKey(lease: LeaseId, expected: Revision): Promise<FencingToken | null> {
    const value = { node: this.node, life: this.incarnation, lease };
    const writes: Mutation[] = [{ put: LEADER_KEY, value, lease }];
    const preconditions = [{ key: LEADER_KEY, revision: expected }];
    const result = await this.store.compareAndSwap(preconditions, writes);
    if (result.kind === 'committed') return result.revision as number as FencingToken;
    return result.kind === 'unknown' ? this.readBackClaim(lease) : null;
  }

  /** Finds out whether an unanswered claim was carried out. */
  private async readBackClaim(lease: LeaseId): Promise<FencingToken | null> {
    for (let i = 0; i < MAX_CLAIM_READ_BACKS; i += 1) {
      const leader = await this.store.get(LEADER_KEY);
      if (leader.kind === 'absent') return null;
      if (leader.kind === 'found') {
        const { value, revision } = leader.item;
        return this.isOwnClaim(value, lease) ? (revision as number as FencingToken) : null;
      }
      await sleep(this.jitter.around(RETRY_MS.claimReadBack));
    }
    return null;
  }

  private isOwnClaim(value: unknown, lease: LeaseId): boolean {
    const claim = value as { life?: unknown; lease?: unknown } | null;
    return claim?.life === this.incarnation && claim?.lease === lease;
  }

  private startLeading(fencingToken: FencingToken, lease: LeaderLease): void {
    this.fencingToken = fencingToken;
    this.heldLease = lease;
    this.leaderNode = this.node;
    this.highestKnownToken = fencingToken;
    this.log.info({ fencingToken }, 'elected');
    this.events.onElected(fencingToken, steadyNow());
  }

  private handleLeaseExpired(lease: LeaderLease): void {
    this.log.info({ fencingToken: this.fencingToken }, 'lease expired');
    if (this.heldLease === lease) this.stepDown();
  }
}
