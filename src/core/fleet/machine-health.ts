/** The state of machines, and whether they may take work. */
import type { CoreState } from '../core-state.js';
import type { Machine } from '../model/entities.js';
import type { MachineId, MachineTypeName, ZoneName } from '../model/ids.js';
import type { Instant } from '../model/time.js';

export const createMachine = (
  id: MachineId,
  at: { endpoint: string; type: MachineTypeName; zone: ZoneName; spot: boolean },
  rentedAt: Instant,
  now: Instant,
): Machine => ({
  id,
  ...at,
  provisionedAt: rentedAt,
  knownAt: now,
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

/** Answers that went unheard in a row after which a machine gets no more work. */
export const UNACKNOWLEDGED_LIMIT = 2;

/** Without a word for this many report periods a machine gets no more work: it would only wait there. */
const QUIET_REPORTS = 2;

export const hasMissedHeartbeats = (state: CoreState, machine: Machine, now: Instant): boolean =>
  now - machine.lastHeartbeatAt > QUIET_REPORTS * state.config.heartbeatIntervalMs;

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
