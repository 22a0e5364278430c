/** What operators are told of drains and budgets. Answers stay well below what one line may hold. */
import type { FleetView, Moment } from '@robinspread/extension-api';
import type { Drains } from './drains.js';
import { isFinished } from './drains.js';
import { membersOf } from './selection.js';
import { type Blocker, type Drain, describeBlocker, type MachineDrain } from './types.js';

/** Machines listed in one answer; the rest is counted. */
export const LISTED_MACHINES = 200;

const blockerView = (blocker: Blocker | null) =>
  blocker === null ? null : { kind: blocker.kind, text: describeBlocker(blocker) };

/** A machine on its way back to the cloud is still draining to operators: it is not known to be gone. */
const shownPhase = ({ phase }: MachineDrain): string =>
  phase === 'returning' ? 'draining' : phase;

const requestView = ({ request }: Drain) => ({
  select: request.selector,
  step:
    request.stepSize.kind === 'count' ? request.stepSize.count : `${request.stepSize.share} of all`,
  replace: request.replace,
  deadlineS: request.deadlineS,
});

/** One drain in a line. */
export const summaryOf = (drains: Drains, drain: Drain, moment: Moment) => ({
  name: drain.request.name,
  status: drains.progress.statusOf(drain, moment),
  total: drain.total,
  returned: drain.returned,
  failed: drain.failed,
  step: drain.step,
  inStep: drain.current.size,
});

/** All that is known of one drain. */
export const detailsOf = (drains: Drains, drain: Drain, fleet: FleetView, moment: Moment) => {
  const current = [...drain.current.values()];
  const left = isFinished(drain) ? 0 : membersOf(drain, fleet, moment).length;
  return {
    ...summaryOf(drains, drain, moment),
    why: drain.pausedBecause,
    blocked: blockerView(drains.progress.blockerOf(drain)),
    waiting: Math.max(0, left - current.length),
    startedAt: new Date(drain.startedAt).toISOString(),
    deadlineAt: drain.deadlineAt === null ? null : new Date(drain.deadlineAt).toISOString(),
    request: requestView(drain),
    machines: current.slice(0, LISTED_MACHINES).map((machineDrain) => ({
      name: machineDrain.machine,
      state: shownPhase(machineDrain),
      replacement: machineDrain.replacement,
      left: fleet.machines.get(machineDrain.machine)?.placements.size ?? 0,
      blocked: blockerView(drains.progress.blockerOf(drain, machineDrain.machine)),
    })),
  };
};

/** The budgets and their use. */
export const budgetsOf = (drains: Drains, fleet: FleetView, moment: Moment) =>
  drains.budget.uses(fleet, moment).map(({ scope, open, limit, recent }) => ({
    scope: scope.name,
    disrupted: open,
    atOnce: limit,
    ...(scope.limits.window
      ? { withinS: scope.limits.window.seconds, recent, most: scope.limits.window.count }
      : {}),
  }));
