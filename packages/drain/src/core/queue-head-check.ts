/** Whether the head of the queue could still run once machines have left for good. */
import type { FleetView, JobSpec, MachineId, MachineType } from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import { isLeaving } from './machine-selection.js';

/** A machine, or a pool of instances that the cloud provisions. */
interface Capacity {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

const isFeasible = (spec: JobSpec, { type, zone, spot }: Capacity): boolean => {
  if (spec.machineTypes && !spec.machineTypes.includes(type.name)) return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spot && !spec.allowsSpot) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

/**
 * Keeps for the head of the queue one machine that it fits, unless the cloud provisions such
 * machines and has not refused them of late. One walk over the fleet serves for all machines that
 * are checked in turn.
 */
export class QueueHeadCheck {
  private readonly head: JobSpec | null;
  /** Machines that the head fits and that stay. */
  private readonly feasibleMachines = new Set<MachineId>();
  private readonly isProvisionable: boolean;

  constructor(fleet: FleetView) {
    this.head =
      (fleet.queueHead === null ? undefined : fleet.jobs.get(fleet.queueHead))?.spec ?? null;
    this.isProvisionable = this.canProvision(fleet);
    if (this.head === null || this.isProvisionable) return;
    for (const machine of fleet.machines.values()) {
      const type = fleet.types.get(machine.type);
      if (!type || machine.isCordoned || isLeaving(machine)) continue;
      if (isFeasible(this.head, { type, zone: machine.zone, spot: machine.spot }))
        this.feasibleMachines.add(machine.id);
    }
  }

  private canProvision(fleet: FleetView): boolean {
    if (this.head === null) return true;
    for (const pool of fleet.instancePools.values()) {
      if (pool.refusals === 0 && isFeasible(this.head, pool)) return true;
    }
    return false;
  }

  /** What keeps a machine from leaving, beside those marked as leaving; null: nothing. */
  findBlocker(machine: MachineId): Blocker | null {
    if (this.head === null || this.isProvisionable) return null;
    if (!this.feasibleMachines.has(machine) || this.feasibleMachines.size > 1) return null;
    return { kind: 'head-needs-it', job: this.head.id };
  }

  /** The machine leaves: it is not kept for the head any more. */
  markLeaving(machine: MachineId): void {
    this.feasibleMachines.delete(machine);
  }
}
