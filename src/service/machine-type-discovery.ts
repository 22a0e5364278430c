/** Discovers the cloud's machine types, without which no submission can be validated. */
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { MachineType } from '../core/model/machine.js';
import type { GetResult } from '../ports/key-value-store.js';
import type { Dependencies } from './dependencies.js';
import { readStoredMachineTypes, updateStoredMachineTypes } from './stored-machine-types.js';
import { decodeMachineTypes } from './stored-records.js';

const RETRY_MS = 700;

/**
 * Reads the machine types from the key-value store or the cloud, whichever answers first, so that a
 * node can start while one of them is unavailable.
 */
export class MachineTypeDiscovery {
  private isStopped = false;

  constructor(
    private readonly dependencies: Dependencies,
    private readonly onDiscovered: (types: readonly MachineType[]) => void,
  ) {}

  stop(): void {
    this.isStopped = true;
  }

  /** Returns once the types have been discovered, or after `stop`. */
  async run(): Promise<void> {
    const { dependencies } = this;
    while (!this.isStopped && !dependencies.machineTypes) {
      const storedRead = this.readStored();
      const listed = await dependencies.cloud.listMachineTypes();
      if (listed) {
        dependencies.machineTypesReadAt = steadyNow();
        this.setMachineTypes(listed);
        await updateStoredMachineTypes(dependencies, listed, await storedRead);
      }
      await storedRead;
      if (!dependencies.machineTypes) await sleep(dependencies.jitter.apply(RETRY_MS));
    }
  }

  private setMachineTypes(types: readonly MachineType[]): void {
    this.dependencies.machineTypes = types;
    this.onDiscovered(types);
  }

  private async readStored(): Promise<GetResult> {
    const stored = await readStoredMachineTypes(this.dependencies);
    const types = stored.kind === 'found' ? decodeMachineTypes(stored.item.value) : null;
    if (types && !this.dependencies.machineTypes) this.setMachineTypes(types);
    return stored;
  }
}
