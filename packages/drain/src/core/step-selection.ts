/** Which machines the next step of a drain takes. */
import type {
  AttemptView,
  FleetView,
  JobView,
  MachineId,
  MachineView,
  Moment,
  TeamName,
} from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import type { DecisionContext } from './decision-context.js';
import type { Drain } from './drain.js';
import {
  type DrainCandidate,
  isLeaving,
  rankCandidates,
  remainingMachines,
} from './machine-selection.js';
import { QueueHeadCheck } from './queue-head-check.js';

/** How many machines one step takes; at least one. */
export const stepSizeOf = ({ request, total }: Drain): number => {
  const { stepSize } = request;
  if (stepSize.kind === 'count') return stepSize.count;
  return Math.max(1, Math.floor(stepSize.share * total));
};

/** The machines of the next step; or why there is none, where some remain. */
export interface StepSelection {
  /** How many machines the drain is still for. */
  readonly remaining: number;
  readonly chosen: readonly MachineView[];
  readonly blocker: Blocker | null;
}

/** What limits the choice of machines beside the fleet. */
export interface StepConstraints {
  readonly letEndS: number;
  /** Part of a step under way, or a replacement in one. */
  readonly isAssignedToDrain: (machine: MachineId) => boolean;
  /** What keeps one more task of this team and job class from being disrupted. */
  readonly findBudgetBlocker: (team: TeamName, jobClass: string) => Blocker | null;
}

/** The check of the queue's head; null for a drain that replaces what it takes. */
export const queueHeadCheckFor = ({ request }: Drain, fleet: FleetView): QueueHeadCheck | null =>
  request.replace ? null : new QueueHeadCheck(fleet);

/**
 * Machines in the order in which they are drained: first those whose work the budgets let be
 * disrupted now, and within each group the least disturbing first.
 */
export const orderCandidates = (
  machines: readonly MachineView[],
  { letEndS, findBudgetBlocker }: StepConstraints,
  moment: Moment,
): DrainCandidate[] => {
  const blockedClasses = new Map<string, boolean>();
  const isJobBlocked = ({ spec: { team, jobClass } }: JobView): boolean => {
    const key = JSON.stringify([team, jobClass]);
    const isBlocked = blockedClasses.get(key) ?? findBudgetBlocker(team, jobClass) !== null;
    blockedClasses.set(key, isBlocked);
    return isBlocked;
  };
  const isBlocked = ({ job }: AttemptView): boolean => job !== null && isJobBlocked(job);
  const isHeldUp = ({ work }: DrainCandidate): boolean =>
    work.stoppable.some(isBlocked) || work.replicas.some(isBlocked);
  const order = rankCandidates(machines, letEndS, moment);
  return [...order.filter((candidate) => !isHeldUp(candidate)), ...order.filter(isHeldUp)];
};

/**
 * Whether a step may take the machine. One that has not reported to this leader is left out: of it
 * only a former leader's ledger, or a list that lags, may tell.
 */
const isAvailable = (machine: MachineView, { isAssignedToDrain }: StepConstraints): boolean =>
  machine.hasReported &&
  !isLeaving(machine) &&
  !machine.isCordoned &&
  !isAssignedToDrain(machine.id);

/** Takes candidates in order, up to the step's size, and leaves the queue's head a machine. */
const takeCandidates = (
  candidates: readonly DrainCandidate[],
  maxMachines: number,
  queueHead: QueueHeadCheck | null,
): Pick<StepSelection, 'chosen' | 'blocker'> => {
  const chosen: MachineView[] = [];
  let blocker: Blocker | null = null;
  for (const { machine } of candidates) {
    if (chosen.length >= maxMachines) break;
    const headBlocker = queueHead?.findBlocker(machine.id) ?? null;
    if (headBlocker) {
      blocker = headBlocker;
      continue;
    }
    chosen.push(machine);
    queueHead?.markLeaving(machine.id);
  }
  return { chosen, blocker };
};

/** Selects the machines of the next step: those that disturb least. */
export const selectStep = (
  drain: Drain,
  constraints: StepConstraints,
  { fleet, moment }: DecisionContext,
): StepSelection => {
  const machines = remainingMachines(drain, fleet, moment);
  const remaining = machines.length;
  const available = machines.filter((machine) => isAvailable(machine, constraints));
  if (available.length === 0)
    return { remaining, chosen: [], blocker: { kind: 'busy-elsewhere', machines: remaining } };
  const queueHead = queueHeadCheckFor(drain, fleet);
  const candidates = orderCandidates(available, constraints, moment);
  return { remaining, ...takeCandidates(candidates, stepSizeOf(drain), queueHead) };
};
