/** What the fleet has, is about to have, and needs. */
import type { CoreState, Machine, RentOption } from '../state.js';
import { type Instant, isService } from '../types.js';

/** A machine that counts as supply: it is there to stay. */
export const counted = (m: Machine): boolean =>
  !m.draining &&
  !m.cordoned &&
  !m.deaf &&
  !m.deleting &&
  m.lostAt === null &&
  m.noticeUntil === null;

/** Machines of a kind that are being asked for. */
export const asked = (option: RentOption): number => {
  let count = 0;
  for (const request of option.outstanding.values()) count += request.count;
  return count;
};

/** Processors that are needed, and that are rented or asked for. */
export interface Need {
  readonly cpus: number;
  readonly supply: number;
}

/** Compares the unfinished work and the guarantees with what is rented. */
export const measure = (state: CoreState, now: Instant): Need => {
  const { policy, teams } = state.config;
  const byTeam = new Map<string, number>();
  for (const job of state.jobs.values()) {
    if (job.final !== 'none' || (now < job.retryAt && !isService(job))) continue;
    const cpus = (job.spec.tasks - job.doneCount) * job.spec.cpus;
    byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + cpus);
    state.lastWorkAt = now;
  }
  let demand = 0;
  let guarantees = 0;
  for (const team of teams.values()) {
    demand += Math.min(byTeam.get(team.name) ?? 0, team.cpusMax);
    guarantees += team.cpus;
  }
  let supply = 0;
  for (const m of state.machines.values())
    if (counted(m)) supply += state.types.get(m.type)?.cpus ?? 0;
  for (const o of state.options.values()) supply += asked(o) * o.type.cpus;
  const busy = now - state.lastWorkAt < policy.idleReturnS * 1000;
  const standing = busy ? policy.standingShare * guarantees : 0;
  return { cpus: Math.max(demand * policy.headroom, standing), supply };
};
