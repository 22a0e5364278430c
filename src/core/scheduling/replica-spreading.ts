/**
 * The order in which machines get a service's replicas: where they start soonest, and spread so
 * that the loss of one machine ends few of them.
 */

import type { CoreState } from '../core-state.js';
import type { Job, Machine } from '../model/entities.js';
import type { ImageName } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import { estimateFetchMs, type FreeCapacity, type SchedulingContext } from './capacity.js';

/** Machines whose start delays are in the same step of this length count as equally fast. */
const START_DELAY_STEP_MS = 3000;
/** The largest share of a service's replicas on one machine while others have capacity. */
const MAX_SHARE_PER_MACHINE = 1 / 3;

interface SpreadCandidate {
  readonly capacity: FreeCapacity;
  /** Whole seconds until a replica would run on the machine. */
  readonly startDelayS: number;
  /** Replicas of the service on the machine, including those assigned so far. */
  replicas: number;
}

/** Milliseconds until the reply to the machine's next heartbeat, which carries the start. */
const estimateReplyDelayMs = (state: CoreState, machine: Machine, now: Instant): number =>
  machine.pendingReply
    ? 0
    : Math.max(0, machine.lastHeartbeatAt + state.config.heartbeatIntervalMs - now);

/** Gigabytes of all images to fetch before a replica runs: parallel fetches share the rate. */
const estimateGbToFetch = (job: Job, machine: Machine): number => {
  const present = new Set<ImageName>();
  const fetching = new Map<ImageName, number>();
  for (const placement of machine.placements.values()) {
    if (!placement.job) continue;
    const { image, imageGb } = placement.job.spec;
    if (placement.phase === 'running' || placement.phase === 'checkpointing') present.add(image);
    else if (placement.phase !== 'ended' && placement.phase !== 'unconfirmed')
      fetching.set(image, imageGb);
  }
  const { image, imageGb } = job.spec;
  if (!machine.images.has(image)) fetching.set(image, imageGb);
  if (!fetching.has(image) || present.has(image)) return 0;
  let gb = 0;
  for (const [name, size] of fetching) if (!present.has(name)) gb += size;
  return gb;
};

const estimateStartDelayMs = (
  { state, now }: SchedulingContext,
  job: Job,
  { machine, type }: FreeCapacity,
): number =>
  estimateReplyDelayMs(state, machine, now) +
  estimateFetchMs(estimateGbToFetch(job, machine), type);

const countReplicasByMachine = (job: Job): Map<Machine, number> => {
  const replicas = new Map<Machine, number>();
  for (const { machine } of job.attemptsByTask.placements())
    replicas.set(machine, (replicas.get(machine) ?? 0) + 1);
  return replicas;
};

/** Yields the machines round-robin until each has `maxReplicas` replicas. */
function* roundRobin(
  candidates: readonly SpreadCandidate[],
  maxReplicas: number,
): Generator<FreeCapacity> {
  for (let limit = 1; limit <= maxReplicas; limit += 1) {
    for (const candidate of candidates) {
      if (candidate.replicas >= limit) continue;
      candidate.replicas += 1;
      yield candidate.capacity;
    }
  }
}

/**
 * The machines for a service's replicas, one per replica: by steps of the start delay, and within a
 * step round-robin. Machines on which a replica failed recently come last.
 */
export function* spreadReplicas(
  context: SchedulingContext,
  job: Job,
  capacities: readonly FreeCapacity[],
): Generator<FreeCapacity> {
  const replicasByMachine = countReplicasByMachine(job);
  const byDelayStep = new Map<number, SpreadCandidate[]>();
  const failed: SpreadCandidate[] = [];
  for (const capacity of capacities) {
    const startDelayMs = estimateStartDelayMs(context, job, capacity);
    const candidate = {
      capacity,
      startDelayS: Math.floor(startDelayMs / 1000),
      replicas: replicasByMachine.get(capacity.machine) ?? 0,
    };
    const step = Math.floor(startDelayMs / START_DELAY_STEP_MS);
    const sameStep = byDelayStep.get(step);
    if (job.failedMachines.has(capacity.machine.id)) failed.push(candidate);
    else if (sameStep) sameStep.push(candidate);
    else byDelayStep.set(step, [candidate]);
  }
  const steps = [...byDelayStep].sort(([a], [b]) => a - b).map(([, candidates]) => candidates);
  for (const candidates of steps)
    candidates.sort((a, b) => a.startDelayS - b.startDelayS || a.replicas - b.replicas);
  const { tasks } = job.spec;
  for (const maxReplicas of [Math.ceil(tasks * MAX_SHARE_PER_MACHINE), tasks]) {
    for (const candidates of steps) yield* roundRobin(candidates, maxReplicas);
  }
  yield* roundRobin(failed, tasks);
}
