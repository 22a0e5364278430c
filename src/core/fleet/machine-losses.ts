/**
 * Findings on machines that do not answer, carried from leader to leader: since when each has been
 * silent, and which attempts are proven to be gone. Whatever a finding is based on, it holds for
 * every later leader, so that none waits anew for what a former one has already waited for.
 */

import type { CoreState } from '../core-state.js';
import type { Command } from '../model/command.js';
import type { Machine } from '../model/entities.js';
import type { AttemptId, MachineId } from '../model/ids.js';
import type {
  GoneAttempts,
  MachineLossPage,
  MachineLossWrite,
  UnresponsiveMachine,
} from '../model/machine-loss.js';
import type { Instant } from '../model/time.js';
import { hasMissedHeartbeats } from './machine-health.js';

/** The ledger may name a gone attempt for longer; then the proof is found again. */
const GONE_RETENTION_MS = 600_000;
/** Silence in an older page says nothing: the machine may have reported to a leader since. */
const MAX_UNRESPONSIVE_ROW_AGE_MS = 60_000;
/** A page with silent machines is rewritten at least this often. */
const UNRESPONSIVE_ROW_REFRESH_MS = 5000;
/** Shortest time between two comparisons with what is stored, and for each page. */
const MIN_WRITE_INTERVAL_MS = 1000;
const WRITE_INTERVAL_PER_PAGE_MS = 500;
/** A worker that is connected has reported within this many nominal heartbeat intervals. */
const LISTENING_INTERVALS = 1.3;
/** Several short terms must add up to this many times as much: workers look for each new leader. */
const SPLIT_LISTENING_FACTOR = 3;
/** A machine is recorded as silent once it has not found its new leader for this long. */
const MIN_LISTENING_MS = 1000;
/** Resolution of the recorded times of listening: each change is a write. */
const LISTENING_STEP_MS = 1000;
/** Upper bounds, in bytes, of the JSON around the rows, and of a row without its machine's name. */
const PAGE_FRAME_BYTES = 60;
const ROW_BYTES = 56;

const toTimeOfDay = (state: CoreState, instant: Instant): number =>
  Math.round(instant + state.config.wallClockOffsetMs);

/** Takes over a page of former leaders' findings. Must precede the ledger's attempts. */
export const recoverMachineLosses = (
  state: CoreState,
  { page, unresponsive, gone, writtenAt }: Extract<Command, { kind: 'recovered-machine-losses' }>,
  now: Instant,
): void => {
  const { losses } = state;
  while (losses.storedPages.length <= page) losses.storedPages.push({ rows: '', writtenAt: now });
  for (const row of gone) {
    losses.gone.set(row.machine, row);
    if (row.attemptsBelow === null) state.deletedMachines.add(row.machine);
  }
  if (now - writtenAt > MAX_UNRESPONSIVE_ROW_AGE_MS) return;
  for (const { machine, since, listenedMs } of unresponsive)
    losses.unresponsivePeriods.set(machine, { since: Math.min(since, now) as Instant, listenedMs });
};

/** How long this leader has listened for a machine that it has not heard. */
const ownListeningMs = (machine: Machine, now: Instant): number => now - machine.firstSeenAt;

const listeningGoalMs = ({ config }: CoreState): number =>
  LISTENING_INTERVALS * config.heartbeatIntervalMs;

/** How long this leader and former ones together have listened for it, up to what matters. */
const totalListeningMs = (state: CoreState, machine: Machine, now: Instant): number => {
  const formerMs = state.losses.unresponsivePeriods.get(machine.id)?.listenedMs ?? 0;
  const totalMs = formerMs + ownListeningMs(machine, now);
  return Math.min(totalMs, SPLIT_LISTENING_FACTOR * listeningGoalMs(state));
};

/** Whether a machine would have been heard by now if it were connected. */
export const hasListenedLongEnough = (state: CoreState, machine: Machine, now: Instant): boolean =>
  machine.hasReported ||
  ownListeningMs(machine, now) >= listeningGoalMs(state) ||
  totalListeningMs(state, machine, now) >= SPLIT_LISTENING_FACTOR * listeningGoalMs(state);

/** Forgets that a machine was silent; the record follows at once, as the next leader may end it. */
export const recordHeard = ({ losses }: CoreState, machine: MachineId, now: Instant): void => {
  if (losses.unresponsivePeriods.delete(machine)) losses.nextWriteAt = now;
};

/** Whether a stored attempt is proven to be no longer on its machine. */
export const isProvenGone = (
  { losses }: CoreState,
  machine: MachineId,
  attempt: AttemptId,
): boolean => {
  const row = losses.gone.get(machine);
  return row !== undefined && (row.attemptsBelow === null || attempt < row.attemptsBelow);
};

/**
 * Applies to a machine that the ledger names what is known of it: it existed when its attempts were
 * recorded, and former leaders may not have heard it for a while.
 */
