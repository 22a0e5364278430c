/**
 * Requests to the cloud for machines of one instance pool each, from the request to its answer.
 * A request's name is never used again, so that a late answer cannot be taken for another's.
 */

import type { CoreState } from '../core-state.js';
import type { Command } from '../model/command.js';
import type { Effect } from '../model/effect.js';
import type { InstancePool } from '../model/entities.js';
import type { MachineId, ProvisionRequestId } from '../model/ids.js';
import { addMillis, type Instant, type Millis, seconds } from '../model/time.js';
import { createMachine } from './machine-health.js';

/** Requests under way at once; the cloud's rate is shared with lists and deletions. */
export const MAX_CONCURRENT_REQUESTS = 4;
/** The least processors that a machine or task counts for: prices and shares divide by them. */
export const MIN_COUNTED_CPUS = 0.1;

const MAX_MACHINES_PER_REQUEST = 50;
/** After this the answer is taken for lost, and the request no longer counts as supply. */
const RESPONSE_TIMEOUT_MS = 15_000 as Millis;
/** A pool that was refused pauses for this long per refusal in a row, up to the maximum. */
const REFUSAL_PAUSE_S = 4;
const MAX_COUNTED_REFUSALS = 4;

/** Stops waiting for requests whose answer is overdue. */
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

/** Takes in the cloud's answer: new machines, and a pause for a pool that could not fill it. */
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
      pool.retryAt = addMillis(now, seconds(REFUSAL_PAUSE_S * pool.refusals));
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

/** Where requests are recorded and sent: all of one tick share `effects`. */
export interface ProvisionContext {
  readonly state: CoreState;
  readonly now: Instant;
  /** The tick's requests so far. */
  readonly effects: Effect[];
}

/**
 * Requests about this many processors from the first pools that are not pausing. Capacity shows
 * only when it is requested: several pools are asked at once, each for its share of the gap, the
 * cheapest several times over where one request cannot hold its share.
 */
export const requestCapacity = (
  context: ProvisionContext,
  pools: readonly InstancePool[],
  cpus: number,
): void => {
  const { state, now, effects } = context;
  // Requests of this tick are in both counts: after the first call of a tick fewer are allowed.
  let outstandingCount = effects.length;
  for (const pool of state.instancePools.values())
    outstandingCount += pool.outstandingRequests.size;
  const available = pools.filter((pool) => now >= pool.retryAt).slice(0, MAX_CONCURRENT_REQUESTS);
  const shareCpus = cpus / Math.max(available.length, 1);
  let unrequestedCpus = cpus;
  for (const pool of available) {
    const machineCpus = Math.max(pool.type.cpus, MIN_COUNTED_CPUS);
    let poolShareCpus = Math.min(unrequestedCpus, shareCpus);
    // A pool that was refused lately is tried with one request, not with several in vain.
    const poolLimit = pool.refusals > 0 ? 1 : MAX_CONCURRENT_REQUESTS;
    while (
      poolShareCpus > 0 &&
      outstandingCount < MAX_CONCURRENT_REQUESTS &&
      pool.outstandingRequests.size < poolLimit
    ) {
      const neededMachines = Math.max(1, Math.ceil(poolShareCpus / machineCpus));
      const count = Math.min(MAX_MACHINES_PER_REQUEST, neededMachines);
      requestMachines(context, pool, count);
      outstandingCount += 1;
      poolShareCpus -= count * machineCpus;
      unrequestedCpus -= count * machineCpus;
    }
  }
};
