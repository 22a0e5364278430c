/** Parses workers' heartbeats, decoding only the tasks that have changed since the last one. */
import type { Heartbeat, TaskStatus } from '../../core/model/heartbeat.js';
import { decodeHeartbeat, decodeTask, parseWireHeartbeat } from '../wire/workers.js';
import { TaskCache, TaskStates } from './task-cache.js';

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
  private readonly states = new TaskStates();
  private readonly noTasks = new TaskCache(this.states);
  /** Last tasks of the machines that reported in this round, and in the previous one. */
  private current = new Map<string, TaskCache>();
  private previous = new Map<string, TaskCache>();
  private heartbeatsInRound = 0;

  /** Number of tasks decoded so far; all others were found in the cache. */
  decodedTaskCount = 0;

  /** Parses a heartbeat; null if malformed. */
  parse(body: unknown): Heartbeat | null {
    const wire = parseWireHeartbeat(body);
    if (!wire) return null;
    const { Berth: machine } = wire;
    const last = this.current.get(machine) ?? this.previous.get(machine) ?? this.noTasks;
    const cache = new TaskCache(this.states);
    const tasks = this.decodeTasks(wire.Pieces ?? [], last, cache);
    if (!tasks) return null;
    this.cacheTasks(machine, cache.size > 0 ? cache : this.noTasks);
    return decodeHeartbeat(wire, tasks);
  }

  /**
   * Decodes the tasks of a heartbeat and adds them to `cache`; null if one is malformed. Workers
   * list their tasks in a stable order, new ones last, so one pass over the last heartbeat finds
   * all unchanged tasks.
   */
  private decodeTasks(
    entries: readonly unknown[],
    last: TaskCache,
    cache: TaskCache,
  ): TaskStatus[] | null {
    const tasks: TaskStatus[] = [];
    let next = 0;
    let newTasks = 0;
    for (const raw of entries) {
      let position = newTasks < MAX_NEW_TASKS ? next : last.size;
      let known: TaskStatus | null = null;
      while (position < last.size) {
        known = last.match(raw, position);
        if (known) break;
        position += 1;
      }
      if (known) {
        cache.addFrom(last, position, known);
        tasks.push(known);
        next = position + 1;
        continue;
      }
      newTasks += 1;
      this.decodedTaskCount += 1;
      const task = decodeTask(raw);
      if (!task) return null;
      cache.add(raw as Record<string, unknown>, task);
      tasks.push(task);
    }
    return tasks;
  }

  private cacheTasks(machine: string, tasks: TaskCache): void {
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
