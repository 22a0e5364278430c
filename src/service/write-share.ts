/** How the store's write limit is divided between admissions of jobs and the leader's batches. */
import { steadyNow } from '../adapters/runtime/clock.js';
import type { Instant } from '../core/model/time.js';
import type { Dependencies } from './dependencies.js';

/** The batches' share of the write limit at least, so that users' admissions go first. */
export const MIN_BATCH_WRITE_SHARE = 0.4;
/** The batches' share at most, while few jobs come in. */
const MAX_BATCH_WRITE_SHARE = 0.85;
/** Admissions are counted over this long. */
const ADMISSION_WINDOW_MS = 2000;

/** Gives the leader's batches what recent admissions leave of the write limit. */
export class WriteShare {
  /** When jobs came in within the window. */
  private arrivals: Instant[] = [];

  constructor(private readonly dependencies: Pick<Dependencies, 'batchStore' | 'settings'>) {}

  /** Counts a job that has come in now. */
  recordArrival(): void {
    this.arrivals.push(steadyNow());
  }

  /** Sets the batches' rate by the jobs that came in within the window. */
  adjust(): void {
    const now = steadyNow();
    this.arrivals = this.arrivals.filter((arrivedAt) => now - arrivedAt < ADMISSION_WINDOW_MS);
    const { batchStore, settings } = this.dependencies;
    const admissionsPerSecond = (this.arrivals.length * 1000) / ADMISSION_WINDOW_MS;
    const admissionShare = admissionsPerSecond / settings.keyValueStoreLimits.writeRps;
    const share = Math.min(
      MAX_BATCH_WRITE_SHARE,
      Math.max(MIN_BATCH_WRITE_SHARE, MAX_BATCH_WRITE_SHARE - admissionShare),
    );
    batchStore.scaleWrites(share / MIN_BATCH_WRITE_SHARE);
  }
}
