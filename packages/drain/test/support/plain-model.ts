/**
 * Reference models of the drain order and the budgets, for comparison with the real ones: slow, but
 * direct transcriptions of the design note.
 */
import type { AttemptView, MachineView } from '@robinspread/extension-api';

/** How a task is removed from its machine, according to the design note. */
const removalOf = (
  attempt: AttemptView,
  letEndS: number,
  now: number,
): 'finishes' | 'checkpoints' | 'moves' | 'stopping' => {
  const { job } = attempt;
  if (
    attempt.stopRequest !== null ||
    job === null ||
    job.terminalState !== 'none' ||
    attempt.isSuperseded
  )
    return 'stopping';
  if (job.spec.shape === 'service') return 'moves';
  const ranMs = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  const remainingMs = Math.max(0, job.spec.estimateS * 1000 - ranMs);
  return job.spec.checkpointIntervalS > 0 && remainingMs > letEndS * 1000
    ? 'checkpoints'
    : 'finishes';
};

const finishesInMs = (machine: MachineView, letEndS: number, now: number): number => {
  let lastMs = 0;
  for (const attempt of machine.placements.values()) {
    if (attempt.phase === 'ended' || removalOf(attempt, letEndS, now) !== 'finishes') continue;
    const ranMs = attempt.startedAt === null ? 0 : now - attempt.startedAt;
    lastMs = Math.max(lastMs, attempt.job!.spec.estimateS * 1000 - ranMs);
  }
  return Math.max(0, lastMs);
};

/** Whether machine `one` is drained before machine `other`. */
export const isDrainedBefore = (
  one: MachineView,
  other: MachineView,
  letEndS: number,
  now: number,
): boolean => {
  const removalsOf = (m: MachineView) =>
    [...m.placements.values()]
      .filter((attempt) => attempt.phase !== 'ended')
      .map((attempt) => removalOf(attempt, letEndS, now));
  const rank = (m: MachineView) => {
    const removals = removalsOf(m);
    if (removals.length === 0) return 0;
    return removals.every((removal) => removal === 'checkpoints' || removal === 'stopping') ? 1 : 2;
  };
  if (rank(one) !== rank(other)) return rank(one) < rank(other);
  const finishTimes = [finishesInMs(one, letEndS, now), finishesInMs(other, letEndS, now)] as const;
  if (finishTimes[0] !== finishTimes[1]) return finishTimes[0] < finishTimes[1];
  const moveCounts = [one, other].map(
    (m) => removalsOf(m).filter((removal) => removal === 'moves').length,
  ) as [number, number];
  if (moveCounts[0] !== moveCounts[1]) return moveCounts[0] < moveCounts[1];
  return one.id < other.id;
};

/** A disruption in the model's list, which keeps every disruption and no totals. */
export interface ReferenceDisruption {
  readonly team: string;
  readonly jobClass: string;
  readonly at: number;
  open: boolean;
}

export interface ReferenceLimits {
  readonly count: number | null;
  readonly share: number | null;
  readonly window: { readonly seconds: number; readonly count: number } | null;
}

/** Whether the limits have room for one more disruption, counted from the whole list. */
export const hasRoom = (
  limits: ReferenceLimits,
  disruptions: readonly ReferenceDisruption[],
  /** Number of the scope's tasks that are on machines. */
  tasksOnMachines: number,
  /** Number of open disruptions whose task is still on its machine. */
  openTasksOnMachines: number,
  now: number,
): boolean => {
  const open = disruptions.filter((d) => d.open).length;
  if (limits.count !== null && open >= limits.count) return false;
  if (limits.share !== null) {
    const tasks = tasksOnMachines + open - openTasksOnMachines;
    if (open >= Math.floor(limits.share * tasks)) return false;
  }
  if (!limits.window) return true;
  const from = now - limits.window.seconds * 1000;
  return disruptions.filter((d) => d.open || d.at >= from).length < limits.window.count;
};
