/** Whether the head of the queue could still run once machines have left for good. */
import type { FleetView, JobSpec, MachineId, MachineType } from '@robinspread/extension-api';
import { isGoing } from './selection.js';
import type { Blocker } from './types.js';

interface Place {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

const suits = (spec: JobSpec, { type, zone, spot }: Place): boolean => {
  if (spec.machineTypes && !spec.machineTypes.includes(type.name)) return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spot && !spec.allowsSpot) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

/**
 * Keeps for the head a machine that suits it, unless the cloud rents out such machines and has not refused them of late. One
 * walk over the fleet serves for all machines that are looked at in turn.
 */
export class HeadGuard {
  private readonly head: JobSpec | null;
  /** Machines that suit the head and stay. */
  private readonly suitable = new Set<MachineId>();
  private readonly rentable: boolean;

  constructor(fleet: FleetView) {
    this.head =
      (fleet.queueHead === null ? undefined : fleet.jobs.get(fleet.queueHead))?.spec ?? null;
    this.rentable = this.isRentable(fleet);
    if (this.head === null || this.rentable) return;
    for (const machine of fleet.machines.values()) {
      const type = fleet.types.get(machine.type);
      if (!type || machine.isCordoned || isGoing(machine)) continue;
      if (suits(this.head, { type, zone: machine.zone, spot: machine.spot }))
        this.suitable.add(machine.id);
    }
  }

  private isRentable(fleet: FleetView): boolean {
    if (this.head === null) return true;
    for (const kind of fleet.instancePools.values()) {
      if (kind.refusals === 0 && suits(this.head, kind)) return true;
    }
    return false;
  }

  /** What keeps a machine from leaving, beside those that have been let go. */
  blocker(machine: MachineId): Blocker | null {
    if (this.head === null || this.rentable) return null;
    if (!this.suitable.has(machine) || this.suitable.size > 1) return null;
    return { kind: 'head-needs-it', job: this.head.id };
  }

  /** The machine leaves. */
  letGo(machine: MachineId): void {
    this.suitable.delete(machine);
  }
}
