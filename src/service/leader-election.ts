/**
 * Leader election over the key-value store. The leader is the node that wrote the leader key, which
 * is attached to a lease: when it expires, the store deletes the key and another node may claim it.
 *
 * Why two nodes never lead at once:
 * - The key is claimed by compare-and-swap, only while absent or written by an earlier process of
 *   this node. The revision of the successful write is the fencing token: tokens increase, and the
 *   store and the workers reject requests with an older one.
 * - This node counts the lease from before it sent the grant or renewal, less the clock drift. The
 *   store counts from when it executed the request, which is later: this node stops first.
 * - An unanswered claim may have been executed. The key is read back, and counts as this node's
 *   only with its current incarnation and lease: no earlier process or claim has both.
 * - If the outcome stays unknown, the lease is revoked: the store deletes the key if it was
 *   written, and rejects the write if it arrives later.
 */

import type { Log } from '../adapters/logging/log.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { FencingToken, NodeId, Revision } from '../core/model/ids.js';
import type { Instant } from '../core/model/time.js';
import type { KeyValueStore, LeaseId, Mutation } from '../ports/key-value-store.js';
import { LeaderLease } from './leader-lease.js';
import { decodeLeader, LEADER_KEY } from './stored-records.js';

/** How long the store holds one watch of the leader key open. */
const WATCH_POLL_TIMEOUT_MS = 10_000;

/** Pauses before retries; jitter is applied to each. */
const RETRY_MS = {
  read: 250,
  campaignPaused: 200,
  grant: 200,
  claimLost: 50,
  claimReadBack: 200,
} as const;

const MAX_CLAIM_READ_BACKS = 5;

/** Expected revision for a key that must be absent. */
const ABSENT = 0 as Revision;

/** Callbacks for role changes, called synchronously before any other code of the service. */
export interface LeaderElectionEvents {
  /** This node has become the leader under this fencing token. */
  onElected(fencingToken: FencingToken, at: Instant): void;
  /** This node no longer leads. */
  onDeposed(): void;
}

/** What an election needs; `events` receives this node's role changes. */
export interface LeaderElectionOptions {
  readonly node: NodeId;
  readonly store: KeyValueStore;
  /** Duration of the leader's lease, in milliseconds. */
  readonly leaseMs: number;
  readonly events: LeaderElectionEvents;
  readonly log: Log;
  readonly jitter: Jitter;
}

/** Campaigns for the leader key, renews its lease and tracks the current leader. */
export class LeaderElection {
  /**
   * Identifies this process, so that a claim by an earlier process of this node is not taken for
   * its own; compared together with the lease id.
   */
  readonly incarnation: string;
  /** Token under which this node leads; null if it does not lead. */
  fencingToken: FencingToken | null = null;
  /** Last known leader; null if unknown. */
  leaderNode: NodeId | null = null;
  /** Highest fencing token of any leader known to this node. */
  highestKnownToken = 0 as FencingToken;
  private readonly node: NodeId;
  private readonly store: KeyValueStore;
  private readonly leaseMs: number;
  private readonly events: LeaderElectionEvents;
  private readonly log: Log;
  private readonly jitter: Jitter;
  private heldLease: LeaderLease | null = null;
  /** The store reported all changes of the leader key up to this revision. */
  private watchedRevision = 0 as Revision;
  /** Time before which this node does not campaign. */
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

  /** Stops campaigns and renewals; the lease is left to expire, as if the process had exited. */
  stop(): void {
    this.isStopped = true;
  }

  /** Time until which this leader's lease is certainly valid; 0 if this node does not lead. */
  get leaseValidUntil(): Instant {
    return this.heldLease?.validUntil ?? (0 as Instant);
  }

  /** Follows the current leader, and campaigns whenever there is none, until `stop`. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const leader = await this.store.get(LEADER_KEY);
      if (leader.kind === 'absent') await this.handleNoLeader();
      else if (leader.kind === 'found')
        await this.handleLeaderRecord(leader.item.value, leader.item.revision);
      else await sleep(this.jitter.apply(RETRY_MS.read));
    }
  }

  private async handleNoLeader(): Promise<void> {
    this.leaderNode = null;
    if (this.mayCampaign()) await this.campaign(ABSENT);
    else await sleep(this.jitter.apply(RETRY_MS.campaignPaused));
  }

  private async handleLeaderRecord(value: unknown, revision: Revision): Promise<void> {
    const leader = decodeLeader(value);
    if (leader?.node === this.node) {
      // Written by an earlier process of this node, which has ended: the key may be claimed.
      // Requiring its revision protects a newer claim.
      await this.campaign(revision);
      return;
    }
    this.leaderNode = (leader?.node ?? null) as NodeId | null;
    this.highestKnownToken = revision as number as FencingToken;
    const since = Math.max(revision, this.watchedRevision) as Revision;
    if (!(await this.awaitLeaderKeyDeletion(since))) return;
    // Reading the deleted key again would extend the time without a leader by a round trip.
    this.leaderNode = null;
    if (this.mayCampaign()) await this.campaign(ABSENT);
  }

  private mayCampaign(): boolean {
    return steadyNow() >= this.campaignNotBefore;
  }

  /** Returns true if the last change that the watch reports is the key's deletion. */
  private async awaitLeaderKeyDeletion(since: Revision): Promise<boolean> {
    const result = await this.store.watch(LEADER_KEY, since, WATCH_POLL_TIMEOUT_MS);
    if (result.kind === 'changes') {
      this.watchedRevision = result.revision;
      const last = result.changes.filter((change) => change.key === LEADER_KEY).at(-1);
      return last !== undefined && 'deleted' in last;
    }
    if (result.kind === 'too-old') await this.skipForgottenChanges();
    await sleep(this.jitter.apply(RETRY_MS.read));
    return false;
  }

