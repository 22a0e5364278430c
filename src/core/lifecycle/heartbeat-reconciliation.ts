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
  heartbeat: Heartbeat | null,
  now: Instant,
  recorded?: MachineAttributes,
): Machine => {
  let m = state.machines.get(id);
  if (!m) {
    const at = {
      endpoint: heartbeat?.endpoint ?? '',
      type: heartbeat?.type ?? recorded?.type ?? ('' as MachineTypeName),
      zone: heartbeat?.zone ?? recorded?.zone ?? ('' as ZoneName),
      spot: heartbeat?.spot ?? recorded?.spot ?? true,
    };
    m = createMachine(id, at, now, now);
    state.machines.set(id, m);
  }
  if (heartbeat) {
    m.endpoint = heartbeat.endpoint;
    m.type = heartbeat.type;
    m.spot = heartbeat.spot;
    if (m.zone !== heartbeat.zone) {
      for (const placement of m.placements.values()) {
        if (!placement.job || !occupiesMachine(placement.phase)) continue;
        const left = (placement.job.attemptsByZone.get(m.zone) ?? 1) - 1;
        if (left > 0) placement.job.attemptsByZone.set(m.zone, left);
        else placement.job.attemptsByZone.delete(m.zone);
        placement.job.attemptsByZone.set(
          heartbeat.zone,
          (placement.job.attemptsByZone.get(heartbeat.zone) ?? 0) + 1,
        );
      }
      m.zone = heartbeat.zone;
    }
  }
  return m;
};

/** An attempt this leader did not place: from a former leader's ledger, or found on a machine. */
export const recoverPlacement = (
  state: CoreState,
  machine: Machine,
  entry: LedgerEntry,
  now: Instant,
  segment: LedgerSegment | null,
): Placement => {
  // A task that its job does not have is only counted and killed, like one of an unknown job.
  const named = state.jobs.get(entry.job);
  const job = named && entry.index < named.spec.tasks ? named : null;
  const placement: Placement = {
    entry,
    machine,
    job,
    placedAt: now,
    phase: 'unconfirmed',
    startedAt: null,
    dispatchedEpoch: null,
    stopRequest: job ? null : { graceS: 0, sentAt: null },
    isSuperseded: false,
    requiredProgress: null,
    segment,
  };
  segment?.placements.add(placement);
  addPlacement(state, placement);
  return placement;
};

const recoverReportedPlacement = (
  state: CoreState,
  machine: Machine,
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
  const placement = recoverPlacement(state, machine, entry, now, null);
  const rivals = (placement.job?.attemptsByTask.get(entry.index) ?? []).length > 1;
  const doneElsewhere =
    task.phase !== 'ended' && placement.job !== null && isTaskDone(placement.job, entry.index);
  if (rivals || doneElsewhere) placement.stopRequest = { graceS: 0, sentAt: null };
  state.awaitingLedgerEntry.add(placement);
  return placement;
};

const reconcileTask = (
  state: CoreState,
  placement: Placement,
  task: TaskStatus,
  now: Instant,
  effects: Effect[],
): void => {
  const { job, machine } = placement;
  if (placement.phase === 'ended') return;
  if (task.phase !== 'ended') {
    if (task.phase === 'running' && placement.startedAt === null) {
      placement.startedAt = now;
      if (job && isService(job)) {
        const fields = { job: job.spec.id, task: placement.entry.index, machine: machine.id };
        logEvent(effects, 'debug', 'replica runs', {
          ...fields,
          afterMs: Math.round(now - placement.placedAt),
        });
      }
    }
    placement.phase = task.phase;
    if (job) machine.images.add(job.spec.image);
    return;
  }
  if (job && isService(job)) {
    if (!placement.stopRequest && (task.cause === 'done' || task.cause === 'error'))
      recordReplicaExit(state, job, placement, task.cause === 'error', now, effects);
  } else if (task.cause === 'done' && job && job.terminalState === 'none')
    markTaskDone(state, job, placement, now);
  else if (task.cause === 'error' && job && !placement.stopRequest)
    recordTaskFailure(state, job, machine, now, effects);
  if (task.cause === 'no_room') machine.saturatedUntil = addMillis(now, 1500 as Millis);
  else if (task.cause === 'unknown' && job) job.retryAt = addMillis(now, seconds(2));
  if (task.cause === 'done') machine.failedJobs.clear();
  if (task.cause !== 'done' && job) {
    logEvent(effects, 'debug', 'attempt ended', {
      job: job.spec.id,
      task: placement.entry.index,
      machine: machine.id,
      cause: task.cause,
      saved: task.checkpointSaved,
    });
  }
  releasePlacement(state, placement, now, 'reported');
};

/**
 * Guards against a machine whose reports arrive while our answers do not reach it. Its next report tells: a start in
 * an answer that was heard shows up in it, in whatever state; and no session ends while answers arrive.
 */
