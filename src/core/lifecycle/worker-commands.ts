/**
 * Commands to workers: those in heartbeat replies, and kills sent straight to the worker because
 * they must not wait for its next heartbeat.
 */

import type { CoreState } from '../core-state.js';
import type { AttemptPhase } from '../model/attempt.js';
import type { Effect } from '../model/effect.js';
import type { Machine, Placement } from '../model/entities.js';
import type { Instant } from '../model/time.js';
import type {
  KillCommand,
  ReapCommand,
  StartCommand,
  WorkerCommand,
} from '../model/worker-command.js';

type StopRequest = NonNullable<Placement['stopRequest']>;

/** Limit of commands per message, so that a worker can process all of them. */
const MAX_COMMANDS = 300;
/** Interval at which a direct kill is repeated. */
const KILL_RESEND_MS = 2000;

/** Whether the attempt's progress is stored, so that its worker may drop the result. */
const canReap = (state: CoreState, { job, requiredProgress }: Placement): boolean => {
  if (!requiredProgress || !job) return true;
  if (!state.jobs.has(job.spec.id)) return true;
  const chunk = job.chunks.get(requiredProgress.chunk);
  return chunk !== undefined && chunk.storedVersion >= requiredProgress.version;
};

/**
 * Whether an attempt that is to stop belongs to a job that has ended or that its user asked to
 * cancel. Its kill is the one command that needs no valid leader lease: the next leader reads the
 * job as ended too, or is asked to cancel it again. Keep-alive replies carry it, so that no
 * worker is kept alive with such a task.
 */
export const belongsToEndedJob = ({ job, stopRequest }: Placement): boolean =>
  stopRequest !== null && (job === null || job.terminalState !== 'none');

const killCommand = (placement: Placement, graceS: number, now: Instant): KillCommand => {
  const { job, index, attempt } = placement.entry;
  if (placement.stopRequest) placement.stopRequest.sentAt = now;
  return { op: 'kill', job, index, attempt, graceS };
};

/** The kills of ended jobs' attempts, which need no valid leader lease. */
export const killCommandsOfEndedJobs = (machine: Machine, now: Instant): KillCommand[] => {
  const commands: KillCommand[] = [];
  for (const placement of machine.placements.values()) {
    if (commands.length >= MAX_COMMANDS) break;
    if (placement.phase === 'ended' || !belongsToEndedJob(placement)) continue;
    commands.push(killCommand(placement, 0, now));
  }
  return commands;
};

const reapCommand = (state: CoreState, placement: Placement): ReapCommand | null => {
  if (!canReap(state, placement)) return null;
  const { job, index, attempt } = placement.entry;
  return { op: 'reap', job, index, attempt };
};

/** Returns null while the worker cannot have the task yet, or while it writes a checkpoint. */
const stopCommand = (placement: Placement, graceS: number, now: Instant): KillCommand | null => {
  const { phase } = placement;
  if (phase === 'persisting' || phase === 'dispatched') return null;
  if (phase === 'checkpointing' && graceS > 0) return null;
  return killCommand(placement, graceS, now);
};

/**
 * A start is repeated in every reply until the worker reports the attempt, but not in a later
 * agent epoch: the attempt may have run in the earlier one, whose tasks are lost.
 */
const startCommand = (machine: Machine, placement: Placement): StartCommand | null => {
  if (placement.phase !== 'dispatched') return null;
  if (!machine.isReady || machine.isUnreachable || machine.isDeleting) return null;
  const { dispatchedEpoch } = placement;
  if (dispatchedEpoch !== null && dispatchedEpoch !== machine.agentEpoch) return null;
  placement.dispatchedEpoch = machine.agentEpoch;
  const { job, index, attempt } = placement.entry;
  return { op: 'start', job, index, attempt };
};

const commandForAttempt = (
  state: CoreState,
  machine: Machine,
  placement: Placement,
  now: Instant,
): WorkerCommand | null => {
  if (placement.phase === 'ended') return reapCommand(state, placement);
  if (placement.stopRequest) return stopCommand(placement, placement.stopRequest.graceS, now);
  return startCommand(machine, placement);
};

/** The commands for the reply to a heartbeat. Marks their starts and kills as sent. */
export const commandsForReply = (
  state: CoreState,
  machine: Machine,
  now: Instant,
): WorkerCommand[] => {
  const commands: WorkerCommand[] = [];
  for (const placement of machine.placements.values()) {
    if (commands.length >= MAX_COMMANDS) break;
    const command = commandForAttempt(state, machine, placement, now);
    if (command) commands.push(command);
  }
  return commands;
};

const acceptAnyAttempt = (): boolean => true;

const isDirectKillDue = (phase: AttemptPhase, { sentAt }: StopRequest, now: Instant): boolean =>
  phase !== 'persisting' &&
  phase !== 'ended' &&
  (sentAt === null || now - sentAt >= KILL_RESEND_MS);

/**
 * Sends due kills straight to the worker. `isEligible` selects the attempts that the leader may
 * kill now.
 */
export const dispatchKills = (
  machine: Machine,
  now: Instant,
  effects: Effect[],
  isEligible: (placement: Placement) => boolean = acceptAnyAttempt,
): void => {
  if (!machine.endpoint || machine.agentEpoch === 0) return;
  const commands: KillCommand[] = [];
  for (const placement of machine.placements.values()) {
    if (commands.length >= MAX_COMMANDS) break;
    const { stopRequest } = placement;
    if (!stopRequest || !isDirectKillDue(placement.phase, stopRequest, now)) continue;
    if (isEligible(placement)) commands.push(killCommand(placement, stopRequest.graceS, now));
  }
  if (commands.length === 0) return;
  const { id, endpoint, agentEpoch } = machine;
  effects.push({ kind: 'send-commands', machine: id, endpoint, agentEpoch, commands });
};
