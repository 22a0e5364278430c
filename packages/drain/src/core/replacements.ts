/**
 * Replacements of drained machines: one request for each machine, under a name that is stored before it is sent. A repeat of a
 * name rents nothing new, so that a request without an answer, or of a former leader, is simply sent again.
 */
import type { FleetView, MachineId, MachineView, Moment, RequestName } from '@robinspread/extension-api';
import { isGoing } from './selection.js';
import type { DrainSettings } from './settings.js';
import type { Turn } from './turn.js';
import type { Blocker, MachineDrain } from './types.js';

/** A rental that is under way or has been answered. */
interface Rental {
  readonly machineDrain: MachineDrain;
  /** Since when its machine is waited for: the cloud's answer, or this leader's first look. */
  since: number;
  underWay: boolean;
  refusals: number;
  retryAt: number;
  /** The machine has been seen ready. */
  wasReady: boolean;
}

/** Reports that a machine may miss and still count as ready. */
const QUIET_REPORTS = 2;
const UNANSWERED_RETRY_MS = 5000;
const REFUSED_RETRY_MS = 4000;
const MOST_RETRY_MS = 60_000;
/** After this many failed replacements the operator is told so. */
const MANY_TRIES = 3;

/** What became of a replacement: ready, waited for, or given up for another one. */
export type ReplacementState =
  | { readonly kind: 'ready' }
  | { readonly kind: 'blocked'; readonly blocker: Blocker }
  | { readonly kind: 'given-up' };

const READY: ReplacementState = { kind: 'ready' };
const GIVEN_UP: ReplacementState = { kind: 'given-up' };

/** It obeys this leader's term, reports, and may take work. */
const isReady = (machine: MachineView, fleet: FleetView, { now }: Moment): boolean =>
  machine.everSeen &&
  machine.ready &&
  !machine.cordoned &&
  !isGoing(machine) &&
  now - machine.lastSeen <= QUIET_REPORTS * fleet.reportMs;

export class Replacements {
  private readonly rentals = new Map<RequestName, Rental>();
  private nextRequest = 1;

  constructor(private readonly settings: DrainSettings) {}

  /** A name that no leader has used or ever will: it holds the term. */
  newName({ fleet }: Turn): RequestName {
    const name = `drain-${fleet.term}-${this.nextRequest}` as RequestName;
    this.nextRequest += 1;
    return name;
  }

  private rentalOf(machineDrain: MachineDrain, request: RequestName, { now }: Moment): Rental {
    let rental = this.rentals.get(request);
    if (!rental) {
      const retryAt = machineDrain.tries > 1 ? now + this.pauseMs(machineDrain.tries) : now;
      rental = { machineDrain, since: now, underWay: false, refusals: 0, retryAt, wasReady: false };
      this.rentals.set(request, rental);
    }
    return rental;
  }

  private pauseMs(tries: number): number {
    return Math.min(MOST_RETRY_MS, REFUSED_RETRY_MS * 2 ** Math.min(tries, 6));
  }

  /** Rents what is missing, and tells whether the replacement is ready. `of`: the machine that it replaces. */
  advance(machineDrain: MachineDrain, of: MachineView, turn: Turn): ReplacementState {
    const { request, replacement } = machineDrain;
    if (request === null) return GIVEN_UP;
    const rental = this.rentalOf(machineDrain, request, turn.moment);
    if (replacement === null) return this.rent(rental, request, of, turn);
    return this.watch(rental, request, replacement, turn);
  }

  private rent(rental: Rental, request: RequestName, of: MachineView, turn: Turn): ReplacementState {
    const { now } = turn.moment;
    if (!rental.underWay && now >= rental.retryAt) {
      rental.underWay = true;
      const { type, zone, spot } = of;
      turn.requests.push({ kind: 'rent', request, type, zone, spot, count: 1 });
    }
    const { tries } = rental.machineDrain;
    if (rental.refusals > 0) {
      const kind = `${of.type} in ${of.zone} (${of.spot ? 'spot' : 'ordinary'})`;
      return { kind: 'blocked', blocker: { kind: 'no-capacity', of: kind } };
    }
    if (tries > MANY_TRIES)
      return { kind: 'blocked', blocker: { kind: 'replacement-failed', tries: tries - 1 } };
    return { kind: 'blocked', blocker: { kind: 'replacement-booting', request } };
  }

  private watch(rental: Rental, request: RequestName, id: MachineId, turn: Turn): ReplacementState {
    const { fleet, moment } = turn;
    const machine = fleet.machines.get(id);
    if (machine && isReady(machine, fleet, moment)) {
      rental.wasReady = true;
      return READY;
    }
    const overdue = moment.now - rental.since > this.settings.readyTimeoutS * 1000;
    const gone = machine ? isGoing(machine) : rental.wasReady;
    if (!gone && !overdue) return { kind: 'blocked', blocker: { kind: 'replacement-booting', request } };
    this.rentals.delete(request);
    return GIVEN_UP;
  }

  /** The cloud's answer; true when it names the machine. */
  answered(
    request: RequestName,
    result: 'ok' | 'refused' | 'unknown',
    machines: readonly MachineId[],
    { now }: Moment,
  ): MachineDrain | null {
    const rental = this.rentals.get(request);
    if (!rental) return null;
    rental.underWay = false;
    const [machine] = machines;
    if (result === 'ok' && machine !== undefined) {
      rental.machineDrain.replacement = machine;
      rental.since = now;
      return rental.machineDrain;
    }
    if (result === 'unknown') rental.retryAt = now + UNANSWERED_RETRY_MS;
    else {
      rental.refusals += 1;
      rental.retryAt = now + Math.min(MOST_RETRY_MS, REFUSED_RETRY_MS * rental.refusals);
    }
    return null;
  }

  /** The machine's drain is over, or it gets another replacement. */
  forget(request: RequestName | null): void {
    if (request !== null) this.rentals.delete(request);
  }
}
