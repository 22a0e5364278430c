/** What workers report, and what it proves. */

import type { CoreState } from '../core-state.js';
import {
  createMachine,
  hasMissedHeartbeats,
  UNACKNOWLEDGED_LIMIT,
} from '../fleet/machine-health.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { LedgerSegment, Machine, Placement } from '../model/entities.js';
import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';
import type { MachineId, MachineTypeName, ReplyTicket, ZoneName } from '../model/ids.js';
import { isService } from '../model/job.js';
import type { LedgerEntry } from '../model/ledger-record.js';
import type { MachineAttributes } from '../model/machine.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import { addPlacement, occupiesMachine, releasePlacement } from './attempts.js';
import { isTaskDone } from './job-tasks.js';
import { markTaskDone, recordReplicaExit, recordTaskFailure } from './jobs.js';

/** Unheard answers after which a machine is replaced, unless more than this share of the fleet seems deaf. */
const UNHEARD_REPLACES = 4;
const DEAF_SHARE = 0.2;

export const getOrCreateMachine = (
  state: CoreState,
  id: MachineId,
  report: Heartbeat | null,
  now: Instant,
  recorded?: MachineAttributes,
): Machine => {
  let m = state.machines.get(id);
  if (!m) {
    const at = {
      endpoint: report?.endpoint ?? '',
      type: report?.type ?? recorded?.type ?? ('' as MachineTypeName),
      zone: report?.zone ?? recorded?.zone ?? ('' as ZoneName),
      spot: report?.spot ?? recorded?.spot ?? true,
    };
    m = createMachine(id, at, now, now);
    state.machines.set(id, m);
  }
  if (report) {
    m.endpoint = report.endpoint;
    m.type = report.type;
    m.spot = report.spot;
    if (m.zone !== report.zone) {
      for (const p of m.placements.values()) {
        if (!p.job || !occupiesMachine(p.phase)) continue;
        const left = (p.job.attemptsByZone.get(m.zone) ?? 1) - 1;
        if (left > 0) p.job.attemptsByZone.set(m.zone, left);
        else p.job.attemptsByZone.delete(m.zone);
        p.job.attemptsByZone.set(report.zone, (p.job.attemptsByZone.get(report.zone) ?? 0) + 1);
      }
      m.zone = report.zone;
    }
  }
  return m;
};

/** An attempt this leader did not place: from a former leader's ledger, or found on a machine. */
export const recoverPlacement = (
  state: CoreState,
  m: Machine,
  entry: LedgerEntry,
  now: Instant,
  segment: LedgerSegment | null,
): Placement => {
  // A task that its job does not have is only counted and killed, like one of an unknown job.
  const named = state.jobs.get(entry.job);
  const job = named && entry.index < named.spec.tasks ? named : null;
  const p: Placement = {
    entry,
    machine: m,
    job,
    placedAt: now,
    phase: 'recorded',
    startedAt: null,
    dispatchedEpoch: null,
    stopRequest: job ? null : { graceS: 0, sentAt: null },
    isSuperseded: false,
    requiredProgress: null,
    segment,
  };
  segment?.placements.add(p);
  addPlacement(state, p);
  return p;
};

const recoverReportedPlacement = (
  state: CoreState,
  m: Machine,
  task: TaskStatus,
  now: Instant,
): Placement => {
  const spec = state.jobs.get(task.job)?.spec;
  const entry: LedgerEntry = {
    job: task.job,
    index: task.index,
    attempt: task.attempt,
    team: spec?.team ?? ('' as LedgerEntry['team']),
    cpus: spec?.cpus ?? 0,
    gpus: spec?.gpus ?? 0,
    memoryGb: spec?.memoryGb ?? 0,
  };
  const p = recoverPlacement(state, m, entry, now, null);
  const rivals = (p.job?.attemptsByTask.get(entry.index) ?? []).length > 1;
  const doneElsewhere = task.phase !== 'ended' && p.job !== null && isTaskDone(p.job, entry.index);
  if (rivals || doneElsewhere) p.stopRequest = { graceS: 0, sentAt: null };
  state.awaitingLedgerEntry.add(p);
  return p;
};

