/**
 * The drains of one term of leadership: takes machines step by step, stores each decision before it acts on it, and goes on
 * after a change of leader from what is stored.
 */
import type {
  Attempt,
  AttemptView,
  ExtensionEvent,
  ExtensionRecord,
  MachineId,
  MachineView,
  Moment,
  RecordWrite,
  RequestName,
} from '@robinspread/extension-api';
import { BudgetLedger, type Disruption } from './budget.js';
import { DisruptionRecords } from './disruption-records.js';
import { Progress } from './progress.js';
import { RecordStore } from './record-store.js';
import { drainKey, machineKey, readState, writeDrain, writeMachine } from './records.js';
import { Replacements } from './replacements.js';
import { isBeingLost, workOn } from './selection.js';
import type { DrainSettings } from './settings.js';
import { chooseStep, type StepContext } from './step-choice.js';
import type { Turn } from './turn.js';
import type { Blocker, Drain, DrainName, MachineDrain, RentalSlot } from './types.js';

/** Beyond the time that a task needs to save, before it is ended. */
const GRACE_MARGIN_S = 5;
/** Finished drains whose end can still be asked for. */
const KEEP_FINISHED = 50;
/** How often notices are looked for; events tell of what they end. */
const SCAN_MS = 500;
/** Where no machine could be taken, the fleet is looked through again after this long. */
const STEP_RETRY_MS = 2000;

const isBlocker = (result: Disruption | Blocker): result is Blocker => 'kind' in result;

export const isFinished = ({ phase }: Drain): boolean => phase === 'done' || phase === 'cancelled';

export class Drains {
  readonly all = new Map<DrainName, Drain>();
  readonly budget: BudgetLedger;
  readonly progress: Progress;
  /** Drains of which nothing but the name could be read. */
  readonly unreadable = new Set<DrainName>();
  private readonly store = new RecordStore();
  private readonly replacements: Replacements;
  private readonly records: DisruptionRecords;
  /** Replicas that would be moved off machines that leave for other reasons than a drain. */
  private readonly wishes = new Map<Attempt, AttemptView>();
  private readonly lost: string[] = [];
  /** Until when no walk over the fleet is made, for notices and for each drain's next step. */
  private noticesAt = 0;
  private readonly nextStepAt = new Map<DrainName, number>();

  constructor(private readonly settings: DrainSettings) {
    this.budget = new BudgetLedger(settings);
    this.progress = new Progress(settings.stalledAfterS);
    this.replacements = new Replacements(settings);
    this.records = new DisruptionRecords(this.budget, this.store);
  }

  // ---- what was stored ---------------------------------------------------------------------------

  /** Goes on from what a former leader stored. */
  load(records: readonly ExtensionRecord[]): void {
    const stored = readState(records);
    for (const [name, drain] of stored.drains) this.all.set(name, drain);
    this.records.load(stored.disruptions);
    this.lost.push(...stored.lost);
    for (const name of stored.unreadable) this.setAside(name);
  }

  /** Something of it cannot be read: nothing more is done until an operator has looked at it. */
  private setAside(name: DrainName): void {
    const drain = this.all.get(name);
    if (!drain) this.unreadable.add(name);
    else if (!isFinished(drain)) {
      drain.phase = 'paused';
      drain.pausedBecause = 'a record of it cannot be read';
    }
  }

  // ---- what happens ------------------------------------------------------------------------------

  observe(event: ExtensionEvent, moment: Moment): RecordWrite[] {
    switch (event.kind) {
      case 'released':
        this.onReleased(event.attempt, event.how, moment);
        return [];
      case 'provision-result':
        return this.onRented(event, moment);
      case 'stored':
        this.store.settled(event.writes);
        for (const { key } of event.writes) this.records.stored(key, moment);
        return [];
      case 'refused':
        this.store.settled(event.writes);
        for (const { key } of event.writes) this.onRefused(key);
        return [];
    }
  }

