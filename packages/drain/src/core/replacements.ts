/**
 * Provisions replacements of drained machines. Machines of the same instance pool in a step share a
 * provision request, whose id is stored before it is sent. Requests are idempotent by id: one that
 * was not answered, or comes from a previous leader, can be sent again.
 */
import type {
  ExtensionEvent,
  FleetView,
  MachineId,
  MachineView,
  Moment,
  ProvisionRequestId,
} from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import type { DecisionContext } from './decision-context.js';
import type { MachineDrain, ReplacementSlot } from './drain.js';
import { isLeaving } from './machine-selection.js';
import type { DrainSettings } from './settings.js';

/** The cloud's answer to a provision request. */
export type ProvisionResult = Extract<ExtensionEvent, { kind: 'provision-result' }>;

/** A provision request and its outcome. */
interface ProvisionRequestState {
  /** Machines requested. */
  readonly count: number;
  isInFlight: boolean;
  refusals: number;
  /** The earliest time to send it, on the steady clock. */
  retryAt: number;
  /** The provisioned machines; null until the cloud has answered with them. */
  machines: readonly MachineId[] | null;
}

/** Tracks whether the replacement of one machine becomes ready in time. */
interface ReadinessWatch {
  /** Start, on the steady clock. */
  readonly since: number;
  /** Whether it has been ready. */
  wasReady: boolean;
}

/** Heartbeats that a machine may miss and still be ready. */
const MAX_MISSED_HEARTBEATS = 2;
const UNANSWERED_RETRY_MS = 5000;
const REFUSED_RETRY_MS = 4000;
const MAX_RETRY_MS = 60_000;
/** Limits the exponent only; the delay reaches `MAX_RETRY_MS` before that. */
const MAX_BACKOFF_DOUBLINGS = 6;
/** Operators see `replacement-failed` after this many failed replacements. */
const FAILURE_REPORT_THRESHOLD = 3;
/** The most machines that the cloud provisions per request. */
const MAX_MACHINES_PER_REQUEST = 50;

/** A replacement is ready, not ready yet (`blocked`), or given up for another one. */
export type ReplacementState =
  | { readonly kind: 'ready' }
  | { readonly kind: 'blocked'; readonly blocker: Blocker }
  | { readonly kind: 'given-up' };

const READY: ReplacementState = { kind: 'ready' };
const GIVEN_UP: ReplacementState = { kind: 'given-up' };
const blockedBy = (blocker: Blocker): ReplacementState => ({ kind: 'blocked', blocker });

/** Whether a machine accepts this leader's fencing token, reports, and may run work. */
const isReady = (machine: MachineView, fleet: FleetView, { now }: Moment): boolean =>
  machine.hasReported &&
  machine.isReady &&
  !machine.isCordoned &&
  !isLeaving(machine) &&
  now - machine.lastHeartbeatAt <= MAX_MISSED_HEARTBEATS * fleet.heartbeatIntervalMs;

const poolKeyOf = ({ type, zone, spot }: MachineView): string => `${type}/${zone}/${spot}`;

const describePool = ({ type, zone, spot }: MachineView): string =>
  `${type} in ${zone} (${spot ? 'spot' : 'ordinary'})`;

const groupByPool = (machines: readonly MachineView[]): Map<string, MachineId[]> => {
  const byPool = new Map<string, MachineId[]>();
  for (const machine of machines) {
    const key = poolKeyOf(machine);
    const samePool = byPool.get(key);
    if (samePool) samePool.push(machine.id);
    else byPool.set(key, [machine.id]);
  }
  return byPool;
};

const retryDelayMs = (replacementsRequested: number): number =>
  Math.min(
    MAX_RETRY_MS,
    REFUSED_RETRY_MS * 2 ** Math.min(replacementsRequested, MAX_BACKOFF_DOUBLINGS),
  );

/** Owns the provision requests of one leader's term, and tracks their replacements. */
export class Replacements {
  private readonly provisionRequests = new Map<ProvisionRequestId, ProvisionRequestState>();
  private readonly watches = new Map<MachineDrain, ReadinessWatch>();
  private nextRequest = 1;

  constructor(private readonly settings: DrainSettings) {}

  /** Returns an id that is unique across terms, as it contains the fencing token. */
  private nextRequestId({ fleet }: DecisionContext): ProvisionRequestId {
    const id = `drain-${fleet.fencingToken}-${this.nextRequest}` as ProvisionRequestId;
    this.nextRequest += 1;
    return id;
  }

