/** What the fleet has, is about to have, and needs. */
import type { CoreState } from '../core-state.js';
import type { InstancePool, Machine } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';

/** A machine that counts as supply: it is there to stay. */
export const countsAsSupply = (machine: Machine): boolean =>
  !machine.isDraining &&
  !machine.isCordoned &&
  !machine.isUnreachable &&
  !machine.isDeleting &&
  machine.lostAt === null &&
  machine.reclaimAt === null;

/** Machines of a kind that are being asked for. */
export const requestedMachines = (pool: InstancePool): number => {
  let count = 0;
  for (const request of pool.outstandingRequests.values()) count += request.count;
  return count;
};

/** Processors that are needed, and that are rented or asked for. */
export interface CapacityDemand {
  readonly cpus: number;
  readonly supply: number;
}

/** Compares the unfinished work and the guarantees with what is rented. */
export const measureDemand = (state: CoreState, now: Instant): CapacityDemand => {
  const { policy, teams } = state.config;
  const byTeam = new Map<string, number>();
  for (const job of state.jobs.values()) {
    if (job.terminalState !== 'none' || (now < job.retryAt && !isService(job))) continue;
    const cpus = (job.spec.tasks - job.doneCount) * job.spec.cpus;
    byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + cpus);
    state.lastDemandAt = now;
  }
  let demand = 0;
  let guarantees = 0;
  for (const team of teams.values()) {
    demand += Math.min(byTeam.get(team.name) ?? 0, team.cpusMax);
    guarantees += team.cpus;
  }
  let supply = 0;
  for (const machine of state.machines.values())
    if (countsAsSupply(machine)) supply += state.types.get(machine.type)?.cpus ?? 0;
  for (const pool of state.instancePools.values())
    supply += requestedMachines(pool) * pool.type.cpus;
  const busy = now - state.lastDemandAt < policy.scaleInAfterIdleS * 1000;
  const standing = busy ? policy.baselineCapacityShare * guarantees : 0;
  return { cpus: Math.max(demand * policy.capacityHeadroom, standing), supply };
};
