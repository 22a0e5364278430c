/**
 * Standing services: where their replicas go, what is kept for them, and how they move. Their replicas have no end that
 * could be estimated, so that the ordinary path of backfilling, which lives on estimated ends, has no place for them: see
 * docs/design.md, "Services".
 */

import type { CoreState } from '../core-state.js';
import { occupiesMachine } from '../lifecycle/attempts.js';
import { failsEverywhere } from '../lifecycle/job-tasks.js';
import type { Job, Machine, Placement } from '../model/entities.js';
import type { ImageName } from '../model/ids.js';
import { isService, PRIORITY_LEVEL } from '../model/job.js';
import { type Instant, seconds } from '../model/time.js';

/** Replicas of critical services go ahead of the queue; those of others wait in it. */
export const hasQueuePrecedence = (job: Job): boolean =>
  isService(job) && PRIORITY_LEVEL[job.spec.priority] === 3;

/** A service that only ordinary machines suit. */
const needsOnDemand = (job: Job): boolean =>
  isService(job) && !job.spec.allowsSpot && job.terminalState === 'none';

/** The machine is about to go: replicas on it move. */
export const isBeingVacated = (machine: Machine): boolean =>
  (machine.reclaimAt !== null || machine.isDraining || machine.isCordoned) &&
  machine.lostAt === null &&
  !machine.isDeleting;

/** A replica that keeps its machine from going, or will when it is told to. */
export const isReplica = (placement: Placement): boolean =>
  placement.job !== null &&
  isService(placement.job) &&
  placement.job.terminalState === 'none' &&
  occupiesMachine(placement.phase);

const SEEN_FOR_MS = seconds(240);

/**
 * Processors on ordinary machines that are rented and kept for services that may use no others: what those take that there
 * are, half as much again, and twice the largest seen of late, so that the next one finds room at once.
 */
export const onDemandCpusForServices = (state: CoreState, now: Instant): number => {
  let cpus = 0;
  for (const job of state.jobs.values()) {
    if (!needsOnDemand(job)) continue;
    const size = job.spec.tasks * job.spec.cpus;
    cpus += size;
    state.lastOnDemandServiceAt = now;
    state.largestServiceCpus = Math.max(state.largestServiceCpus, size);
  }
  if (state.lastOnDemandServiceAt === null || now - state.lastOnDemandServiceAt > SEEN_FOR_MS) {
    state.largestServiceCpus = 0;
    return 0;
  }
  return cpus * 1.5 + 2 * state.largestServiceCpus;
};

const hasStarvingJob = (state: CoreState, now: Instant): boolean => {
  const waitedMs = seconds(state.config.policy.firstTaskAfterS);
  for (const job of state.jobs.values()) {
    if (
      isService(job) ||
      job.terminalState !== 'none' ||
      job.attemptsByTask.size > 0 ||
      job.pendingTasks <= 0
    )
      continue;
    if (job.doneCount === 0 && now - job.submittedAt >= waitedMs && now >= job.retryAt) return true;
  }
  return false;
};

/**
 * Which ordinary machines arrays that may use cheap ones leave alone. Those that have replicas first, then those that were kept
 * before, taking turns among the zones, so that a zone that is lost leaves room in the others.
 */
export const reserveMachinesForServices = (state: CoreState, now: Instant): void => {
  // Nothing is kept from a job that has long waited for a first machine: there may be no others left to rent.
  let left = hasStarvingJob(state, now) ? 0 : onDemandCpusForServices(state, now);
  const byZone = new Map<string, { m: Machine; cpus: number; rank: number }[]>();
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    const was = machine.isReservedForServices;
    machine.isReservedForServices = false;
    if (
      left <= 0 ||
      machine.spot ||
      !type ||
      !machine.hasReported ||
      isBeingVacated(machine) ||
      machine.isUnreachable ||
      machine.lostAt !== null
    )
      continue;
    let replicas = 0;
    for (const placement of machine.placements.values()) if (isReplica(placement)) replicas += 1;
    const rank = replicas > 0 ? 2 : was ? 1 : 0;
    const list = byZone.get(machine.zone);
    const item = { m: machine, cpus: type.cpus, rank };
    if (list) list.push(item);
    else byZone.set(machine.zone, [item]);
  }
  const zones = [...byZone.values()];
  for (const zone of zones) zone.sort((a, b) => b.rank - a.rank || (a.m.id < b.m.id ? -1 : 1));
  for (let turn = 0; left > 0 && zones.some((zone) => turn < zone.length); turn += 1) {
    for (const zone of zones) {
      const item = zone[turn];
      if (!item || left <= 0) continue;
      item.m.isReservedForServices = true;
      left -= item.cpus;
    }
  }
};

/** What a round knows of a machine with room, as far as services ask. */
export interface ServiceCapacity {
  readonly machine: Machine;
  readonly type: { readonly fetchGbPerS: number; readonly cpus: number };
}

