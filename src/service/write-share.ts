/** Divides the store's write limit between job admissions and the leader's batches. */
import { steadyNow } from '../adapters/runtime/clock.js';
import type { Instant } from '../core/model/time.js';
import type { Dependencies } from './dependencies.js';

/** Minimum share of the write limit for batches, low as users' admissions have priority. */
export const MIN_BATCH_WRITE_SHARE = 0.4;
/** Maximum share for batches, while few jobs arrive. */
const MAX_BATCH_WRITE_SHARE = 0.85;
/** Period over which admissions are counted. */
const ADMISSION_WINDOW_MS = 2000;

/** Gives the leader's batches the part of the write rate that recent admissions leave. */
export class WriteShare {
  /** Arrival times of jobs within the window. */
  private arrivals: Instant[] = [];

  constructor(private readonly dependencies: Pick<Dependencies, 'batchStore' | 'settings'>) {}

  /** Counts a job that arrived now. */
  recordArrival(): void {
    this.arrivals.push(steadyNow());
  }

  /** Sets the batches' write rate by the jobs that arrived within the window. */
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
    batchStore.scaleWriteRate(share / MIN_BATCH_WRITE_SHARE);
  }
}
