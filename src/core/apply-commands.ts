/**
 * Entry point of the core, which turns commands into effects without I/O, clock or randomness.
 *
 * A step applies the commands. A leader then manages the fleet, runs a scheduling round and builds
 * the next batch to store. Last, the step replies to heartbeats.
 */

import type { CoreState } from './core-state.js';
import { manageFleet } from './fleet/fleet-management.js';
import {
  handleDeletionResult,
  reconcileMachineList,
  updateMachineTypes,
} from './fleet/inventory.js';
import { recoverMachineLosses } from './fleet/machine-losses.js';
import { handleProvisionResult } from './fleet/provision-requests.js';
import { buildNextBatch } from './ledger/batch-builder.js';
import { handleBatchStored } from './ledger/batch-result.js';
import { recoverAttempts, recoverProgress } from './ledger/recovery.js';
import { markSegmentIfObsolete } from './ledger/segments.js';
import { reconcileHeartbeat } from './lifecycle/heartbeat-reconciliation.js';
import { replyToHeartbeats } from './lifecycle/heartbeat-replies.js';
import { cancelJob } from './lifecycle/job-cancellation.js';
import { completeJobIfAllDone } from './lifecycle/job-completion.js';
import { addJob } from './lifecycle/jobs.js';
import { belongsToEndedJob, dispatchKills } from './lifecycle/worker-commands.js';
import { allWorkerLeasesExpireAt } from './lifecycle/worker-leases.js';
import { logEvent } from './log-event.js';
import type { Command } from './model/command.js';
import type { Authority, Effect } from './model/effect.js';
import type { Placement } from './model/entities.js';
import { addMillis, type Instant, type Millis } from './model/time.js';
import { placeCriticalReplicasOnly, runSchedulingRound } from './scheduling/backfill.js';

const TICK_MS = 500;
/** Interval of rounds without an event: some scores change with time alone. */
const ROUND_EVERY_MS = 2000;
/** A round may place 100,000 tasks, of which a log event names the first. */
const MAX_LOGGED_PLACEMENTS = 100;
/** Delay from recovery to the first round, in nominal heartbeat intervals; covers the longest. */
const REPORT_WAIT_INTERVALS = 1.3;

/**
 * Ends recovery. Scheduling waits until workers have reported: otherwise, when a cluster first
 * starts, the earliest jobs, not the highest-ranking ones, would take the few machines that are up.
 */
const completeRecovery = (state: CoreState, now: Instant): void => {
  state.isRecovered = true;
  const waitMs = (state.config.heartbeatIntervalMs * REPORT_WAIT_INTERVALS) as Millis;
  state.schedulingStartsAt =
    state.unreadableSegments.size > 0 ? allWorkerLeasesExpireAt(state) : addMillis(now, waitMs);
  for (const segment of [...state.segments.values()]) markSegmentIfObsolete(state, segment);
  for (const job of state.jobs.values()) completeJobIfAllDone(state, job);
};

const applyCommand = (
  state: CoreState,
  command: Command,
  now: Instant,
  effects: Effect[],
): void => {
  switch (command.kind) {
    case 'job':
      return addJob(state, command.spec, command.submittedAt);
    case 'recovered-machine-losses':
      return recoverMachineLosses(state, command, now);
    case 'recovered-progress':
      return recoverProgress(state, command);
    case 'recovered-attempts':
      return recoverAttempts(state, command, now);
    case 'unreadable-segment':
      state.unreadableSegments.add(command.segment);
      return;
    case 'recovery-completed':
      return completeRecovery(state, now);
    case 'cancel-job':
      return cancelJob(state, command.job, command.ticket, now, effects);
    case 'heartbeat':
      return reconcileHeartbeat(state, command.heartbeat, command.ticket, now, effects);
    case 'batch-stored':
      return handleBatchStored(state, command, now, effects);
    case 'machine-types':
      return updateMachineTypes(state, command.types);
    case 'machines-listed':
      return reconcileMachineList(state, command, now);
    case 'provision-result':
      return handleProvisionResult(state, command, now);
    case 'deletion-result':
      return handleDeletionResult(state, command, now);
    case 'extension-records':
      return state.extensions?.load(command.extension, command.records);
    case 'operator-call':
      return state.extensions?.call(command.extension, command.call, command.ticket);
    case 'tick':
      return;
    default:
      command satisfies never;
  }
};

const isTickDue = (state: CoreState, now: Instant): boolean => now - state.lastTickAt >= TICK_MS;

const runFleetTick = (state: CoreState, now: Instant, effects: Effect[]): void => {
  state.lastTickAt = now;
  effects.push(...manageFleet(state, now));
  for (const machine of state.machines.values()) dispatchKills(machine, now, effects);
};

/** Sends only the kills that need no valid lease; see `belongsToEndedJob`. */
const runKeepAliveTick = (state: CoreState, now: Instant, effects: Effect[]): void => {
  state.lastTickAt = now;
  for (const machine of state.machines.values())
    dispatchKills(machine, now, effects, belongsToEndedJob);
};

const logPlacements = (
  state: CoreState,
  placements: readonly Placement[],
  effects: Effect[],
): void => {
  if (placements.length === 0) return;
  logEvent(effects, 'debug', 'tasks placed', {
    queueHead: state.queueHead,
    taskCount: placements.length,
    tasks: placements
      .slice(0, MAX_LOGGED_PLACEMENTS)
      .map(({ entry, machine }) => `${entry.job}/${entry.index}@${machine.id}`),
  });
};

/** Marks unreadable segments for deletion: their attempts have ended or been reported by now. */
const discardUnreadableSegments = (state: CoreState): void => {
  for (const key of state.unreadableSegments) state.obsoleteSegments.add(key);
  state.unreadableSegments.clear();
};

/** Runs a round if one is due; before `schedulingStartsAt`, places only critical replicas. */
const runScheduling = (state: CoreState, now: Instant, effects: Effect[]): void => {
  if (now < state.schedulingStartsAt) {
    // Attempts of an unreadable segment may be on any machine: a replica could run twice.
    if (state.unreadableSegments.size === 0)
      logPlacements(state, placeCriticalReplicasOnly(state, now).placed, effects);
    return;
  }
  if (!state.isRoundDue && now - state.lastRoundAt < ROUND_EVERY_MS) return;
  state.isRoundDue = false;
  state.lastRoundAt = now;
  discardUnreadableSegments(state);
  logPlacements(state, runSchedulingRound(state, now).placed, effects);
};

/** The phases of a step that only a recovered leader with a valid lease runs. */
const runLeaderPhases = (state: CoreState, now: Instant, effects: Effect[]): void => {
  const isTick = isTickDue(state, now);
  state.extensions?.decide(isTick);
  if (isTick) runFleetTick(state, now, effects);
  runScheduling(state, now, effects);
  buildNextBatch(state, now, effects);
};

/**
 * Runs one step of the core and returns the effects to carry out, in order.
 * `authority` limits the step: without a valid lease nothing is placed or stored.
 */
export const applyCommands = (
  state: CoreState,
  commands: readonly Command[],
  now: Instant,
  authority: Authority,
): Effect[] => {
  const effects: Effect[] = [];
  state.extensions?.beginStep(now);
  for (const command of commands) applyCommand(state, command, now, effects);
  if (authority === 'lead' && state.isRecovered) runLeaderPhases(state, now, effects);
  else if (authority === 'keep-alive' && isTickDue(state, now))
    runKeepAliveTick(state, now, effects);
  replyToHeartbeats(state, now, authority, effects);
  if (state.extensions) effects.push(...state.extensions.takeEffects());
  return effects;
};
