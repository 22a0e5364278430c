/** Dry run: the steps of a drain and their blockers, if the fleet stayed as it is. */
import { type Blocker, describeBlocker, finishingBlocker } from './blocker.js';
import type { DecisionContext } from './decision-context.js';
import type { Drain } from './drain.js';
import type { DrainManager } from './drain-manager.js';
import { type DrainCandidate, isLeaving, remainingMachines } from './machine-selection.js';
import type { QueueHeadCheck } from './queue-head-check.js';
import { orderCandidates, queueHeadCheckFor, stepSizeOf } from './step-selection.js';
import { MAX_LISTED_MACHINES } from './views.js';

const budgetBlockers = (
  manager: DrainManager,
  { work }: DrainCandidate,
  { fleet, moment }: DecisionContext,
): Blocker[] => {
  const blockers = new Map<string, Blocker>();
  for (const { job } of [...work.stoppable, ...work.replicas]) {
    const blocker =
      job && manager.budget.findBlocker(job.spec.team, job.spec.jobClass, fleet, moment);
    if (blocker) blockers.set(describeBlocker(blocker), blocker);
  }
  return [...blockers.values()];
};

const blockersOf = (
  manager: DrainManager,
  queueHead: QueueHeadCheck | null,
  candidate: DrainCandidate,
  context: DecisionContext,
): Blocker[] => {
  const blockers = budgetBlockers(manager, candidate, context);
  const { machine, work } = candidate;
  if (isLeaving(machine) || machine.isCordoned || manager.registry.drainOf(machine.id))
    blockers.push({ kind: 'busy-elsewhere', machines: 1 });
  if (work.finishing.length > 0) blockers.push(finishingBlocker(work));
  const headBlocker = queueHead?.findBlocker(machine.id);
  if (headBlocker) blockers.push(headBlocker);
  else queueHead?.markLeaving(machine.id);
  return blockers;
};

/** Plans a drain that has not been started, for operators; changes no state. */
export const planOf = (manager: DrainManager, drain: Drain, context: DecisionContext) => {
  const machines = remainingMachines(drain, context.fleet, context.moment);
  const order = orderCandidates(machines, manager.constraintsOf(context), context.moment);
  const stepSize = stepSizeOf(drain);
  const queueHead = queueHeadCheckFor(drain, context.fleet);
  return {
    machines: machines.length,
    stepSize,
    steps: Math.ceil(machines.length / stepSize),
    listed: Math.min(order.length, MAX_LISTED_MACHINES),
    plan: order.slice(0, MAX_LISTED_MACHINES).map((candidate, i) => ({
      name: candidate.machine.id,
      step: Math.floor(i / stepSize) + 1,
      stops: candidate.work.stoppable.length,
      moves: candidate.work.replicas.length,
      ends: candidate.work.finishing.length,
      blocked: blockersOf(manager, queueHead, candidate, context).map(describeBlocker),
    })),
  };
};