/**
 * How long until a replica would run there: its start goes out with the answer to a check-in, then the image is fetched. What a
 * machine fetches at the same time shares its rate.
 */
const estimatedStartMs = (
  state: CoreState,
  job: Job,
  { machine, type }: ServiceCapacity,
  now: Instant,
): number => {
  const checkIn = machine.pendingReply
    ? 0
    : Math.max(0, machine.lastHeartbeatAt + state.config.heartbeatIntervalMs - now);
  const there = new Set<ImageName>();
  const fetching = new Map<ImageName, number>();
  for (const placement of machine.placements.values()) {
    if (!placement.job) continue;
    const { image, imageGb } = placement.job.spec;
    if (placement.phase === 'running' || placement.phase === 'checkpointing') there.add(image);
    else if (placement.phase !== 'ended' && placement.phase !== 'unconfirmed')
      fetching.set(image, imageGb);
  }
  const { image, imageGb } = job.spec;
  if (!machine.images.has(image)) fetching.set(image, imageGb);
  let gb = 0;
  if (fetching.has(image) && !there.has(image)) {
    for (const [name, size] of fetching) if (!there.has(name)) gb += size;
  }
  return checkIn + (gb / Math.max(type.fetchGbPerS, 0.01)) * 1000;
};

/** Rooms in which replicas start within this much of one another are as good. */
const AS_SOON_MS = 3000;
const FAILED = -1;
/** No machine takes more than this share of a service's replicas while others have room. */
const SHARE_ON_ONE = 1 / 3;

/**
 * The rooms for a service's replicas: where they run soonest, and of those one machine after the other, so that the loss of one
 * takes as few as can be; machines on which one ended of late come last.
 */
export function* capacitiesForReplicas<T extends ServiceCapacity>(
  state: CoreState,
  job: Job,
  capacities: readonly T[],
  now: Instant,
): Generator<T> {
  const there = new Map<Machine, number>();
  for (const held of job.attemptsByTask.values()) {
    for (const placement of held)
      there.set(placement.machine, (there.get(placement.machine) ?? 0) + 1);
  }
  const tiers = new Map<number, { capacity: T; startsIn: number; there: number }[]>();
  for (const capacity of capacities) {
    const startsIn = estimatedStartMs(state, job, capacity, now);
    const tier = job.failedMachines.has(capacity.machine.id)
      ? FAILED
      : Math.floor(startsIn / AS_SOON_MS);
    const item = {
      capacity,
      startsIn: Math.floor(startsIn / 1000),
      there: there.get(capacity.machine) ?? 0,
    };
    const list = tiers.get(tier);
    if (list) list.push(item);
    else tiers.set(tier, [item]);
  }
  const failed = tiers.get(FAILED) ?? [];
  tiers.delete(FAILED);
  const soonest = [...tiers.keys()].sort((a, b) => a - b).map((tier) => tiers.get(tier)!);
  for (const tier of soonest) tier.sort((a, b) => a.startsIn - b.startsIn || a.there - b.there);
  const { tasks } = job.spec;
  for (const limit of [Math.ceil(tasks * SHARE_ON_ONE), tasks]) {
    for (const tier of soonest) yield* inTurn(tier, limit);
  }
  yield* inTurn(failed, tasks);
}

/** One room after the other, until each has this many. */
function* inTurn<T>(
  tier: readonly { readonly capacity: T; there: number }[],
  limit: number,
): Generator<T> {
  for (let most = 1; most <= limit; most += 1) {
    for (const item of tier) {
      if (item.there >= most) continue;
      item.there += 1;
      yield item.capacity;
    }
  }
}

/** A replica may be stopped once room is held for it elsewhere: it starts there when it is proven gone. */
export const requestEviction = (placement: Placement): void => {
  const { checkpointIntervalS, checkpointWriteS } = placement.job!.spec;
  placement.stopRequest ??= {
    graceS: checkpointIntervalS > 0 ? checkpointWriteS + 5 : 0,
    sentAt: null,
  };
};

/** Replicas on machines that are about to go, of services that may be placed now. */
export const replicasToEvict = (state: CoreState, now: Instant): Placement[] => {
  const leaving: Placement[] = [];
  for (const machine of state.machines.values()) {
    if (!isBeingVacated(machine)) continue;
    for (const placement of machine.placements.values()) {
      if (!isReplica(placement) || now < placement.job!.retryAt || failsEverywhere(placement.job!))
        continue;
      // A notice leaves no choice; all other moves need the extensions' consent.
      const voluntary = machine.reclaimAt === null && placement.stopRequest === null;
      if (voluntary && state.extensions && !state.extensions.mayEvictReplica(placement)) continue;
      leaving.push(placement);
    }
  }
  return leaving;
};
