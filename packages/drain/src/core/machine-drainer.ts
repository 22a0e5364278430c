/**
 * The steps of one machine in a drain: replacement ready, cordon, work stopped or moved as far as
 * the budgets allow, return. Each change is stored before the next one is made.
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

/** Beyond the time that a task needs to write its checkpoint, before it is ended. */
const STOP_GRACE_MARGIN_S = 5;

const isBlocker = (result: Disruption | Blocker): result is Blocker => 'kind' in result;

/** What a machine's drain works with; owned by the drain manager. */
export interface MachineDrainerCollaborators {
  readonly settings: DrainSettings;
  readonly registry: DrainRegistry;
  readonly budget: BudgetLedger;
  readonly progress: DrainProgress;
  readonly replacements: Replacements;
}

/** One machine of a drain's current step, as the fleet shows it. */
interface Target {
  readonly drain: Drain;
  readonly machineDrain: MachineDrain;
  readonly machine: MachineView;
}

/** Moves machines of a step on, one phase at a time. */
export class MachineDrainer {
  constructor(private readonly collaborators: MachineDrainerCollaborators) {}

  /** Does what the machine's phase calls for, and notes what holds it up. */
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
    if (drain.request.replace && !this.hasReplacement(target, context)) return;
    this.cordonOrEmpty(target, context);
  }

  private cordonOrEmpty(target: Target, context: DecisionContext): void {
    const { registry } = this.collaborators;
    const { drain, machineDrain, machine } = target;
    if (machineDrain.phase === 'waiting') {
      context.requests.push({ kind: 'cordon', machine: machine.id });
      registry.setMachinePhase(drain, machineDrain, 'cordoned', context);
    } else if (machine.placements.size === 0)
      registry.setMachinePhase(drain, machineDrain, 'returning', context);
    else this.evictWork(target, context);
  }

  private hasReplacement(target: Target, context: DecisionContext): boolean {
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
        // Its capacity is needed again until another replacement is ready.
        context.requests.push({ kind: 'uncordon', machine: machine.id });
        replacements.stopWatching(machineDrain);
        const slot = replacements.allocateSlot(context);
        registry.awaitAnotherReplacement(drain, machineDrain, slot, context);
        return false;
      }
    }
  }

  /** Lets work end, stops what writes checkpoints, and asks for evictions of replicas. */
  private evictWork(target: Target, context: DecisionContext): void {
    const { drain, machineDrain, machine } = target;
    const work = classifyWork(machine, this.collaborators.settings.letEndS, context.moment);
    this.blockOnEndingWork(target, work);
    const moves = this.requestReplicaMoves(target, work, context);
    const stops = this.stopTasks(target, work, context);
    if (moves + stops > 0 && machineDrain.phase === 'cordoned')
      this.collaborators.registry.setMachinePhase(drain, machineDrain, 'draining', context);
  }

  private blockOnEndingWork({ drain, machine }: Target, work: MachineWork): void {
    const { progress } = this.collaborators;
    const { id } = machine;
    if (work.ended > 0) progress.block(drain, { kind: 'results-kept', tasks: work.ended }, id);
    if (work.finishing.length > 0) progress.block(drain, finishingBlocker(work), id);
    if (work.stopping > 0) progress.block(drain, { kind: 'work-stops', tasks: work.stopping }, id);
  }

  /** The core moves a replica once its disruption is granted and room for it is held elsewhere. */
  private requestReplicaMoves(
    { drain, machine }: Target,
    { replicas }: MachineWork,
    context: DecisionContext,
  ): number {
    let granted = 0;
    for (const attempt of replicas) {
      if (!this.mayDisrupt(drain, attempt, context)) continue;
      granted += 1;
      const blocker: Blocker = { kind: 'replica-needs-room', job: attempt.entry.job };
      this.collaborators.progress.block(drain, blocker, machine.id);
    }
    return granted;
  }

  private stopTasks(
    { drain, machine }: Target,
    { stoppable }: MachineWork,
    context: DecisionContext,
  ): number {
    let granted = 0;
    for (const attempt of stoppable) {
      if (!this.mayDisrupt(drain, attempt, context)) continue;
      granted += 1;
      const graceS = (attempt.job?.spec.checkpointWriteS ?? 0) + STOP_GRACE_MARGIN_S;
      const { attempt: id } = attempt.entry;
      context.requests.push({ kind: 'stop', machine: machine.id, attempt: id, graceS });
    }
    return granted;
  }

  /** Asks the budgets, and notes what holds the attempt up. */
  private mayDisrupt(drain: Drain, attempt: AttemptView, context: DecisionContext): boolean {
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
