/**
 * Replacements of drained machines. Those of one kind in a step are rented together, under a name that is stored before it is
 * sent. A repeat of a name rents nothing new, so that a request without an answer, or of a former leader, is sent again.
 */
import type {
  FleetView,
  MachineId,
  MachineView,
  Moment,
  RequestName,
} from '@robinspread/extension-api';
import { isGoing } from './selection.js';
import type { DrainSettings } from './settings.js';
import type { Turn } from './turn.js';
import type { Blocker, MachineDrain, RentalSlot } from './types.js';

/** A request for machines, and what is known of its answer. */
interface Rental {
  readonly of: number;
  underWay: boolean;
  refusals: number;
  retryAt: number;
  /** The machines that it rented; null: not known yet. */
  machines: readonly MachineId[] | null;
}

/** How long the replacement of one machine has been waited for. */
interface Watch {
  since: number;
  /** It has been seen ready. */
  wasReady: boolean;
}

/** Reports that a machine may miss and still count as ready. */
const QUIET_REPORTS = 2;
const UNANSWERED_RETRY_MS = 5000;
const REFUSED_RETRY_MS = 4000;
const MOST_RETRY_MS = 60_000;
/** After this many failed replacements the operator is told so. */
const MANY_TRIES = 3;
/** Machines that the cloud rents out by one request. */
const MOST_AT_ONCE = 50;

/** What became of a replacement: ready, waited for, or given up for another one. */
export type ReplacementState =
  | { readonly kind: 'ready' }
  | { readonly kind: 'blocked'; readonly blocker: Blocker }
  | { readonly kind: 'given-up' };

const READY: ReplacementState = { kind: 'ready' };
const GIVEN_UP: ReplacementState = { kind: 'given-up' };

/** It obeys this leader's term, reports, and may take work. */
const isReady = (machine: MachineView, fleet: FleetView, { now }: Moment): boolean =>
  machine.hasReported &&
  machine.isReady &&
  !machine.isCordoned &&
  !isGoing(machine) &&
  now - machine.lastHeartbeatAt <= QUIET_REPORTS * fleet.heartbeatIntervalMs;

const kindOf = ({ type, zone, spot }: MachineView): string => `${type}/${zone}/${spot}`;

const describeKind = ({ type, zone, spot }: MachineView): string =>
  `${type} in ${zone} (${spot ? 'spot' : 'ordinary'})`;

export class Replacements {
  private readonly rentals = new Map<RequestName, Rental>();
  private readonly watches = new Map<MachineDrain, Watch>();
  private nextRequest = 1;

  constructor(private readonly settings: DrainSettings) {}

  /** A name that no leader has used or ever will: it holds the term. */
  private newName({ fleet }: Turn): RequestName {
    const name = `drain-${fleet.fencingToken}-${this.nextRequest}` as RequestName;
    this.nextRequest += 1;
    return name;
  }

  /** A place in a request for each of these machines; one request for as many of a kind as the cloud rents at once. */
  slotsFor(machines: readonly MachineView[], turn: Turn): Map<MachineId, RentalSlot> {
    const byKind = new Map<string, MachineId[]>();
    for (const machine of machines) {
      const kind = kindOf(machine);
      const same = byKind.get(kind);
      if (same) same.push(machine.id);
      else byKind.set(kind, [machine.id]);
    }
    const slots = new Map<MachineId, RentalSlot>();
    for (const ids of byKind.values()) {
      for (let from = 0; from < ids.length; from += MOST_AT_ONCE) {
        const together = ids.slice(from, from + MOST_AT_ONCE);
        const request = this.newName(turn);
        for (const [slot, id] of together.entries())
          slots.set(id, { request, slot, of: together.length });
      }
    }
    return slots;
  }

  /** A request for another replacement of one machine. */
  anotherSlot(turn: Turn): RentalSlot {
    return { request: this.newName(turn), slot: 0, of: 1 };
  }

