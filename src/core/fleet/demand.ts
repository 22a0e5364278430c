/** Fleet capacity in processors: provisioned and requested (supply), and required (demand). */

import type { CoreState } from '../core-state.js';
import type { InstancePool, Machine } from '../model/entities.js';
import { isService } from '../model/job.js';
import type { Instant } from '../model/time.js';

/** Whether a machine counts as supply: it accepts work and is not about to leave the fleet. */
export const isSupply = (machine: Machine): boolean =>
  !machine.isDraining &&
  !machine.isCordoned &&
  !machine.isUnreachable &&
  !machine.isDeleting &&
  machine.lostAt === null &&
  machine.reclaimAt === null;

/** Processors of a machine; 0 if its type is unknown. */
export const machineCpus = (state: CoreState, machine: Machine): number =>
  state.types.get(machine.type)?.cpus ?? 0;

/** Number of machines in a pool's outstanding provision requests. */
export const countRequestedMachines = (pool: InstancePool): number => {
  let count = 0;
  for (const request of pool.outstandingRequests.values()) count += request.count;
  return count;
};

/** Returns `initialCpus` plus the processors of on-demand machines that count as supply. */
export const addOnDemandSupply = (state: CoreState, initialCpus: number): number => {
  let cpus = initialCpus;
  for (const machine of state.machines.values())
    if (!machine.spot && isSupply(machine)) cpus += machineCpus(state, machine);
  return cpus;
};

/** Processors that the fleet requires, and those that it has or has requested. */
export interface CapacityDemand {
  readonly requiredCpus: number;
  readonly suppliedCpus: number;
}

/** Sums the processors of unfinished tasks by team; updates `lastDemandAt` if there are any. */
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
 * Measures demand (unfinished tasks within each team's quota) and supply. For the policy's idle
 * time after the last demand, at least a share of the teams' guarantees is required.
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
