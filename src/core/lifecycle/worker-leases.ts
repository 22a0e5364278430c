/** Worker leases: how long a worker may keep its tasks after the last reply it received. */

import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { Instant, Millis } from '../model/time.js';

/** Drift of one clock, as a share of the time; two clocks drift apart by at most twice this. */
const MAX_CLOCK_DRIFT = 0.001;
const LEASE_MARGIN_MS = 1000;
/** Time left between the end of the last task kept alive and the deadline of a cancellation. */
const CANCEL_MARGIN_MS = 3000;
const MAX_GRACE_MS = 60_000;

/**
 * How long a leader may go on replying to heartbeats after its own lease has expired; 0 if the
 * settings leave no time: then no worker is kept alive.
 *
 * A worker's lease starts when it sends a heartbeat, before the reply, so neither a heartbeat in
 * flight nor a long turn of the event loop extends it. After the leader's lease expires, a worker
 * that reaches only this leader loses its tasks within the returned time plus one worker lease. A
 * cancellation unknown to this leader was made under a later one, so after that expiry.
 */
export const graceAfterLeaseLoss = (cancelMs: Millis, workerLeaseMs: Millis): Millis => {
  const availableMs =
    (cancelMs - workerLeaseMs * (1 + MAX_CLOCK_DRIFT)) / (1 + MAX_CLOCK_DRIFT) - CANCEL_MARGIN_MS;
  return Math.max(0, Math.min(MAX_GRACE_MS, availableMs)) as Millis;
};

const leaseExpiryMs = ({ workerLeaseMs }: CoreState['config']): number =>
  workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;

/** Until when a worker could still hold its tasks if it gets no further reply. */
export const workerLeaseExpiresAt = ({ config }: CoreState, machine: Machine): number => {
  const { acquiredAt, graceAfterLeaseLossMs } = config;
  // Until the worker has this leader's token, a former leader may reply for a bounded time.
  const lastReplyAt = machine.isReady
    ? machine.lastHeartbeatAt
    : Math.max(machine.lastHeartbeatAt, acquiredAt + graceAfterLeaseLossMs);
  return lastReplyAt + leaseExpiryMs(config);
};

/**
 * When a machine that has not reported to this leader can no longer hold older tasks: the safe time
 * to start placing if a ledger segment could not be read.
 */
export const allWorkerLeasesExpireAt = ({ config }: CoreState): Instant =>
  (config.acquiredAt + config.graceAfterLeaseLossMs + leaseExpiryMs(config)) as Instant;
