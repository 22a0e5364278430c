/** Supply and demand of the fleet, in processors: what is provisioned, requested and needed. */

import type { CoreState } from '../core-state.js';
import type { InstancePool, Machine } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';

/** Whether a machine counts as supply: it is there to stay and takes work. */
export const isSupply = (machine: Machine): boolean =>
  !machine.isDraining &&
  !machine.isCordoned &&
  !machine.isUnreachable &&
  !machine.isDeleting &&
  machine.lostAt === null &&
  machine.reclaimAt === null;

/** Processors of a machine; 0 while its type is not known. */
export const machineCpus = (state: CoreState, machine: Machine): number =>
  state.types.get(machine.type)?.cpus ?? 0;

/** Machines of a pool that are requested and have not been answered for. */
export const countRequestedMachines = (pool: InstancePool): number => {
  let count = 0;
  for (const request of pool.outstandingRequests.values()) count += request.count;
  return count;
};

/** Adds the processors of on-demand machines that count as supply to `initialCpus`. */
export const addOnDemandSupply = (state: CoreState, initialCpus: number): number => {
  let cpus = initialCpus;
  for (const machine of state.machines.values())
    if (!machine.spot && isSupply(machine)) cpus += machineCpus(state, machine);
  return cpus;
};

/** Processors that the fleet should have, and those that it has or has requested. */
export interface CapacityDemand {
  readonly requiredCpus: number;
  readonly suppliedCpus: number;
}

/** Processors of unfinished work by team. Notes in the state that there is some. */
const collectTeamDemand = (state: CoreState, now: Instant): Map<string, number> => {
  const cpusByTeam = new Map<string, number>();
  for (const job of state.jobs.values()) {
    if (job.terminalState !== 'none' || (now < job.retryAt && !isService(job))) continue;
    const cpus = (job.spec.tasks - job.doneCount) * job.spec.cpus;
    cpusByTeam.set(job.spec.team, (cpusByTeam.get(job.spec.team) ?? 0) + cpus);
    state.lastDemandAt = now;
  }
  return cpusByTeam;
};

/**
 * Compares unfinished work, within the teams' limits, with supply. Until the fleet has been
 * without work for the policy's idle time, a share of the teams' guarantees is the least required.
 */
export const measureDemand = (state: CoreState, now: Instant): CapacityDemand => {
  const { policy, teams } = state.config;
  const cpusByTeam = collectTeamDemand(state, now);
  let demand = 0;
  let guarantees = 0;
  for (const team of teams.values()) {
    demand += Math.min(cpusByTeam.get(team.name) ?? 0, team.cpusMax);
    guarantees += team.cpus;
  }
  let suppliedCpus = 0;
  for (const machine of state.machines.values())
    if (isSupply(machine)) suppliedCpus += machineCpus(state, machine);
  for (const pool of state.instancePools.values())
    suppliedCpus += countRequestedMachines(pool) * pool.type.cpus;
  const hasRecentDemand = now - state.lastDemandAt < policy.scaleInAfterIdleS * 1000;
  const baseline = hasRecentDemand ? policy.baselineCapacityShare * guarantees : 0;
  return { requiredCpus: Math.max(demand * policy.capacityHeadroom, baseline), suppliedCpus };
};
