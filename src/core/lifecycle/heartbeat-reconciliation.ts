/** What workers report, and what it proves. */

import { isQuiet, newMachine, UNHEARD_STOPS } from '../fleet/machine-health.js';
import { logEvent } from '../log-event.js';
import type { CoreState, Machine, Placement, Segment } from '../state.js';
import {
  type Effect,
  type Instant,
  isService,
  type LedgerEntry,
  type LedgerMachine,
  later,
  type MachineId,
  type Millis,
  type Report,
  type ReportedTask,
  seconds,
  type Ticket,
  type TypeName,
  type ZoneName,
} from '../types.js';
import { addPlacement, occupies, release } from './attempts.js';
import { isDone } from './job-tasks.js';
import { markDone, noteFailure, noteReplicaEnd } from './jobs.js';

/** Unheard answers after which a machine is replaced, unless more than this share of the fleet seems deaf. */
const UNHEARD_REPLACES = 4;
const DEAF_SHARE = 0.2;

export const ensureMachine = (
  state: CoreState,
  id: MachineId,
  report: Report | null,
  now: Instant,
  recorded?: LedgerMachine,
): Machine => {
  let m = state.machines.get(id);
  if (!m) {
    const at = {
      endpoint: report?.endpoint ?? '',
      type: report?.type ?? recorded?.type ?? ('' as TypeName),
      zone: report?.zone ?? recorded?.zone ?? ('' as ZoneName),
      spot: report?.spot ?? recorded?.spot ?? true,
    };
    m = newMachine(id, at, now, now);
    state.machines.set(id, m);
  }
  if (report) {
    m.endpoint = report.endpoint;
    m.type = report.type;
    m.spot = report.spot;
    if (m.zone !== report.zone) {
      for (const p of m.placements.values()) {
        if (!p.job || !occupies(p.phase)) continue;
        const left = (p.job.heldByZone.get(m.zone) ?? 1) - 1;
        if (left > 0) p.job.heldByZone.set(m.zone, left);
        else p.job.heldByZone.delete(m.zone);
        p.job.heldByZone.set(report.zone, (p.job.heldByZone.get(report.zone) ?? 0) + 1);
      }
      m.zone = report.zone;
    }
  }
  return m;
};

/** An attempt this leader did not place: from a former leader's ledger, or found on a machine. */
export const adopt = (
  state: CoreState,
  m: Machine,
  entry: LedgerEntry,
  now: Instant,
  segment: Segment | null,
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
    sentIn: null,
    kill: job ? null : { graceS: 0, sentAt: null },
    superseded: false,
    needs: null,
    segment,
  };
  segment?.placements.add(p);
  addPlacement(state, p);
  return p;
};

const adoptReported = (
  state: CoreState,
  m: Machine,
  task: ReportedTask,
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
  const p = adopt(state, m, entry, now, null);
  const rivals = (p.job?.held.get(entry.index) ?? []).length > 1;
  const doneElsewhere = task.phase !== 'ended' && p.job !== null && isDone(p.job, entry.index);
  if (rivals || doneElsewhere) p.kill = { graceS: 0, sentAt: null };
  state.toEnter.add(p);
  return p;
};

const onTask = (
  state: CoreState,
  p: Placement,
  task: ReportedTask,
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
    if (!p.kill && (task.cause === 'done' || task.cause === 'error'))
      noteReplicaEnd(state, job, p, task.cause === 'error', now, effects);
  } else if (task.cause === 'done' && job && job.final === 'none') markDone(state, job, p, now);
  else if (task.cause === 'error' && job && !p.kill) noteFailure(state, job, machine, now, effects);
  if (task.cause === 'no_room') machine.fullUntil = later(now, 1500 as Millis);
  else if (task.cause === 'unknown' && job) job.retryAt = later(now, seconds(2));
  if (task.cause === 'done') machine.failedJobs.clear();
  if (task.cause !== 'done' && job) {
    logEvent(effects, 'debug', 'attempt ended', {
      job: job.spec.id,
      task: p.entry.index,
      machine: machine.id,
      cause: task.cause,
      saved: task.saved,
    });
  }
  release(state, p, now, 'reported');
};

/**
 * Guards against a machine whose reports arrive while our answers do not reach it. Its next report tells: a start in
 * an answer that was heard shows up in it, in whatever state; and no session ends while answers arrive.
 */
