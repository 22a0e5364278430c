/**
 * Wire format of workers' heartbeats and commands. `decodeHeartbeat`, `decodeTask` and
 * `encodeWorkerCommands` map the fields by literal names, since they run for every heartbeat.
 */
import * as v from 'valibot';
import type { EndCause, Heartbeat, TaskPhase, TaskStatus } from '../../core/model/heartbeat.js';
import type {
  AttemptId,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  TaskIndex,
  ZoneName,
} from '../../core/model/ids.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { count, keyLabel, label } from './schemas.js';

/** A heartbeat with more tasks than this is malformed. */
const MAX_TASKS = 20_000;

const taskSchema = v.object({
  Piece: v.pipe(v.string(), v.regex(/^job-\d{1,18}\/\d{1,9}$/)),
  Try: count,
  Status: v.string(),
  Cause: v.nullish(v.string(), null),
  Stored: v.nullish(v.boolean(), false),
});

const heartbeatSchema = v.object({
  Berth: keyLabel,
  Endpoint: label,
  Hull: label,
  Yard: label,
  Loaners: v.nullish(v.boolean(), false),
  Tenure: count,
  Tick: count,
  Baton: count,
  RecallS: v.nullish(v.pipe(v.number(), v.finite()), null),
  /** Validated by `decodeTask`, except for tasks equal to one in the machine's last heartbeat. */
  Pieces: v.nullish(v.pipe(v.array(v.unknown()), v.maxLength(MAX_TASKS)), []),
});

/** A heartbeat whose fields are validated, except for its tasks. */
export type WireHeartbeat = v.InferOutput<typeof heartbeatSchema>;

const PHASES: ReadonlyMap<string, TaskPhase> = new Map([
  ['pulling', 'fetching'],
  ['gathering', 'fetching'],
  ['running', 'running'],
  ['saving', 'checkpointing'],
  ['ended', 'ended'],
]);

const CAUSES: ReadonlyMap<string | null, EndCause> = new Map([
  ['done', 'done'],
  ['halted', 'stopped'],
  ['error', 'error'],
  ['no_room', 'no_room'],
  ['in_use', 'busy'],
  ['unknown', 'unknown'],
]);

/** Validates a heartbeat, except for its tasks; null if malformed. */
export const parseWireHeartbeat = (body: unknown): WireHeartbeat | null => {
  const result = v.safeParse(heartbeatSchema, body);
  return result.success ? result.output : null;
};

/** Converts a heartbeat to the core's type, with its decoded tasks. */
export const decodeHeartbeat = (wire: WireHeartbeat, tasks: readonly TaskStatus[]): Heartbeat => ({
  machine: wire.Berth as MachineId,
  endpoint: wire.Endpoint,
  type: wire.Hull as MachineTypeName,
  zone: wire.Yard as ZoneName,
  spot: wire.Loaners ?? false,
  agentEpoch: wire.Tenure,
  sequence: wire.Tick,
  fencingToken: wire.Baton as FencingToken,
  reclaimNoticeS: wire.RecallS ?? null,
  tasks,
});

/** Decodes a task of a heartbeat; null if malformed. */
export const decodeTask = (raw: unknown): TaskStatus | null => {
  const result = v.safeParse(taskSchema, raw);
  if (!result.success) return null;
  const { Piece, Try, Status, Cause, Stored } = result.output;
  const slash = Piece.indexOf('/');
  // Statuses unknown to this version are taken as running: the task may occupy the machine.
  const phase = PHASES.get(Status) ?? 'running';
  return {
    job: Piece.slice(0, slash) as JobId,
    index: Number(Piece.slice(slash + 1)) as TaskIndex,
    attempt: Try as AttemptId,
    phase,
    cause: phase === 'ended' ? (CAUSES.get(Cause) ?? 'other') : null,
    checkpointSaved: Stored ?? false,
  };
};

/** The fields of a wire task that change while it is on its machine. */
export interface WireTaskState {
  readonly Status: unknown;
  readonly Cause: unknown;
  readonly Stored: unknown;
}

/** The state of a wire task that `decodeTask` accepts; its fields are primitive values. */
export const wireTaskState = ({
  Status,
  Cause,
  Stored,
}: Record<string, unknown>): WireTaskState => ({ Status, Cause, Stored });

/** Whether a wire task is in this state. */
export const isSameTaskState = (raw: Record<string, unknown>, state: WireTaskState): boolean =>
  raw.Status === state.Status && raw.Cause === state.Cause && raw.Stored === state.Stored;

const SLASH = '/'.charCodeAt(0);
const DIGIT_0 = '0'.charCodeAt(0);
const MAX_INDEX_DIGITS = 9;

/** Whether a wire task's `Piece` decodes to this job and index; allocates nothing. */
export const isSamePiece = (piece: unknown, job: JobId, index: number): boolean => {
  if (typeof piece !== 'string' || !piece.startsWith(job)) return false;
  if (piece.charCodeAt(job.length) !== SLASH) return false;
  const firstDigit = job.length + 1;
  const digits = piece.length - firstDigit;
  if (digits < 1 || digits > MAX_INDEX_DIGITS) return false;
  let value = 0;
  for (let i = firstDigit; i < piece.length; i += 1) {
    const digit = piece.charCodeAt(i) - DIGIT_0;
    if (digit < 0 || digit > 9) return false;
    value = value * 10 + digit;
  }
  return value === index;
};

/** Encodes commands for a worker, in order. */
export const encodeWorkerCommands = (commands: readonly WorkerCommand[]) =>
  commands.map((command) => ({
    Verb: command.op,
    Piece: `${command.job}/${command.index}`,
    Try: command.attempt,
    ...(command.op === 'kill' ? { WindDownS: command.graceS } : {}),
  }));

/** Encodes commands that are sent to a worker outside its heartbeats. */
export const encodeDirectCommands = (
  fencingToken: FencingToken,
  agentEpoch: number,
  commands: readonly WorkerCommand[],
) => ({ Baton: fencingToken, Tenure: agentEpoch, Orders: encodeWorkerCommands(commands) });