  /** Tells each machine of the request which one replaces it. */
  private onRented(
    event: Extract<ExtensionEvent, { kind: 'provision-result' }>,
    moment: Moment,
  ): RecordWrite[] {
    const { request, result, machines } = event;
    if (!this.replacements.answered(request, result, machines, moment)) return [];
    const writes: RecordWrite[] = [];
    for (const drain of this.all.values()) {
      for (const machineDrain of drain.current.values()) {
        const { rental, replacement } = machineDrain;
        if (rental?.request !== request || replacement !== null) continue;
        machineDrain.replacement = this.replacements.machineFor(rental);
        if (machineDrain.replacement === null) continue;
        this.progress.moved(drain, moment);
        writes.push(this.machineWrite(drain, machineDrain));
      }
    }
    return writes;
  }

  private onReleased(attempt: AttemptView, how: 'reported' | 'gone', moment: Moment): void {
    const { job, phase, machine, stopRequest, isSuperseded } = attempt;
    const begun =
      phase === 'fetching' ||
      phase === 'running' ||
      phase === 'checkpointing' ||
      phase === 'unconfirmed';
    if (!begun || !job || job.terminalState !== 'none' || isSuperseded) return;
    const taken = machine.reclaimAt !== null || machine.lostAt !== null || machine.isDeleting;
    if (stopRequest && !taken) {
      // A stop of this package is known already; one for priority, or of a rival attempt, does not count.
      if (this.budget.disruptions.has(attempt.entry.attempt)) this.budget.suffer(attempt, moment);
      return;
    }
    if (how === 'gone' || (stopRequest && taken)) this.budget.suffer(attempt, moment);
    else this.budget.withdraw(attempt.entry.attempt);
  }

  /** The state service takes it in no size. */
  private onRefused(key: string): void {
    this.records.refused(key);
    for (const drain of this.all.values()) {
      const { name } = drain.request;
      const its = key === drainKey(name) || key.startsWith(machineKey(name, '' as MachineId));
      if (!its || isFinished(drain)) continue;
      drain.phase = 'paused';
      drain.pausedBecause = 'the state service refuses a record of it as too large';
    }
  }

  isStored(drain: Drain): boolean {
    return this.store.isStored(drainKey(drain.request.name));
  }

  // ---- the gate ----------------------------------------------------------------------------------

  /** The drain of whose current step a machine is part. */
  drainOf(machine: MachineId): Drain | null {
    for (const drain of this.all.values()) if (drain.current.has(machine)) return drain;
    return null;
  }

  private isReplacement(machine: MachineId): boolean {
    for (const { current } of this.all.values()) {
      for (const { replacement } of current.values()) if (replacement === machine) return true;
    }
    return false;
  }

  /** Whether a machine of a step still waits for what this request rents. */
  private isWanted(request: RequestName): boolean {
    for (const { current } of this.all.values()) {
      for (const { rental } of current.values()) if (rental?.request === request) return true;
    }
    return false;
  }

  mayReturn(machine: MachineView): boolean {
    return !this.isReplacement(machine.id);
  }

  /** Replicas of a drained machine are asked for by its drain, others here. */
  mayMove(attempt: AttemptView): boolean {
    const drain = this.drainOf(attempt.machine.id);
    // A machine that fails jobs leaves whatever becomes of its drain.
    const { isDraining } = attempt.machine;
    if (drain && drain.phase !== 'running' && !isDraining) return false;
    if (this.budget.isGranted(attempt.entry.attempt)) return true;
    if (!drain || isDraining) this.wishes.set(attempt.entry.attempt, attempt);
    return false;
  }

  // ---- decisions ---------------------------------------------------------------------------------

  decide(turn: Turn): void {
    this.reportLost(turn);
    if (!turn.fleet.isSettled) {
      for (const drain of this.all.values()) this.keepCordons(drain, turn);
      return;
    }
    this.countNotices(turn);
    this.budget.update(turn.fleet, turn.moment);
    for (const attempt of this.wishes.values())
      this.budget.request(attempt, turn.fleet, turn.moment);
    this.wishes.clear();
    for (const drain of this.all.values()) this.advance(drain, turn);
    this.records.update(turn);
    this.replacements.prune((request) => this.isWanted(request));
  }

  private reportLost({ requests }: Turn): void {
    for (const key of this.lost.splice(0)) {
      requests.push({
        kind: 'log',
        level: 'info',
        text: 'unreadable record of a drain',
        fields: { key },
      });
    }
  }

