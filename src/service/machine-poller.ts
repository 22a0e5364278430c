/** Polls the cloud for machines and machine types while this node leads. */
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import { readStoredMachineTypes, updateStoredMachineTypes } from './stored-machine-types.js';
import type { TermContext } from './term-context.js';

/** Minimum interval between polls; large fleets are polled less often. */
const POLL_INTERVAL_MS = {
  machines: 4000,
  machineTypes: 60_000,
} as const;

/** Submits the cloud's lists to the command loop during one leader term. */
export class MachinePoller {
  /** Whether the machine types have been received in this term. */
  private hasReadMachineTypes = false;

  constructor(
    private readonly dependencies: Pick<
      Dependencies,
      'cloud' | 'machineTypes' | 'machineTypesReadAt' | 'settings' | 'store'
    >,
    private readonly term: TermContext,
    private readonly commandLoop: CommandLoop,
  ) {}

  /** Polls until the term has ended. */
  async run(): Promise<void> {
    const { cloud } = this.dependencies;
    while (this.term.isCurrent) {
      if (this.term.authority() === 'lead') {
        await this.pollMachines();
        if (this.areMachineTypesDue()) await this.pollMachineTypes();
      }
      await sleep(Math.max(POLL_INTERVAL_MS.machines, cloud.listPauseMs));
    }
  }

  private async pollMachines(): Promise<void> {
    // Taken before the request: ages are relative to this time, and only a machine provisioned well
    // before it counts as missing if it is not listed.
    const requestedAt = steadyNow();
    const machines = await this.dependencies.cloud.listMachines();
    if (machines) this.commandLoop.submit({ kind: 'machines-listed', requestedAt, machines });
  }

  private areMachineTypesDue(): boolean {
    const readAt = this.dependencies.machineTypesReadAt;
    if (!this.hasReadMachineTypes || readAt === null) return true;
    return steadyNow() - readAt > POLL_INTERVAL_MS.machineTypes;
  }

  private async pollMachineTypes(): Promise<void> {
    const { dependencies } = this;
    const types = await dependencies.cloud.listMachineTypes();
    if (!types) return;
    this.hasReadMachineTypes = true;
    dependencies.machineTypesReadAt = steadyNow();
    dependencies.machineTypes = types;
    this.commandLoop.submit({ kind: 'machine-types', types });
    const stored = await readStoredMachineTypes(dependencies);
    await updateStoredMachineTypes(dependencies, types, stored);
  }
}
