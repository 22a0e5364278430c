/** Parses workers' heartbeats, decoding only the tasks that have changed since the last one. */
import type { Heartbeat, TaskStatus } from '../../core/model/heartbeat.js';
import { decodeHeartbeat, decodeTask, isSameTask, parseWireHeartbeat } from '../wire/workers.js';

/** A task as received in a heartbeat, and its decoded form. */
interface DecodedTask {
  readonly raw: Record<string, unknown>;
  readonly task: TaskStatus;
}

/**
 * The last tasks of every machine are cached, whatever the size of the fleet, and evicted if it
 * sends no heartbeat for a whole round. A round ends after this many heartbeats per machine that
 * reported in it, but not before `MIN_HEARTBEATS_PER_ROUND` in all.
 */
const HEARTBEATS_PER_MACHINE_PER_ROUND = 8;
const MIN_HEARTBEATS_PER_ROUND = 1024;
/** After this many new tasks, searching the last heartbeat costs more than it saves. */
const MAX_NEW_TASKS = 64;

/** Parses heartbeats and caches the tasks of each machine's last one. */
export class HeartbeatParser {
  /** Last tasks of the machines that reported in this round, and in the previous one. */
  private current = new Map<string, readonly DecodedTask[]>();
  private previous = new Map<string, readonly DecodedTask[]>();
  private heartbeatsInRound = 0;

  /** Number of tasks decoded so far; all others were found in the cache. */
  decodedTaskCount = 0;

  /** Parses a heartbeat; null if malformed. */
  parse(body: unknown): Heartbeat | null {
    const wire = parseWireHeartbeat(body);
    if (!wire) return null;
    const { Berth: machine } = wire;
    const last = this.current.get(machine) ?? this.previous.get(machine) ?? [];
    const decoded = this.decodeTasks(wire.Pieces ?? [], last);
    if (!decoded) return null;
    this.cacheTasks(machine, decoded);
    return decodeHeartbeat(
      wire,
      decoded.map(({ task }) => task),
    );
  }

  /**
   * Decodes the tasks of a heartbeat; null if one is malformed. Workers list their tasks in a
   * stable order, new ones last, so one pass over the last heartbeat finds all unchanged tasks.
   */
  private decodeTasks(
    entries: readonly unknown[],
    last: readonly DecodedTask[],
  ): DecodedTask[] | null {
    const decoded: DecodedTask[] = [];
    let next = 0;
    let newTasks = 0;
    for (const raw of entries) {
      let position = newTasks < MAX_NEW_TASKS ? next : last.length;
      let known = last[position];
      while (known !== undefined && !isSameTask(raw, known.raw)) {
        position += 1;
        known = last[position];
      }
      if (known !== undefined) {
        decoded.push(known);
        next = position + 1;
        continue;
      }
      newTasks += 1;
      this.decodedTaskCount += 1;
      const task = decodeTask(raw);
      if (!task) return null;
      decoded.push({ raw: raw as Record<string, unknown>, task });
    }
    return decoded;
  }

  private cacheTasks(machine: string, tasks: readonly DecodedTask[]): void {
    this.current.set(machine, tasks);
    this.heartbeatsInRound += 1;
    const roundLength = Math.max(
      MIN_HEARTBEATS_PER_ROUND,
      this.current.size * HEARTBEATS_PER_MACHINE_PER_ROUND,
    );
    if (this.heartbeatsInRound < roundLength) return;
    this.previous = this.current;
    this.current = new Map();
    this.heartbeatsInRound = 0;
  }

  /** Number of machines whose last tasks are cached. */
  get cachedMachineCount(): number {
    let count = this.current.size;
    for (const machine of this.previous.keys()) if (!this.current.has(machine)) count += 1;
    return count;
  }
}

/** Parses a heartbeat sent in answer to direct commands; null if malformed. */
export const parseHeartbeat = (body: unknown): Heartbeat | null =>
  new HeartbeatParser().parse(body);
