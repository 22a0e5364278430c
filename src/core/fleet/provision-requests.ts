/**
 * Provision requests to the cloud, each for machines of one instance pool. Request ids are never
 * reused, so a late response cannot be matched to another request.
 */

import type { CoreState } from '../core-state.js';
import type { Command } from '../model/command.js';
import type { Effect } from '../model/effect.js';
import type { InstancePool } from '../model/entities.js';
import type { MachineId, ProvisionRequestId } from '../model/ids.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import { createMachine } from './machine-health.js';

/** Maximum outstanding requests; list calls and deletions share the cloud's rate limit. */
export const MAX_CONCURRENT_REQUESTS = 4;
/** Least processors counted per machine or task: divisors and requests must not be 0. */
export const MIN_COUNTED_CPUS = 0.1;

const MAX_MACHINES_PER_REQUEST = 50;
/** Time after which a response counts as lost. */
const RESPONSE_TIMEOUT_MS = 15_000 as Millis;
/** Backoff of a pool per consecutive refusal, up to `MAX_COUNTED_REFUSALS`. */
const REFUSAL_BACKOFF_S = 4;
const MAX_COUNTED_REFUSALS = 4;

/** Drops requests whose response counts as lost, so that they no longer count as supply. */
export const expireProvisionRequests = (state: CoreState, now: Instant): void => {
  for (const pool of state.instancePools.values()) {
    for (const [request, { requestedAt }] of pool.outstandingRequests) {
      if (now - requestedAt > RESPONSE_TIMEOUT_MS) pool.outstandingRequests.delete(request);
    }
  }
};

const addProvisionedMachines = (
  state: CoreState,
  { type, zone, spot }: InstancePool,
  ids: readonly MachineId[],
  now: Instant,
): void => {
  for (const id of ids) {
    if (state.deletedMachines.has(id) || state.machines.has(id)) continue;
    const machine = createMachine(id, { endpoint: '', type: type.name, zone, spot }, now, now);
    machine.isProvisionedThisTerm = true;
    state.machines.set(id, machine);
  }
};

/** Applies a provision result: adds its machines; a pool that returned too few backs off. */
export const handleProvisionResult = (
  state: CoreState,
  command: Extract<Command, { kind: 'provision-result' }>,
  now: Instant,
): void => {
  const { request, result, machines } = command;
  if (state.extensions?.handleProvisionResult(command)) return;
  for (const pool of state.instancePools.values()) {
    const count = pool.outstandingRequests.get(request)?.count;
    if (count === undefined) continue;
    pool.outstandingRequests.delete(request);
    if (result === 'ok') addProvisionedMachines(state, pool, machines, now);
    if (result === 'ok' && machines.length >= count) pool.refusals = 0;
    else {
      pool.refusals = Math.min(pool.refusals + 1, MAX_COUNTED_REFUSALS);
      pool.retryAt = addMillis(now, seconds(REFUSAL_BACKOFF_S * pool.refusals));
    }
  }
};

const requestMachines = (
  { state, now, effects }: ProvisionContext,
  pool: InstancePool,
  count: number,
): void => {
  state.nextProvisionRequest += 1;
  const request =
    `r-${state.config.fencingToken}-${state.nextProvisionRequest}` as ProvisionRequestId;
  pool.outstandingRequests.set(request, { count, requestedAt: now });
  effects.push({
    kind: 'provision',
    request,
    type: pool.type.name,
    zone: pool.zone,
    spot: pool.spot,
    count,
  });
};

/** State, time and effects of one tick, shared by all steps that request machines. */
export interface ProvisionContext {
  readonly state: CoreState;
  readonly now: Instant;
  /** Provision requests made so far in this tick. */
  readonly effects: Effect[];
}

/**
 * Requests about `cpus` processors from the first (cheapest) pools that are not backing off. A
 * pool's capacity is known only from the response, so several pools get equal shares in parallel; a
 * share that exceeds one request is split into several.
 */
export const requestCapacity = (
  context: ProvisionContext,
  pools: readonly InstancePool[],
  cpus: number,
): void => {
  const { state, now, effects } = context;
  // Counts this tick's requests twice, so later calls in a tick may issue fewer requests.
  let outstandingCount = effects.length;
  for (const pool of state.instancePools.values())
    outstandingCount += pool.outstandingRequests.size;
  const available = pools.filter((pool) => now >= pool.retryAt).slice(0, MAX_CONCURRENT_REQUESTS);
  const shareCpus = cpus / Math.max(available.length, 1);
  let unrequestedCpus = cpus;
  for (const pool of available) {
    const machineCpus = Math.max(pool.type.cpus, MIN_COUNTED_CPUS);
    let remainingShareCpus = Math.min(unrequestedCpus, shareCpus);
    // A pool that refused its last request is probed with a single request.
    const poolLimit = pool.refusals > 0 ? 1 : MAX_CONCURRENT_REQUESTS;
    while (
      remainingShareCpus > 0 &&
      outstandingCount < MAX_CONCURRENT_REQUESTS &&
      pool.outstandingRequests.size < poolLimit
    ) {
      const neededMachines = Math.max(1, Math.ceil(remainingShareCpus / machineCpus));
      const count = Math.min(MAX_MACHINES_PER_REQUEST, neededMachines);
      requestMachines(context, pool, count);
      outstandingCount += 1;
      remainingShareCpus -= count * machineCpus;
      unrequestedCpus -= count * machineCpus;
    }
  }
};
