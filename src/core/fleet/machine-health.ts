/** Initial state of a machine, and the checks whether it may be given work. */

import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { MachineId, MachineTypeName, ZoneName } from '../model/ids.js';
import type { Instant } from '../model/time.js';

/** Creates the state of a newly discovered machine: without placements and not yet ready. */
export const createMachine = (
  id: MachineId,
  attributes: { endpoint: string; type: MachineTypeName; zone: ZoneName; spot: boolean },
  provisionedAt: Instant,
  now: Instant,
): Machine => ({
  id,
  ...attributes,
  provisionedAt,
  existsSince: provisionedAt,
  firstSeenAt: now,
  agentEpoch: 0,
  heartbeatSequence: 0,
  acknowledgedEpoch: 0,
  isReady: false,
  hasReported: false,
  isProvisionedThisTerm: false,
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

/** Consecutive unacknowledged replies after which a machine gets no more work. */
export const UNACKNOWLEDGED_REPLY_LIMIT = 2;

/** Age of the last heartbeat, in intervals, above which new work would only wait for the next. */
const MAX_HEARTBEAT_AGE_INTERVALS = 2;

/** Whether more heartbeats are missing than one lost message explains; not yet a lost machine. */
export const hasMissedHeartbeats = (state: CoreState, machine: Machine, now: Instant): boolean =>
  now - machine.lastHeartbeatAt > MAX_HEARTBEAT_AGE_INTERVALS * state.config.heartbeatIntervalMs;

/** Whether new attempts may be placed on a machine. */
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
