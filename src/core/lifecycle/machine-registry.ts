/**
 * The machines that the leader tracks, and their attributes: first as the ledger records them,
 * then as each machine reports them.
 */

import type { CoreState } from '../core-state.js';
import { createMachine } from '../fleet/machine-health.js';
import type { Machine } from '../model/entities.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { MachineId, MachineTypeName, ZoneName } from '../model/ids.js';
import type { MachineAttributes } from '../model/machine.js';
import type { Instant } from '../model/time.js';
import { moveAttemptsToZone } from './attempts.js';

/** What is known of a machine when the leader first learns of it; a heartbeat has all of it. */
export interface InitialAttributes extends Partial<MachineAttributes> {
  readonly endpoint?: string;
}

/**
 * The tracked machine of this id, created from `known` where it is new. A tracked machine keeps its
 * attributes: only its heartbeats change them.
 */
export const getOrCreateMachine = (
  state: CoreState,
  id: MachineId,
  initial: InitialAttributes | undefined,
  now: Instant,
): Machine => {
  const tracked = state.machines.get(id);
  if (tracked) return tracked;
  const attributes = {
    endpoint: initial?.endpoint ?? '',
    type: initial?.type ?? ('' as MachineTypeName),
    zone: initial?.zone ?? ('' as ZoneName),
    spot: initial?.spot ?? true,
  };
  const machine = createMachine(id, attributes, now, now);
  state.machines.set(id, machine);
  return machine;
};

/** Takes over the attributes that the machine reports; its attempts are counted in its new zone. */
export const updateReportedAttributes = (machine: Machine, heartbeat: Heartbeat): void => {
  machine.endpoint = heartbeat.endpoint;
  machine.type = heartbeat.type;
  machine.spot = heartbeat.spot;
  if (machine.zone === heartbeat.zone) return;
  moveAttemptsToZone(machine, heartbeat.zone);
  machine.zone = heartbeat.zone;
};
