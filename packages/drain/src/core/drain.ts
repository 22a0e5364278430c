/** Drain requests, and the state of a drain and of the machines in its step. */
import type {
  ImageName,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ZoneName,
} from '@robinspread/extension-api';

declare const brand: unique symbol;
/** The name that the operator gave to a drain. */
export type DrainName = string & { readonly [brand]: 'DrainName' };

/** Selects the machines to drain: those that meet every criterion that is not null. */
export interface Selector {
  /** Requires nothing of a machine; on its own, it selects every machine. */
  readonly all: boolean;
  readonly machines: readonly MachineId[] | null;
  readonly type: MachineTypeName | null;
  readonly zone: ZoneName | null;
  readonly spot: boolean | null;
  /** Provisioned at least this long before the drain started. */
  readonly minAgeS: number | null;
  /** Has fetched this image. */
  readonly image: ImageName | null;
}

/** Machines per step: a number, or a share of `Drain.total`. */
export type StepSize =
  | { readonly kind: 'count'; readonly count: number }
  | { readonly kind: 'share'; readonly share: number };

/** An operator's drain request, validated; kept unchanged while the drain exists. */
export interface DrainRequest {
  readonly name: DrainName;
  readonly selector: Selector;
  readonly stepSize: StepSize;
  /** Provision a replacement from the same instance pool before a machine is cordoned. */
  readonly replace: boolean;
  /** Seconds after which the drain pauses; null if never. */
  readonly deadlineS: number | null;
}

/** The stored phase of a drain. */
export type DrainPhase = 'pending' | 'running' | 'paused' | 'cancelled' | 'done';

/** The status for operators: the phase, or `stalled` (see `DrainSettings.stalledAfterS`). */
export type DrainStatus = DrainPhase | 'stalled';

/**
 * The phase of a machine in the current step. `waiting`: for its replacement; `cordoned`: gets no
 * new work; `draining`: stops or moves of its work are granted; `returning`: its return is
 * recorded, and is requested until it has left the fleet.
 */
export type MachinePhase = 'waiting' | 'cordoned' | 'draining' | 'returning';

/** Identifies one replacement among the machines of a provision request. */
export interface ReplacementSlot {
  readonly request: ProvisionRequestId;
  /** Index among the machines of the request, from 0. */
  readonly position: number;
  /** Machines requested in all; a repeated request must state the same number. */
  readonly requested: number;
}

/** A machine in the current step. */
export interface MachineDrain {
  readonly machine: MachineId;
  phase: MachinePhase;
  /** The slot of its replacement; null if the drain requests none. */
  replacementSlot: ReplacementSlot | null;
  /** Its replacement; null until it has been provisioned. */
  replacement: MachineId | null;
  /** Replacements requested, including the current one. */
  replacementsRequested: number;
}

/** State of a drain, stored so that the next leader can resume it. */
export interface Drain {
  readonly request: DrainRequest;
  phase: DrainPhase;
  pauseReason: string | null;
  /** In Unix ms. */
  readonly startedAt: number;
  /** Machine ids ascend in the order of creation; machines newer than this one are not drained. */
  readonly newestMachineAtStart: MachineId;
  /**
   * The newest machine that had the selector's age when the drain started, since a later leader
   * knows ages less exactly; absent without that criterion, or if an older version started it.
   */
  readonly newestOfAge?: MachineId;
  /** Machines selected when the drain started. */
  readonly total: number;
  returned: number;
  /** Machines lost or reclaimed before they were returned. */
  failed: number;
  /** The number of the current step, from 1; 0 before the first. */
  step: number;
  /** In Unix ms; null if there is none. */
  deadlineAt: number | null;
  readonly machinesInStep: Map<MachineId, MachineDrain>;
}

/** Whether a drain has ended; machines being returned may still be in its step. */
export const isFinished = ({ phase }: Drain): boolean => phase === 'done' || phase === 'cancelled';

/** Whether a drain is in progress: neither paused nor finished. */
export const isActive = ({ phase }: Drain): boolean => phase === 'running' || phase === 'pending';