  private rentalOf({ request, of }: RentalSlot, tries: number, { now }: Moment): Rental {
    let rental = this.rentals.get(request);
    if (!rental) {
      const retryAt = tries > 1 ? now + this.pauseMs(tries) : now;
      rental = { of, underWay: false, refusals: 0, retryAt, machines: null };
      this.rentals.set(request, rental);
    }
    return rental;
  }

  private pauseMs(tries: number): number {
    return Math.min(MOST_RETRY_MS, REFUSED_RETRY_MS * 2 ** Math.min(tries, 6));
  }

  /** Rents what is missing, and tells whether the replacement is ready. `of`: the machine that it replaces. */
  advance(machineDrain: MachineDrain, of: MachineView, turn: Turn): ReplacementState {
    const { rental: slot, replacement, tries } = machineDrain;
    if (slot === null) return GIVEN_UP;
    if (replacement !== null) return this.watch(machineDrain, slot, replacement, turn);
    const rental = this.rentalOf(slot, tries, turn.moment);
    // Fewer machines were rented than asked for: this one is asked for anew.
    if (rental.machines !== null) return GIVEN_UP;
    return this.rent(rental, slot, of, tries, turn);
  }

  private rent(
    rental: Rental,
    { request }: RentalSlot,
    machine: MachineView,
    tries: number,
    turn: Turn,
  ): ReplacementState {
    const { now } = turn.moment;
    if (!rental.underWay && now >= rental.retryAt) {
      rental.underWay = true;
      const { type, zone, spot } = machine;
      turn.requests.push({ kind: 'provision', request, type, zone, spot, count: rental.of });
    }
    if (rental.refusals > 0)
      return { kind: 'blocked', blocker: { kind: 'no-capacity', of: describeKind(machine) } };
    if (tries > MANY_TRIES)
      return { kind: 'blocked', blocker: { kind: 'replacement-failed', tries: tries - 1 } };
    return { kind: 'blocked', blocker: { kind: 'replacement-booting', request } };
  }

  private watch(
    machineDrain: MachineDrain,
    { request }: RentalSlot,
    id: MachineId,
    turn: Turn,
  ): ReplacementState {
    const { fleet, moment } = turn;
    const watch = this.watches.get(machineDrain) ?? { since: moment.now, wasReady: false };
    this.watches.set(machineDrain, watch);
    const machine = fleet.machines.get(id);
    if (machine && isReady(machine, fleet, moment)) {
      watch.wasReady = true;
      return READY;
    }
    const overdue = moment.now - watch.since > this.settings.readyTimeoutS * 1000;
    const gone = machine ? isGoing(machine) : watch.wasReady;
    if (!gone && !overdue)
      return { kind: 'blocked', blocker: { kind: 'replacement-booting', request } };
    this.watches.delete(machineDrain);
    return GIVEN_UP;
  }

  /** The cloud's answer; true when it names machines. */
  answered(
    request: RequestName,
    result: 'ok' | 'refused' | 'unknown',
    machines: readonly MachineId[],
    { now }: Moment,
  ): boolean {
    const rental = this.rentals.get(request);
    if (!rental) return false;
    rental.underWay = false;
    if (result === 'ok' && machines.length > 0) {
      rental.machines = machines;
      return true;
    }
    if (result === 'unknown') rental.retryAt = now + UNANSWERED_RETRY_MS;
    else {
      rental.refusals += 1;
      rental.retryAt = now + Math.min(MOST_RETRY_MS, REFUSED_RETRY_MS * rental.refusals);
    }
    return false;
  }

  /** The machine that an answered request rented for this place; null: none. */
  machineFor({ request, slot }: RentalSlot): MachineId | null {
    return this.rentals.get(request)?.machines?.[slot] ?? null;
  }

  /** The machine's drain is over, or it gets another replacement. */
  forget(machineDrain: MachineDrain): void {
    this.watches.delete(machineDrain);
  }

  /** Drops requests that no machine waits for any more. */
  prune(isWanted: (request: RequestName) => boolean): void {
    for (const [request, { underWay }] of this.rentals) {
      if (!underWay && !isWanted(request)) this.rentals.delete(request);
    }
  }
}