const reconcileTask = (
  state: CoreState,
  p: Placement,
  task: TaskStatus,
  now: Instant,
  effects: Effect[],
): void => {
  const { job, machine } = p;
  if (p.phase === 'ended') return;
  if (task.phase !== 'ended') {
    if (task.phase === 'running' && p.startedAt === null) {
      p.startedAt = now;
      if (job && isService(job)) {
        const fields = { job: job.spec.id, task: p.entry.index, machine: machine.id };
        logEvent(effects, 'debug', 'replica runs', {
          ...fields,
          afterMs: Math.round(now - p.placedAt),
        });
      }
    }
    p.phase = task.phase;
    if (job) machine.images.add(job.spec.image);
    return;
  }
  if (job && isService(job)) {
    if (!p.stopRequest && (task.cause === 'done' || task.cause === 'error'))
      recordReplicaExit(state, job, p, task.cause === 'error', now, effects);
  } else if (task.cause === 'done' && job && job.terminalState === 'none')
    markTaskDone(state, job, p, now);
  else if (task.cause === 'error' && job && !p.stopRequest)
    recordTaskFailure(state, job, machine, now, effects);
  if (task.cause === 'no_room') machine.saturatedUntil = addMillis(now, 1500 as Millis);
  else if (task.cause === 'unknown' && job) job.retryAt = addMillis(now, seconds(2));
  if (task.cause === 'done') machine.failedJobs.clear();
  if (task.cause !== 'done' && job) {
    logEvent(effects, 'debug', 'attempt ended', {
      job: job.spec.id,
      task: p.entry.index,
      machine: machine.id,
      cause: task.cause,
      saved: task.checkpointSaved,
    });
  }
  releasePlacement(state, p, now, 'reported');
};

/**
 * Guards against a machine whose reports arrive while our answers do not reach it. Its next report tells: a start in
 * an answer that was heard shows up in it, in whatever state; and no session ends while answers arrive.
 */
const trackReachability = (
  state: CoreState,
  m: Machine,
  report: Heartbeat,
  now: Instant,
  effects: Effect[],
): void => {
  const { dispatchedStarts: offered } = m;
  m.dispatchedStarts = null;
  const before = m.unacknowledgedReplies;
  if (report.agentEpoch > m.agentEpoch && m.acknowledgedEpoch === m.agentEpoch && m.agentEpoch > 0)
    m.unacknowledgedReplies += 1;
  else if (offered && report.agentEpoch === m.agentEpoch && report.sequence > offered.seq) {
    const shown = new Set<number>(report.tasks.map((t) => t.attempt));
    m.unacknowledgedReplies = offered.attempts.some((attempt) => shown.has(attempt))
      ? 0
      : m.unacknowledgedReplies + 1;
  }
  if (m.unacknowledgedReplies > before && m.unacknowledgedReplies >= UNACKNOWLEDGED_LIMIT)
    m.quarantinedUntil = addMillis(now, state.config.workerLeaseMs);
  else if (m.unacknowledgedReplies === 0) m.quarantinedUntil = 0 as Instant;
  const { unverifiedSince: unprovenSince } = m;
  const unproven = unprovenSince !== null && now - unprovenSince > 1.5 * state.config.workerLeaseMs;
  if (m.isUnreachable || (m.unacknowledgedReplies < UNHEARD_REPLACES && !unproven)) return;
  let deaf = 0;
  for (const other of state.machines.values())
    if (other.isUnreachable || other.unacknowledgedReplies >= UNACKNOWLEDGED_LIMIT) deaf += 1;
  // When many seem deaf the fault is more likely our own slowness: replacing them would help nobody.
  if (deaf > Math.max(2, state.machines.size * DEAF_SHARE)) {
    m.unacknowledgedReplies = Math.min(m.unacknowledgedReplies, UNACKNOWLEDGED_LIMIT);
    return;
  }
  m.isUnreachable = true;
  logEvent(effects, 'info', 'machine does not hear our answers, replacing it', { machine: m.id });
};

