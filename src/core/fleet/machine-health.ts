/** The state of machines, and whether they may take work. */
import type { CoreState, Machine } from '../state.js';
import type { Instant, MachineId, TypeName, ZoneName } from '../types.js';

export const newMachine = (
  id: MachineId,
  at: { endpoint: string; type: TypeName; zone: ZoneName; spot: boolean },
  rentedAt: Instant,
  now: Instant,
): Machine => ({
  id,
  ...at,
  rentedAt,
  knownAt: now,
  session: 0,
  seq: 0,
  answeredSession: 0,
  ready: false,
  everSeen: false,
  ownRental: false,
  listed: false,
  lastSeen: now,
  lostAt: null,
  lostWhy: '',
  noticeUntil: null,
  draining: false,
  deleting: false,
  cordoned: false,
  deleteAfter: 0 as Instant,
  placements: new Map(),
  occupied: 0,
  usedCpus: 0,
  usedGpus: 0,
  usedMemoryGb: 0,
  idleSince: now,
  images: new Set(),
  failedJobs: new Set(),
  fullUntil: 0 as Instant,
  offered: null,
  unheard: 0,
  shunUntil: 0 as Instant,
  unprovenSince: null,
  deaf: false,
  kept: false,
  ticket: null,
});

/** Answers that went unheard in a row after which a machine gets no more work. */
export const UNHEARD_STOPS = 2;

/** Without a word for this many report periods a machine gets no more work: it would only wait there. */
const QUIET_REPORTS = 2;

export const isQuiet = (state: CoreState, m: Machine, now: Instant): boolean =>
  now - m.lastSeen > QUIET_REPORTS * state.config.reportMs;

export const usable = (state: CoreState, m: Machine, now: Instant): boolean =>
  m.ready &&
  !isQuiet(state, m, now) &&
  !m.deaf &&
  now >= m.shunUntil &&
  !m.draining &&
  !m.cordoned &&
  !m.deleting &&
  m.lostAt === null &&
  m.noticeUntil === null &&
  now >= m.fullUntil;
