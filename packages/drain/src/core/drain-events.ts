/** Handles events from the fleet, the cloud and the key-value store. */
import type { ExtensionEvent, Moment, RecordWrite } from '@robinspread/extension-api';
import type { DisruptionRecords } from './disruption-records.js';
import type { DisruptionTracker } from './disruption-tracker.js';
import type { DrainRegistry } from './drain-registry.js';
import type { PendingWrites } from './pending-writes.js';
import type { ProvisionResult, Replacements } from './replacements.js';

/** The objects that events update; owned by the drain manager. */
export interface DrainEventCollaborators {
  readonly registry: DrainRegistry;
  readonly replacements: Replacements;
  readonly disruptions: DisruptionTracker;
  readonly disruptionRecords: DisruptionRecords;
  readonly writes: PendingWrites;
}

/** Handles events between decisions. */
export class DrainEventHandler {
  constructor(private readonly collaborators: DrainEventCollaborators) {}

  /** Handles an event; returns the resulting writes, for the next decision to request. */
  handle(event: ExtensionEvent, moment: Moment): readonly RecordWrite[] {
    switch (event.kind) {
      case 'released':
        this.collaborators.disruptions.handleReleased(event.attempt, event.release, moment);
        return [];
      case 'provision-result':
        return this.handleProvisionResult(event, moment);
      case 'stored':
        this.handleStored(event.writes, moment);
        return [];
      case 'refused':
        this.handleRefused(event.writes);
        return [];
    }
  }

  /** Sets the replacements of the machines that wait for this provision request. */
  private handleProvisionResult(event: ProvisionResult, moment: Moment): RecordWrite[] {
    const { registry, replacements } = this.collaborators;
    if (!replacements.handleProvisionResult(event, moment)) return [];
    const writes: RecordWrite[] = [];
    for (const drain of registry.drains.values()) {
      for (const machineDrain of drain.machinesInStep.values()) {
        const { replacementSlot: slot } = machineDrain;
        if (slot?.request !== event.request || machineDrain.replacement !== null) continue;
        const replacement = replacements.machineFor(slot);
        if (replacement !== null)
          writes.push(registry.setReplacement(drain, machineDrain, replacement, moment));
      }
    }
    return writes;
  }

  private handleStored(writes: readonly RecordWrite[], moment: Moment): void {
    this.collaborators.writes.completeWrites(writes);
    for (const { key } of writes) this.collaborators.disruptionRecords.handleStored(key, moment);
  }

  private handleRefused(writes: readonly RecordWrite[]): void {
    this.collaborators.writes.completeWrites(writes);
    for (const { key } of writes) {
      this.collaborators.disruptionRecords.handleRefused(key);
      this.collaborators.registry.handleRefusedRecord(key);
    }
  }
}
