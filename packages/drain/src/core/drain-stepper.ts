/** Advances one drain: its deadline, the machines of its current step, and its next step. */
import type { DecisionContext } from './decision-context.js';
import { type Drain, type DrainName, isActive, isFinished } from './drain.js';
import type { MachineDrainer, MachineDrainerCollaborators } from './machine-drainer.js';
import { type StepConstraints, selectStep } from './step-selection.js';

/** Delay before selecting a step again, after no machine could be chosen. */
const STEP_RETRY_MS = 2000;

/** Advances each drain once per decision. */
export class DrainStepper {
  /** The earliest time to select each drain's next step, on the steady clock. */
  private readonly nextStepAt = new Map<DrainName, number>();

  constructor(
    private readonly collaborators: MachineDrainerCollaborators,
    private readonly machineDrainer: MachineDrainer,
    private readonly constraintsOf: (context: DecisionContext) => StepConstraints,
  ) {}

  /** Renews the cordons of the step's machines while the fleet is not settled. */
  keepCordons(drain: Drain, { requests }: DecisionContext): void {
    const { progress } = this.collaborators;
    progress.beginDecision(drain);
    progress.block(drain, { kind: 'fleet-unsettled' });
    for (const { machine, phase } of drain.machinesInStep.values()) {
      if (phase !== 'waiting') requests.push({ kind: 'cordon', machine });
    }
  }

  /** Advances the machines of the current step, and begins the next step when none is left. */
  advance(drain: Drain, context: DecisionContext): void {
    if (isFinished(drain) && drain.machinesInStep.size === 0) return;
    this.collaborators.progress.beginDecision(drain);
    this.pauseAtDeadline(drain, context);
    this.advanceMachines(drain, context);
    if (isActive(drain) && drain.machinesInStep.size === 0) this.tryBeginStep(drain, context);
  }

  private pauseAtDeadline(drain: Drain, context: DecisionContext): void {
    const { deadlineAt } = drain;
    if (!isActive(drain) || deadlineAt === null || context.moment.wallClockMs < deadlineAt) return;
    this.collaborators.registry.setPhase(drain, 'paused', 'its deadline has passed', context);
  }

  private advanceMachines(drain: Drain, context: DecisionContext): void {
    let attempts = 0;
    for (const machineDrain of [...drain.machinesInStep.values()]) {
      this.machineDrainer.advance(drain, machineDrain, context);
      attempts += context.fleet.machines.get(machineDrain.machine)?.placements.size ?? 0;
    }
    this.collaborators.progress.recordRemainingAttempts(drain, attempts, context.moment);
  }

  /** Begins the next step once all voluntarily disrupted tasks are running again. */
  private tryBeginStep(drain: Drain, context: DecisionContext): void {
    const { budget, progress } = this.collaborators;
    if (context.moment.now < (this.nextStepAt.get(drain.request.name) ?? 0)) {
      progress.restorePreviousBlockers(drain);
      return;
    }
    progress.beginDecision(drain);
    const tasks = budget.openVoluntaryCount;
    if (tasks > 0) progress.block(drain, { kind: 'work-runs-again', tasks });
    else this.beginStep(drain, context);
  }

  private beginStep(drain: Drain, context: DecisionContext): void {
    const { registry, progress, replacements } = this.collaborators;
    const { remaining, chosen, blocker } = selectStep(drain, this.constraintsOf(context), context);
    if (remaining === 0) {
      // Machines that left before they were in a step were lost or reclaimed.
      drain.failed = Math.max(drain.failed, drain.total - drain.returned);
      registry.setPhase(drain, 'done', null, context);
      return;
    }
    if (blocker) progress.block(drain, blocker);
    if (chosen.length === 0) {
      this.nextStepAt.set(drain.request.name, context.moment.now + STEP_RETRY_MS);
      return;
    }
    drain.step += 1;
    registry.setPhase(drain, 'running', null, context);
    const slots = drain.request.replace ? replacements.allocateSlots(chosen, context) : null;
    for (const { id } of chosen) registry.addMachine(drain, id, slots?.get(id) ?? null, context);
  }
}
