/** Tasks that were stopped or lost and do not run again yet. */
import type { Machine, MachineTask } from './fleet.js';
import type { StoredData } from './key-value-store.js';
import type { Simulation } from './simulation.js';

/** A task that was stopped or lost and does not run again yet. */
export interface Interruption {
  readonly team: string;
  readonly jobClass: string;
  /** Stopped by the leader's own decision. */
  readonly voluntary: boolean;
}

/** Records interruptions, for checks of disruption budgets. */
export class Interruptions {
  /** By task, as `job/index`. */
  readonly byTask = new Map<string, Interruption>();
  /** Called at each voluntary stop. */
  onVoluntaryStop: (name: string) => void = () => {};
  /** Tasks that are done, as `job/index`. */
  readonly doneTasks = new Set<string>();
  /** Jobs whose cancellation was requested, by ticket. */
  readonly cancelRequests = new Map<number, string>();

  constructor(
    private readonly sim: Simulation,
    private readonly stored: StoredData,
  ) {}

  /** Whether a user has requested a job's cancellation. */
  isCancelRequested(job: string): boolean {
    return [...this.cancelRequests.values()].includes(job);
  }

  private isWanted(job: string): boolean {
    return this.stored.jobs.has(job) && !this.isCancelRequested(job);
  }

  /** Voluntary interruptions of tasks that still have to run again. */
  openVoluntaryInterruptions(): Interruption[] {
    const open: Interruption[] = [];
    for (const [name, interruption] of this.byTask) {
      const isUnfinished = this.isWanted(name.split('/')[0]!) && !this.doneTasks.has(name);
      if (isUnfinished && interruption.voluntary) open.push(interruption);
    }
    return open;
  }

  /** Records the interruption of a task by a stop or the loss of its machine. */
  interrupt(t: MachineTask, voluntary: boolean): void {
    const name = `${t.job}/${t.index}`;
    if (t.state === 'ended' || !this.isWanted(t.job) || this.doneTasks.has(name)) return;
    const { team, jobClass } = this.sim.specOf(t.job);
    this.byTask.set(name, { team, jobClass, voluntary });
    if (voluntary) this.onVoluntaryStop(name);
  }

  /** Records a stop; voluntary unless after a reclaim notice or by the previous version. */
  recordStop(machine: Machine, t: MachineTask, byPreviousVersion: boolean): void {
    this.interrupt(t, machine.reclaimAt === null && !byPreviousVersion);
  }
}
