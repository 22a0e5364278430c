/**
 * The drains of one leader's term. Each change requests or returns the write of its record; callers
 * set `step`, `failed` and `deadlineAt` just before `setPhase`, which stores them. A pause because
 * of an unusable record is not stored.
 */
import type {
  MachineId,
  Moment,
  ProvisionRequestId,
  RecordWrite,
} from '@robinspread/extension-api';
import type { DecisionContext } from './decision-context.js';
import {
  type Drain,
  type DrainName,
  type DrainPhase,
  isFinished,
  type MachineDrain,
  type MachinePhase,
  type ReplacementSlot,
} from './drain.js';
import type { DrainProgress } from './drain-progress.js';
import type { PendingWrites } from './pending-writes.js';
import {
  drainKey,
  encodeDrain,
  encodeMachineDrain,
  machineKey,
  machineKeyPrefix,
  type StoredState,
} from './records.js';

/** Finished drains kept so that operators can query them. */
const MAX_FINISHED_DRAINS = 50;

const drainWrite = (drain: Drain): RecordWrite => ({
  key: drainKey(drain.request.name),
  value: encodeDrain(drain),
});

const machineWrite = (drain: Drain, machineDrain: MachineDrain): RecordWrite => ({
  key: machineKey(drain.request.name, machineDrain.machine),
  value: encodeMachineDrain(machineDrain),
});

/** Holds the drains, changes them, and requests the writes of their records. */
export class DrainRegistry {
  private readonly drainsByName = new Map<DrainName, Drain>();
  private readonly unreadableNames = new Set<DrainName>();

  constructor(
    private readonly writes: PendingWrites,
    private readonly progress: DrainProgress,
  ) {}

  // ---- queries ----

  /** All drains, in the order in which they were loaded or started. */
  get drains(): ReadonlyMap<DrainName, Drain> {
    return this.drainsByName;
  }

  /** Names of drains whose record cannot be read. */
  get unreadable(): ReadonlySet<DrainName> {
    return this.unreadableNames;
  }

  /** The drain whose current step includes the machine, if any. */
  drainOf(machine: MachineId): Drain | null {
    for (const drain of this.drainsByName.values())
      if (drain.machinesInStep.has(machine)) return drain;
    return null;
  }

  /** Whether the machine replaces one in a current step. */
  isReplacement(machine: MachineId): boolean {
    for (const { machinesInStep } of this.drainsByName.values()) {
      for (const { replacement } of machinesInStep.values())
        if (replacement === machine) return true;
    }
    return false;
  }

  /** Whether a machine in a current step has a slot in the provision request. */
  isRequestNeeded(request: ProvisionRequestId): boolean {
    for (const { machinesInStep } of this.drainsByName.values()) {
      for (const { replacementSlot } of machinesInStep.values())
        if (replacementSlot?.request === request) return true;
    }
    return false;
  }

  /** Whether the drain's own record is up to date. */
  isDrainStored(drain: Drain): boolean {
    return this.writes.isStored(drainKey(drain.request.name));
  }

  /** Whether the record of a machine in its step is up to date. */
  isMachineStored(drain: Drain, machine: MachineId): boolean {
    return this.writes.isStored(machineKey(drain.request.name, machine));
  }

  // ---- loading, and unusable records ----

  /** Loads the drains that previous leaders stored. */
  load({ drains, unreadable }: StoredState): void {
    for (const [name, drain] of drains) this.drainsByName.set(name, drain);
    for (const name of unreadable) this.handleUnreadable(name);
  }

  /** Pauses a drain with an unreadable record, since an operator has to check it first. */
  private handleUnreadable(name: DrainName): void {
    const drain = this.drainsByName.get(name);
    if (!drain) this.unreadableNames.add(name);
    else if (!isFinished(drain)) {
      drain.phase = 'paused';
      drain.pauseReason = 'a record of it cannot be read';
    }
  }

  /** Pauses the drain of a record that the key-value store refused as too large. */
  handleRefusedRecord(key: string): void {
    for (const drain of this.drainsByName.values()) {
      const { name } = drain.request;
      const isOfDrain = key === drainKey(name) || key.startsWith(machineKeyPrefix(name));
      if (!isOfDrain || isFinished(drain)) continue;
      drain.phase = 'paused';
      drain.pauseReason = 'the state service refuses a record of it as too large';
    }
  }

  // ---- changes to a drain ----