  /** Until the fleet has reported, machines that were taken out of use stay so. */
  private keepCordons(drain: Drain, { requests }: Turn): void {
    this.progress.begin(drain);
    this.progress.block(drain, { kind: 'fleet-unsettled' });
    for (const { machine, phase } of drain.current.values()) {
      if (phase !== 'waiting') requests.push({ kind: 'cordon', machine });
    }
  }

  /** Tasks that a notice stops are disrupted from that moment on. */
  private countNotices({ fleet, moment }: Turn): void {
    if (moment.now < this.noticesAt) return;
    this.noticesAt = moment.now + SCAN_MS;
    for (const machine of fleet.machines.values()) {
      if (machine.reclaimAt === null) continue;
      for (const attempt of machine.placements.values()) {
        const open =
          attempt.job?.terminalState === 'none' &&
          !attempt.isSuperseded &&
          attempt.phase !== 'ended';
        if (open && attempt.stopRequest) this.budget.suffer(attempt, moment);
      }
    }
  }

  private advance(drain: Drain, turn: Turn): void {
    if (isFinished(drain) && drain.current.size === 0) return;
    this.progress.begin(drain);
    this.pauseAtDeadline(drain, turn);
    let attempts = 0;
    for (const machineDrain of [...drain.current.values()]) {
      this.advanceMachine(drain, machineDrain, turn);
      attempts += turn.fleet.machines.get(machineDrain.machine)?.placements.size ?? 0;
    }
    this.progress.noteAttempts(drain, attempts, turn.moment);
    const active = drain.phase === 'running' || drain.phase === 'pending';
    if (active && drain.current.size === 0) this.beginStep(drain, turn);
  }

  private pauseAtDeadline(drain: Drain, turn: Turn): void {
    const active = drain.phase === 'running' || drain.phase === 'pending';
    if (!active || drain.deadlineAt === null || turn.moment.timeOfDay < drain.deadlineAt) return;
    this.setPhase(drain, 'paused', 'its deadline has passed', turn);
  }

  /** Changes the state of a drain and stores it. */
  setPhase(drain: Drain, phase: Drain['phase'], why: string | null, turn: Turn): void {
    const { name } = drain.request;
    drain.phase = phase;
    drain.pausedBecause = why;
    this.progress.moved(drain, turn.moment);
    turn.requests.push(this.store.write(this.drainWrite(drain)));
    const fields = { drain: name, phase, ...(why === null ? {} : { why }) };
    turn.requests.push({ kind: 'log', level: 'info', text: 'drain', fields });
  }

  private drainWrite(drain: Drain): RecordWrite {
    return { key: drainKey(drain.request.name), value: writeDrain(drain) };
  }

  private machineWrite(drain: Drain, machineDrain: MachineDrain): RecordWrite {
    const key = machineKey(drain.request.name, machineDrain.machine);
    return { key, value: writeMachine(machineDrain) };
  }

  /** Stores changes that events brought about. */
  storeLater(writes: readonly RecordWrite[], turn: Turn): void {
    for (const write of writes) turn.requests.push(this.store.write(write));
  }

  // ---- one machine -------------------------------------------------------------------------------

  private advanceMachine(drain: Drain, machineDrain: MachineDrain, turn: Turn): void {
    const { fleet, requests } = turn;
    const machine = fleet.machines.get(machineDrain.machine);
    if (!this.store.isStored(machineKey(drain.request.name, machineDrain.machine))) {
      this.progress.block(drain, { kind: 'storing' }, machineDrain.machine);
      return;
    }
    if (!machine) return this.close(drain, machineDrain, turn);
    if (machineDrain.phase !== 'waiting') requests.push({ kind: 'cordon', machine: machine.id });
    if (machineDrain.phase === 'returning') {
      requests.push({ kind: 'return-machine', machine: machine.id });
      this.progress.block(drain, { kind: 'return-unconfirmed' }, machine.id);
      return;
    }
    if (drain.phase !== 'running') return;
    if (isBeingLost(machine)) {
      this.progress.block(drain, { kind: 'being-lost' }, machine.id);
      return;
    }
    if (drain.request.replace && !this.hasReplacement(drain, machineDrain, machine, turn)) return;
    if (machineDrain.phase === 'waiting') {
      requests.push({ kind: 'cordon', machine: machine.id });
      return this.setMachinePhase(drain, machineDrain, 'cordoned', turn);
    }
    if (machine.placements.size === 0)
      return this.setMachinePhase(drain, machineDrain, 'returning', turn);
    this.empty(drain, machineDrain, machine, turn);
  }

