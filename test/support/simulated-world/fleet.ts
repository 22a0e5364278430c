/** The actual state of the machines and their tasks. */
import type {
  MachineId,
  MachineTypeName,
  TeamName,
  ZoneName,
} from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import type { ListedMachine } from '../../../src/core/model/machine.js';
import type { Leader } from './leaders.js';
import type { Simulation } from './simulation.js';

/** A task on a machine. */
export interface MachineTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  state: 'running' | 'ended';
  cause: 'done' | 'stopped' | 'error' | null;
  /** Remaining run time, in milliseconds. */
  remainingMs: number;
}

/** A machine with its worker. */
export class Machine {
  agentEpoch = 1;
  heartbeatSequence = 0;
  fencingToken = 0;
  tasks: MachineTask[] = [];
  /** Start of the current worker lease. */
  leaseStartedAt: number;
  nextHeartbeatAt: number;
  lastHeartbeatAt = 0;
  /** The heartbeat whose reply is pending. */
  pendingHeartbeat: { readonly sentAt: number; readonly agentEpoch: number } | null = null;
  /** When the cloud reclaims the machine, after a notice. */
  reclaimAt: number | null = null;
  /** Whether every task on the machine ends in error. */
  isFaulty = false;
  isRemoved = false;
  upAt: number;
  hungUntil = 0;
  /** Until `cutOffUntil`, the machine communicates with this leader only. */
  cutOffWith: Leader | null = null;
  cutOffUntil = 0;
  /** Until then, heartbeats arrive, but no reply or command reaches the machine. */
  inboundBlockedUntil = 0;
  /** Until then, heartbeats reach no controller, but commands arrive. */
  outboundBlockedUntil = 0;
  /** Until then, messages in both directions are held back; then all arrive at once. */
  heldUntil = 0;

  constructor(
    readonly id: string,
    readonly spot: boolean,
    readonly zone: string,
    now: number,
    bootMs: number,
  ) {
    this.upAt = now + bootMs;
    this.leaseStartedAt = this.upAt;
    this.nextHeartbeatAt = this.upAt;
  }

  /** Tasks that have not ended. */
  activeTasks(): MachineTask[] {
    return this.tasks.filter((t) => t.state !== 'ended');
  }

  /** Whether a task has not ended. */
  isBusy(): boolean {
    return this.tasks.some((t) => t.state !== 'ended');
  }

  /** CPUs of its active tasks. */
  usedCpus(specs: ReadonlyMap<string, JobSpec>): number {
    return this.activeTasks().reduce((sum, t) => sum + specs.get(t.job)!.cpus, 0);
  }
}

/** All machines. */
export class Fleet {
  readonly machines = new Map<string, Machine>();
  private nextMachine = 0;

  constructor(private readonly sim: Simulation) {}

  /** Adds a machine, sometimes a faulty one; draws its zone unless the options keep zones. */
  add(isOnDemand: boolean, bootMs: number, zone?: string): Machine {
    const { sim } = this;
    const id = `n-${String(this.nextMachine).padStart(4, '0')}`;
    this.nextMachine += 1;
    const drawn = sim.chance(50) ? 'a' : 'b';
    const at = sim.options.module || sim.options.keepZones ? (zone ?? drawn) : drawn;
    const machine = new Machine(id, !isOnDemand, at, sim.now, bootMs);
    machine.isFaulty = sim.chance(6);
    this.machines.set(id, machine);
    return machine;
  }

  /** A copy of the machines, safe to iterate during changes. */
  all(): Machine[] {
    return [...this.machines.values()];
  }

  /** Draws the delay of a message to or from a machine. */
  linkDelay(machine: Machine): number {
    return Math.max(0, machine.heldUntil - this.sim.now) + this.sim.delay();
  }

  /** Zones of the job's tasks that have not ended. */
  zonesOf(job: string): string[] {
    const zones: string[] = [];
    for (const machine of this.machines.values()) {
      for (const t of machine.tasks)
        if (t.job === job && t.state !== 'ended') zones.push(machine.zone);
    }
    return zones;
  }

  /** CPUs that a team's tasks actually use. */
  cpusOf(team: TeamName): number {
    let cpus = 0;
    for (const machine of this.machines.values()) {
      for (const t of machine.tasks) {
        const spec = this.sim.specOf(t.job);
        if (t.state !== 'ended' && spec.team === team) cpus += spec.cpus;
      }
    }
    return cpus;
  }

  /** The machines as the cloud lists them. */
  list(): ListedMachine[] {
    return this.all().map((machine) => ({
      id: machine.id as MachineId,
      endpoint: '127.0.0.1:9',
      type: 'c8' as MachineTypeName,
      zone: machine.zone as ZoneName,
      spot: machine.spot,
      status: this.sim.now < machine.upAt ? 'booting' : 'running',
      ageS: 0,
    }));
  }
}