const trackReachability = (
  state: CoreState,
  m: Machine,
  report: Report,
  now: Instant,
  effects: Effect[],
): void => {
  const { offered } = m;
  m.offered = null;
  const before = m.unheard;
  if (report.session > m.session && m.answeredSession === m.session && m.session > 0)
    m.unheard += 1;
  else if (offered && report.session === m.session && report.seq > offered.seq) {
    const shown = new Set<number>(report.tasks.map((t) => t.attempt));
    m.unheard = offered.attempts.some((attempt) => shown.has(attempt)) ? 0 : m.unheard + 1;
  }
  if (m.unheard > before && m.unheard >= UNHEARD_STOPS)
    m.shunUntil = later(now, state.config.leaseMs);
  else if (m.unheard === 0) m.shunUntil = 0 as Instant;
  const { unprovenSince } = m;
  const unproven = unprovenSince !== null && now - unprovenSince > 1.5 * state.config.leaseMs;
  if (m.deaf || (m.unheard < UNHEARD_REPLACES && !unproven)) return;
  let deaf = 0;
  for (const other of state.machines.values())
    if (other.deaf || other.unheard >= UNHEARD_STOPS) deaf += 1;
  // When many seem deaf the fault is more likely our own slowness: replacing them would help nobody.
  if (deaf > Math.max(2, state.machines.size * DEAF_SHARE)) {
    m.unheard = Math.min(m.unheard, UNHEARD_STOPS);
    return;
  }
  m.deaf = true;
  logEvent(effects, 'info', 'machine does not hear our answers, replacing it', { machine: m.id });
};

export const onReport = (
  state: CoreState,
  report: Report,
  ticket: Ticket | null,
  now: Instant,
  effects: Effect[],
): void => {
  const refuse = () => {
    if (ticket !== null) effects.push({ kind: 'answer', ticket, orders: null });
  };
  if (state.gone.has(report.machine)) return refuse();
  const known = state.machines.get(report.machine);
  if (
    known &&
    (report.session < known.session ||
      (report.session === known.session && report.seq <= known.seq))
  ) {
    return refuse();
  }
  const m = ensureMachine(state, report.machine, report, now);
  if (ticket !== null) trackReachability(state, m, report, now, effects);
  if (m.ticket) effects.push({ kind: 'answer', ticket: m.ticket.ticket, orders: null });
  m.ticket = ticket === null ? null : { ticket, since: now };
  if (m.ticket) state.waiting.add(m);
  else state.waiting.delete(m);
  const first = !m.everSeen;
  if (first)
    logEvent(effects, 'debug', 'machine is up', { machine: m.id, type: m.type, zone: m.zone });
  m.session = report.session;
  m.seq = report.seq;
  m.everSeen = true;
  if (ticket !== null) {
    if (isQuiet(state, m, now)) state.placementDue = true;
    m.lastSeen = now;
  }
  if (m.lostAt !== null && !m.deleting && !(m.draining && m.placements.size === 0)) {
    m.lostAt = null;
    m.lostWhy = '';
  }
  // Replicas on it are to move.
  if (report.noticeS !== null && m.noticeUntil === null) state.placementDue = true;
  m.noticeUntil = report.noticeS === null ? null : later(now, seconds(report.noticeS));
  // Only a report that carries our term, on a session we answered, proves what is not on the machine:
  // a report sent before could be older than a start that a former leader's answer still brought.
  // Nor does a reply to direct orders, which may cross the answer to a check-in that is still under way.
  const proof =
    ticket !== null && report.term === state.config.term && m.answeredSession === report.session;
  if (proof && !m.ready) {
    m.ready = true;
    state.placementDue = true;
  }
  if (proof) m.unprovenSince = null;
  else if (ticket !== null && !m.ready) m.unprovenSince ??= now;
  if (m.answeredSession !== report.session) m.ready = false;
  // The first word of a machine rented under this term: nothing can be on its way to it, so the answer may start
  // tasks at once. What it takes for an absence to be proof stays the same.
  if (first && m.ownRental && report.session === 1 && report.tasks.length === 0) {
    m.ready = true;
    state.placementDue = true;
  }
  const seen = new Set<number>();
  for (const task of report.tasks) {
    seen.add(task.attempt);
    const p = m.placements.get(task.attempt) ?? adoptReported(state, m, task, now);
    onTask(state, p, task, now, effects);
  }
  if (proof) {
    for (const p of [...m.placements.values()]) {
      if (seen.has(p.entry.attempt) || p.phase === 'entering') continue;
      // On its way, unless it went out in a session that has ended: what that one held is gone, and answers to its
      // reports are dropped. Sent again, it would run under an attempt that may have run before.
      if (p.phase === 'offered' && !p.kill && (p.sentIn === null || p.sentIn === report.session))
        continue;
      release(state, p, now);
      m.placements.delete(p.entry.attempt);
    }
  }
};