  private setMachinePhase(
    drain: Drain,
    machineDrain: MachineDrain,
    phase: MachineDrain['phase'],
    turn: Turn,
  ): void {
    machineDrain.phase = phase;
    this.progress.moved(drain, turn.moment);
    turn.requests.push(this.store.write(this.machineWrite(drain, machineDrain)));
  }

  /** The machine has left the fleet: by its return, or before it. */
  private close(drain: Drain, machineDrain: MachineDrain, turn: Turn): void {
    const { machine, phase } = machineDrain;
    if (phase === 'returning') drain.returned += 1;
    else drain.failed += 1;
    drain.current.delete(machine);
    this.replacements.forget(machineDrain);
    this.progress.moved(drain, turn.moment);
    const dropped = { key: machineKey(drain.request.name, machine), value: null };
    turn.requests.push({ kind: 'uncordon', machine });
    turn.requests.push(this.store.write(this.drainWrite(drain), dropped));
  }

  private hasReplacement(
    drain: Drain,
    machineDrain: MachineDrain,
    machine: MachineView,
    turn: Turn,
  ): boolean {
    const state = this.replacements.advance(machineDrain, machine, turn);
    if (state.kind === 'ready') return true;
    if (state.kind === 'blocked') {
      this.progress.block(drain, state.blocker, machine.id);
      return false;
    }
    // Its room is needed again until another one is ready.
    turn.requests.push({ kind: 'uncordon', machine: machine.id });
    this.replacements.forget(machineDrain);
    machineDrain.rental = this.replacements.anotherSlot(turn);
    machineDrain.replacement = null;
    machineDrain.tries += 1;
    machineDrain.phase = 'waiting';
    turn.requests.push(this.store.write(this.machineWrite(drain, machineDrain)));
    return false;
  }

  /** Lets work end, stops what saves, and asks for moves of replicas, as far as the budgets allow. */
  private empty(drain: Drain, machineDrain: MachineDrain, machine: MachineView, turn: Turn): void {
    const work = workOn(machine, this.settings.letEndS, turn.moment);
    if (work.ended > 0)
      this.progress.block(drain, { kind: 'results-kept', tasks: work.ended }, machine.id);
    if (work.ending.length > 0) {
      const inS = Math.ceil(work.endsInMs / 1000);
      const blocker: Blocker = { kind: 'work-ends-by-itself', tasks: work.ending.length, inS };
      this.progress.block(drain, blocker, machine.id);
    }
    if (work.stopping > 0)
      this.progress.block(drain, { kind: 'work-stops', tasks: work.stopping }, machine.id);
    let stops = 0;
    for (const attempt of work.replicas) {
      if (!this.mayDisrupt(drain, attempt, turn)) continue;
      stops += 1;
      const blocker: Blocker = { kind: 'replica-needs-room', job: attempt.entry.job };
      this.progress.block(drain, blocker, machine.id);
    }
    for (const attempt of work.stoppable) {
      if (!this.mayDisrupt(drain, attempt, turn)) continue;
      stops += 1;
      const graceS = (attempt.job?.spec.checkpointWriteS ?? 0) + GRACE_MARGIN_S;
      const { attempt: number } = attempt.entry;
      turn.requests.push({ kind: 'stop', machine: machine.id, attempt: number, graceS });
    }
    if (stops > 0 && machineDrain.phase === 'cordoned')
      this.setMachinePhase(drain, machineDrain, 'draining', turn);
  }

  private mayDisrupt(drain: Drain, attempt: AttemptView, turn: Turn): boolean {
    const result = this.budget.request(attempt, turn.fleet, turn.moment);
    const lapsed: Blocker = { kind: 'grant-lapsed', job: attempt.entry.job };
    if (result === null) this.progress.block(drain, lapsed, attempt.machine.id);
    else if (isBlocker(result)) this.progress.block(drain, result, attempt.machine.id);
    else if (result.phase === 'asked')
      this.progress.block(drain, { kind: 'storing' }, attempt.machine.id);
    return this.budget.isGranted(attempt.entry.attempt);
  }

