/** Keeps the known machine types recent enough to refuse a job for them. */
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Dependencies } from './dependencies.js';

/** Types that the cloud has confirmed within this time are taken for the present ones. */
const MAX_AGE_MS = 60_000;
/** A user waits for the answer. */
const REFRESH_TIMEOUT_MS = 2500;
/** Pause after a request that failed, so that refusals do not use up the cloud's rate. */
const RETRY_MS = 2000;

/** Asks the cloud for its machine types when an answer depends on them. */
export class MachineTypeRefresher {
  private pending: Promise<void> | null = null;
  private retryAt = 0;

  constructor(
    private readonly dependencies: Pick<
      Dependencies,
      'cloud' | 'machineTypes' | 'machineTypesReadAt'
    >,
  ) {}

  /** Whether the known types are recent; asks the cloud first if they are not. */
  async areRecent(): Promise<boolean> {
    if (!this.isRecent() && steadyNow() >= this.retryAt) {
      this.pending ??= this.refresh();
      await Promise.race([this.pending, sleep(REFRESH_TIMEOUT_MS)]);
    }
    return this.isRecent();
  }

  private isRecent(): boolean {
    const { machineTypesReadAt } = this.dependencies;
    return machineTypesReadAt !== null && steadyNow() - machineTypesReadAt < MAX_AGE_MS;
  }

  private async refresh(): Promise<void> {
    const { dependencies } = this;
    const types = await dependencies.cloud.listMachineTypes();
    if (types) {
      dependencies.machineTypes = types;
      dependencies.machineTypesReadAt = steadyNow();
    } else this.retryAt = steadyNow() + RETRY_MS;
    this.pending = null;
  }
}
