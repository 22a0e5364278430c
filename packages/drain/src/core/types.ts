/** Requests for drains, their progress, and what holds them up. */
import type {
  ImageName,
  MachineId,
  RequestName,
  TypeName,
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
  readonly type: TypeName | null;
  readonly zone: ZoneName | null;
  readonly spot: boolean | null;
  /** Rented at least this long before the drain began. */
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
  /** Rent a machine of the same kind for each, before it is taken out of use. */
  readonly replace: boolean;
  /** After this long the drain pauses. */
  readonly deadlineS: number | null;
}

/** The stored state of a drain. `stalled` is no state of its own: see `DrainStatus`. */
export type DrainPhase = 'pending' | 'running' | 'paused' | 'cancelled' | 'done';

/** What operators are told: a running drain that has been held up for a while is stalled. */
export type DrainStatus = DrainPhase | 'stalled';

/**
 * Where a machine of the current step is. `waiting`: for its replacement; `cordoned`: gets no new work; `draining`: some of its
 * work has been told to stop; `returning`: its return is stored and will be sent until it is known to be done.
 */
export type MachinePhase = 'waiting' | 'cordoned' | 'draining' | 'returning';

/** One of the machines that are rented by one request. */
export interface RentalSlot {
  readonly request: RequestName;
  /** Its place among them. */
  readonly slot: number;
  /** How many are asked for: a repeat of the request must say the same. */
  readonly of: number;
}

/** A machine of the current step. */
export interface MachineDrain {
  readonly machine: MachineId;
  phase: MachinePhase;
  /** The rental that its replacement is part of, once that is stored. */
  rental: RentalSlot | null;
  /** The machine that replaces it. */
  replacement: MachineId | null;
  /** Replacements asked for so far. */
  tries: number;
}

/** A drain and its progress. */
export interface Drain {
  readonly request: DrainRequest;
  phase: DrainPhase;
  /** Why it is paused. */
  pausedBecause: string | null;
  /** Time of day. */
  readonly startedAt: number;
  /** Machines are named in the order of their creation: those after this one came later and are not drained. */
  readonly lastMachine: MachineId;
  /** How many machines it was for when it began. */
  readonly total: number;
  returned: number;
  /** Machines that were lost or taken before they could be returned. */
  failed: number;
  step: number;
  /** Deadline by the time of day, or null. */
  deadlineAt: number | null;
  readonly current: Map<MachineId, MachineDrain>;
}

/** Why a drain, or one of its machines, does not go on at this moment. */
export type Blocker =
  | {
      readonly kind: 'budget';
      readonly scope: string;
      readonly used: number;
      readonly limit: number;
    }
  | {
      readonly kind: 'window-budget';
      readonly scope: string;
      readonly used: number;
      readonly limit: number;
      readonly withinS: number;
    }
  | { readonly kind: 'no-capacity'; readonly of: string }
  | { readonly kind: 'replacement-booting'; readonly request: RequestName }
  | { readonly kind: 'replacement-failed'; readonly tries: number }
  | { readonly kind: 'work-ends-by-itself'; readonly tasks: number; readonly inS: number }
  | { readonly kind: 'work-stops'; readonly tasks: number }
  | { readonly kind: 'replica-needs-room'; readonly job: string }
  | { readonly kind: 'work-runs-again'; readonly tasks: number }
  | { readonly kind: 'head-needs-it'; readonly job: string }
  | { readonly kind: 'return-unconfirmed' }
  | { readonly kind: 'being-lost' }
  | { readonly kind: 'storing' }
  | { readonly kind: 'results-kept'; readonly tasks: number }
  | { readonly kind: 'grant-lapsed'; readonly job: string }
  | { readonly kind: 'busy-elsewhere'; readonly machines: number }
  | { readonly kind: 'fleet-unsettled' };

/** One sentence for operators. */
export const describeBlocker = (blocker: Blocker): string => {
  switch (blocker.kind) {
    case 'budget':
      return blocker.limit === 0
        ? `budget of ${blocker.scope} is 0: none of its work may be disrupted`
        : `budget of ${blocker.scope}: ${blocker.used} of ${blocker.limit} disrupted`;
    case 'window-budget':
      return `budget of ${blocker.scope}: ${blocker.used} of ${blocker.limit} disrupted within ${blocker.withinS} s`;
    case 'no-capacity':
      return `the cloud has no capacity for ${blocker.of}`;
    case 'replacement-booting':
      return `its replacement (${blocker.request}) is not ready`;
    case 'replacement-failed':
      return `${blocker.tries} replacements never became ready`;
    case 'work-ends-by-itself':
      return `${blocker.tasks} tasks are let run to their end, by estimate in ${blocker.inS} s`;
    case 'work-stops':
      return `${blocker.tasks} tasks are stopping`;
    case 'replica-needs-room':
      return `a replica of ${blocker.job} finds no room elsewhere`;
    case 'work-runs-again':
      return `${blocker.tasks} tasks of the last step do not run again yet`;
    case 'head-needs-it':
      return `no other machine could ever fit ${blocker.job}, the head of the queue`;
    case 'return-unconfirmed':
      return 'the cloud has not confirmed its return';
    case 'being-lost':
      return 'it is lost, or the cloud takes it';
    case 'storing':
      return 'its last change is being stored';
    case 'results-kept':
      return `${blocker.tasks} tasks have ended, and their results are being stored`;
    case 'grant-lapsed':
      return `a replica of ${blocker.job} found no room elsewhere in time; it is tried again soon`;
    case 'busy-elsewhere':
      return `${blocker.machines} machines are part of another drain, have not reported, or are about to go`;
    case 'fleet-unsettled':
      return 'a new leader waits for the machines to report';
  }
};
