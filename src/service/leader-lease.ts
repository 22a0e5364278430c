/**
 * The lease to which the leader key is attached. Its validity is computed so that it ends on this
 * node before the key-value store lets the lease expire.
 */

import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { Instant } from '../core/model/time.js';
import type { KeyValueStore, LeaseId } from '../ports/key-value-store.js';

/** Maximum drift between the clocks of this node and the store, as a share of the lease. */
const CLOCK_DRIFT = 0.001;
/** Subtracted from the lease's duration in addition to the drift. */
const MARGIN_MS = 50;
/** Renewals sent per lease duration. */
const RENEWALS_PER_LEASE = 4;
/** Pause after a failed renewal; jitter is applied. */
const RENEWAL_RETRY_MS = 150;

/** Outcome of a renewal: `ended` if the lease has expired or is abandoned; `failed` is retried. */
type RenewalOutcome = 'renewed' | 'ended' | 'failed';

/** What a lease needs from its election. */
export interface LeaderLeaseOptions {
  readonly store: KeyValueStore;
  readonly leaseMs: number;
  readonly jitter: Jitter;
  /** Renewals stop once this returns true. */
  readonly isStopped: () => boolean;
  /** Called once, when the store reports that the lease has expired. */
  readonly onExpired: (lease: LeaderLease) => void;
}

/** One lease, from its grant until it has expired or is abandoned. */
export class LeaderLease {
  /** Time on this node's clock until which the store certainly keeps the lease. */
  validUntil: Instant;
  private isOver = false;

  private constructor(
    readonly id: LeaseId,
    sentAt: Instant,
    private readonly options: LeaderLeaseOptions,
  ) {
    this.validUntil = this.validityFrom(sentAt);
  }

  /** Requests a lease; returns null if none is granted. */
  static async acquire(options: LeaderLeaseOptions): Promise<LeaderLease | null> {
    const sentAt = steadyNow();
    const result = await options.store.grantLease(options.leaseMs);
    return result.kind === 'granted' ? new LeaderLease(result.lease, sentAt, options) : null;
  }

  /**
   * Renews until the lease has ended. Renewals overlap, so that the leader keeps its lease even if
   * the store takes seconds to answer.
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
          await sleep(jitter.apply(RENEWAL_RETRY_MS));
          break;
      }
    }
  }

  /** True once the lease has expired or is abandoned. */
  get hasEnded(): boolean {
    return this.isOver;
  }

  /** Stops renewals without revoking the lease. */
  abandon(): void {
    this.isOver = true;
  }

  /** Revokes the lease at the store, which deletes the keys attached to it. */
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
    // While the lease is valid, no other node can have claimed the key. Answers may arrive out of
    // order: an older one must not shorten the validity.
    this.validUntil = Math.max(this.validUntil, this.validityFrom(sentAt)) as Instant;
    return 'renewed';
  }

  /** End of the certain validity of a lease granted or renewed by a request sent at `sentAt`. */
  private validityFrom(sentAt: Instant): Instant {
    return (sentAt + this.options.leaseMs * (1 - CLOCK_DRIFT) - MARGIN_MS) as Instant;
  }
}
