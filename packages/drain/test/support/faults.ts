/** Faults of the model's cloud, key-value store and leader, switched on and off by tests. */

/** All faults are off at first. */
export interface Faults {
  /** The cloud refuses new provision requests for lack of capacity. */
  refuseProvisioning: boolean;
  /** Machines that are provisioned never come up. */
  neverBoot: boolean;
  cloudUnavailable: boolean;
  storeUnavailable: boolean;
  /** The answers to so many deletions are lost; they are carried out. */
  deletionResponsesToLose: number;
  /** The answers to so many provision requests are lost; they are carried out. */
  provisionResponsesToLose: number;
  /** The cloud fills requests up to this many machines. */
  maxMachinesPerRequest: number;
  /** The leader ends before it stores this change of a record, counted from 1; 0: never. */
  crashLeaderAtWrite: number;
  /** It ends just after that change is stored instead. */
  crashLeaderAfterWrite: boolean;
}

/** No faults. */
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

/** The steady clock that all parts of the model share, in milliseconds. */
export interface Clock {
  now: number;
}

/** How far the clock goes on at a time. */
export const STEP_MS = 250;