  /** The key is read again before the next watch, so no change of it is missed. */
  private async skipForgottenChanges(): Promise<void> {
    const listing = await this.store.listAll(LEADER_KEY);
    if (listing.kind === 'listed') this.watchedRevision = listing.revision;
  }

  /** Ends leadership at once, e.g. if a worker reports a higher token or a fenced write fails. */
  stepDown(): void {
    if (this.fencingToken === null) return;
    this.fencingToken = null;
    this.heldLease?.abandon();
    this.heldLease = null;
    this.leaderNode = null;
    this.events.onDeposed();
  }

  /** Accepts a leader with a higher token from a peer, while this node cannot read the store. */
  learnLeaderFromPeer(node: NodeId, fencingToken: FencingToken): void {
    if (fencingToken <= this.highestKnownToken) return;
    if (this.fencingToken !== null && fencingToken <= this.fencingToken) return;
    this.stepDown();
    this.highestKnownToken = fencingToken;
    this.leaderNode = node;
  }

  /** Steps down in favour of a peer that workers reach, and does not campaign for `pauseMs`. */
  resign(pauseMs: number): void {
    this.campaignNotBefore = steadyNow() + pauseMs;
    this.stepDown();
  }

  /** Claims the leader key if its revision is `expected`, and leads until the lease has ended. */
  private async campaign(expected: Revision): Promise<void> {
    const lease = await LeaderLease.acquire({
      store: this.store,
      leaseMs: this.leaseMs,
      jitter: this.jitter,
      isStopped: () => this.isStopped,
      onExpired: (expired) => this.handleLeaseExpired(expired),
    });
    if (!lease) {
      await sleep(this.jitter.apply(RETRY_MS.grant));
      return;
    }
    // Renewed from the start: the lease must not expire while the claim is slow.
    const renewing = lease.keepRenewing();
    const token = await this.claimLeaderKey(lease.id, expected);
    if (token === null || lease.hasEnded) {
      lease.abandon();
      await lease.revoke();
      await sleep(this.jitter.apply(RETRY_MS.claimLost));
      return;
    }
    this.startLeading(token, lease);
    await renewing;
    if (!this.isStopped) await lease.revoke();
  }

  /** Returns the fencing token; null if the key was not written or the outcome stays unknown. */
  private async claimLeaderKey(lease: LeaseId, expected: Revision): Promise<FencingToken | null> {
    const value = { node: this.node, life: this.incarnation, lease };
    const writes: Mutation[] = [{ put: LEADER_KEY, value, lease }];
    const preconditions = [{ key: LEADER_KEY, revision: expected }];
    const result = await this.store.compareAndSwap(preconditions, writes);
    if (result.kind === 'committed') return result.revision as number as FencingToken;
    return result.kind === 'unknown' ? this.readBackClaim(lease) : null;
  }

  /** Determines whether an unanswered claim was executed. */
  private async readBackClaim(lease: LeaseId): Promise<FencingToken | null> {
    for (let i = 0; i < MAX_CLAIM_READ_BACKS; i += 1) {
      const leader = await this.store.get(LEADER_KEY);
      if (leader.kind === 'absent') return null;
      if (leader.kind === 'found') {
        const { value, revision } = leader.item;
        return this.isOwnClaim(value, lease) ? (revision as number as FencingToken) : null;
      }
      await sleep(this.jitter.apply(RETRY_MS.claimReadBack));
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
    this.log.info({ fencingToken }, 'elected leader');
    this.events.onElected(fencingToken, steadyNow());
  }

  private handleLeaseExpired(lease: LeaderLease): void {
    this.log.info({ fencingToken: this.fencingToken }, 'leader lease expired');
    if (this.heldLease === lease) this.stepDown();
  }
}
