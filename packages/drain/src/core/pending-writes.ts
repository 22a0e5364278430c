/**
 * Writes that are requested and not confirmed yet. A machine is acted upon only while its record is
 * up to date, so that a new leader can read all actions from the records.
 */
import type { ExtensionRequest, RecordWrite } from '@robinspread/extension-api';

/** Counts the unconfirmed writes of each key. */
export class PendingWrites {
  private readonly pendingByKey = new Map<string, number>();

  /** Creates a request for writes that are stored atomically, and counts them as pending. */
  requestWrite(...writes: readonly RecordWrite[]): ExtensionRequest {
    for (const { key } of writes) this.pendingByKey.set(key, (this.pendingByKey.get(key) ?? 0) + 1);
    return { kind: 'write', writes };
  }

  /** Handles the outcome of writes: stored or refused. */
  completeWrites(writes: readonly RecordWrite[]): void {
    for (const { key } of writes) {
      const remaining = (this.pendingByKey.get(key) ?? 1) - 1;
      if (remaining > 0) this.pendingByKey.set(key, remaining);
      else this.pendingByKey.delete(key);
    }
  }

  /** Whether no write of the key is pending. */
  isStored(key: string): boolean {
    return !this.pendingByKey.has(key);
  }
}
