/** Selects the machines of a drain's next step. */
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

/** The number of machines in a full step; at least one. */
export const stepSizeOf = ({ request, total }: Drain): number => {
  const { stepSize } = request;
  if (stepSize.kind === 'count') return stepSize.count;
  return Math.max(1, Math.floor(stepSize.share * total));
};

/** The machines of the next step, and the blocker if some could not be chosen. */
export interface StepSelection {
  /** Machines still to be drained, available or not. */
  readonly remaining: number;
  readonly chosen: readonly MachineView[];
  readonly blocker: Blocker | null;
}

/** Constraints on the choice of machines, in addition to the fleet's state. */
export interface StepConstraints {
  readonly letEndS: number;
  /** Whether a machine is in a current step, or a replacement in one. */
  readonly isAssignedToDrain: (machine: MachineId) => boolean;
  /** See `BudgetLedger.findBlocker`. */
  readonly findBudgetBlocker: (team: TeamName, jobClass: string) => Blocker | null;
}

/** Creates the queue head check; null if the drain replaces its machines. */
export const queueHeadCheckFor = ({ request }: Drain, fleet: FleetView): QueueHeadCheck | null =>
  request.replace ? null : new QueueHeadCheck(fleet);

/**
 * Sorts machines in drain order: first those without work that a budget blocks, and the least
 * disruptive first in both groups.
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
  const hasBlockedWork = ({ work }: DrainCandidate): boolean =>
    work.stoppable.some(isBlocked) || work.replicas.some(isBlocked);
  const order = rankCandidates(machines, letEndS, moment);
  return [
    ...order.filter((candidate) => !hasBlockedWork(candidate)),
    ...order.filter(hasBlockedWork),
  ];
};

/**
 * Whether a step may include the machine. One that has not reported to this leader is left out: it
 * may be known only from a previous leader's ledger or an outdated cloud list.
 */
const isAvailable = (machine: MachineView, { isAssignedToDrain }: StepConstraints): boolean =>
  machine.hasReported &&
  !isLeaving(machine) &&
  !machine.isCordoned &&
  !isAssignedToDrain(machine.id);

/** Chooses up to `maxMachines` candidates in order, and leaves a machine for the queue head. */
const chooseCandidates = (
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

/** Selects the least disruptive of the available machines for the next step. */
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
  return { remaining, ...chooseCandidates(candidates, stepSizeOf(drain), queueHead) };
};