export const applyRecoveredFindings = (
  { losses }: CoreState,
  machine: Machine,
  recordedAt: Instant | null,
): void => {
  const unresponsiveSince = losses.unresponsivePeriods.get(machine.id)?.since;
  for (const existedAt of [recordedAt, unresponsiveSince])
    if (existedAt !== null && existedAt !== undefined && existedAt < machine.existsSince)
      machine.existsSince = existedAt;
  if (
    unresponsiveSince !== undefined &&
    !machine.hasReported &&
    unresponsiveSince < machine.lastHeartbeatAt
  )
    machine.lastHeartbeatAt = unresponsiveSince;
};

/** Records that all present attempts on a machine are gone; call it before they are released. */
export const recordGoneAttempts = (
  state: CoreState,
  machine: Machine,
  attemptsBelow: number | null,
  now: Instant,
): void => {
  if (machine.attemptCount === 0) return;
  state.losses.gone.delete(machine.id);
  state.losses.gone.set(machine.id, {
    machine: machine.id,
    attemptsBelow,
    provenAtTimeOfDayMs: toTimeOfDay(state, now),
  });
};

const dropOldProofs = (state: CoreState, now: Instant): void => {
  const oldest = toTimeOfDay(state, now) - GONE_RETENTION_MS;
  for (const [machine, { provenAtTimeOfDayMs }] of state.losses.gone) {
    if (provenAtTimeOfDayMs > oldest) return;
    state.losses.gone.delete(machine);
  }
};

const isUnresponsive = (state: CoreState, machine: Machine, now: Instant): boolean =>
  hasMissedHeartbeats(state, machine, now) ||
  (!machine.hasReported && ownListeningMs(machine, now) >= MIN_LISTENING_MS);

const toUnresponsiveMachine = (
  state: CoreState,
  machine: Machine,
  now: Instant,
): UnresponsiveMachine => {
  const listenedMs = machine.hasReported ? 0 : totalListeningMs(state, machine, now);
  return {
    machine: machine.id,
    sinceTimeOfDayMs: toTimeOfDay(state, machine.lastHeartbeatAt),
    listenedMs: Math.floor(listenedMs / LISTENING_STEP_MS) * LISTENING_STEP_MS,
  };
};

const listUnresponsiveMachines = (state: CoreState, now: Instant): UnresponsiveMachine[] => {
  const unresponsive: UnresponsiveMachine[] = [];
  for (const machine of state.machines.values()) {
    if (machine.attemptCount > 0 && isUnresponsive(state, machine, now))
      unresponsive.push(toUnresponsiveMachine(state, machine, now));
  }
  return unresponsive;
};

type PageRows = Pick<MachineLossPage, 'unresponsive' | 'gone'>;

/** Distributes the findings over pages; proofs first, since they stay where they are. */
const distributeRows = (
  gone: Iterable<GoneAttempts>,
  unresponsive: readonly UnresponsiveMachine[],
  maxBytes: number,
): PageRows[] => {
  const pages: PageRows[] = [];
  let bytes = Number.POSITIVE_INFINITY;
  let page: { unresponsive: UnresponsiveMachine[]; gone: GoneAttempts[] } = {
    unresponsive: [],
    gone: [],
  };
  const reserve = (machine: MachineId): void => {
    const size = ROW_BYTES + encodeURIComponent(machine).length;
    if (bytes + size > maxBytes) {
      page = { unresponsive: [], gone: [] };
      pages.push(page);
      bytes = PAGE_FRAME_BYTES;
    }
    bytes += size;
  };
  for (const row of gone) {
    reserve(row.machine);
    page.gone.push(row);
  }
  for (const row of unresponsive) {
    reserve(row.machine);
    page.unresponsive.push(row);
  }
  return pages;
};

/** The pages whose rows have changed since they were stored, or are due to be written again. */
export const takeMachineLossWrites = (
  state: CoreState,
  maxPageBytes: number,
  maxWrites: number,
  now: Instant,
): MachineLossWrite[] => {
  const { losses } = state;
  if (now < losses.nextWriteAt) return [];
  const pauseMs = Math.max(
    MIN_WRITE_INTERVAL_MS,
    losses.storedPages.length * WRITE_INTERVAL_PER_PAGE_MS,
  );
  losses.nextWriteAt = (now + pauseMs) as Instant;
  dropOldProofs(state, now);
  const pages = distributeRows(
    losses.gone.values(),
    listUnresponsiveMachines(state, now),
    maxPageBytes,
  );
  const writes: MachineLossWrite[] = [];
  for (const [page, rows] of pages.entries()) {
    if (writes.length >= maxWrites) return writes;
    const text = JSON.stringify(rows);
    const stored = losses.storedPages[page];
    const isDue =
      rows.unresponsive.length > 0 && now - (stored?.writtenAt ?? 0) >= UNRESPONSIVE_ROW_REFRESH_MS;
    if (stored?.rows === text && !isDue) continue;
    losses.storedPages[page] = { rows: text, writtenAt: now };
    const writtenAtTimeOfDayMs = toTimeOfDay(state, now);
    writes.push({ page, content: { page, writtenAtTimeOfDayMs, ...rows } });
  }
  while (losses.storedPages.length > pages.length && writes.length < maxWrites) {
    losses.storedPages.pop();
    writes.push({ page: losses.storedPages.length, content: null });
  }
  return writes;
};
