/** Drains and budgets as shown to operators, with the field names of the HTTP interface. */
import type { FleetView, Moment } from '@robinspread/extension-api';
import { type Blocker, describeBlocker } from './blocker.js';
import { type Drain, isFinished, type MachineDrain } from './drain.js';
import type { DrainManager } from './drain-manager.js';
import { remainingMachines } from './machine-selection.js';

/**
 * Machines listed in one answer, to keep it well below the maximum frame size between controllers;
 * others are counted.
 */
export const MAX_LISTED_MACHINES = 200;

const blockerView = (blocker: Blocker | null) =>
  blocker === null ? null : { kind: blocker.kind, text: describeBlocker(blocker) };

/** A machine being returned is shown as draining, since it may still be in the fleet. */
const displayedPhase = ({ phase }: MachineDrain): string =>
  phase === 'returning' ? 'draining' : phase;

const requestView = ({ request }: Drain) => ({
  select: request.selector,
  step:
    request.stepSize.kind === 'count' ? request.stepSize.count : `${request.stepSize.share} of all`,
  replace: request.replace,
  deadlineS: request.deadlineS,
});

/** A drain in a list. */
export const summaryOf = (manager: DrainManager, drain: Drain, moment: Moment) => ({
  name: drain.request.name,
  status: manager.progress.statusOf(drain, moment),
  total: drain.total,
  returned: drain.returned,
  failed: drain.failed,
  step: drain.step,
  inStep: drain.machinesInStep.size,
});

/** A drain, its blockers and its step. */
export const detailsOf = (
  manager: DrainManager,
  drain: Drain,
  fleet: FleetView,
  moment: Moment,
) => {
  const inStep = [...drain.machinesInStep.values()];
  const remaining = isFinished(drain) ? 0 : remainingMachines(drain, fleet, moment).length;
  return {
    ...summaryOf(manager, drain, moment),
    why: drain.pauseReason,
    blocked: blockerView(manager.progress.blockerOf(drain)),
    waiting: Math.max(0, remaining - inStep.length),
    startedAt: new Date(drain.startedAt).toISOString(),
    deadlineAt: drain.deadlineAt === null ? null : new Date(drain.deadlineAt).toISOString(),
    request: requestView(drain),
    machines: inStep.slice(0, MAX_LISTED_MACHINES).map((machineDrain) => ({
      name: machineDrain.machine,
      state: displayedPhase(machineDrain),
      replacement: machineDrain.replacement,
      left: fleet.machines.get(machineDrain.machine)?.placements.size ?? 0,
      blocked: blockerView(manager.progress.blockerOf(drain, machineDrain.machine)),
    })),
  };
};

/** The budgets and their current usage. */
export const budgetsOf = (manager: DrainManager, fleet: FleetView, moment: Moment) =>
  manager.budget.listUsage(fleet, moment).map(({ scope, open, limit, inWindow }) => ({
    scope: scope.name,
    disrupted: open,
    atOnce: limit,
    ...(scope.limits.window
      ? {
          withinS: scope.limits.window.seconds,
          recent: inWindow,
          most: scope.limits.window.count,
        }
      : {}),
  }));
