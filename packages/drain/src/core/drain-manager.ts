/**
 * Drains machines step by step during one leader's term. Decisions are stored before they are acted
 * upon, and resumed from the records after a failover. This module connects the components and
 * orders the actions of a decision.
 */
import type {
  AttemptView,
  ExtensionEvent,
  ExtensionRecord,
  MachineView,
  Moment,
  RecordWrite,
} from '@robinspread/extension-api';
import { BudgetLedger } from './budget-ledger.js';
import type { DecisionContext } from './decision-context.js';
import { DisruptionRecords } from './disruption-records.js';
import { DisruptionTracker } from './disruption-tracker.js';
import { DrainEventHandler } from './drain-events.js';
import { DrainOperations } from './drain-operations.js';
import { DrainProgress } from './drain-progress.js';
import { DrainRegistry } from './drain-registry.js';
import { DrainStepper } from './drain-stepper.js';
import { MachineDrainer } from './machine-drainer.js';
import { PendingWrites } from './pending-writes.js';
import { decodeRecords } from './records.js';
import { Replacements } from './replacements.js';
import type { DrainSettings } from './settings.js';
import type { StepConstraints } from './step-selection.js';

/** The core of the package; one instance per leader's term. */
export class DrainManager {
  readonly registry: DrainRegistry;
  readonly budget: BudgetLedger;
  readonly progress: DrainProgress;
  readonly operations: DrainOperations;
  private readonly writes = new PendingWrites();
  private readonly replacements: Replacements;
  private readonly disruptions: DisruptionTracker;
  private readonly disruptionRecords: DisruptionRecords;
  private readonly events: DrainEventHandler;
  private readonly stepper: DrainStepper;
  /** Keys of records that cannot be used and have not been logged yet. */
  private readonly orphanedKeys: string[] = [];

  constructor(private readonly settings: DrainSettings) {
    const { writes } = this;
    const budget = new BudgetLedger(settings);
    const progress = new DrainProgress(settings.stalledAfterS);
    const replacements = new Replacements(settings);
    const registry = new DrainRegistry(writes, progress);
    const disruptions = new DisruptionTracker(registry, budget);
    const disruptionRecords = new DisruptionRecords(budget, writes);
    const collaborators = { settings, registry, budget, progress, replacements };
    this.budget = budget;
    this.progress = progress;
    this.replacements = replacements;
    this.registry = registry;
    this.disruptions = disruptions;
    this.disruptionRecords = disruptionRecords;
    this.operations = new DrainOperations(registry, replacements);
    this.events = new DrainEventHandler({
      registry,
      replacements,
      disruptions,
      disruptionRecords,
      writes,
    });
    this.stepper = new DrainStepper(collaborators, new MachineDrainer(collaborators), (context) =>
      this.constraintsOf(context),
    );
  }

  load(records: readonly ExtensionRecord[]): void {
    const stored = decodeRecords(records);
    this.registry.load(stored);
    this.disruptionRecords.load(stored.disruptions);
    this.orphanedKeys.push(...stored.orphaned);
  }

  /** See `DrainEventHandler.handle`. */
  handleEvent(event: ExtensionEvent, moment: Moment): readonly RecordWrite[] {
    return this.events.handle(event, moment);
  }

  /** Requests the writes that resulted from events. */
  requestWrites(writes: readonly RecordWrite[], { requests }: DecisionContext): void {
    for (const write of writes) requests.push(this.writes.requestWrite(write));
  }

  /** Whether an idle machine may be scaled in; false while it replaces one being drained. */
  mayScaleIn(machine: MachineView): boolean {
    return !this.registry.isReplacement(machine.id);
  }

  mayEvictReplica(attempt: AttemptView): boolean {
    return this.disruptions.mayEvictReplica(attempt);
  }

  /** Advances all drains and requests the writes of their changes. */
  decide(context: DecisionContext): void {
    const { fleet, moment } = context;
    this.logOrphanedRecords(context);
    if (!fleet.isSettled) {
      for (const drain of this.registry.drains.values()) this.stepper.keepCordons(drain, context);
      return;
    }
    this.disruptions.recordReclaimNotices(context);
    this.budget.update(fleet, moment);
    this.disruptions.requestEvictions(context);
    for (const drain of this.registry.drains.values()) this.stepper.advance(drain, context);
    this.disruptionRecords.update(context);
    this.replacements.pruneUnneeded((request) => this.registry.isRequestNeeded(request));
  }

  private logOrphanedRecords({ requests }: DecisionContext): void {
    for (const key of this.orphanedKeys.splice(0)) {
      const text = 'ignoring a drain record that cannot be read or has no drain';
      requests.push({ kind: 'log', level: 'info', text, fields: { key } });
    }
  }

  /** The constraints on the choice of machines at present. */
  constraintsOf({ fleet, moment }: DecisionContext): StepConstraints {
    return {
      letEndS: this.settings.letEndS,
      isAssignedToDrain: (machine) =>
        this.registry.drainOf(machine) !== null || this.registry.isReplacement(machine),
      findBudgetBlocker: (team, jobClass) => this.budget.findBlocker(team, jobClass, fleet, moment),
    };
  }
}
