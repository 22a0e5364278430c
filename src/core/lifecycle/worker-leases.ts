/** Worker leases: for how long a worker may hold its tasks after the last reply it received. */

import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { Instant, Millis } from '../model/time.js';

/** Two clocks drift apart by twice this share of the time at most. */
const MAX_CLOCK_DRIFT = 0.001;
const LEASE_MARGIN_MS = 1000;
/** What is left of a cancellation's time when the last task that was kept alive ends. */
const CANCEL_MARGIN_MS = 3000;
const MAX_GRACE_MS = 60_000;

/**
 * For how long a leader may go on replying to heartbeats once its own lease has run out.
 *
 * A worker's lease counts from when the heartbeat was sent, which is before the reply was given, so
 * neither a heartbeat under way nor a long turn of the event loop adds to it: a worker that hears
 * only this leader has lost its tasks this long and one lease after the leader's lease ran out.
 * Whatever was cancelled without this leader's knowledge was cancelled under a later one, so after
 * that. 0 where the settings leave no room: nothing is kept alive then.
 */
export const graceAfterLeaseLoss = (cancelMs: Millis, leaseMs: Millis): Millis => {
  const availableMs =
    (cancelMs - leaseMs * (1 + MAX_CLOCK_DRIFT)) / (1 + MAX_CLOCK_DRIFT) - CANCEL_MARGIN_MS;
  return Math.max(0, Math.min(MAX_GRACE_MS, availableMs)) as Millis;
};

const leaseExpiryMs = ({ workerLeaseMs }: CoreState['config']): number =>
  workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;

/** Until when a worker that has not been replied to since could still hold its tasks. */
export const workerLeaseExpiresAt = ({ config }: CoreState, machine: Machine): number => {
  const { acquiredAt, graceAfterLeaseLossMs } = config;
  // Until it has taken our fencing token, a former leader may go on replying for a bounded time.
  const lastReplyAt = machine.isReady
    ? machine.lastHeartbeatAt
    : Math.max(machine.lastHeartbeatAt, acquiredAt + graceAfterLeaseLossMs);
  return lastReplyAt + leaseExpiryMs(config);
};

/**
 * When a machine that has not reported to this leader can hold nothing from before: the safe time
 * to start placing where a ledger record could not be read.
 */
export const allWorkerLeasesExpireAt = ({ config }: CoreState): Instant =>
  (config.acquiredAt + config.graceAfterLeaseLossMs + leaseExpiryMs(config)) as Instant;
