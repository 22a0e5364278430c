/** What operators change: drains are started, paused, resumed and cancelled. */
import type { FleetView, MachineId, Moment } from '@robinspread/extension-api';
import type { DecisionContext } from './decision-context.js';
import type { Drain, DrainRequest } from './drain.js';
import type { DrainRegistry } from './drain-registry.js';
import { remainingMachines } from './machine-selection.js';
import type { Replacements } from './replacements.js';

const newestMachine = (fleet: FleetView): MachineId => {
  let newest = '' as MachineId;
  for (const id of fleet.machines.keys()) if (id > newest) newest = id;
  return newest;
};

/** A drain that has not begun, for the machines that there are now. */
export const createDrain = (request: DrainRequest, fleet: FleetView, moment: Moment): Drain => {
  const { wallClockMs } = moment;
  const drain: Drain = {
    request,
    phase: 'pending',
    pauseReason: null,
    startedAt: wallClockMs,
    newestMachineAtStart: newestMachine(fleet),
    total: 0,
    returned: 0,
    failed: 0,
    step: 0,
    deadlineAt: request.deadlineS === null ? null : wallClockMs + request.deadlineS * 1000,
    machinesInStep: new Map(),
  };
  return { ...drain, total: remainingMachines(drain, fleet, moment).length };
};

/** Carries operators' requests out; whoever calls has checked that the drain's phase allows it. */
export class DrainOperations {
  constructor(
    private readonly registry: DrainRegistry,
    private readonly replacements: Replacements,
  ) {}

  /** Takes up a new drain; its first step begins with the next decision. */
  start(drain: Drain, context: DecisionContext): void {
    this.registry.add(drain, context);
  }

  /** Nothing new begins; cordoned machines stay cordoned. */
  pause(drain: Drain, context: DecisionContext): void {
    this.registry.setPhase(drain, 'paused', 'an operator paused it', context);
  }

  /** Goes on; a deadline that has passed does not hold any more. */
  resume(drain: Drain, context: DecisionContext): void {
    if (drain.deadlineAt !== null && drain.deadlineAt <= context.moment.wallClockMs)
      drain.deadlineAt = null;
    this.registry.setPhase(drain, drain.step > 0 ? 'running' : 'pending', null, context);
  }

  /** Puts back into use what is not on its way back to the cloud: a return is never taken back. */
  cancel(drain: Drain, context: DecisionContext): void {
    for (const machineDrain of [...drain.machinesInStep.values()]) {
      if (machineDrain.phase === 'returning') continue;
      this.replacements.stopWatching(machineDrain);
      this.registry.releaseMachine(drain, machineDrain.machine, context);
    }
    this.registry.setPhase(drain, 'cancelled', null, context);
  }
}
