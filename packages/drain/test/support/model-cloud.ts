/** Model of the cloud: provisions, deletes and lists machines at once, except for faults. */
import type { Command } from '../../../../src/core/model/command.js';
import type { Effect } from '../../../../src/core/model/effect.js';
import type { MachineId, MachineTypeName, ZoneName } from '../../../../src/core/model/ids.js';
import type { Instant } from '../../../../src/core/model/time.js';
import type { Clock, Faults } from './faults.js';
import type { ModelWorkers } from './model-workers.js';

const BOOT_MS = 3000;

type ProvisionEffect = Extract<Effect, { kind: 'provision' }>;

/** What the cloud needs from the rest of the model. */
export interface CloudContext {
  readonly clock: Clock;
  readonly faults: Faults;
  readonly violations: string[];
  readonly workers: ModelWorkers;
  /** Whether the machine has reported to the leader and is not considered lost. */
  isMachineHealthy(machine: MachineId): boolean;
  /** Delivers a reply to the leader one step later. */
  reply(command: Command): void;
}

export class ModelCloud {
  /** Provisioned machines, by request and position in it: `request#position`. */
  readonly provisioned = new Map<string, string>();
  readonly returned: string[] = [];
  /** Machines by request: repeating a request provisions nothing new. */
  private readonly machinesByRequest = new Map<string, MachineId[]>();

  /** The age of all machines in its list, in seconds. */
  listedAgeS = 100;

  constructor(private readonly context: CloudContext) {}

  /** All machines; null while the cloud is unavailable. */
  list(): Command | null {
    const { clock, faults, workers } = this.context;
    if (faults.cloudUnavailable) return null;
    const machines = [...workers.machines.values()].map(({ id, zone, spot, bootedAt }) => ({
      id: id as MachineId,
      endpoint: '127.0.0.1:9',
      type: 'c8' as MachineTypeName,
      zone: zone as ZoneName,
      spot,
      status: clock.now < bootedAt ? ('booting' as const) : ('running' as const),
      ageS: this.listedAgeS,
    }));
    return { kind: 'machines-listed', requestedAt: clock.now as Instant, machines };
  }

  /** Provisions machines, or repeats the reply to a request that was already carried out. */
  provision({ request, zone, spot, count }: ProvisionEffect): void {
    const { faults } = this.context;
    const reply = (result: 'ok' | 'refused' | 'unknown', machines: readonly MachineId[]) =>
      this.context.reply({ kind: 'provision-result', request, result, machines });
    if (faults.cloudUnavailable) return reply('unknown', []);
    const known = this.machinesByRequest.get(request);
    if (!known && faults.refuseProvisioning) return reply('refused', []);
    const filled = Math.min(count, faults.maxMachinesPerRequest);
    const ids = known ?? this.addMachines(request, zone, spot, filled);
    if (faults.provisionResponsesToLose > 0) {
      faults.provisionResponsesToLose -= 1;
      return reply('unknown', []);
    }
    reply('ok', ids);
  }

  private addMachines(request: string, zone: string, spot: boolean, count: number): MachineId[] {
    const { faults, workers } = this.context;
    const bootMs = faults.neverBoot ? Number.POSITIVE_INFINITY : BOOT_MS;
    const ids = Array.from(
      { length: count },
      () => workers.add(zone, spot, bootMs).id as MachineId,
    );
    this.machinesByRequest.set(request, ids);
    for (const [position, id] of ids.entries()) this.provisioned.set(`${request}#${position}`, id);
    return ids;
  }

  /** Deletes machines; reports a healthy one with tasks as a violation. */
  delete(ids: readonly MachineId[]): void {
    const { faults, workers, violations } = this.context;
    const reply = (ok: boolean) =>
      this.context.reply({ kind: 'deletion-result', machines: ids, ok });
    if (faults.cloudUnavailable) return reply(false);
    for (const id of ids) {
      if (this.context.isMachineHealthy(id) && workers.tasksOn(id).length > 0)
        violations.push(`machine returned with tasks on it: ${id}`);
      if (workers.machines.delete(id)) this.returned.push(id);
    }
    if (faults.deletionResponsesToLose > 0) {
      faults.deletionResponsesToLose -= 1;
      return reply(false);
    }
    reply(true);
  }
}
