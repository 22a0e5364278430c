/**
 * The tasks of a machine's last heartbeat in a compact form: three numbers for each task and each
 * job's id once. A leader keeps one for each machine, so their size bounds how many attempts it can
 * track.
 */
import type { TaskStatus } from '../../core/model/heartbeat.js';
import type { AttemptId, JobId, TaskIndex } from '../../core/model/ids.js';
import {
  isSamePiece,
  isSameTaskState,
  type WireTaskState,
  wireTaskState,
} from '../wire/workers.js';

/** Numbers stored for each task: its job and state, its index in the job, and its attempt. */
const NUMBERS_PER_TASK = 3;
/** Maximum number of distinct states; tasks in further ones are decoded in every heartbeat. */
const MAX_STATES = 64;

/** A state of tasks as received, and its decoded form. */
interface KnownState {
  readonly wire: WireTaskState;
  readonly decoded: Pick<TaskStatus, 'phase' | 'cause' | 'checkpointSaved'>;
}

/** The distinct states that workers have reported: a few, whatever the number of tasks. */
export class TaskStates {
  private readonly known: KnownState[] = [];

  /** The number of the state of a valid wire task; null if there is no room for another state. */
  numberOf(raw: Record<string, unknown>, task: TaskStatus): number | null {
    const index = this.known.findIndex(({ wire }) => isSameTaskState(raw, wire));
    if (index >= 0) return index;
    if (this.known.length >= MAX_STATES) return null;
    const { phase, cause, checkpointSaved } = task;
    this.known.push({ wire: wireTaskState(raw), decoded: { phase, cause, checkpointSaved } });
    return this.known.length - 1;
  }

  /** The state with this number; throws if there is none. */
  at(number: number): KnownState {
    const state = this.known[number];
    if (!state) throw new Error(`no task state ${number}`);
    return state;
  }
}

/** The tasks of one heartbeat. */
export class TaskCache {
  private readonly jobs: JobId[] = [];
  private readonly numbers: number[] = [];

  constructor(private readonly states: TaskStates) {}

  /** Number of cached tasks. */
  get size(): number {
    return this.numbers.length / NUMBERS_PER_TASK;
  }

  /** Adds a valid wire task with its decoded form. */
  add(raw: Record<string, unknown>, task: TaskStatus): void {
    const state = this.states.numberOf(raw, task);
    if (state !== null) this.append(task, state);
  }

  /** Adds a task of another cache. */
  addFrom(other: TaskCache, position: number, task: TaskStatus): void {
    this.append(task, other.stateNumberAt(position));
  }

  /** The decoded form of a wire task if it decodes like the cached one at `position`; else null. */
  match(raw: unknown, position: number): TaskStatus | null {
    if (typeof raw !== 'object' || raw === null) return null;
    const wire = raw as Record<string, unknown>;
    const first = position * NUMBERS_PER_TASK;
    const jobAndState = this.numbers[first] ?? 0;
    const index = this.numbers[first + 1] ?? 0;
    const attempt = this.numbers[first + 2] ?? 0;
    if (wire.Try !== attempt) return null;
    const job = this.jobs[Math.floor(jobAndState / MAX_STATES)];
    if (job === undefined || !isSamePiece(wire.Piece, job, index)) return null;
    const state = this.states.at(jobAndState % MAX_STATES);
    if (!isSameTaskState(wire, state.wire)) return null;
    const { phase, cause, checkpointSaved } = state.decoded;
    return {
      job,
      index: index as TaskIndex,
      attempt: attempt as AttemptId,
      phase,
      cause,
      checkpointSaved,
    };
  }

  private append({ job, index, attempt }: TaskStatus, state: number): void {
    this.numbers.push(this.jobNumberOf(job) * MAX_STATES + state, index, attempt);
  }

  /** Tasks of one job usually follow one another. */
  private jobNumberOf(job: JobId): number {
    const last = this.jobs.length - 1;
    if (this.jobs[last] === job) return last;
    const known = this.jobs.indexOf(job);
    return known >= 0 ? known : this.jobs.push(job) - 1;
  }

  private stateNumberAt(position: number): number {
    return (this.numbers[position * NUMBERS_PER_TASK] ?? 0) % MAX_STATES;
  }
}
