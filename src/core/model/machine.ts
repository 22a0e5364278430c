/** Machine types, and machines as the cloud and the ledger describe them. */
import type { MachineId, MachineTypeName, ProvisionRequestId, ZoneName } from './ids.js';

/** A type of machine that the cloud offers. */
export interface MachineType {
  readonly name: MachineTypeName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Rate at which it fetches images, in gigabytes per second. */
  readonly fetchGbPerS: number;
  /** On-demand price per hour. */
  readonly price: number;
  /** Spot price per hour. */
  readonly spotPrice: number;
  /** Nominal boot time, in seconds. */
  readonly bootS: number;
  /** The zones in which the cloud offers it. */
  readonly zones: readonly ZoneName[];
}

/** A machine's attributes in the ledger: its zone must be known before the machine reports. */
export interface MachineAttributes {
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** A machine in the cloud's machine list, which may be seconds old. */
export interface ListedMachine {
  readonly id: MachineId;
  /** `host:port` of its worker. */
  readonly endpoint: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  /** Seconds since the provision request, at the time that the list describes. */
  readonly ageS: number;
}

/** A request for machines, under an id that is never reused for another request. */
export interface ProvisionRequest {
  readonly request: ProvisionRequestId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly count: number;
}

/**
 * Result of a provision request. `refused`: no machine was provisioned; `unknown`: it may have been
 * carried out, which the cloud's machine list will show.
 */
export type ProvisionOutcome = 'ok' | 'refused' | 'unknown';
