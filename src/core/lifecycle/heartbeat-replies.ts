/** Replies to heartbeats: when each is sent, and with which commands. */

import type { CoreState } from '../core-state.js';
import { isSchedulable } from '../fleet/machine-health.js';
import type { Authority, Effect } from '../model/effect.js';
import type { Machine, Placement } from '../model/entities.js';
import type { AttemptId, ReplyTicket } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import { isLiveReplica } from '../scheduling/services.js';
import { commandsForReply, killCommandsOfEndedJobs } from './worker-commands.js';

/** Longest delay of a reply until the ledger entries of its starts are stored. */
const MAX_LEDGER_WAIT_MS = 900;
/**
 * The reply to an idle worker is delayed until there is a task to start, by at most this share of
 * the heartbeat interval and `MAX_IDLE_REPLY_DELAY_MS`: a start decided later would wait for the
 * next heartbeat. Busy workers get replies at once, as their heartbeats carry results.
 */
const IDLE_REPLY_DELAY_SHARE = 0.6;
const MAX_IDLE_REPLY_DELAY_MS = 2900;

const awaitsLedgerEntry = ({ placements }: Machine, waitedMs: number): boolean => {
  if (waitedMs >= MAX_LEDGER_WAIT_MS) return false;
  for (const placement of placements.values()) if (placement.phase === 'persisting') return true;
  return false;
};

/** A running replica that is not to stop: its machine has as little to report as an idle one. */
const isSteadyReplica = (placement: Placement): boolean =>
  isLiveReplica(placement) && placement.phase === 'running' && !placement.stopRequest;

/** Whether the machine counts as idle: no task is expected to end, so its heartbeat can wait. */
const isIdle = ({ placements, isReservedForServices }: Machine): boolean => {
  if (placements.size === 0) return true;
  if (!isReservedForServices) return false;
  for (const placement of placements.values()) if (!isSteadyReplica(placement)) return false;
  return true;
};

const attemptsOfStartCommands = (commands: readonly WorkerCommand[]): AttemptId[] => {
  const attempts: AttemptId[] = [];
  for (const command of commands) if (command.op === 'start') attempts.push(command.attempt);
  return attempts;
};

/** Replies with commands; from then on the machine's agent epoch counts as acknowledged. */
const sendReply = (
  machine: Machine,
  ticket: ReplyTicket,
  commands: readonly WorkerCommand[],
  effects: Effect[],
): void => {
  machine.acknowledgedEpoch = machine.agentEpoch;
  const attempts = attemptsOfStartCommands(commands);
  if (attempts.length > 0) {
    const { heartbeatSequence } = machine;
    machine.dispatchedStarts = { heartbeatSequence, attempts };
  }
  effects.push({ kind: 'reply-to-heartbeat', ticket, commands });
};

const replyWithAuthority = (
  state: CoreState,
  machine: Machine,
  ticket: ReplyTicket,
  authority: Authority,
  now: Instant,
  effects: Effect[],
): void => {
  switch (authority) {
    case 'lead':
      return sendReply(machine, ticket, commandsForReply(state, machine, now), effects);
    case 'keep-alive':
      return sendReply(machine, ticket, killCommandsOfEndedJobs(machine, now), effects);
    case 'none':
      effects.push({ kind: 'reply-to-heartbeat', ticket, commands: null });
  }
};

/**
 * Replies to pending heartbeats as the leader's authority permits: `lead` sends all commands,
 * `keep-alive` only the kills of ended jobs' tasks, and `none` rejects the heartbeats.
 */
export const replyToHeartbeats = (
  state: CoreState,
  now: Instant,
  authority: Authority,
  effects: Effect[],
): void => {
  const idleReplyDelayMs = Math.min(
    MAX_IDLE_REPLY_DELAY_MS,
    state.config.heartbeatIntervalMs * IDLE_REPLY_DELAY_SHARE,
  );
  for (const machine of state.machinesAwaitingReply) {
    const { pendingReply } = machine;
    if (!pendingReply) {
      state.machinesAwaitingReply.delete(machine);
      continue;
    }
    if (authority === 'lead') {
      const waitedMs = now - pendingReply.since;
      if (awaitsLedgerEntry(machine, waitedMs)) continue;
      const mayBeDelayed = waitedMs < idleReplyDelayMs && isIdle(machine);
      if (mayBeDelayed && isSchedulable(state, machine, now)) continue;
    }
    state.machinesAwaitingReply.delete(machine);
    machine.pendingReply = null;
    replyWithAuthority(state, machine, pendingReply.ticket, authority, now, effects);
  }
};