  /** Adds a new drain and deletes the oldest finished ones beyond `MAX_FINISHED_DRAINS`. */
  add(drain: Drain, context: DecisionContext): void {
    this.drainsByName.set(drain.request.name, drain);
    this.progress.recordProgress(drain, context.moment);
    context.requests.push(this.writes.requestWrite(drainWrite(drain)));
    this.pruneFinished(context);
  }

  private pruneFinished({ requests }: DecisionContext): void {
    const finished = [...this.drainsByName.values()].filter(
      (drain) => isFinished(drain) && drain.machinesInStep.size === 0,
    );
    finished.sort((a, b) => a.startedAt - b.startedAt);
    const excess = Math.max(0, finished.length - MAX_FINISHED_DRAINS);
    for (const { request } of finished.slice(0, excess)) {
      this.drainsByName.delete(request.name);
      this.progress.remove(request.name);
      requests.push(this.writes.requestWrite({ key: drainKey(request.name), value: null }));
    }
  }

  /** Changes and stores the phase of a drain; `pauseReason` is null except for `paused`. */
  setPhase(
    drain: Drain,
    phase: DrainPhase,
    pauseReason: string | null,
    { moment, requests }: DecisionContext,
  ): void {
    const { name } = drain.request;
    drain.phase = phase;
    drain.pauseReason = pauseReason;
    this.progress.recordProgress(drain, moment);
    requests.push(this.writes.requestWrite(drainWrite(drain)));
    const fields = { drain: name, phase, ...(pauseReason === null ? {} : { why: pauseReason }) };
    requests.push({ kind: 'log', level: 'info', text: 'drain phase changed', fields });
  }

  // ---- changes to a machine in a step ----

  /** Adds a machine to the current step, and cordons it if it has no replacement to wait for. */
  addMachine(
    drain: Drain,
    machine: MachineId,
    replacementSlot: ReplacementSlot | null,
    { requests }: DecisionContext,
  ): void {
    const phase = replacementSlot === null ? 'cordoned' : 'waiting';
    const machineDrain: MachineDrain = {
      machine,
      phase,
      replacementSlot,
      replacement: null,
      replacementsRequested: 1,
    };
    drain.machinesInStep.set(machine, machineDrain);
    if (phase === 'cordoned') requests.push({ kind: 'cordon', machine });
    requests.push(this.writes.requestWrite(machineWrite(drain, machineDrain)));
  }

  /** Changes and stores the phase of a machine in the step. */
  setMachinePhase(
    drain: Drain,
    machineDrain: MachineDrain,
    phase: MachinePhase,
    { moment, requests }: DecisionContext,
  ): void {
    machineDrain.phase = phase;
    this.progress.recordProgress(drain, moment);
    requests.push(this.writes.requestWrite(machineWrite(drain, machineDrain)));
  }

  /** Sets a provisioned replacement; returns the write, for the next decision to request. */
  setReplacement(
    drain: Drain,
    machineDrain: MachineDrain,
    replacement: MachineId,
    moment: Moment,
  ): RecordWrite {
    machineDrain.replacement = replacement;
    this.progress.recordProgress(drain, moment);
    return machineWrite(drain, machineDrain);
  }

  /** Makes the machine wait for another replacement, and keep its work until then. */
  awaitAnotherReplacement(
    drain: Drain,
    machineDrain: MachineDrain,
    replacementSlot: ReplacementSlot,
    { requests }: DecisionContext,
  ): void {
    machineDrain.replacementSlot = replacementSlot;
    machineDrain.replacement = null;
    machineDrain.replacementsRequested += 1;
    machineDrain.phase = 'waiting';
    requests.push(this.writes.requestWrite(machineWrite(drain, machineDrain)));
  }

  /** Removes a machine that has left the fleet: returned, or lost before. */
  completeMachine(
    drain: Drain,
    { machine, phase }: MachineDrain,
    { moment, requests }: DecisionContext,
  ): void {
    if (phase === 'returning') drain.returned += 1;
    else drain.failed += 1;
    drain.machinesInStep.delete(machine);
    this.progress.recordProgress(drain, moment);
    const deletion = { key: machineKey(drain.request.name, machine), value: null };
    requests.push({ kind: 'uncordon', machine });
    requests.push(this.writes.requestWrite(drainWrite(drain), deletion));
  }

  /** Removes a machine from the step and uncordons it. */
  releaseMachine(drain: Drain, machine: MachineId, { requests }: DecisionContext): void {
    drain.machinesInStep.delete(machine);
    requests.push({ kind: 'uncordon', machine });
    const key = machineKey(drain.request.name, machine);
    requests.push(this.writes.requestWrite({ key, value: null }));
  }
}
