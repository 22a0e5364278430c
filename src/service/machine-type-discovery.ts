/** Discovers the cloud's machine types, without which no submission can be validated. */
import { sleep } from '../adapters/runtime/clock.js';
import type { Revision } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machine.js';
import type { Dependencies } from './dependencies.js';
import { decodeMachineTypes, MACHINE_TYPES_KEY } from './stored-records.js';

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
      const storedRead = this.readStoredMachineTypes();
      const listed = await dependencies.cloud.listMachineTypes();
      if (listed) this.setMachineTypes(listed);
      if (listed && this.fitsStoredValue(listed) && (await storedRead).kind === 'absent')
        await this.storeMachineTypes(listed);
      await storedRead;
      if (!dependencies.machineTypes) await sleep(dependencies.jitter.apply(RETRY_MS));
    }
  }

  private setMachineTypes(types: readonly MachineType[]): void {
    this.dependencies.machineTypes = types;
    this.onDiscovered(types);
  }

  private async readStoredMachineTypes() {
    const stored = await this.dependencies.store.get(MACHINE_TYPES_KEY);
    const types = stored.kind === 'found' ? decodeMachineTypes(stored.item.value) : null;
    if (types && !this.dependencies.machineTypes) this.setMachineTypes(types);
    return stored;
  }

  /** A list above the store's value limit is not stored: the cloud provides it too. */
  private fitsStoredValue(types: readonly MachineType[]): boolean {
    const { maxValueBytes } = this.dependencies.settings.keyValueStoreLimits;
    return Buffer.byteLength(JSON.stringify(types)) <= maxValueBytes;
  }

  private async storeMachineTypes(types: readonly MachineType[]): Promise<void> {
    await this.dependencies.store.compareAndSwap(
      [{ key: MACHINE_TYPES_KEY, revision: 0 as Revision }],
      [{ put: MACHINE_TYPES_KEY, value: types }],
    );
  }
}
