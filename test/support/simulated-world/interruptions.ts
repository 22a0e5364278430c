/** Tasks that were stopped or lost, until they run again, as the machines know it. */
import type { Machine, MachineTask } from './fleet.js';
import type { StoredData } from './key-value-store.js';
import type { Simulation } from './simulation.js';

/** A task that was stopped or lost, until it runs again. */
export interface Interruption {
  readonly team: string;
  readonly jobClass: string;
  /** By the leader's own decision. */
  readonly voluntary: boolean;
}

/** Keeps count of interrupted tasks, for checks of budgets. */
export class Interruptions {
  /** By task, as `job/index`. */
  readonly byTask = new Map<string, Interruption>();
  /** Told of each task that is stopped by decision. */
  onVoluntaryStop: (name: string) => void = () => {};
  /** Tasks that are done, as `job/index`. */
  readonly doneTasks = new Set<string>();
  /** Jobs whose cancellation was requested, by ticket. */
  readonly cancelRequests = new Map<number, string>();

  constructor(
    private readonly sim: Simulation,
    private readonly stored: StoredData,
  ) {}

  /** Whether users have asked for a job's cancellation. */
  isCancelRequested(job: string): boolean {
    return [...this.cancelRequests.values()].includes(job);
  }

  private isWanted(job: string): boolean {
    return this.stored.jobs.has(job) && !this.isCancelRequested(job);
  }

  /** Tasks that were interrupted by decision, do not run again yet, and are still wanted. */
  openVoluntaryInterruptions(): Interruption[] {
    const open: Interruption[] = [];
    for (const [name, interrupted] of this.byTask) {
      const isWanted = this.isWanted(name.split('/')[0]!) && !this.doneTasks.has(name);
      if (isWanted && interrupted.voluntary) open.push(interrupted);
    }
    return open;
  }

  /** A task does not run on, by its machine's loss or a stop. */
  interrupt(t: MachineTask, voluntary: boolean): void {
    const name = `${t.job}/${t.index}`;
    if (t.state === 'ended' || !this.isWanted(t.job) || this.doneTasks.has(name)) return;
    const { team, jobClass } = this.sim.specOf(t.job);
    this.byTask.set(name, { team, jobClass, voluntary });
    if (voluntary) this.onVoluntaryStop(name);
  }

  /** A stop by decision, unless a reclaim notice is behind it or a leader of the other version. */
  recordStop(machine: Machine, t: MachineTask, byOldVersion: boolean): void {
    this.interrupt(t, machine.reclaimAt === null && !byOldVersion);
  }
}
