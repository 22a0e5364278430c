/** Parses workers' heartbeats, and decodes of each only the tasks that have changed. */
import type { Heartbeat, TaskStatus } from '../../core/model/heartbeat.js';
import { decodeHeartbeat, decodeTask, isSameTask, parseWireHeartbeat } from '../wire/workers.js';

/** One task of a heartbeat as it came, and what was decoded from it. */
interface DecodedTask {
  readonly raw: Record<string, unknown>;
  readonly task: TaskStatus;
}

/**
 * Last heartbeats are kept for the whole fleet, however large: a machine is forgotten once the
 * others have sent this many heartbeats each without it. Small fleets forget no sooner than after
 * the second number of heartbeats in all.
 */
const HEARTBEATS_PER_MACHINE = 8;
const MIN_HEARTBEATS = 1024;
/** After this many new tasks in one heartbeat, searching the last one costs more than it saves. */
const MAX_NEW_TASKS = 64;

/** Parses heartbeats one after the other, and remembers each machine's last tasks. */
export class HeartbeatParser {
  /** Last tasks of the machines heard in this round, and in the one before. */
  private current = new Map<string, readonly DecodedTask[]>();
  private previous = new Map<string, readonly DecodedTask[]>();
  private heartbeatsInRound = 0;

  /** Tasks that had to be checked and decoded; the others were known from the last heartbeat. */
  decodedTaskCount = 0;

  /** The heartbeat, or null when it is malformed. */
  parse(body: unknown): Heartbeat | null {
    const wire = parseWireHeartbeat(body);
    if (!wire) return null;
    const { Berth: machine } = wire;
    const last = this.current.get(machine) ?? this.previous.get(machine) ?? [];
    const decoded = this.decodeTasks(wire.Pieces ?? [], last);
    if (!decoded) return null;
    this.remember(machine, decoded);
    return decodeHeartbeat(
      wire,
      decoded.map(({ task }) => task),
    );
  }

  /**
   * The tasks of a heartbeat, or null when one is malformed. Workers list their tasks in a steady
   * order, new ones last, so that one walk along the last heartbeat finds all that are unchanged.
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

  private remember(machine: string, tasks: readonly DecodedTask[]): void {
    this.current.set(machine, tasks);
    this.heartbeatsInRound += 1;
    const roundLength = Math.max(MIN_HEARTBEATS, this.current.size * HEARTBEATS_PER_MACHINE);
    if (this.heartbeatsInRound < roundLength) return;
    this.previous = this.current;
    this.current = new Map();
    this.heartbeatsInRound = 0;
  }

  /** How many machines' last heartbeats are kept. */
  get cachedMachineCount(): number {
    let count = this.current.size;
    for (const machine of this.previous.keys()) if (!this.current.has(machine)) count += 1;
    return count;
  }
}

/** A single heartbeat, as a worker sends it in answer to direct commands; null: malformed. */
export const parseHeartbeat = (body: unknown): Heartbeat | null =>
  new HeartbeatParser().parse(body);
