/**
 * The attempts of one job by task. Nearly all tasks have at most one attempt, for which no list is
 * kept: a job may have 100,000 tasks.
 */
import type { TaskIndex } from './ids.js';

/** An attempt, as far as this module reads it. */
interface Attempt {
  readonly entry: { readonly index: TaskIndex };
}

const isList = <A>(attempts: A | readonly A[]): attempts is readonly A[] => Array.isArray(attempts);

const toList = <A>(attempts: A | readonly A[]): readonly A[] =>
  isList(attempts) ? attempts : [attempts];

/** Attempts by task; a task without attempts has no entry. */
export class TaskAttempts<A extends Attempt> implements ReadonlyMap<TaskIndex, readonly A[]> {
  private readonly byTask = new Map<TaskIndex, A | readonly A[]>();

  /** Number of tasks with an attempt. */
  get size(): number {
    return this.byTask.size;
  }

  has(index: TaskIndex): boolean {
    return this.byTask.has(index);
  }

  /** The attempts of a task, the oldest first; undefined if it has none. */
  get(index: TaskIndex): readonly A[] | undefined {
    const attempts = this.byTask.get(index);
    return attempts === undefined ? undefined : toList(attempts);
  }

  /** Adds an attempt; returns whether its task had none. */
  add(placement: A): boolean {
    const { index } = placement.entry;
    const attempts = this.byTask.get(index);
    const isFirst = attempts === undefined;
    this.byTask.set(index, isFirst ? placement : [...toList(attempts), placement]);
    return isFirst;
  }

  /** Removes an attempt; returns whether its task has none left. */
  remove(placement: A): boolean {
    const { index } = placement.entry;
    const remaining = (this.get(index) ?? []).filter((other) => other !== placement);
    const [first] = remaining;
    if (first === undefined) this.byTask.delete(index);
    else this.byTask.set(index, remaining.length === 1 ? first : remaining);
    return first === undefined;
  }

  /** Whether some attempt meets the condition. */
  some(condition: (attempt: A) => boolean): boolean {
    for (const attempts of this.byTask.values())
      if (isList(attempts) ? attempts.some(condition) : condition(attempts)) return true;
    return false;
  }

  /** Number of tasks of which some attempt meets the condition. */
  countTasks(condition: (attempt: A) => boolean): number {
    let count = 0;
    for (const attempts of this.byTask.values())
      if (isList(attempts) ? attempts.some(condition) : condition(attempts)) count += 1;
    return count;
  }

  /** All attempts, task by task. */
  *placements(): Generator<A, undefined> {
    for (const attempts of this.byTask.values()) {
      if (isList(attempts)) yield* attempts;
      else yield attempts;
    }
  }

  keys(): MapIterator<TaskIndex> {
    return this.byTask.keys();
  }

  *values(): Generator<readonly A[], undefined> {
    for (const attempts of this.byTask.values()) yield toList(attempts);
  }

  *entries(): Generator<[TaskIndex, readonly A[]], undefined> {
    for (const [index, attempts] of this.byTask) yield [index, toList(attempts)];
  }

  [Symbol.iterator](): Generator<[TaskIndex, readonly A[]], undefined> {
    return this.entries();
  }

  forEach(
    callback: (
      attempts: readonly A[],
      index: TaskIndex,
      map: ReadonlyMap<TaskIndex, readonly A[]>,
    ) => void,
  ): void {
    for (const [index, attempts] of this.entries()) callback(attempts, index, this);
  }
}
