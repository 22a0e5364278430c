/**
 * A simulated environment of the core: workers, a key-value store and a cloud that follow the
 * protocol, with drawn delays, repeats, lost answers, unreachable machines, crashes and failovers.
 * It knows the actual state, which the core only learns from messages, and checks the users' rules
 * at every step. This module creates the parts and advances the clock.
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

/** Step of the clock. */
const STEP_MS = 50;
/** Interval of the leaders' ticks. */
const TICK_MS = 250;

/** One drawn history, which the seed and options determine. */
export class SimulatedWorld {
  /** Interrupted tasks, for checks of disruption budgets. */
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

  /** The monotonic clock, in milliseconds. */
  get now(): number {
    return this.sim.now;
  }

  get problems(): readonly string[] {
    return this.sim.problems;
  }

  /** Counts of what happened in the history. */
  get counters(): Simulation['counters'] {
    return this.sim.counters;
  }

  /** When faults of cloud and key-value store end; tests may set these times. */
  get faultTimes(): Simulation['faultTimes'] {
    return this.sim.faultTimes;
  }

  /** Advances the clock by `ms`, optionally without new jobs, cancellations and faults. */
  advance(ms: number, withoutNewEvents: boolean): void {
    const { sim } = this;
    const end = sim.now + ms;
    while (sim.now < end && sim.problems.length === 0) this.step(withoutNewEvents);
  }

  private step(withoutNewEvents: boolean): void {
    const { sim, leaders } = this;
    sim.now += STEP_MS;
    if (!withoutNewEvents) this.drawEvents();
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

  /** Sends an operator's call; null if no leader of the current version can receive it. */
  operate(call: OperatorCall): { answer: OperatorAnswer | null } | null {
    return this.users.operate(call);
  }

  /** Tasks that a leader stopped by its own decision and that do not run again yet. */
  voluntaryInterruptions(): Interruption[] {
    return this.interruptions.openVoluntaryInterruptions();
  }

  /** Unfinished arrays, without those that can only fail. */
  unfinishedArrays(): string[] {
    const { sim } = this;
    return [...this.stored.jobs.keys()].filter(
      (id) => !sim.isService(id) && !sim.failingJobs.has(id),
    );
  }

  /** Jobs with a waiting task that fits on a machine and within the team's quota. */
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

  /** Counts a job's active and done tasks; those done but still reported by a machine twice. */
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

  serviceCount(): number {
    return [...this.stored.jobs.keys()].filter((id) => this.sim.isService(id)).length;
  }

  /** Services with missing replicas, without those that can only fail. */
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
