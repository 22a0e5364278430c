/**
 * Reserves on-demand machines for on-demand services, which may not use spot machines, so that the
 * next such service finds capacity at once.
 */

import type { CoreState } from '../core-state.js';
import type { Job, Machine } from '../model/entities.js';
import type { ZoneName } from '../model/ids.js';
import { isService } from '../model/job.js';
import { type Instant, seconds } from '../model/time.js';
import { isFirstTaskOverdue } from './ranking.js';
import { isBeingVacated, isLiveReplica } from './services.js';

/** How long machines stay reserved after the last on-demand service has ended. */
const RESERVATION_RETENTION_MS = seconds(240);
/** Capacity reserved for live services, as a multiple of theirs, so that replicas can move. */
const LIVE_SERVICES_FACTOR = 1.5;
/** How many services as large as the largest recent one find capacity at once. */
const LARGEST_SERVICE_FACTOR = 2;

/** Whether the job is an unfinished service that may use on-demand machines only. */
const isLiveOnDemandService = (job: Job): boolean =>
  isService(job) && !job.spec.allowsSpot && job.terminalState === 'none';

/**
 * The processors of on-demand machines to provision and reserve for services: 1.5 times those of
 * the live on-demand services, plus twice the largest recent one; 0 once there has been none for
 * `RESERVATION_RETENTION_MS`. Records in the state when one was last seen, and the largest size.
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

/** Whether an array has waited so long for its first task that the reservation is suspended. */
const hasOverdueFirstTask = (state: CoreState, now: Instant): boolean => {
  const minWaitMs = seconds(state.config.policy.firstTaskAfterS);
  for (const job of state.jobs.values()) {
    if (isService(job) || job.terminalState !== 'none' || job.pendingTasks <= 0) continue;
    if (now >= job.retryAt && isFirstTaskOverdue(job, minWaitMs, now)) return true;
  }
  return false;
};

/** Order in which a zone's machines are reserved, the highest rank first. */
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

/** Clears all reservations, and lists by zone the machines that may be reserved again. */
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
 * Reserves on-demand machines, which excludes arrays that may use spot machines: machines with
 * replicas first, then those reserved before. Zones take turns, so that the loss of one leaves
 * capacity in the others.
 */
export const reserveMachinesForServices = (state: CoreState, now: Instant): void => {
  // Suspended for an overdue array: the cloud may have no other machines left for it.
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
