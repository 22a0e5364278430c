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

const canReap = (state: CoreState, placement: Placement): boolean => {
  if (!placement.requiredProgress || !placement.job) return true;
  if (!state.jobs.has(placement.job.spec.id)) return true;
  const chunk = placement.job.chunks.get(placement.requiredProgress.chunk);
  return chunk !== undefined && chunk.storedVersion >= placement.requiredProgress.version;
};

/**
 * An attempt of a job that is over, or that its user has asked to cancel. That stays true without a lease: whoever leads next
 * knows the job as over too, or will be asked again. So its kill is the one order that needs no valid lease, and no
 * worker is kept alive with such a task.
 */
export const belongsToEndedJob = (placement: Placement): boolean =>
  placement.stopRequest !== null &&
  (placement.job === null || placement.job.terminalState !== 'none');

/** What a leader without a valid lease may still order. */
const killCommandsOfEndedJobs = (machine: Machine, now: Instant): WorkerCommand[] => {
  const commands: WorkerCommand[] = [];
  for (const placement of machine.placements.values()) {
    if (commands.length >= MAX_ORDERS) break;
    if (placement.phase === 'ended' || !belongsToEndedJob(placement)) continue;
    const { job, index, attempt } = placement.entry;
    commands.push({ op: 'kill', job, index, attempt, graceS: 0 });
    if (placement.stopRequest) placement.stopRequest.sentAt = now;
  }
  return commands;
};

const commandsFor = (state: CoreState, machine: Machine, now: Instant): WorkerCommand[] => {
  const commands: WorkerCommand[] = [];
  for (const placement of machine.placements.values()) {
    if (commands.length >= MAX_ORDERS) break;
    const { job, index, attempt } = placement.entry;
    if (placement.phase === 'ended') {
      if (canReap(state, placement)) commands.push({ op: 'reap', job, index, attempt });
    } else if (placement.stopRequest) {
      if (placement.phase === 'persisting' || placement.phase === 'dispatched') continue;
      if (placement.phase === 'checkpointing' && placement.stopRequest.graceS > 0) continue;
      commands.push({ op: 'kill', job, index, attempt, graceS: placement.stopRequest.graceS });
      placement.stopRequest.sentAt = now;
    } else if (
      placement.phase === 'dispatched' &&
      machine.isReady &&
      !machine.isUnreachable &&
      !machine.isDeleting
    ) {
      if (placement.dispatchedEpoch !== null && placement.dispatchedEpoch !== machine.agentEpoch)
        continue;
      placement.dispatchedEpoch = machine.agentEpoch;
      commands.push({ op: 'start', job, index, attempt });
    }
  }
  return commands;
};

/** Kills go straight to the worker, since its next check-in may be a while away. */
export const dispatchKills = (
  machine: Machine,
  effects: Effect[],
  now: Instant,
  which: (placement: Placement) => boolean = () => true,
): void => {
  if (!machine.endpoint || machine.agentEpoch === 0) return;
  const commands: WorkerCommand[] = [];
  for (const placement of machine.placements.values()) {
    if (
      !placement.stopRequest ||
      placement.phase === 'persisting' ||
      placement.phase === 'ended' ||
      commands.length >= MAX_ORDERS
    )
      continue;
    if (
      !which(placement) ||
      (placement.stopRequest.sentAt !== null && now - placement.stopRequest.sentAt < KILL_RESEND_MS)
    )
      continue;
    const { job, index, attempt } = placement.entry;
    commands.push({ op: 'kill', job, index, attempt, graceS: placement.stopRequest.graceS });
    placement.stopRequest.sentAt = now;
  }
  if (commands.length === 0) return;
  effects.push({
    kind: 'send-commands',
    machine: machine.id,
    endpoint: machine.endpoint,
    agentEpoch: machine.agentEpoch,
    commands,
  });
};

/** A replica that runs and is to go on: its machine has as little to say as an idle one. */
const isSteadyReplica = (placement: Placement): boolean =>
  isReplica(placement) && placement.phase === 'running' && !placement.stopRequest;

export const replyToHeartbeats = (
  state: CoreState,
  now: Instant,
  authority: Authority,
  effects: Effect[],
): void => {
  const idleHoldMs = Math.min(IDLE_HOLD_MAX_MS, state.config.heartbeatIntervalMs * IDLE_HOLD_SHARE);
  for (const machine of state.machinesAwaitingReply) {
    if (!machine.pendingReply) {
      state.machinesAwaitingReply.delete(machine);
      continue;
    }
    const { ticket, since } = machine.pendingReply;
    if (authority === 'lead' && now - since < ANSWER_WAIT_MS) {
      let waits = false;
      for (const placement of machine.placements.values())
        waits ||= placement.phase === 'persisting';
      if (waits) continue;
    }
    const nothingEnds =
      machine.placements.size === 0 ||
      (machine.isReservedForServices && [...machine.placements.values()].every(isSteadyReplica));
    if (
      authority === 'lead' &&
      nothingEnds &&
      isSchedulable(state, machine, now) &&
      now - since < idleHoldMs
    )
      continue;
    machine.pendingReply = null;
    state.machinesAwaitingReply.delete(machine);
    if (authority === 'none') {
      effects.push({ kind: 'reply-to-heartbeat', ticket, commands: null });
      continue;
    }
    machine.acknowledgedEpoch = machine.agentEpoch;
    const commands =
      authority === 'lead'
        ? commandsFor(state, machine, now)
        : killCommandsOfEndedJobs(machine, now);
    const attempts = commands.filter((command) => command.op === 'start').map((o) => o.attempt);
    if (attempts.length > 0)
      machine.dispatchedStarts = { seq: machine.heartbeatSequence, attempts };
    effects.push({ kind: 'reply-to-heartbeat', ticket, commands });
  }
};
