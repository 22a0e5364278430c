/**
 * The lease on which the leader key hangs, counted so that this node never takes it for alive when
 * the key-value store does not.
 */

import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { Instant } from '../core/model/time.js';
import type { KeyValueStore, LeaseId } from '../ports/key-value-store.js';

/** Clocks of this node and the store may drift apart by this share of the lease. */
const CLOCK_DRIFT = 0.001;
/** Taken off the lease's length beyond the drift, in milliseconds. */
const MARGIN_MS = 50;
/** Renewals sent in the time of one lease. */
const RENEWALS_PER_LEASE = 4;
/** Pause after a renewal that failed, in milliseconds; drawn around this value. */
const RENEWAL_RETRY_MS = 150;

/** How a renewal ended: `ended` when the lease is gone or given up; `failed` may be repeated. */
type RenewalOutcome = 'renewed' | 'ended' | 'failed';

/** What a lease needs. */
export interface LeaderLeaseOptions {
  readonly store: KeyValueStore;
  readonly leaseMs: number;
  readonly jitter: Jitter;
  /** Once true, the lease is renewed no more. */
  readonly isStopped: () => boolean;
  /** Called once, when the store says that the lease is gone. */
  readonly onExpired: (lease: LeaderLease) => void;
}

/** One lease, from its grant until it has expired or is given up. */
export class LeaderLease {
  /** Until when the store surely keeps it, on this node's clock. */
  validUntil: Instant;
  private isOver = false;

  private constructor(
    readonly id: LeaseId,
    sentAt: Instant,
    private readonly options: LeaderLeaseOptions,
  ) {
    this.validUntil = this.validityFrom(sentAt);
  }

  /** Asks the store for a lease; null when it grants none now. */
  static async acquire(options: LeaderLeaseOptions): Promise<LeaderLease | null> {
    const sentAt = steadyNow();
    const result = await options.store.grantLease(options.leaseMs);
    return result.kind === 'granted' ? new LeaderLease(result.lease, sentAt, options) : null;
  }

  /**
   * Renews until the lease has ended. Renewals overlap: a slow answer holds up no later renewal, so
   * that a store which takes seconds to answer does not cost the leader its lease.
   */
  async keepRenewing(): Promise<void> {
    const { leaseMs, jitter, isStopped } = this.options;
    const intervalMs = leaseMs / RENEWALS_PER_LEASE;
    while (!isStopped() && !this.isOver) {
      const sentAt = steadyNow();
      const outcome = await Promise.race([
        this.renewOnce(),
        sleep(intervalMs).then((): 'slow' => 'slow'),
      ]);
      switch (outcome) {
        case 'slow':
          break;
        case 'renewed':
          await sleep(Math.max(0, intervalMs - (steadyNow() - sentAt)));
          break;
        case 'ended':
        case 'failed':
          await sleep(jitter.around(RENEWAL_RETRY_MS));
          break;
      }
    }
  }

  /** True once it has expired or been given up. */
  get hasEnded(): boolean {
    return this.isOver;
  }

  /** Gives the lease up on this node: renewals end. */
  abandon(): void {
    this.isOver = true;
  }

  /** Gives the lease back to the store, which deletes what hangs on it. */
  async revoke(): Promise<void> {
    await this.options.store.revokeLease(this.id);
  }

  private async renewOnce(): Promise<RenewalOutcome> {
    const sentAt = steadyNow();
    const result = await this.options.store.renewLease(this.id);
    if (this.isOver) return 'ended';
    if (result.kind === 'lease-expired') {
      this.isOver = true;
      this.options.onExpired(this);
      return 'ended';
    }
    if (result.kind !== 'renewed') return 'failed';
    // While the lease lives, nobody else can have claimed the key that hangs on it. Answers may
    // come in any order: an older one must not shorten it.
    this.validUntil = Math.max(this.validUntil, this.validityFrom(sentAt)) as Instant;
    return 'renewed';
  }

  /** Until when the lease is surely alive if its grant or renewal was sent at this moment. */
  private validityFrom(sentAt: Instant): Instant {
    return (sentAt + this.options.leaseMs * (1 - CLOCK_DRIFT) - MARGIN_MS) as Instant;
  }
}
