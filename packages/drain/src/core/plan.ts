/** A dry run: the steps that a drain would take as things stand, and what would hold each machine up. */
import type { Drains } from './drains.js';
import { HeadGuard } from './head-check.js';
import { type Disturbance, isGoing, membersOf } from './selection.js';
import { orderForStep, stepSizeOf } from './step-choice.js';
import type { Turn } from './turn.js';
import { type Blocker, type Drain, describeBlocker } from './types.js';
import { LISTED_MACHINES } from './views.js';

const budgetBlockers = (drains: Drains, { work }: Disturbance, turn: Turn): Blocker[] => {
  const blockers = new Map<string, Blocker>();
  for (const { job } of [...work.stoppable, ...work.replicas]) {
    const blocker =
      job && drains.budget.blocker(job.spec.team, job.spec.jobClass, turn.fleet, turn.moment);
    if (blocker) blockers.set(describeBlocker(blocker), blocker);
  }
  return [...blockers.values()];
};

const blockersOf = (
  drains: Drains,
  guard: HeadGuard | null,
  item: Disturbance,
  turn: Turn,
): Blocker[] => {
  const blockers = budgetBlockers(drains, item, turn);
  const { machine, work } = item;
  if (isGoing(machine) || machine.isCordoned || drains.drainOf(machine.id))
    blockers.push({ kind: 'busy-elsewhere', machines: 1 });
  if (work.ending.length > 0) {
    const inS = Math.ceil(work.endsInMs / 1000);
    blockers.push({ kind: 'work-ends-by-itself', tasks: work.ending.length, inS });
  }
  const head = guard?.blocker(machine.id);
  if (head) blockers.push(head);
  else guard?.letGo(machine.id);
  return blockers;
};

/** The plan for a drain that has not been taken up. */
export const planOf = (drains: Drains, drain: Drain, turn: Turn) => {
  const members = membersOf(drain, turn.fleet, turn.moment);
  const order = orderForStep(members, drains.contextOf(turn), turn.moment);
  const size = stepSizeOf(drain);
  const guard = drain.request.replace ? null : new HeadGuard(turn.fleet);
  return {
    machines: members.length,
    stepSize: size,
    steps: Math.ceil(members.length / size),
    listed: Math.min(order.length, LISTED_MACHINES),
    plan: order.slice(0, LISTED_MACHINES).map((item, i) => ({
      name: item.machine.id,
      step: Math.floor(i / size) + 1,
      stops: item.work.stoppable.length,
      moves: item.work.replicas.length,
      ends: item.work.ending.length,
      blocked: blockersOf(drains, guard, item, turn).map(describeBlocker),
    })),
  };
};
