/** The state of one machine: how it begins, and whether the machine may take work. */

import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { MachineId, MachineTypeName, ZoneName } from '../model/ids.js';
import type { Instant } from '../model/time.js';

/** A machine that this leader has just learned of: nothing is on it, and it takes no work yet. */
export const createMachine = (
  id: MachineId,
  attributes: { endpoint: string; type: MachineTypeName; zone: ZoneName; spot: boolean },
  provisionedAt: Instant,
  now: Instant,
): Machine => ({
  id,
  ...attributes,
  provisionedAt,
  firstSeenAt: now,
  agentEpoch: 0,
  heartbeatSequence: 0,
  acknowledgedEpoch: 0,
  isReady: false,
  hasReported: false,
  isProvisionedThisTerm: false,
  isListed: false,
  lastHeartbeatAt: now,
  lostAt: null,
  lostReason: '',
  reclaimAt: null,
  isDraining: false,
  isDeleting: false,
  isCordoned: false,
  deleteNotBefore: 0 as Instant,
  placements: new Map(),
  attemptCount: 0,
  usedCpus: 0,
  usedGpus: 0,
  usedMemoryGb: 0,
  idleSince: now,
  images: new Set(),
  failedJobs: new Set(),
  saturatedUntil: 0 as Instant,
  dispatchedStarts: null,
  unacknowledgedReplies: 0,
  quarantinedUntil: 0 as Instant,
  unverifiedSince: null,
  isUnreachable: false,
  isReservedForServices: false,
  pendingReply: null,
});

/** Replies in a row that did not reach a machine, after which it gets no more work. */
export const UNACKNOWLEDGED_REPLY_LIMIT = 2;

/** Silence in heartbeat intervals after which a machine gets no more work: it would only wait. */
const MAX_HEARTBEAT_AGE_INTERVALS = 2;

/** Whether a machine is silent for longer than a lost heartbeat explains; it need not be lost. */
export const hasMissedHeartbeats = (state: CoreState, machine: Machine, now: Instant): boolean =>
  now - machine.lastHeartbeatAt > MAX_HEARTBEAT_AGE_INTERVALS * state.config.heartbeatIntervalMs;

/** Whether a machine may be given work now. */
export const isSchedulable = (state: CoreState, machine: Machine, now: Instant): boolean =>
  machine.isReady &&
  !hasMissedHeartbeats(state, machine, now) &&
  !machine.isUnreachable &&
  now >= machine.quarantinedUntil &&
  !machine.isDraining &&
  !machine.isCordoned &&
  !machine.isDeleting &&
  machine.lostAt === null &&
  machine.reclaimAt === null &&
  now >= machine.saturatedUntil;