  // ---- steps -------------------------------------------------------------------------------------

  /** What the choice of machines depends on beside the fleet. */
  contextOf({ fleet, moment }: Turn): StepContext {
    return {
      letEndS: this.settings.letEndS,
      inUse: (machine) => this.drainOf(machine) !== null || this.isReplacement(machine),
      budgetBlocker: (team, jobClass) => this.budget.blocker(team, jobClass, fleet, moment),
    };
  }

  private beginStep(drain: Drain, turn: Turn): void {
    const { name } = drain.request;
    if (turn.moment.now < (this.nextStepAt.get(name) ?? 0)) {
      this.progress.keep(drain);
      return;
    }
    this.progress.begin(drain);
    const waiting = this.budget.voluntaryOpen;
    if (waiting > 0) {
      this.progress.block(drain, { kind: 'work-runs-again', tasks: waiting });
      return;
    }
    const { left, chosen, blocker } = chooseStep(drain, this.contextOf(turn), turn);
    if (left === 0) {
      // Machines that went before a step took them were lost or taken too.
      drain.failed = Math.max(drain.failed, drain.total - drain.returned);
      this.setPhase(drain, 'done', null, turn);
      return;
    }
    if (blocker) this.progress.block(drain, blocker);
    if (chosen.length === 0) {
      this.nextStepAt.set(name, turn.moment.now + STEP_RETRY_MS);
      return;
    }
    drain.step += 1;
    this.setPhase(drain, 'running', null, turn);
    const slots = drain.request.replace ? this.replacements.slotsFor(chosen, turn) : null;
    for (const { id } of chosen) this.take(drain, id, slots?.get(id) ?? null, turn);
  }

  private take(drain: Drain, machine: MachineId, rental: RentalSlot | null, turn: Turn): void {
    const phase = rental === null ? 'cordoned' : 'waiting';
    const machineDrain: MachineDrain = { machine, phase, rental, replacement: null, tries: 1 };
    drain.current.set(machine, machineDrain);
    if (phase === 'cordoned') turn.requests.push({ kind: 'cordon', machine });
    turn.requests.push(this.store.write(this.machineWrite(drain, machineDrain)));
  }

  // ---- operators ---------------------------------------------------------------------------------

  /** Takes up a new drain; finished ones beyond those that are kept are forgotten. */
  add(drain: Drain, turn: Turn): void {
    this.all.set(drain.request.name, drain);
    this.progress.moved(drain, turn.moment);
    turn.requests.push(this.store.write(this.drainWrite(drain)));
    const finished = [...this.all.values()].filter((d) => isFinished(d) && d.current.size === 0);
    finished.sort((a, b) => a.startedAt - b.startedAt);
    for (const { request } of finished.slice(0, Math.max(0, finished.length - KEEP_FINISHED))) {
      this.all.delete(request.name);
      this.progress.forget(request.name);
      turn.requests.push(this.store.write({ key: drainKey(request.name), value: null }));
    }
  }

  /** Puts back into use what is not on its way back to the cloud. */
  cancel(drain: Drain, turn: Turn): void {
    for (const machineDrain of [...drain.current.values()]) {
      const { machine, phase } = machineDrain;
      if (phase === 'returning') continue;
      drain.current.delete(machine);
      this.replacements.forget(machineDrain);
      turn.requests.push({ kind: 'uncordon', machine });
      const key = machineKey(drain.request.name, machine);
      turn.requests.push(this.store.write({ key, value: null }));
    }
    this.setPhase(drain, 'cancelled', null, turn);
  }

  /** Goes on; a deadline that has passed does not hold any more. */
  resume(drain: Drain, turn: Turn): void {
    if (drain.deadlineAt !== null && drain.deadlineAt <= turn.moment.timeOfDay)
      drain.deadlineAt = null;
    this.setPhase(drain, drain.step > 0 ? 'running' : 'pending', null, turn);
  }
}
