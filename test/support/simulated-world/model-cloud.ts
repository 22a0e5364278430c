/** The cloud: provisions, deletes and reclaims machines, with lost answers and boot faults. */
import type { Command } from '../../../src/core/model/command.js';
import type { Effect } from '../../../src/core/model/effect.js';
import type { MachineId } from '../../../src/core/model/ids.js';
import type { Fleet } from './fleet.js';
import type { Interruptions } from './interruptions.js';
import type { Leader, Leaders } from './leaders.js';
import type { RuleChecks } from './rule-checks.js';
import type { Simulation } from './simulation.js';

const DEFAULT_MAX_MACHINES = 7;

type ProvisionEffect = Extract<Effect, { kind: 'provision' }>;
type Reply = (command: Command) => void;

/** The parts of the world that the cloud uses. */
export interface CloudDependencies {
  readonly sim: Simulation;
  readonly fleet: Fleet;
  readonly leaders: Leaders;
  readonly checks: RuleChecks;
  readonly interruptions: Interruptions;
}

/** Executes leaders' requests for machines. */
export class ModelCloud {
  /** The machine that each request provisioned. */
  private readonly provisioned = new Map<string, string>();

  constructor(private readonly world: CloudDependencies) {}

  /** Provisions one machine; a repeated request returns the same one. */
  provision(effect: ProvisionEffect, reply: Reply): void {
    const { sim, fleet } = this.world;
    const answer = (result: 'ok' | 'refused' | 'unknown', machines: readonly string[]) =>
      reply({
        kind: 'provision-result',
        request: effect.request,
        result,
        machines: machines as MachineId[],
      });
    sim.after(sim.delay(), () => {
      const known = this.provisioned.get(effect.request);
      if (known !== undefined) {
        answer('ok', [known]);
        return;
      }
      const isFull = fleet.machines.size >= (sim.options.maxMachines ?? DEFAULT_MAX_MACHINES);
      if (isFull || sim.now < sim.faultTimes.noCapacityUntil) {
        answer('refused', []);
        return;
      }
      const bootMs = this.drawBootMs();
      const machine = fleet.add(!effect.spot, bootMs, effect.zone);
      this.provisioned.set(effect.request, machine.id);
      if (sim.chance(10)) answer('unknown', []);
      else answer('ok', [machine.id]);
    });
  }

  /** Draws a boot time: short for some machines, infinite during boot faults. */
  private drawBootMs(): number {
    const { sim } = this.world;
    const isUpAtOnce = sim.chance(25);
    if (isUpAtOnce) sim.counters.compoundFaults.upAtOnce += 1;
    const bootMs = isUpAtOnce ? sim.int(50, 2000) : sim.int(1000, 9000);
    return sim.now < sim.faultTimes.bootFaultsUntil ? Number.POSITIVE_INFINITY : bootMs;
  }

  /**
   * Deletes machines if the leader still has authority, which a paused process checks again before
   * it sends. Some answers are lost, with the machines deleted or not.
   */
  deleteMachines(leader: Leader, machines: readonly MachineId[], reply: Reply): void {
    const { sim, leaders, checks } = this.world;
    if (leaders.authority(leader) !== 'lead') return;
    checks.checkReturns(leader, machines);
    sim.after(sim.delay(), () => {
      if (sim.now < sim.faultTimes.cloudDownUntil) {
        reply({ kind: 'deletion-result', machines, ok: false });
        return;
      }
      const ok = !sim.chance(15);
      if (ok || sim.chance(50)) for (const id of machines) this.removeMachine(id);
      reply({ kind: 'deletion-result', machines, ok });
    });
  }

  /** Removes a machine with its tasks. */
  removeMachine(id: string): void {
    const { fleet, interruptions } = this.world;
    const machine = fleet.machines.get(id);
    if (machine) {
      machine.isRemoved = true;
      for (const t of machine.tasks) interruptions.interrupt(t, false);
    }
    fleet.machines.delete(id);
  }
}
