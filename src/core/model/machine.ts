/** Machine types, and machines as the cloud and the ledger describe them. */
import type { MachineId, MachineTypeName, ProvisionRequestId, ZoneName } from './ids.js';

/** A type of machine that the cloud offers. Prices are per hour; `bootS` is the nominal boot time. */
export interface MachineType {
  readonly name: MachineTypeName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly ZoneName[];
}

/** What the ledger says of the machine itself: its zone counts before it has reported. */
export interface MachineAttributes {
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** A machine as the cloud's list shows it, which may be seconds old. */
export interface ListedMachine {
  readonly id: MachineId;
  readonly endpoint: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}

/** Machines that are asked for, under a name that is never used again for others. */
export interface ProvisionRequest {
  readonly request: ProvisionRequestId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly count: number;
}
