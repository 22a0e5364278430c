/** Users, who submit and cancel jobs, and operators, who call extensions. */
import type { OperatorAnswer, OperatorCall } from '../../../src/core/extensions/extension.js';
import type { JobId, TeamName, ZoneName } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { Instant } from '../../../src/core/model/time.js';
import { job } from '../builders.js';
import type { Interruptions } from './interruptions.js';
import type { StoredData } from './key-value-store.js';
import type { Leaders } from './leaders.js';
import { TEAMS } from './settings.js';
import type { Simulation } from './simulation.js';

/** Draws requests of users, and sends those of operators. */
export class Users {
  private readonly answerHandlers = new Map<number, (answer: OperatorAnswer) => void>();

  constructor(
    private readonly sim: Simulation,
    private readonly stored: StoredData,
    private readonly leaders: Leaders,
    private readonly interruptions: Interruptions,
  ) {}

  /** Submits a drawn job. */
  submit(): void {
    const { sim } = this;
    const id = `job-${sim.specs.size}`;
    const owner = (sim.chance(50) ? 'blue' : 'green') as TeamName;
    const service = sim.chance(12) ? this.drawService(owner) : null;
    const spec = job(id, {
      team: owner,
      tasks: sim.int(1, 7),
      cpus: sim.int(1, 4),
      estimateS: sim.int(1, 20),
      zone: sim.chance(10) ? ('a' as ZoneName) : null,
      singleZone: sim.chance(15),
      spreadZones: sim.chance(10),
      allowsSpot: !sim.chance(15),
      checkpointIntervalS: sim.chance(30) ? 5 : 0,
      deadlineS: sim.chance(50) ? sim.int(20, 200) : null,
      ...service,
    });
    sim.specs.set(id, spec);
    if (sim.chance(4)) sim.failingJobs.add(id);
    this.stored.jobs.set(id, { spec, submittedAt: sim.now });
    const leader = this.leaders.current();
    if (leader && !(leader.isPreviousVersion && service))
      leader.queue.push({ kind: 'job', spec, submittedAt: sim.now as Instant });
  }

  /** Limits services to a third of a team's quota, so that its arrays can finish; else null. */
  private drawService(owner: TeamName): Partial<JobSpec> | null {
    const { sim } = this;
    const tasks = sim.int(1, 4);
    let cpus = tasks;
    for (const { spec } of this.stored.jobs.values()) {
      if (spec.shape === 'service' && spec.team === owner) cpus += spec.tasks * spec.cpus;
    }
    if (cpus * 3 > TEAMS.find((t) => t.name === owner)!.cpusMax) return null;
    const isCritical = sim.chance(70) && sim.options.preemption !== false;
    // A service bound to one zone but spread over several could never run all replicas.
    const spread = sim.chance(30) ? { spreadZones: true, zone: null } : { spreadZones: false };
    return {
      shape: 'service',
      priority: isCritical ? 'critical' : 'standard',
      tasks,
      cpus: 1,
      estimateS: 0,
      singleZone: false,
      deadlineS: null,
      ...spread,
    };
  }

  /** Requests the cancellation of a job, a drawn one unless `which` names it. */
  cancel(which?: string): void {
    const { sim, leaders } = this;
    const all = [...this.stored.jobs.keys()];
    const services = all.filter((id) => sim.isService(id));
    const ids = services.length > 0 && sim.chance(40) ? services : all;
    const leader = leaders.current();
    if (!leader || ids.length === 0 || leaders.authority(leader) !== 'lead') return;
    const ticket = sim.nextTicket();
    const id = which ?? ids[sim.int(0, ids.length - 1)]!;
    this.interruptions.cancelRequests.set(ticket, id);
    leader.queue.push({ kind: 'cancel-job', job: id as JobId, ticket });
  }

  /** Sends an operator's call to the leader; null if there is none or it has no extensions. */
  operate(call: OperatorCall): { answer: OperatorAnswer | null } | null {
    const { sim, leaders } = this;
    const leader = leaders.current();
    if (!leader?.state.extensions || leaders.authority(leader) !== 'lead') return null;
    const ticket = sim.nextTicket();
    const pending: { answer: OperatorAnswer | null } = { answer: null };
    this.answerHandlers.set(ticket, (answer) => {
      pending.answer = answer;
    });
    const extension = sim.options.module!.name;
    leader.queue.push({ kind: 'operator-call', extension, call, ticket });
    return pending;
  }

  /** Delivers the leader's answer to an operator's call. */
  receiveAnswer(ticket: number, answer: OperatorAnswer): void {
    this.answerHandlers.get(ticket)?.(answer);
  }
}
