/**
 * Drains one machine: waits for its replacement, cordons it, stops or moves its work within the
 * budgets, and returns it to the cloud. Each phase is stored before the next.
 */
import type { AttemptView, MachineView } from '@robinspread/extension-api';
import { type Blocker, finishingBlocker } from './blocker.js';
import type { BudgetLedger } from './budget-ledger.js';
import type { DecisionContext } from './decision-context.js';
import type { Disruption } from './disruption.js';
import type { Drain, MachineDrain } from './drain.js';
import type { DrainProgress } from './drain-progress.js';
import type { DrainRegistry } from './drain-registry.js';
import { classifyWork, isBeingLost, type MachineWork } from './machine-selection.js';
import type { Replacements } from './replacements.js';
import type { DrainSettings } from './settings.js';

/** Added to the time that a task needs to write its checkpoint before it is ended. */
const STOP_GRACE_MARGIN_S = 5;

const isBlocker = (result: Disruption | Blocker): result is Blocker => 'kind' in result;

/** The objects that `MachineDrainer` uses; owned by the drain manager. */
export interface MachineDrainerCollaborators {
  readonly settings: DrainSettings;
  readonly registry: DrainRegistry;
  readonly budget: BudgetLedger;
  readonly progress: DrainProgress;
  readonly replacements: Replacements;
}

/** A machine in a drain's current step, with its view in the fleet. */
interface DrainTarget {
  readonly drain: Drain;
  readonly machineDrain: MachineDrain;
  readonly machine: MachineView;
}

/** Advances the machines of a step, one phase at a time. */
export class MachineDrainer {
  constructor(private readonly collaborators: MachineDrainerCollaborators) {}

  /** Performs the next action for the machine's phase, or records its blocker. */
  advance(drain: Drain, machineDrain: MachineDrain, context: DecisionContext): void {
    const { registry, progress, replacements } = this.collaborators;
    const { machine: id } = machineDrain;
    const machine = context.fleet.machines.get(id);
    if (!registry.isMachineStored(drain, id)) {
      progress.block(drain, { kind: 'storing' }, id);
      return;
    }
    if (!machine) {
      registry.completeMachine(drain, machineDrain, context);
      replacements.stopWatching(machineDrain);
      return;
    }
    if (machineDrain.phase !== 'waiting') context.requests.push({ kind: 'cordon', machine: id });
    if (machineDrain.phase === 'returning') {
      context.requests.push({ kind: 'return-machine', machine: id });
      progress.block(drain, { kind: 'return-unconfirmed' }, id);
      return;
    }
    if (drain.phase !== 'running') return;
    if (isBeingLost(machine)) {
      progress.block(drain, { kind: 'being-lost' }, id);
      return;
    }
    const target = { drain, machineDrain, machine };
    if (drain.request.replace && !this.advanceReplacement(target, context)) return;
    this.cordonOrEvict(target, context);
  }

  private cordonOrEvict(target: DrainTarget, context: DecisionContext): void {
    const { registry } = this.collaborators;
    const { drain, machineDrain, machine } = target;
    if (machineDrain.phase === 'waiting') {
      context.requests.push({ kind: 'cordon', machine: machine.id });
      registry.setMachinePhase(drain, machineDrain, 'cordoned', context);
    } else if (machine.placements.size === 0)
      registry.setMachinePhase(drain, machineDrain, 'returning', context);
    else this.evictWork(target, context);
  }

  private advanceReplacement(target: DrainTarget, context: DecisionContext): boolean {
    const { registry, progress, replacements } = this.collaborators;
    const { drain, machineDrain, machine } = target;
    const state = replacements.advance(machineDrain, machine, context);
    switch (state.kind) {
      case 'ready':
        return true;
      case 'blocked':
        progress.block(drain, state.blocker, machine.id);
        return false;
      case 'given-up': {
        // The machine's capacity is needed until another replacement is ready.
        context.requests.push({ kind: 'uncordon', machine: machine.id });
        replacements.stopWatching(machineDrain);
        const slot = replacements.allocateSlot(context);
        registry.awaitAnotherReplacement(drain, machineDrain, slot, context);
        return false;
      }
    }
  }

  /** Waits for tasks that end soon, stops those with checkpoints and requests moves of replicas. */
  private evictWork(target: DrainTarget, context: DecisionContext): void {
    const { drain, machineDrain, machine } = target;
    const work = classifyWork(machine, this.collaborators.settings.letEndS, context.moment);
    this.reportEndingWork(target, work);
    const moves = this.requestReplicaMoves(target, work, context);
    const stops = this.stopTasks(target, work, context);
    if (moves + stops > 0 && machineDrain.phase === 'cordoned')
      this.collaborators.registry.setMachinePhase(drain, machineDrain, 'draining', context);
  }

  private reportEndingWork({ drain, machine }: DrainTarget, work: MachineWork): void {
    const { progress } = this.collaborators;
    const { id } = machine;
    if (work.ended > 0) progress.block(drain, { kind: 'results-kept', tasks: work.ended }, id);
    if (work.finishing.length > 0) progress.block(drain, finishingBlocker(work), id);
    if (work.stopping > 0) progress.block(drain, { kind: 'work-stops', tasks: work.stopping }, id);
  }

  /** The core moves a replica once its disruption is granted and it fits on another machine. */
  private requestReplicaMoves(
    { drain, machine }: DrainTarget,
    { replicas }: MachineWork,
    context: DecisionContext,
  ): number {
    let granted = 0;
    for (const attempt of replicas) {
      if (!this.requestGrant(drain, attempt, context)) continue;
      granted += 1;
      const blocker: Blocker = { kind: 'replica-needs-room', job: attempt.entry.job };
      this.collaborators.progress.block(drain, blocker, machine.id);
    }
    return granted;
  }

  private stopTasks(
    { drain, machine }: DrainTarget,
    { stoppable }: MachineWork,
    context: DecisionContext,
  ): number {
    let granted = 0;
    for (const attempt of stoppable) {
      if (!this.requestGrant(drain, attempt, context)) continue;
      granted += 1;
      const graceS = (attempt.job?.spec.checkpointWriteS ?? 0) + STOP_GRACE_MARGIN_S;
      const { attempt: id } = attempt.entry;
      context.requests.push({ kind: 'stop', machine: machine.id, attempt: id, graceS });
    }
    return granted;
  }

  /** Requests a disruption and records its blocker; true once it is granted. */
  private requestGrant(drain: Drain, attempt: AttemptView, context: DecisionContext): boolean {
    const { budget, progress } = this.collaborators;
    const { attempt: id, job } = attempt.entry;
    const machine = attempt.machine.id;
    const result = budget.requestDisruption(attempt, context.fleet, context.moment);
    if (result === null) progress.block(drain, { kind: 'grant-lapsed', job }, machine);
    else if (isBlocker(result)) progress.block(drain, result, machine);
    else if (result.phase === 'requested') progress.block(drain, { kind: 'storing' }, machine);
    return budget.isGranted(id);
  }
}
