/** Drains: what operators request, and the state of a drain and of the machines of its step. */
import type {
  ImageName,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ZoneName,
} from '@robinspread/extension-api';

declare const brand: unique symbol;
/** The name under which a drain was requested. */
export type DrainName = string & { readonly [brand]: 'DrainName' };

/** Which machines a drain is for: those that meet every criterion that is given. */
export interface Selector {
  /** Every machine; the only selector that may go without another criterion. */
  readonly all: boolean;
  readonly machines: readonly MachineId[] | null;
  readonly type: MachineTypeName | null;
  readonly zone: ZoneName | null;
  readonly spot: boolean | null;
  /** Provisioned at least this long before the drain began. */
  readonly minAgeS: number | null;
  /** Has run tasks with this image. */
  readonly image: ImageName | null;
}

/** How many machines one step takes: a number, or a share of all that the drain is for. */
export type StepSize =
  | { readonly kind: 'count'; readonly count: number }
  | { readonly kind: 'share'; readonly share: number };

/** What an operator asks for. */
export interface DrainRequest {
  readonly name: DrainName;
  readonly selector: Selector;
  readonly stepSize: StepSize;
  /** Provision a machine of the same kind for each, before it is cordoned. */
  readonly replace: boolean;
  /** After this long the drain pauses. */
  readonly deadlineS: number | null;
}

/** The stored phase of a drain. `stalled` is no phase of its own: see `DrainStatus`. */
export type DrainPhase = 'pending' | 'running' | 'paused' | 'cancelled' | 'done';

/** What operators are told: a running drain that has been held up for a while is stalled. */
export type DrainStatus = DrainPhase | 'stalled';

/**
 * Where a machine of the current step is. `waiting`: for its replacement; `cordoned`: gets no new
 * work; `draining`: some of its work has been told to stop; `returning`: its return is stored and
 * will be sent until it is known to be done.
 */
export type MachinePhase = 'waiting' | 'cordoned' | 'draining' | 'returning';

/** The place of one replacement among the machines that one request provisions. */
export interface ReplacementSlot {
  readonly request: ProvisionRequestId;
  /** Its position among them, from 0. */
  readonly position: number;
  /** How many are requested: a repeat of the request must say the same. */
  readonly requested: number;
}

/** A machine of the current step. */
export interface MachineDrain {
  readonly machine: MachineId;
  phase: MachinePhase;
  /** Where its replacement comes from; null for a drain without replacements. */
  replacementSlot: ReplacementSlot | null;
  /** The machine that replaces it, once the cloud has named it. */
  replacement: MachineId | null;
  /** Replacements requested so far. */
  replacementsRequested: number;
}

/** A drain and its progress. */
export interface Drain {
  readonly request: DrainRequest;
  phase: DrainPhase;
  pauseReason: string | null;
  /** Time of day, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Machines are named in the order of their creation: those after this one are not drained. */
  readonly newestMachineAtStart: MachineId;
  /** How many machines it was for when it began. */
  readonly total: number;
  returned: number;
  /** Machines that were lost or reclaimed before they could be returned. */
  failed: number;
  /** The number of the current step, from 1; 0 before the first. */
  step: number;
  /** Deadline by the time of day, in milliseconds since the epoch; null: none. */
  deadlineAt: number | null;
  readonly machinesInStep: Map<MachineId, MachineDrain>;
}

/** Whether a drain is over; machines whose return was sent may still be in its step. */
export const isFinished = ({ phase }: Drain): boolean => phase === 'done' || phase === 'cancelled';

/** Whether a drain goes on by itself: neither paused nor over. */
export const isActive = ({ phase }: Drain): boolean => phase === 'running' || phase === 'pending';
