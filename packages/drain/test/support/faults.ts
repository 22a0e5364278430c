/** Faults of the modelled cloud, key-value store and leader, which tests switch on and off. */

/** Faults that are in effect. */
export interface Faults {
  /** The cloud refuses new provision requests for lack of capacity. */
  refuseProvisioning: boolean;
  /** Newly provisioned machines never finish booting. */
  neverBoot: boolean;
  cloudUnavailable: boolean;
  storeUnavailable: boolean;
  /** Number of deletions that are carried out but whose responses are lost. */
  deletionResponsesToLose: number;
  /** Number of provision requests that are carried out but whose responses are lost. */
  provisionResponsesToLose: number;
  /** The cloud provisions at most this many per request. */
  maxMachinesPerRequest: number;
  /** Number, from 1, of the write of records before which the leader crashes; 0: never. */
  crashLeaderAtWrite: number;
  /** The leader crashes just after that write instead. */
  crashLeaderAfterWrite: boolean;
}

export const noFaults = (): Faults => ({
  refuseProvisioning: false,
  neverBoot: false,
  cloudUnavailable: false,
  storeUnavailable: false,
  deletionResponsesToLose: 0,
  provisionResponsesToLose: 0,
  maxMachinesPerRequest: Number.POSITIVE_INFINITY,
  crashLeaderAtWrite: 0,
  crashLeaderAfterWrite: false,
});

/** The steady clock that all parts of the model share, in ms. */
export interface Clock {
  now: number;
}

/** Duration of one simulation step. */
export const STEP_MS = 250;
