/** How long a worker may hold its tasks after the last answer that a controller can have given it. */
import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { Instant, Millis } from '../model/time.js';

/** Clocks drift apart by half of this at most. */
const DRIFT = 0.001;
const LEASE_MARGIN_MS = 1000;
/** What is left of a cancellation's time when the last task that was kept alive ends. */
const CANCEL_MARGIN_MS = 3000;
const KEEP_ALIVE_MAX_MS = 60_000;

/**
 * For how long a leader may go on answering check-ins once its own lease has run out. A worker's lease counts from when the
 * answered report was sent, which is before the answer was given, so that neither a report under way nor a long turn of the event loop
 * adds to it: a worker that hears only this leader has lost its tasks this long and one lease after the leader's lease ran
 * out. Whatever was cancelled without this leader's knowledge was cancelled under a later one, so after that. Where the
 * settings leave no room, nothing is kept alive.
 */
export const graceAfterLeaseLoss = (cancelMs: Millis, leaseMs: Millis): Millis => {
  const room = (cancelMs - leaseMs * (1 + DRIFT)) / (1 + DRIFT) - CANCEL_MARGIN_MS;
  return Math.max(0, Math.min(KEEP_ALIVE_MAX_MS, room)) as Millis;
};

const leaseExpiryMs = ({ workerLeaseMs }: CoreState['config']): number =>
  workerLeaseMs * (1 + 2 * DRIFT) + LEASE_MARGIN_MS;

/** Until when a worker that has not been answered since could still hold its tasks. */
export const workerLeaseExpiresAt = ({ config }: CoreState, machine: Machine): number => {
  const { acquiredAt, graceAfterLeaseLossMs } = config;
  // Until it has taken our term, a former leader may go on answering it for a bounded time.
  const base = machine.isReady
    ? machine.lastHeartbeatAt
    : Math.max(machine.lastHeartbeatAt, acquiredAt + graceAfterLeaseLossMs);
  return base + leaseExpiryMs(config);
};

/**
 * When a machine that has not reported to this leader can hold nothing from before: the safe time to start placing
 * where a ledger record could not be read.
 */
export const allWorkerLeasesExpireAt = ({ config }: CoreState): Instant =>
  (config.acquiredAt + config.graceAfterLeaseLossMs + leaseExpiryMs(config)) as Instant;
