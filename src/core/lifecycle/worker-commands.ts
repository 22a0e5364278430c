/** What workers are told: in answers to check-ins, and directly where it must not wait. */

import { usable } from '../fleet/machine-health.js';
import { isReplica } from '../scheduling/services.js';
import type { CoreState, Machine, Placement } from '../state.js';
import type { Authority, Effect, Instant, Order } from '../types.js';

/** A check-in waits at most this long for the ledger entries of its starts. */
const ANSWER_WAIT_MS = 900;
/**
 * An idle worker's check-in is answered when there is something to start, or after this long: a start that
 * misses it would wait for the next report. Busy workers are answered at once, since theirs bring results.
 */
const IDLE_HOLD_SHARE = 0.6;
const IDLE_HOLD_MAX_MS = 2900;
const MAX_ORDERS = 300;
const KILL_RESEND_MS = 2000;

const reapable = (state: CoreState, p: Placement): boolean => {
  if (!p.needs || !p.job) return true;
  if (!state.jobs.has(p.job.spec.id)) return true;
  const chunk = p.job.chunks.get(p.needs.chunk);
  return chunk !== undefined && chunk.saved >= p.needs.version;
};

/**
 * An attempt of a job that is over, or that its user has asked to cancel. That stays true without a lease: whoever leads next
 * knows the job as over too, or will be asked again. So its kill is the one order that needs no valid lease, and no
 * worker is kept alive with such a task.
 */
export const ofEndedJob = (p: Placement): boolean =>
  p.kill !== null && (p.job === null || p.job.final !== 'none');

/** What a leader without a valid lease may still order. */
const killsOfEnded = (m: Machine, now: Instant): Order[] => {
  const orders: Order[] = [];
  for (const p of m.placements.values()) {
    if (orders.length >= MAX_ORDERS) break;
    if (p.phase === 'ended' || !ofEndedJob(p)) continue;
    const { job, index, attempt } = p.entry;
    orders.push({ op: 'kill', job, index, attempt, graceS: 0 });
    if (p.kill) p.kill.sentAt = now;
  }
  return orders;
};

const ordersFor = (state: CoreState, m: Machine, now: Instant): Order[] => {
  const orders: Order[] = [];
  for (const p of m.placements.values()) {
    if (orders.length >= MAX_ORDERS) break;
    const { job, index, attempt } = p.entry;
    if (p.phase === 'ended') {
      if (reapable(state, p)) orders.push({ op: 'reap', job, index, attempt });
    } else if (p.kill) {
      if (p.phase === 'entering' || p.phase === 'offered') continue;
      if (p.phase === 'saving' && p.kill.graceS > 0) continue;
      orders.push({ op: 'kill', job, index, attempt, graceS: p.kill.graceS });
      p.kill.sentAt = now;
    } else if (p.phase === 'offered' && m.ready && !m.deaf && !m.deleting) {
      if (p.sentIn !== null && p.sentIn !== m.session) continue;
      p.sentIn = m.session;
      orders.push({ op: 'start', job, index, attempt });
    }
  }
  return orders;
};

/** Kills go straight to the worker, since its next check-in may be a while away. */
export const sendKills = (
  m: Machine,
  effects: Effect[],
  now: Instant,
  which: (p: Placement) => boolean = () => true,
): void => {
  if (!m.endpoint || m.session === 0) return;
  const orders: Order[] = [];
  for (const p of m.placements.values()) {
    if (!p.kill || p.phase === 'entering' || p.phase === 'ended' || orders.length >= MAX_ORDERS)
      continue;
    if (!which(p) || (p.kill.sentAt !== null && now - p.kill.sentAt < KILL_RESEND_MS)) continue;
    const { job, index, attempt } = p.entry;
    orders.push({ op: 'kill', job, index, attempt, graceS: p.kill.graceS });
    p.kill.sentAt = now;
  }
  if (orders.length === 0) return;
  effects.push({ kind: 'orders', machine: m.id, endpoint: m.endpoint, session: m.session, orders });
};

/** A replica that runs and is to go on: its machine has as little to say as an idle one. */
const runsOn = (p: Placement): boolean => isReplica(p) && p.phase === 'running' && !p.kill;

export const answerTickets = (
  state: CoreState,
  now: Instant,
  authority: Authority,
  effects: Effect[],
): void => {
  const idleHoldMs = Math.min(IDLE_HOLD_MAX_MS, state.config.reportMs * IDLE_HOLD_SHARE);
  for (const m of state.waiting) {
    if (!m.ticket) {
      state.waiting.delete(m);
      continue;
    }
    const { ticket, since } = m.ticket;
    if (authority === 'lead' && now - since < ANSWER_WAIT_MS) {
      let waits = false;
      for (const p of m.placements.values()) waits ||= p.phase === 'entering';
      if (waits) continue;
    }
    const nothingEnds =
      m.placements.size === 0 || (m.kept && [...m.placements.values()].every(runsOn));
    if (authority === 'lead' && nothingEnds && usable(state, m, now) && now - since < idleHoldMs)
      continue;
    m.ticket = null;
    state.waiting.delete(m);
    if (authority === 'none') {
      effects.push({ kind: 'answer', ticket, orders: null });
      continue;
    }
    m.answeredSession = m.session;
    const orders = authority === 'lead' ? ordersFor(state, m, now) : killsOfEnded(m, now);
    const attempts = orders.filter((o) => o.op === 'start').map((o) => o.attempt);
    if (attempts.length > 0) m.offered = { seq: m.seq, attempts };
    effects.push({ kind: 'answer', ticket, orders });
  }
};
