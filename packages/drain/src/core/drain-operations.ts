/** Operators' changes: drains are started, paused, resumed and cancelled. */
import type { FleetView, MachineId, Moment } from '@robinspread/extension-api';
import type { DecisionContext } from './decision-context.js';
import type { Drain, DrainRequest } from './drain.js';
import type { DrainRegistry } from './drain-registry.js';
import { findNewestOfAge, remainingMachines } from './machine-selection.js';
import type { Replacements } from './replacements.js';

const newestMachine = (fleet: FleetView): MachineId => {
  let newest = '' as MachineId;
  for (const id of fleet.machines.keys()) if (id > newest) newest = id;
  return newest;
};

/** Creates a pending drain of the machines that match its selector now. */
export const createDrain = (request: DrainRequest, fleet: FleetView, moment: Moment): Drain => {
  const { wallClockMs } = moment;
  const { minAgeS } = request.selector;
  const newestOfAge = minAgeS === null ? undefined : findNewestOfAge(minAgeS, fleet, moment);
  const drain: Drain = {
    request,
    phase: 'pending',
    pauseReason: null,
    startedAt: wallClockMs,
    newestMachineAtStart: newestMachine(fleet),
    ...(newestOfAge === undefined ? {} : { newestOfAge }),
    total: 0,
    returned: 0,
    failed: 0,
    step: 0,
    deadlineAt: request.deadlineS === null ? null : wallClockMs + request.deadlineS * 1000,
    machinesInStep: new Map(),
  };
  return { ...drain, total: remainingMachines(drain, fleet, moment).length };
};

/** Applies operators' changes. The caller checks that the drain's phase allows the change. */
export class DrainOperations {
  constructor(
    private readonly registry: DrainRegistry,
    private readonly replacements: Replacements,
  ) {}

  /** Adds a new drain, whose first step begins with the next decision. */
  start(drain: Drain, context: DecisionContext): void {
    this.registry.add(drain, context);
  }

  /** Pauses a drain; cordoned machines stay cordoned. */
  pause(drain: Drain, context: DecisionContext): void {
    this.registry.setPhase(drain, 'paused', 'an operator paused it', context);
  }

  /** Resumes a drain, and drops a deadline that has passed. */
  resume(drain: Drain, context: DecisionContext): void {
    if (drain.deadlineAt !== null && drain.deadlineAt <= context.moment.wallClockMs)
      drain.deadlineAt = null;
    this.registry.setPhase(drain, drain.step > 0 ? 'running' : 'pending', null, context);
  }

  /** Cancels a drain and uncordons its machines, except those being returned, which is final. */
  cancel(drain: Drain, context: DecisionContext): void {
    for (const machineDrain of [...drain.machinesInStep.values()]) {
      if (machineDrain.phase === 'returning') continue;
      this.replacements.stopWatching(machineDrain);
      this.registry.releaseMachine(drain, machineDrain.machine, context);
    }
    this.registry.setPhase(drain, 'cancelled', null, context);
  }
}