  /** Allocates a slot for each machine, in as few requests per instance pool as possible. */
  allocateSlots(
    machines: readonly MachineView[],
    context: DecisionContext,
  ): Map<MachineId, ReplacementSlot> {
    const slots = new Map<MachineId, ReplacementSlot>();
    for (const ids of groupByPool(machines).values()) {
      for (let from = 0; from < ids.length; from += MAX_MACHINES_PER_REQUEST) {
        const together = ids.slice(from, from + MAX_MACHINES_PER_REQUEST);
        const request = this.nextRequestId(context);
        for (const [position, id] of together.entries())
          slots.set(id, { request, position, requested: together.length });
      }
    }
    return slots;
  }

  /** Allocates a slot in a new request for one machine. */
  allocateSlot(context: DecisionContext): ReplacementSlot {
    return { request: this.nextRequestId(context), position: 0, requested: 1 };
  }

  private requestStateOf(
    { request, requested }: ReplacementSlot,
    replacementsRequested: number,
    { now }: Moment,
  ): ProvisionRequestState {
    let state = this.provisionRequests.get(request);
    if (!state) {
      const delayMs = replacementsRequested > 1 ? retryDelayMs(replacementsRequested) : 0;
      const retryAt = now + delayMs;
      state = { count: requested, isInFlight: false, refusals: 0, retryAt, machines: null };
      this.provisionRequests.set(request, state);
    }
    return state;
  }

  /** Requests the replacement of `machine` if necessary, and returns its state. */
  advance(
    machineDrain: MachineDrain,
    machine: MachineView,
    context: DecisionContext,
  ): ReplacementState {
    const { replacementSlot: slot, replacement, replacementsRequested } = machineDrain;
    if (slot === null) return GIVEN_UP;
    if (replacement !== null) return this.checkReadiness(machineDrain, slot, replacement, context);
    const state = this.requestStateOf(slot, replacementsRequested, context.moment);
    // Fewer machines were provisioned than requested, so this slot needs a new request.
    if (state.machines !== null) return GIVEN_UP;
    this.provision(state, slot, machine, context);
    if (state.refusals > 0) return blockedBy({ kind: 'no-capacity', pool: describePool(machine) });
    if (replacementsRequested > FAILURE_REPORT_THRESHOLD)
      return blockedBy({ kind: 'replacement-failed', tries: replacementsRequested - 1 });
    return blockedBy({ kind: 'replacement-booting', request: slot.request });
  }

  /** Sends the request unless it is in flight or its retry is not due. */
  private provision(
    state: ProvisionRequestState,
    { request }: ReplacementSlot,
    { type, zone, spot }: MachineView,
    { moment, requests }: DecisionContext,
  ): void {
    if (state.isInFlight || moment.now < state.retryAt) return;
    state.isInFlight = true;
    requests.push({ kind: 'provision', request, type, zone, spot, count: state.count });
  }

  private checkReadiness(
    machineDrain: MachineDrain,
    { request }: ReplacementSlot,
    replacement: MachineId,
    { fleet, moment }: DecisionContext,
  ): ReplacementState {
    const watch = this.watches.get(machineDrain) ?? { since: moment.now, wasReady: false };
    this.watches.set(machineDrain, watch);
    const machine = fleet.machines.get(replacement);
    if (machine && isReady(machine, fleet, moment)) {
      watch.wasReady = true;
      return READY;
    }
    const isOverdue = moment.now - watch.since > this.settings.readyTimeoutS * 1000;
    const isGone = machine ? isLeaving(machine) : watch.wasReady;
    if (!isGone && !isOverdue) return blockedBy({ kind: 'replacement-booting', request });
    this.watches.delete(machineDrain);
    return GIVEN_UP;
  }

  /** Handles the cloud's answer; returns true if machines were provisioned. */
  handleProvisionResult({ request, result, machines }: ProvisionResult, { now }: Moment): boolean {
    const state = this.provisionRequests.get(request);
    if (!state) return false;
    state.isInFlight = false;
    if (result === 'ok' && machines.length > 0) {
      state.machines = machines;
      return true;
    }
    if (result === 'unknown') state.retryAt = now + UNANSWERED_RETRY_MS;
    else {
      state.refusals += 1;
      state.retryAt = now + Math.min(MAX_RETRY_MS, REFUSED_RETRY_MS * state.refusals);
    }
    return false;
  }

  /** The machine that was provisioned for the slot; null if there is none. */
  machineFor({ request, position }: ReplacementSlot): MachineId | null {
    return this.provisionRequests.get(request)?.machines?.[position] ?? null;
  }

  /** Ends the watch for a machine that leaves its drain or gets another replacement. */
  stopWatching(machineDrain: MachineDrain): void {
    this.watches.delete(machineDrain);
  }

  /** Drops requests that are neither in flight nor needed any more. */
  pruneUnneeded(isNeeded: (request: ProvisionRequestId) => boolean): void {
    for (const [request, { isInFlight }] of this.provisionRequests) {
      if (!isInFlight && !isNeeded(request)) this.provisionRequests.delete(request);
    }
  }
}
