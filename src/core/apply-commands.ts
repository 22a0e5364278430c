/** The core's one entry: commands in, effects out. No input or output, no clock, no randomness. */

import type { CoreState } from './core-state.js';
import { manageFleet } from './fleet/fleet-management.js';
import {
  handleDeletionResult,
  reconcileMachineList,
  updateMachineTypes,
} from './fleet/inventory.js';
import { handleProvisionResult } from './fleet/provision-requests.js';
import { buildNextBatch } from './ledger/batch-builder.js';
import { handleBatchStored } from './ledger/batch-result.js';
import { recoverAttempts, recoverProgress } from './ledger/recovery.js';
import { markSegmentIfObsolete } from './ledger/segments.js';
import { reconcileHeartbeat } from './lifecycle/heartbeat-reconciliation.js';
import { addJob, cancelJob } from './lifecycle/jobs.js';
import {
  belongsToEndedJob,
  dispatchKills,
  replyToHeartbeats,
} from './lifecycle/worker-commands.js';
import { allWorkerLeasesExpireAt } from './lifecycle/worker-leases.js';
import { logEvent } from './log-event.js';
import type { Command } from './model/command.js';
import type { Authority, Effect } from './model/effect.js';
import { addMillis, type Instant, type Millis } from './model/time.js';
import { placeWaitingReplicas, type Round, runSchedulingRound } from './scheduling/backfill.js';

const TICK_MS = 500;
/** Rounds without an event, so that scores that change with time alone take effect. */
const ROUND_EVERY_MS = 2000;

const apply = (state: CoreState, command: Command, now: Instant, effects: Effect[]): void => {
  switch (command.kind) {
    case 'job':
      return addJob(state, command.spec, command.submittedAt);
    case 'recovered-progress':
      return recoverProgress(state, command);
    case 'recovered-attempts':
      return recoverAttempts(state, command, now);
    case 'unreadable-segment':
      state.unreadableSegments.add(command.segment);
      return;
    case 'recovery-completed':
      state.isRecovered = true;
      // One report period, at its longest, lets the workers speak first. (Without it at a first start, whichever
      // jobs arrive first take the few machines that are up, not those that rank best.)
      state.schedulingStartsAt = addMillis(now, (state.config.heartbeatIntervalMs * 1.3) as Millis);
      if (state.unreadableSegments.size > 0)
        state.schedulingStartsAt = allWorkerLeasesExpireAt(state);
      for (const segment of [...state.segments.values()]) markSegmentIfObsolete(state, segment);
      for (const job of state.jobs.values()) {
        if (job.doneCount >= job.spec.tasks && job.terminalState === 'none') {
          job.terminalState = 'done';
          state.unsavedCompletions.add(job);
        }
      }
      return;
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
      state.extensions?.load(command.extension, command.records);
      return;
    case 'operator-call':
      state.extensions?.call(command.extension, command.call, command.ticket);
      return;
    case 'tick':
      return;
  }
};

const logPlaced = (state: CoreState, { placed }: Round, effects: Effect[]): void => {
  if (placed.length === 0) return;
  logEvent(effects, 'debug', 'placed', {
    head: state.queueHead,
    tasks: placed.map(
      (placement) => `${placement.entry.job}/${placement.entry.index}@${placement.machine.id}`,
    ),
  });
};

export const applyCommands = (
  state: CoreState,
  commands: readonly Command[],
  now: Instant,
  authority: Authority,
): Effect[] => {
  const effects: Effect[] = [];
  state.extensions?.beginStep(now);
  for (const command of commands) apply(state, command, now, effects);
  if (authority === 'lead' && state.isRecovered) {
    const tickDue = now - state.lastTickAt >= TICK_MS;
    state.extensions?.decide(tickDue);
    if (tickDue) {
      state.lastTickAt = now;
      effects.push(...manageFleet(state, now));
      for (const machine of state.machines.values()) dispatchKills(machine, effects, now);
    }
    const due = state.isRoundDue || now - state.lastRoundAt >= ROUND_EVERY_MS;
    if (due && now >= state.schedulingStartsAt) {
      state.isRoundDue = false;
      state.lastRoundAt = now;
      // Whatever an unreadable record spoke of has ended by now, or its machine has reported it.
      for (const key of state.unreadableSegments) state.obsoleteSegments.add(key);
      state.unreadableSegments.clear();
      logPlaced(state, runSchedulingRound(state, now), effects);
    } else if (now < state.schedulingStartsAt && state.unreadableSegments.size === 0) {
      logPlaced(state, placeWaitingReplicas(state, now), effects);
    }
    buildNextBatch(state, now, effects);
  }
  if (authority === 'keep-alive' && now - state.lastTickAt >= TICK_MS) {
    state.lastTickAt = now;
    for (const machine of state.machines.values())
      dispatchKills(machine, effects, now, belongsToEndedJob);
  }
  replyToHeartbeats(state, now, authority, effects);
  if (state.extensions) effects.push(...state.extensions.takeEffects());
  return effects;
};
