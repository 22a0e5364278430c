/**
 * On-demand machines that are reserved for services which may use no others, so that the next such
 * service finds capacity at once.
 */

import type { CoreState } from '../core-state.js';
import type { Job, Machine } from '../model/entities.js';
import type { ZoneName } from '../model/ids.js';
import { isService } from '../model/job.js';
import { type Instant, seconds } from '../model/time.js';
import { isFirstTaskOverdue } from './ranking.js';
import { isBeingVacated, isLiveReplica } from './services.js';

/** How long after the last such service machines stay reserved for the next one. */
const RESERVATION_RETENTION_MS = seconds(240);
/** Reserved over what the present services take, so that their replicas can move. */
const LIVE_SERVICES_FACTOR = 1.5;
/** How many services as large as the largest of late find capacity at once. */
const LARGEST_SERVICE_FACTOR = 2;

/** Whether it is a live service that may use on-demand machines only. */
const isLiveOnDemandService = (job: Job): boolean =>
  isService(job) && !job.spec.allowsSpot && job.terminalState === 'none';

/**
 * Processors on on-demand machines that are provisioned and reserved for services: what the present
 * ones take, half as much again, and twice the largest seen of late; 0 once there were none for a
 * while. Records in the state when such a service was last seen, and the largest.
 */
export const updateReservedOnDemandCpus = (state: CoreState, now: Instant): number => {
  let cpus = 0;
  for (const job of state.jobs.values()) {
    if (!isLiveOnDemandService(job)) continue;
    const serviceCpus = job.spec.tasks * job.spec.cpus;
    cpus += serviceCpus;
    state.lastOnDemandServiceAt = now;
    state.largestServiceCpus = Math.max(state.largestServiceCpus, serviceCpus);
  }
  const { lastOnDemandServiceAt } = state;
  if (lastOnDemandServiceAt === null || now - lastOnDemandServiceAt > RESERVATION_RETENTION_MS) {
    state.largestServiceCpus = 0;
    return 0;
  }
  return cpus * LIVE_SERVICES_FACTOR + LARGEST_SERVICE_FACTOR * state.largestServiceCpus;
};

/** Whether an array has waited so long for its first task that nothing is reserved against it. */
const hasOverdueFirstTask = (state: CoreState, now: Instant): boolean => {
  const minWaitMs = seconds(state.config.policy.firstTaskAfterS);
  for (const job of state.jobs.values()) {
    if (isService(job) || job.terminalState !== 'none' || job.pendingTasks <= 0) continue;
    if (now >= job.retryAt && isFirstTaskOverdue(job, minWaitMs, now)) return true;
  }
  return false;
};

/** Which machines of a zone are reserved first: the higher, the earlier. */
const RESERVATION_RANK = { hasReplicas: 2, wasReserved: 1, other: 0 };

interface ReservationCandidate {
  readonly machine: Machine;
  readonly cpus: number;
  readonly rank: number;
}

const isReservable = (machine: Machine): boolean =>
  !machine.spot &&
  machine.hasReported &&
  !isBeingVacated(machine) &&
  !machine.isUnreachable &&
  machine.lostAt === null;

const rankReservation = (machine: Machine, wasReserved: boolean): number => {
  for (const placement of machine.placements.values())
    if (isLiveReplica(placement)) return RESERVATION_RANK.hasReplicas;
  return wasReserved ? RESERVATION_RANK.wasReserved : RESERVATION_RANK.other;
};

/** Lifts all reservations, and lists by zone the machines that may be reserved anew. */
const releaseReservations = (
  state: CoreState,
  neededCpus: number,
): Map<ZoneName, ReservationCandidate[]> => {
  const byZone = new Map<ZoneName, ReservationCandidate[]>();
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    const wasReserved = machine.isReservedForServices;
    machine.isReservedForServices = false;
    if (neededCpus <= 0 || !type || !isReservable(machine)) continue;
    const rank = rankReservation(machine, wasReserved);
    const candidate = { machine, cpus: type.cpus, rank };
    const inZone = byZone.get(machine.zone);
    if (inZone) inZone.push(candidate);
    else byZone.set(machine.zone, [candidate]);
  }
  return byZone;
};

/**
 * Chooses the on-demand machines that arrays which may use spot machines leave alone: those with
 * replicas first, then those reserved before. The zones take turns, so that a zone that is lost
 * leaves capacity in the others.
 */
export const reserveMachinesForServices = (state: CoreState, now: Instant): void => {
  // An overdue job lifts the reservation: there may be no other machines left to provision for it.
  let remainingCpus = hasOverdueFirstTask(state, now) ? 0 : updateReservedOnDemandCpus(state, now);
  const zones = [...releaseReservations(state, remainingCpus).values()];
  for (const zone of zones)
    zone.sort((a, b) => b.rank - a.rank || (a.machine.id < b.machine.id ? -1 : 1));
  for (
    let position = 0;
    remainingCpus > 0 && zones.some((zone) => position < zone.length);
    position += 1
  ) {
    for (const zone of zones) {
      const candidate = zone[position];
      if (!candidate || remainingCpus <= 0) continue;
      candidate.machine.isReservedForServices = true;
      remainingCpus -= candidate.cpus;
    }
  }
};
