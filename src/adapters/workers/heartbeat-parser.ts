/** Reads what workers report of themselves and of their tasks. */
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
import { count, keyLabel, label } from '../wire.js';

const MAX_TASKS = 20_000;

const taskSchema = v.object({
  Piece: v.pipe(v.string(), v.regex(/^job-\d{1,18}\/\d{1,9}$/)),
  Try: count,
  Status: v.string(),
  Cause: v.nullish(v.string(), null),
  Stored: v.nullish(v.boolean(), false),
});

const reportSchema = v.object({
  Berth: keyLabel,
  Endpoint: label,
  Hull: label,
  Yard: label,
  Loaners: v.nullish(v.boolean(), false),
  Tenure: count,
  Tick: count,
  Baton: count,
  RecallS: v.nullish(v.pipe(v.number(), v.finite()), null),
  /** Each is checked by `taskSchema`, unless it is the same as in the machine's last report. */
  Pieces: v.nullish(v.pipe(v.array(v.unknown()), v.maxLength(MAX_TASKS)), []),
});

const PHASES: Record<string, TaskPhase> = {
  pulling: 'fetching',
  gathering: 'fetching',
  running: 'running',
  saving: 'checkpointing',
  ended: 'ended',
};

const CAUSES: Record<string, EndCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  no_room: 'no_room',
  in_use: 'busy',
  unknown: 'unknown',
};

const parseTask = (raw: unknown): TaskStatus | null => {
  const result = v.safeParse(taskSchema, raw);
  if (!result.success) return null;
  const { Piece, Try, Status, Cause, Stored } = result.output;
  const slash = Piece.indexOf('/');
  // A state this version does not know is taken as running: it may hold the machine.
  const phase = Object.hasOwn(PHASES, Status) ? PHASES[Status]! : 'running';
  const cause = Cause !== null && Object.hasOwn(CAUSES, Cause) ? CAUSES[Cause]! : 'other';
  return {
    job: Piece.slice(0, slash) as JobId,
    index: Number(Piece.slice(slash + 1)) as TaskIndex,
    attempt: Try as AttemptId,
    phase,
    cause: phase === 'ended' ? cause : null,
    checkpointSaved: Stored ?? false,
  };
};

/** One entry of a report as it came, and what was read from it. */
interface ReadTask {
  readonly raw: Record<string, unknown>;
  readonly task: TaskStatus;
}

/** Whether an entry says the same as one that has passed the checks: all that they look at are plain values. */
const sameTask = (raw: unknown, known: Record<string, unknown>): boolean => {
  if (typeof raw !== 'object' || raw === null) return false;
  const entry = raw as Record<string, unknown>;
  return (
    entry.Piece === known.Piece &&
    entry.Try === known.Try &&
    entry.Status === known.Status &&
    entry.Cause === known.Cause &&
    entry.Stored === known.Stored
  );
};

/**
 * Last reports are kept for the whole fleet, however large: a machine is forgotten once the others have sent this many
 * reports each without it. Small fleets forget no sooner than after the second number of reports.
 */
const REPORTS_EACH = 8;
const LEAST_REPORTS = 1024;
/** After this many new entries in one report the last one is not searched any more: it would cost more than it saves. */
const MAX_NEW = 64;

/** Reads reports one after the other, and checks of each only what its machine's last one did not say already. */
export class HeartbeatParser {
  /** Last reports of the machines heard in this round, and in the one before. */
  private current = new Map<string, readonly ReadTask[]>();
  private previous = new Map<string, readonly ReadTask[]>();
  /** Reports read in this round. */
  private reports = 0;

  /** Entries that had to be checked in full; the others were known from the report before. */
  checked = 0;

  /** The report, or null when it is malformed. */
  parse(body: unknown): Heartbeat | null {
    const result = v.safeParse(reportSchema, body);
    if (!result.success) return null;
    const b = result.output;
    const last = this.current.get(b.Berth) ?? this.previous.get(b.Berth) ?? [];
    const read = this.readTasks(b.Pieces ?? [], last);
    if (!read) return null;
    this.remember(b.Berth, read);
    return {
      machine: b.Berth as MachineId,
      endpoint: b.Endpoint,
      type: b.Hull as MachineTypeName,
      zone: b.Yard as ZoneName,
      spot: b.Loaners ?? false,
      agentEpoch: b.Tenure,
      sequence: b.Tick,
      fencingToken: b.Baton as FencingToken,
      reclaimNoticeS: b.RecallS ?? null,
      tasks: read.map(({ task }) => task),
    };
  }

  /**
   * The tasks of a report, or null when one is malformed. Workers list their tasks in a steady order, new ones last, so that
   * one walk along the last report finds all that are unchanged.
   */
  private readTasks(entries: readonly unknown[], last: readonly ReadTask[]): ReadTask[] | null {
    const tasks: ReadTask[] = [];
    let next = 0;
    let fresh = 0;
    for (const raw of entries) {
      let at = fresh < MAX_NEW ? next : last.length;
      while (at < last.length && !sameTask(raw, last[at]!.raw)) at += 1;
      const known = last[at];
      if (known) {
        tasks.push(known);
        next = at + 1;
        continue;
      }
      fresh += 1;
      this.checked += 1;
      const task = parseTask(raw);
      if (!task) return null;
      tasks.push({ raw: raw as Record<string, unknown>, task });
    }
    return tasks;
  }

  private remember(machine: string, tasks: readonly ReadTask[]): void {
    this.current.set(machine, tasks);
    this.reports += 1;
    if (this.reports < Math.max(LEAST_REPORTS, this.current.size * REPORTS_EACH)) return;
    this.previous = this.current;
    this.current = new Map();
    this.reports = 0;
  }

  /** How many machines' last reports are kept. */
  get remembered(): number {
    let count = this.current.size;
    for (const machine of this.previous.keys()) if (!this.current.has(machine)) count += 1;
    return count;
  }
}

/** A single report, as a worker sends it in answer to direct commands. */
export const parseHeartbeat = (body: unknown): Heartbeat | null =>
  new HeartbeatParser().parse(body);
