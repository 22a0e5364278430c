/**
 * Plain models of the order of candidates and of the budgets: slow, written down directly from the
 * design note, for comparison with the real ones.
 */
import type { AttemptView, MachineView } from '@robinspread/extension-api';

/** What a task needs to leave its machine, by the letter of the design note. */
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
  const ran = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  const left = Math.max(0, job.spec.estimateS * 1000 - ran);
  return job.spec.checkpointIntervalS > 0 && left > letEndS * 1000 ? 'checkpoints' : 'finishes';
};

const lastFinishMs = (machine: MachineView, letEndS: number, now: number): number => {
  let last = 0;
  for (const attempt of machine.placements.values()) {
    if (attempt.phase === 'ended' || removalOf(attempt, letEndS, now) !== 'finishes') continue;
    const ran = attempt.startedAt === null ? 0 : now - attempt.startedAt;
    last = Math.max(last, attempt.job!.spec.estimateS * 1000 - ran);
  }
  return Math.max(0, last);
};

/** True when the first machine is to be taken before the second. */
export const isDrainedBefore = (
  one: MachineView,
  other: MachineView,
  letEndS: number,
  now: number,
): boolean => {
  const ways = (m: MachineView) =>
    [...m.placements.values()]
      .filter((attempt) => attempt.phase !== 'ended')
      .map((attempt) => removalOf(attempt, letEndS, now));
  const rank = (m: MachineView) => {
    const all = ways(m);
    if (all.length === 0) return 0;
    return all.every((way) => way === 'checkpoints' || way === 'stopping') ? 1 : 2;
  };
  if (rank(one) !== rank(other)) return rank(one) < rank(other);
  const ends = [lastFinishMs(one, letEndS, now), lastFinishMs(other, letEndS, now)] as const;
  if (ends[0] !== ends[1]) return ends[0] < ends[1];
  const moves = [one, other].map((m) => ways(m).filter((way) => way === 'moves').length) as [
    number,
    number,
  ];
  if (moves[0] !== moves[1]) return moves[0] < moves[1];
  return one.id < other.id;
};

/** One disruption in the model's list; nothing is ever forgotten or summed up. */
export interface ReferenceDisruption {
  readonly team: string;
  readonly jobClass: string;
  readonly at: number;
  open: boolean;
}

/** The limits of one scope. */
export interface ReferenceLimits {
  readonly count: number | null;
  readonly share: number | null;
  readonly window: { readonly seconds: number; readonly count: number } | null;
}

/** Whether limits have room for one more, counted anew from the whole list. */
export const hasRoom = (
  limits: ReferenceLimits,
  all: readonly ReferenceDisruption[],
  /** Tasks of the scope that are on machines. */
  onMachines: number,
  /** Of the open ones, those whose task is still on its machine. */
  openOnMachines: number,
  now: number,
): boolean => {
  const open = all.filter((d) => d.open).length;
  if (limits.count !== null && open >= limits.count) return false;
  if (limits.share !== null) {
    const tasks = onMachines + open - openOnMachines;
    if (open >= Math.floor(limits.share * tasks)) return false;
  }
  if (!limits.window) return true;
  const from = now - limits.window.seconds * 1000;
  return all.filter((d) => d.open || d.at >= from).length < limits.window.count;
};
