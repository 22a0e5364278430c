/**
 * Inventory: the machines and instance pools that exist according to the cloud. The cloud's list
 * lags by seconds, so a single list proves neither presence nor absence of a new machine.
 */

import type { CoreState } from '../core-state.js';
import { forgetPlacement, releasePlacement } from '../lifecycle/attempts.js';
import type { Command } from '../model/command.js';
import type { Machine } from '../model/entities.js';
import type { MachineId, ZoneName } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import { addMillis, type Instant, type Millis } from '../model/time.js';
import { createMachine, hasMissedHeartbeats } from './machine-health.js';
import { recordGoneAttempts } from './machine-losses.js';

/** Added to the list's maximum age before absence from the list counts. */
const LIST_LAG_MARGIN_MS = 2000;
/** Maximum age of a list, in list lags: one list may be older than the list read before it. */
const LIST_LAG_FACTOR = 3;
/** Delay after a failed deletion before it is requested again. */
const DELETION_RETRY_MS = 2000 as Millis;

const updateInstancePool = (
  state: CoreState,
  type: MachineType,
  zone: ZoneName,
  spot: boolean,
): void => {
  const key = `${type.name}/${zone}/${spot ? 'spot' : 'on-demand'}`;
  const known = state.instancePools.get(key);
  state.instancePools.set(key, {
    key,
    type,
    zone,
    spot,
    retryAt: known?.retryAt ?? (0 as Instant),
    refusals: known?.refusals ?? 0,
    outstandingRequests: known?.outstandingRequests ?? new Map(),
  });
};

/** Replaces the machine types; instance pools keep their refusals and outstanding requests. */
export const updateMachineTypes = (state: CoreState, types: readonly MachineType[]): void => {
  state.types.clear();
  for (const type of types) {
    state.types.set(type.name, type);
    for (const zone of type.zones) {
      updateInstancePool(state, type, zone, true);
      updateInstancePool(state, type, zone, false);
    }
  }
  state.isRoundDue = true;
};

const reconcileListedMachine = (
  state: CoreState,
  listed: ListedMachine,
  requestedAt: Instant,
  now: Instant,
): void => {
  const provisionedAt = (requestedAt - listed.ageS * 1000) as Instant;
  let machine = state.machines.get(listed.id);
  if (!machine) {
    machine = createMachine(listed.id, listed, provisionedAt, now);
    state.machines.set(listed.id, machine);
  }
  // A machine that was first known by its work, or by a heartbeat, is older than that.
  machine.provisionedAt = Math.min(machine.provisionedAt, provisionedAt) as Instant;
  machine.existsSince = Math.min(machine.existsSince, provisionedAt) as Instant;
  if (!machine.endpoint) machine.endpoint = listed.endpoint;
  if (listed.status !== 'failed') return;
  machine.isDraining = true;
  if (machine.lostAt === null) {
    machine.lostAt = now;
    machine.lostReason = 'failed';
  }
};

/**
 * Reconciles the tracked machines with the cloud's list. A machine missing from the list counts as
 * lost, unless it is newer than the list's maximum age or still sends heartbeats.
 */
export const reconcileMachineList = (
  state: CoreState,
  { requestedAt, machines: list }: Extract<Command, { kind: 'machines-listed' }>,
  now: Instant,
): void => {
  state.hasReadMachineList = true;
  const listedIds = new Set<MachineId>();
  for (const listed of list) {
    listedIds.add(listed.id);
    if (!state.deletedMachines.has(listed.id))
      reconcileListedMachine(state, listed, requestedAt, now);
  }
  const graceMs = LIST_LAG_FACTOR * state.config.listLagMs + LIST_LAG_MARGIN_MS;
  for (const machine of state.machines.values()) {
    if (listedIds.has(machine.id) || requestedAt - machine.existsSince < graceMs) continue;
    if (machine.hasReported && !hasMissedHeartbeats(state, machine, now)) continue;
    machine.lostAt ??= now;
    machine.lostReason ||= 'notListed';
    machine.isDraining = true;
  }
};

/** Removes a machine whose deletion is confirmed and releases its placements. */
const removeMachine = (state: CoreState, machine: Machine, now: Instant): void => {
  recordGoneAttempts(state, machine, null, now);
  for (const placement of [...machine.placements.values()]) {
    releasePlacement(state, placement, now);
    forgetPlacement(state, placement);
  }
  state.machines.delete(machine.id);
  state.deletedMachines.add(machine.id);
  state.machinesAwaitingReply.delete(machine);
};

/** Applies the result of a deletion: removes the machines, or schedules a retry if it failed. */
export const handleDeletionResult = (
  state: CoreState,
  { machines, ok }: Extract<Command, { kind: 'deletion-result' }>,
  now: Instant,
): void => {
  for (const id of machines) {
    const machine = state.machines.get(id);
    if (!machine) continue;
    if (ok) removeMachine(state, machine, now);
    else {
      machine.isDeleting = false;
      machine.deleteNotBefore = addMillis(now, DELETION_RETRY_MS);
    }
  }
};
