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
  if (spec.types && !spec.types.includes(type.name)) return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spot && !spec.spotOk) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
};

/**
 * What keeps these machines from leaving without a replacement: the head needs one that stays, or of a kind that the cloud
 * has not refused of late.
 */
export const headBlocker = (fleet: FleetView, leaving: ReadonlySet<MachineId>): Blocker | null => {
  const head = fleet.head === null ? undefined : fleet.jobs.get(fleet.head);
  if (!head) return null;
  for (const machine of fleet.machines.values()) {
    const type = fleet.types.get(machine.type);
    if (!type || leaving.has(machine.id) || machine.cordoned || isGoing(machine)) continue;
    if (suits(head.spec, { type, zone: machine.zone, spot: machine.spot })) return null;
  }
  for (const kind of fleet.rentalKinds.values()) {
    if (kind.refusals === 0 && suits(head.spec, kind)) return null;
  }
  return { kind: 'head-needs-it', job: head.spec.id };
};
