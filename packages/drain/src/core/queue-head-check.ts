/** Checks whether the queue head could still run after machines leave without replacement. */
import type { FleetView, JobSpec, MachineId, MachineType } from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import { isLeaving } from './machine-selection.js';

/** A machine, or an instance pool of the cloud. */
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
 * Reserves one machine that the queue head fits on, unless the cloud offers such machines and did
 * not refuse the last request for them. Only the constructor scans the fleet.
 */
export class QueueHeadCheck {
  private readonly head: JobSpec | null;
  /** Machines that the head fits on and that are not leaving. */
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

  /** The blocker if the head fits on this machine and no other is left for it; null otherwise. */
  findBlocker(machine: MachineId): Blocker | null {
    if (this.head === null || this.isProvisionable) return null;
    if (!this.feasibleMachines.has(machine) || this.feasibleMachines.size > 1) return null;
    return { kind: 'head-needs-it', job: this.head.id };
  }

  /** Marks a machine as leaving, so that the head cannot use it. */
  markLeaving(machine: MachineId): void {
    this.feasibleMachines.delete(machine);
  }
}
