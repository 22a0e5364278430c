/** What workers are told: in answers to check-ins, and directly where it must not wait. */

import type { CoreState } from '../core-state.js';
import { isSchedulable } from '../fleet/machine-health.js';
import type { Authority, Effect } from '../model/effect.js';
import type { Machine, Placement } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import { isReplica } from '../scheduling/services.js';

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

const canReap = (state: CoreState, p: Placement): boolean => {
  if (!p.requiredProgress || !p.job) return true;
  if (!state.jobs.has(p.job.spec.id)) return true;
  const chunk = p.job.chunks.get(p.requiredProgress.chunk);
  return chunk !== undefined && chunk.storedVersion >= p.requiredProgress.version;
};

/**
 * An attempt of a job that is over, or that its user has asked to cancel. That stays true without a lease: whoever leads next
 * knows the job as over too, or will be asked again. So its kill is the one order that needs no valid lease, and no
 * worker is kept alive with such a task.
 */
export const belongsToEndedJob = (p: Placement): boolean =>
  p.stopRequest !== null && (p.job === null || p.job.terminalState !== 'none');

/** What a leader without a valid lease may still order. */
const killCommandsOfEndedJobs = (m: Machine, now: Instant): WorkerCommand[] => {
  const orders: WorkerCommand[] = [];
  for (const p of m.placements.values()) {
    if (orders.length >= MAX_ORDERS) break;
    if (p.phase === 'ended' || !belongsToEndedJob(p)) continue;
    const { job, index, attempt } = p.entry;
    orders.push({ op: 'kill', job, index, attempt, graceS: 0 });
    if (p.stopRequest) p.stopRequest.sentAt = now;
  }
  return orders;
};

const commandsFor = (state: CoreState, m: Machine, now: Instant): WorkerCommand[] => {
  const orders: WorkerCommand[] = [];
  for (const p of m.placements.values()) {
    if (orders.length >= MAX_ORDERS) break;
    const { job, index, attempt } = p.entry;
    if (p.phase === 'ended') {
      if (canReap(state, p)) orders.push({ op: 'reap', job, index, attempt });
    } else if (p.stopRequest) {
      if (p.phase === 'entering' || p.phase === 'offered') continue;
      if (p.phase === 'saving' && p.stopRequest.graceS > 0) continue;
      orders.push({ op: 'kill', job, index, attempt, graceS: p.stopRequest.graceS });
      p.stopRequest.sentAt = now;
    } else if (p.phase === 'offered' && m.isReady && !m.isUnreachable && !m.isDeleting) {
      if (p.dispatchedEpoch !== null && p.dispatchedEpoch !== m.agentEpoch) continue;
      p.dispatchedEpoch = m.agentEpoch;
      orders.push({ op: 'start', job, index, attempt });
    }
  }
  return orders;
};

/** Kills go straight to the worker, since its next check-in may be a while away. */
export const dispatchKills = (
  m: Machine,
  effects: Effect[],
  now: Instant,
  which: (p: Placement) => boolean = () => true,
): void => {
  if (!m.endpoint || m.agentEpoch === 0) return;
  const orders: WorkerCommand[] = [];
  for (const p of m.placements.values()) {
    if (
      !p.stopRequest ||
      p.phase === 'entering' ||
      p.phase === 'ended' ||
      orders.length >= MAX_ORDERS
    )
      continue;
    if (!which(p) || (p.stopRequest.sentAt !== null && now - p.stopRequest.sentAt < KILL_RESEND_MS))
      continue;
    const { job, index, attempt } = p.entry;
    orders.push({ op: 'kill', job, index, attempt, graceS: p.stopRequest.graceS });
    p.stopRequest.sentAt = now;
  }
  if (orders.length === 0) return;
  effects.push({
    kind: 'send-commands',
    machine: m.id,
    endpoint: m.endpoint,
    agentEpoch: m.agentEpoch,
    commands: orders,
  });
};

/** A replica that runs and is to go on: its machine has as little to say as an idle one. */
const isSteadyReplica = (p: Placement): boolean =>
  isReplica(p) && p.phase === 'running' && !p.stopRequest;

export const replyToHeartbeats = (
  state: CoreState,
  now: Instant,
  authority: Authority,
  effects: Effect[],
): void => {
  const idleHoldMs = Math.min(IDLE_HOLD_MAX_MS, state.config.heartbeatIntervalMs * IDLE_HOLD_SHARE);
  for (const m of state.machinesAwaitingReply) {
    if (!m.pendingReply) {
      state.machinesAwaitingReply.delete(m);
      continue;
    }
    const { ticket, since } = m.pendingReply;
    if (authority === 'lead' && now - since < ANSWER_WAIT_MS) {
      let waits = false;
      for (const p of m.placements.values()) waits ||= p.phase === 'entering';
      if (waits) continue;
    }
    const nothingEnds =
      m.placements.size === 0 ||
      (m.isReservedForServices && [...m.placements.values()].every(isSteadyReplica));
    if (
      authority === 'lead' &&
      nothingEnds &&
      isSchedulable(state, m, now) &&
      now - since < idleHoldMs
    )
      continue;
    m.pendingReply = null;
    state.machinesAwaitingReply.delete(m);
    if (authority === 'none') {
      effects.push({ kind: 'reply-to-heartbeat', ticket, commands: null });
      continue;
    }
    m.acknowledgedEpoch = m.agentEpoch;
    const orders =
      authority === 'lead' ? commandsFor(state, m, now) : killCommandsOfEndedJobs(m, now);
    const attempts = orders.filter((o) => o.op === 'start').map((o) => o.attempt);
    if (attempts.length > 0) m.dispatchedStarts = { seq: m.heartbeatSequence, attempts };
    effects.push({ kind: 'reply-to-heartbeat', ticket, commands: orders });
  }
};