export const reconcileHeartbeat = (
  state: CoreState,
  report: Heartbeat,
  ticket: ReplyTicket | null,
  now: Instant,
  effects: Effect[],
): void => {
  const refuse = () => {
    if (ticket !== null) effects.push({ kind: 'reply-to-heartbeat', ticket, commands: null });
  };
  if (state.deletedMachines.has(report.machine)) return refuse();
  const known = state.machines.get(report.machine);
  if (
    known &&
    (report.agentEpoch < known.agentEpoch ||
      (report.agentEpoch === known.agentEpoch && report.sequence <= known.heartbeatSequence))
  ) {
    return refuse();
  }
  const m = getOrCreateMachine(state, report.machine, report, now);
  if (ticket !== null) trackReachability(state, m, report, now, effects);
  if (m.pendingReply)
    effects.push({ kind: 'reply-to-heartbeat', ticket: m.pendingReply.ticket, commands: null });
  m.pendingReply = ticket === null ? null : { ticket, since: now };
  if (m.pendingReply) state.machinesAwaitingReply.add(m);
  else state.machinesAwaitingReply.delete(m);
  const first = !m.hasReported;
  if (first)
    logEvent(effects, 'debug', 'machine is up', { machine: m.id, type: m.type, zone: m.zone });
  m.agentEpoch = report.agentEpoch;
  m.heartbeatSequence = report.sequence;
  m.hasReported = true;
  if (ticket !== null) {
    if (hasMissedHeartbeats(state, m, now)) state.isRoundDue = true;
    m.lastHeartbeatAt = now;
  }
  if (m.lostAt !== null && !m.isDeleting && !(m.isDraining && m.placements.size === 0)) {
    m.lostAt = null;
    m.lostReason = '';
  }
  // Replicas on it are to move.
  if (report.reclaimNoticeS !== null && m.reclaimAt === null) state.isRoundDue = true;
  m.reclaimAt =
    report.reclaimNoticeS === null ? null : addMillis(now, seconds(report.reclaimNoticeS));
  // Only a report that carries our term, on a session we answered, proves what is not on the machine:
  // a report sent before could be older than a start that a former leader's answer still brought.
  // Nor does a reply to direct orders, which may cross the answer to a check-in that is still under way.
  const proof =
    ticket !== null &&
    report.fencingToken === state.config.fencingToken &&
    m.acknowledgedEpoch === report.agentEpoch;
  if (proof && !m.isReady) {
    m.isReady = true;
    state.isRoundDue = true;
  }
  if (proof) m.unverifiedSince = null;
  else if (ticket !== null && !m.isReady) m.unverifiedSince ??= now;
  if (m.acknowledgedEpoch !== report.agentEpoch) m.isReady = false;
  // The first word of a machine rented under this term: nothing can be on its way to it, so the answer may start
  // tasks at once. What it takes for an absence to be proof stays the same.
  if (first && m.isProvisionedThisTerm && report.agentEpoch === 1 && report.tasks.length === 0) {
    m.isReady = true;
    state.isRoundDue = true;
  }
  const seen = new Set<number>();
  for (const task of report.tasks) {
    seen.add(task.attempt);
    const p = m.placements.get(task.attempt) ?? recoverReportedPlacement(state, m, task, now);
    reconcileTask(state, p, task, now, effects);
  }
  if (proof) {
    for (const p of [...m.placements.values()]) {
      if (seen.has(p.entry.attempt) || p.phase === 'entering') continue;
      // On its way, unless it went out in a session that has ended: what that one held is gone, and answers to its
      // reports are dropped. Sent again, it would run under an attempt that may have run before.
      if (
        p.phase === 'offered' &&
        !p.stopRequest &&
        (p.dispatchedEpoch === null || p.dispatchedEpoch === report.agentEpoch)
      )
        continue;
      releasePlacement(state, p, now);
      m.placements.delete(p.entry.attempt);
    }
  }
};