const trackReachability = (
  state: CoreState,
  machine: Machine,
  heartbeat: Heartbeat,
  now: Instant,
  effects: Effect[],
): void => {
  const { dispatchedStarts } = machine;
  machine.dispatchedStarts = null;
  const before = machine.unacknowledgedReplies;
  if (
    heartbeat.agentEpoch > machine.agentEpoch &&
    machine.acknowledgedEpoch === machine.agentEpoch &&
    machine.agentEpoch > 0
  )
    machine.unacknowledgedReplies += 1;
  else if (
    dispatchedStarts &&
    heartbeat.agentEpoch === machine.agentEpoch &&
    heartbeat.sequence > dispatchedStarts.seq
  ) {
    const shown = new Set<number>(heartbeat.tasks.map((t) => t.attempt));
    machine.unacknowledgedReplies = dispatchedStarts.attempts.some((attempt) => shown.has(attempt))
      ? 0
      : machine.unacknowledgedReplies + 1;
  }
  if (
    machine.unacknowledgedReplies > before &&
    machine.unacknowledgedReplies >= UNACKNOWLEDGED_LIMIT
  )
    machine.quarantinedUntil = addMillis(now, state.config.workerLeaseMs);
  else if (machine.unacknowledgedReplies === 0) machine.quarantinedUntil = 0 as Instant;
  const { unverifiedSince } = machine;
  const unproven =
    unverifiedSince !== null && now - unverifiedSince > 1.5 * state.config.workerLeaseMs;
  if (machine.isUnreachable || (machine.unacknowledgedReplies < UNHEARD_REPLACES && !unproven))
    return;
  let deaf = 0;
  for (const other of state.machines.values())
    if (other.isUnreachable || other.unacknowledgedReplies >= UNACKNOWLEDGED_LIMIT) deaf += 1;
  // When many seem deaf the fault is more likely our own slowness: replacing them would help nobody.
  if (deaf > Math.max(2, state.machines.size * DEAF_SHARE)) {
    machine.unacknowledgedReplies = Math.min(machine.unacknowledgedReplies, UNACKNOWLEDGED_LIMIT);
    return;
  }
  machine.isUnreachable = true;
  logEvent(effects, 'info', 'machine does not hear our answers, replacing it', {
    machine: machine.id,
  });
};

export const reconcileHeartbeat = (
  state: CoreState,
  heartbeat: Heartbeat,
  ticket: ReplyTicket | null,
  now: Instant,
  effects: Effect[],
): void => {
  const refuse = () => {
    if (ticket !== null) effects.push({ kind: 'reply-to-heartbeat', ticket, commands: null });
  };
  if (state.deletedMachines.has(heartbeat.machine)) return refuse();
  const known = state.machines.get(heartbeat.machine);
  if (
    known &&
    (heartbeat.agentEpoch < known.agentEpoch ||
      (heartbeat.agentEpoch === known.agentEpoch && heartbeat.sequence <= known.heartbeatSequence))
  ) {
    return refuse();
  }
  const machine = getOrCreateMachine(state, heartbeat.machine, heartbeat, now);
  if (ticket !== null) trackReachability(state, machine, heartbeat, now, effects);
  if (machine.pendingReply)
    effects.push({
      kind: 'reply-to-heartbeat',
      ticket: machine.pendingReply.ticket,
      commands: null,
    });
  machine.pendingReply = ticket === null ? null : { ticket, since: now };
  if (machine.pendingReply) state.machinesAwaitingReply.add(machine);
  else state.machinesAwaitingReply.delete(machine);
  const first = !machine.hasReported;
  if (first)
    logEvent(effects, 'debug', 'machine is up', {
      machine: machine.id,
      type: machine.type,
      zone: machine.zone,
    });
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.heartbeatSequence = heartbeat.sequence;
  machine.hasReported = true;
  if (ticket !== null) {
    if (hasMissedHeartbeats(state, machine, now)) state.isRoundDue = true;
    machine.lastHeartbeatAt = now;
  }
  if (
    machine.lostAt !== null &&
    !machine.isDeleting &&
    !(machine.isDraining && machine.placements.size === 0)
  ) {
    machine.lostAt = null;
    machine.lostReason = '';
  }
  // Replicas on it are to move.
  if (heartbeat.reclaimNoticeS !== null && machine.reclaimAt === null) state.isRoundDue = true;
  machine.reclaimAt =
    heartbeat.reclaimNoticeS === null ? null : addMillis(now, seconds(heartbeat.reclaimNoticeS));
  // Only a report that carries our term, on a session we answered, proves what is not on the machine:
  // a report sent before could be older than a start that a former leader's answer still brought.
  // Nor does a reply to direct orders, which may cross the answer to a check-in that is still under way.
  const proof =
    ticket !== null &&
    heartbeat.fencingToken === state.config.fencingToken &&
    machine.acknowledgedEpoch === heartbeat.agentEpoch;
  if (proof && !machine.isReady) {
    machine.isReady = true;
    state.isRoundDue = true;
  }
  if (proof) machine.unverifiedSince = null;
  else if (ticket !== null && !machine.isReady) machine.unverifiedSince ??= now;
  if (machine.acknowledgedEpoch !== heartbeat.agentEpoch) machine.isReady = false;
  // The first word of a machine rented under this term: nothing can be on its way to it, so the answer may start
  // tasks at once. What it takes for an absence to be proof stays the same.
  if (
    first &&
    machine.isProvisionedThisTerm &&
    heartbeat.agentEpoch === 1 &&
    heartbeat.tasks.length === 0
  ) {
    machine.isReady = true;
    state.isRoundDue = true;
  }
  const seen = new Set<number>();
  for (const task of heartbeat.tasks) {
    seen.add(task.attempt);
    const placement =
      machine.placements.get(task.attempt) ?? recoverReportedPlacement(state, machine, task, now);
    reconcileTask(state, placement, task, now, effects);
  }
  if (proof) {
    for (const placement of [...machine.placements.values()]) {
      if (seen.has(placement.entry.attempt) || placement.phase === 'persisting') continue;
      // On its way, unless it went out in a session that has ended: what that one held is gone, and answers to its
      // reports are dropped. Sent again, it would run under an attempt that may have run before.
      if (
        placement.phase === 'dispatched' &&
        !placement.stopRequest &&
        (placement.dispatchedEpoch === null || placement.dispatchedEpoch === heartbeat.agentEpoch)
      )
        continue;
      releasePlacement(state, placement, now);
      machine.placements.delete(placement.entry.attempt);
    }
  }
};
