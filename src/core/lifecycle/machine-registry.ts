/**
 * The machines that the leader tracks. Their attributes come from the ledger or the cloud at first,
 * then from their heartbeats.
 */

import type { CoreState } from '../core-state.js';
import { createMachine } from '../fleet/machine-health.js';
import type { Machine } from '../model/entities.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { MachineId, MachineTypeName, ZoneName } from '../model/ids.js';
import type { MachineAttributes } from '../model/machine.js';
import type { Instant } from '../model/time.js';
import { moveAttemptsToZone } from './attempts.js';

/** Attributes known when the leader first tracks a machine; a heartbeat contains all of them. */
export interface InitialAttributes extends Partial<MachineAttributes> {
  readonly endpoint?: string;
}

/**
 * The tracked machine of this id, created from `initial` if it is new; otherwise `initial` is
 * ignored.
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

/** Applies the reported attributes, and counts the machine's attempts in a new zone. */
export const updateReportedAttributes = (machine: Machine, heartbeat: Heartbeat): void => {
  machine.endpoint = heartbeat.endpoint;
  machine.type = heartbeat.type;
  machine.spot = heartbeat.spot;
  if (machine.zone === heartbeat.zone) return;
  moveAttemptsToZone(machine, heartbeat.zone);
  machine.zone = heartbeat.zone;
};
