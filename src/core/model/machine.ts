/** Machine types, and machines as the cloud and the ledger describe them. */
import type { MachineId, MachineTypeName, ProvisionRequestId, ZoneName } from './ids.js';

/** A type of machine that the cloud offers. */
export interface MachineType {
  readonly name: MachineTypeName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Gigabytes of an image that it fetches in a second. */
  readonly fetchGbPerS: number;
  /** On-demand price of an hour. */
  readonly price: number;
  /** Spot price of an hour. */
  readonly spotPrice: number;
  /** Nominal boot time, in seconds. */
  readonly bootS: number;
  /** The zones in which the cloud offers it. */
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
  /** `host:port` of its worker. */
  readonly endpoint: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  /** Seconds from the provision request to the time that the list describes. */
  readonly ageS: number;
}

/** Machines to provision, under a request id that is never used again for others. */
export interface ProvisionRequest {
  readonly request: ProvisionRequestId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly count: number;
}

/**
 * How the cloud answered a provision request. `refused`: no machine comes of it; `unknown`: it may
 * have been carried out, and the list of machines will tell.
 */
export type ProvisionOutcome = 'ok' | 'refused' | 'unknown';
