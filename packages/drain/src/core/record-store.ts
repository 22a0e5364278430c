/** What is asked to be stored, and what is known to be. A machine is acted upon only while all that is stored of it is current. */
import type { ExtensionRequest, RecordWrite } from '@robinspread/extension-api';

export class RecordStore {
  /** Writes under way, by key. */
  private readonly unstored = new Map<string, number>();

  /** Makes the request for writes that belong together. */
  write(...writes: readonly RecordWrite[]): ExtensionRequest {
    for (const { key } of writes) this.unstored.set(key, (this.unstored.get(key) ?? 0) + 1);
    return { kind: 'write', writes };
  }

  /** They are stored, or have been refused. */
  settled(writes: readonly RecordWrite[]): void {
    for (const { key } of writes) {
      const left = (this.unstored.get(key) ?? 1) - 1;
      if (left > 0) this.unstored.set(key, left);
      else this.unstored.delete(key);
    }
  }

  isStored(key: string): boolean {
    return !this.unstored.has(key);
  }
}
