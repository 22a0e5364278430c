/**
 * A world for the core to run against: workers, a key-value store and a cloud that follow the
 * protocol, with drawn delays, repeats, lost answers, silent machines, crashes and failovers. It
 * knows what really runs where, which the core only hears of, and checks the users' rules at every
 * step. This module owns its parts and the course of time.
 */
import type { OperatorAnswer, OperatorCall } from '../../../src/core/extensions/extension.js';
import { Faults } from './faults.js';
import { Fleet } from './fleet.js';
import { type Interruption, Interruptions } from './interruptions.js';
import { createStoredData, ModelKeyValueStore, type StoredData } from './key-value-store.js';
import { LeaderRunner } from './leader-runner.js';
import { Leaders } from './leaders.js';
import { ModelCloud } from './model-cloud.js';
import { ModelWorkers } from './model-workers.js';
import { RuleChecks } from './rule-checks.js';
import { MACHINE_TYPE, TEAMS, type WorldOptions } from './settings.js';
import { Simulation } from './simulation.js';
import { TaskExecution } from './task-execution.js';
import { Users } from './users.js';

/** How far the clock goes on at a time. */
const STEP_MS = 50;
/** How often leaders get a tick. */
const TICK_MS = 250;

/** One drawn history; the same seed and options give the same one. */
export class SimulatedWorld {
  /** Kinds of interruption, for checks of budgets. */
  readonly interruptions: Interruptions;
  private readonly sim: Simulation;
  private readonly stored: StoredData = createStoredData();
  private readonly fleet: Fleet;
  private readonly leaders: Leaders;
  private readonly users: Users;
  private readonly workers: ModelWorkers;
  private readonly runner: LeaderRunner;
  private readonly faults: Faults;
  private readonly checks: RuleChecks;

  constructor(seed: number, options: WorldOptions = {}) {
    const sim = new Simulation(seed, options);
    const { stored } = this;
    const fleet = new Fleet(sim);
    const interruptions = new Interruptions(sim, stored);
    const checks = new RuleChecks(sim, fleet, stored, interruptions);
    const store = new ModelKeyValueStore(sim, stored, checks);
    const leaders = new Leaders(sim, fleet, store);
    const users = new Users(sim, stored, leaders, interruptions);
    const cloud = new ModelCloud({ sim, fleet, leaders, checks, interruptions });
    const tasks = new TaskExecution({ sim, stored, checks, interruptions, users });
    const workers = new ModelWorkers({ sim, fleet, leaders, cloud, tasks });
    this.sim = sim;
    this.fleet = fleet;
    this.interruptions = interruptions;
    this.checks = checks;
    this.leaders = leaders;
    this.users = users;
    this.workers = workers;
    this.runner = new LeaderRunner({ sim, leaders, store, cloud, workers, users, checks });
    this.faults = new Faults({ sim, fleet, leaders, cloud, workers, users });
    for (let i = 0; i < 4; i += 1) fleet.add(i === 0, 0);
    leaders.elect();
  }

  /** The steady clock, in milliseconds. */
  get now(): number {
    return this.sim.now;
  }

  /** Broken rules. */
  get problems(): readonly string[] {
    return this.sim.problems;
  }

  /** What the history has reached. */
  get counters(): Simulation['counters'] {
    return this.sim.counters;
  }

  /** Until when faults of the cloud and the key-value store last; tests may set them. */
  get faultTimes(): Simulation['faultTimes'] {
    return this.sim.faultTimes;
  }

  /** Plays some milliseconds; with `calm`, no new jobs and no new faults. */
  advance(ms: number, calm: boolean): void {
    const { sim } = this;
    const end = sim.now + ms;
    while (sim.now < end && sim.problems.length === 0) this.step(calm);
  }

  private step(calm: boolean): void {
    const { sim, leaders } = this;
    sim.now += STEP_MS;
    if (!calm) this.drawEvents();
    sim.deliverDue();
    leaders.stopPreviousVersionWhenUpgraded();
    leaders.renewLease();
    for (const leader of [...leaders.list]) {
      if (sim.now % TICK_MS === 0) leader.queue.push({ kind: 'tick' });
      this.runner.run(leader);
      leaders.endIfExpired(leader);
    }
    for (const machine of this.fleet.all()) this.workers.advance(machine, STEP_MS);
    this.checks.checkInvariants();
  }

  private drawEvents(): void {
    const { sim } = this;
    if (sim.chance(4)) this.users.submit();
    if (sim.chance(1) && sim.chance(40)) this.users.cancel();
    if (sim.chance(1)) this.faults.draw();
  }

  /** Ends all faults. */
  heal(): void {
    this.faults.heal();
  }

  /** An operator's call; null when no leader of this version can take it. */
  operate(call: OperatorCall): { answer: OperatorAnswer | null } | null {
    return this.users.operate(call);
  }

  /** Tasks that were stopped by decision and do not run again yet. */
  voluntaryInterruptions(): Interruption[] {
    return this.interruptions.openVoluntaryInterruptions();
  }

  /** Arrays that are still open though they could have been done. */
  unfinishedArrays(): string[] {
    const { sim } = this;
    return [...this.stored.jobs.keys()].filter(
      (id) => !sim.isService(id) && !sim.failingJobs.has(id),
    );
  }

  /** Jobs with a waiting task that a machine has room for, whose team is under its quota. */
  jobsWaitingDespiteCapacity(): string[] {
    return [...this.stored.jobs.keys()].filter((id) => this.waitsDespiteCapacity(id));
  }

  private waitsDespiteCapacity(id: string): boolean {
    const { sim, fleet } = this;
    const spec = sim.specOf(id);
    const { cpusMax } = TEAMS.find((t) => t.name === spec.team)!;
    if (sim.failingJobs.has(id) || spec.singleZone || spec.spreadZones) return false;
    if (this.countPlacedOrDone(id) >= spec.tasks) return false;
    if (fleet.cpusOf(spec.team) + spec.cpus > cpusMax) return false;
    return fleet
      .all()
      .some(
        (machine) =>
          sim.now >= machine.upAt &&
          machine.reclaimAt === null &&
          (spec.allowsSpot || !machine.spot) &&
          (spec.zone === null || spec.zone === machine.zone) &&
          machine.usedCpus(sim.specs) + spec.cpus <= MACHINE_TYPE.cpus,
      );
  }

  /** A job's tasks on machines, with those done but not dropped yet, and those done. */
  private countPlacedOrDone(id: string): number {
    let count = 0;
    for (const machine of this.fleet.machines.values()) {
      for (const t of machine.tasks)
        if (t.job === id && (t.state !== 'ended' || t.cause === 'done')) count += 1;
    }
    for (let i = 0; i < this.sim.specOf(id).tasks; i += 1)
      if (this.interruptions.doneTasks.has(`${id}/${i}`)) count += 1;
    return count;
  }

  /** How many services there are. */
  serviceCount(): number {
    return [...this.stored.jobs.keys()].filter((id) => this.sim.isService(id)).length;
  }

  /** Services of which not all replicas run, though they could. */
  servicesShortOfReplicas(): string[] {
    const { sim, fleet } = this;
    return [...this.stored.jobs.keys()].filter(
      (id) =>
        !sim.failingJobs.has(id) &&
        sim.isService(id) &&
        fleet.zonesOf(id).length < sim.specOf(id).tasks,
    );
  }
}
