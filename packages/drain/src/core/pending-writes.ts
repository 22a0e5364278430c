/**
 * Writes that are requested and not known to be stored. A machine is acted upon only while all
 * that is stored of it is current, so that a new leader never knows less than was acted upon.
 */
import type { ExtensionRequest, RecordWrite } from '@robinspread/extension-api';

/** Counts the writes under way for each key. */
export class PendingWrites {
  private readonly pendingByKey = new Map<string, number>();

  /** Makes the request for writes that are stored together or not at all. */
  requestWrite(...writes: readonly RecordWrite[]): ExtensionRequest {
    for (const { key } of writes) this.pendingByKey.set(key, (this.pendingByKey.get(key) ?? 0) + 1);
    return { kind: 'write', writes };
  }

  /** The writes are stored, or have been refused. */
  completeWrites(writes: readonly RecordWrite[]): void {
    for (const { key } of writes) {
      const left = (this.pendingByKey.get(key) ?? 1) - 1;
      if (left > 0) this.pendingByKey.set(key, left);
      else this.pendingByKey.delete(key);
    }
  }

  /** Whether the last requested value of the key is stored. */
  isStored(key: string): boolean {
    return !this.pendingByKey.has(key);
  }
}
