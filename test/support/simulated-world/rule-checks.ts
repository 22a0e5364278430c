/** Checks the users' rules against what actually runs; each violation becomes a problem. */
import type { Effect } from '../../../src/core/model/effect.js';
import type { MachineId } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { Fleet, Machine } from './fleet.js';
import type { Interruptions } from './interruptions.js';
import type { StoredData } from './key-value-store.js';
import type { Leader } from './leaders.js';
import { CANCEL_MS, TEAMS } from './settings.js';
import type { Simulation } from './simulation.js';

/** Checks for `ran_twice`, `quota`, `wrong_place`, `ran_cancelled`, `not_done` and others. */
export class RuleChecks {
  private readonly attempts = new Set<string>();
  /** When a cancellation was stored: from then on any controller may report it. */
  private readonly cancelledAt = new Map<string, number>();

  constructor(
    private readonly sim: Simulation,
    private readonly fleet: Fleet,
    private readonly stored: StoredData,
    private readonly interruptions: Interruptions,
  ) {}

  /** Checks the start of a task by a worker. */
  checkStart(machine: Machine, id: string, index: number, attempt: number): void {
    const { sim } = this;
    const name = `${id}/${index}`;
    const spec = sim.specOf(id);
    sim.counters.starts += 1;
    this.interruptions.byTask.delete(name);
    if (spec.shape === 'service') sim.counters.services.starts += 1;
    this.checkRunsOnce(machine, id, index);
    if (this.attempts.has(`${name}#${attempt}`))
      sim.problems.push(`attempt ID used twice: ${name}#${attempt}`);
    this.attempts.add(`${name}#${attempt}`);
    this.checkPlace(machine, name, spec);
  }

  private checkRunsOnce(machine: Machine, id: string, index: number): void {
    const { sim } = this;
    for (const other of this.fleet.machines.values()) {
      if (other === machine) continue;
      if (other.tasks.some((t) => t.job === id && t.index === index && t.state !== 'ended')) {
        sim.problems.push(
          `ran_twice ${id}/${index} on ${machine.id} and ${other.id} at ${sim.now}`,
        );
      }
    }
  }

  private checkPlace(machine: Machine, name: string, spec: JobSpec): void {
    const { problems } = this.sim;
    if (spec.zone !== null && spec.zone !== machine.zone) problems.push(`wrong_place zone ${name}`);
    if (machine.spot && !spec.allowsSpot) problems.push(`wrong_place spot ${name}`);
    const zones = this.fleet.zonesOf(spec.id);
    if (spec.singleZone && zones.some((zone) => zone !== machine.zone))
      problems.push(`wrong_place single zone ${name}`);
    const maxPerZone = Math.ceil(spec.tasks / 2);
    if (spec.spreadZones && zones.filter((zone) => zone === machine.zone).length >= maxPerZone)
      problems.push(`wrong_place spread zones ${name}`);
  }

  /** Checks the rules that hold at any time. */
  checkInvariants(): void {
    const { sim } = this;
    for (const { name, cpusMax } of TEAMS) {
      const cpus = this.fleet.cpusOf(name);
      if (cpus > cpusMax) sim.problems.push(`quota ${name} ${cpus} at ${sim.now}`);
    }
    for (const [id, at] of this.cancelledAt) {
      if (sim.now > at + CANCEL_MS && this.fleet.zonesOf(id).length > 0)
        sim.problems.push(`ran_cancelled ${id}`);
    }
  }

  /** Checks that all tasks of a job that ends as done are done. */
  checkJobEnded({ job, outcome }: Extract<Effect, { kind: 'job-ended' }>): void {
    const { problems, counters } = this.sim;
    const { shape, tasks } = this.sim.specOf(job);
    if (outcome === 'done' && shape === 'service') problems.push(`not_done ${job}`);
    if (outcome === 'cancelled' && shape === 'service') counters.services.cancelled += 1;
    if (outcome !== 'done') return;
    for (let i = 0; i < tasks; i += 1) {
      if (!this.interruptions.doneTasks.has(`${job}/${i}`)) problems.push(`not_done ${job}/${i}`);
    }
  }

  /** Checks that a cancellation's outcome was stored before a user gets it. */
  checkCancellationSettled({
    ticket,
    outcome,
  }: Extract<Effect, { kind: 'cancellation-settled' }>): void {
    const id = this.interruptions.cancelRequests.get(ticket)!;
    if (outcome !== null && this.stored.completions.get(id) !== outcome)
      this.sim.problems.push(`outcome reported before it was stored: ${id}`);
  }

  /** Records a stored cancellation, which the leader may not know of yet. */
  recordCancellation(job: string): void {
    const { sim } = this;
    this.cancelledAt.set(job, sim.now);
    if (sim.now < sim.faultTimes.refusalGapUntil) sim.counters.compoundFaults.cancelledInGap += 1;
    if (!this.interruptions.isCancelRequested(job))
      sim.problems.push(`cancelled without a request: ${job}`);
  }

  /** Checks that machines are returned without tasks unless they are lost. */
  checkReturns(leader: Leader, ids: readonly MachineId[]): void {
    for (const id of ids) {
      const known = leader.state.machines.get(id);
      const isLostOrUnknown =
        !known || known.lostAt !== null || known.isUnreachable || !known.hasReported;
      if (!isLostOrUnknown && this.fleet.machines.get(id)?.isBusy())
        this.sim.problems.push(`machine returned while it ran tasks: ${id}`);
    }
  }
}
