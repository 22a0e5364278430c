/**
 * Cache of job completions. Stored completions never change, so any node may report them from
 * memory; no other job state may come from a cache.
 */
import type { JobId } from '../../core/model/ids.js';
import type { JobView } from '../../ports/user-api.js';
import type { JobCompletion } from '../stored-records.js';
import { viewOfCompletion } from './job-views.js';

/** Bounds the cache's memory; evicted completions are read from the key-value store again. */
const MAX_COMPLETIONS = 20_000;

/** The most recent stored completions by job id. */
export class CompletionCache {
  private readonly completions = new Map<JobId, JobCompletion>();

  add(id: JobId, { outcome, tasks, team }: JobCompletion): void {
    this.completions.set(id, { outcome, tasks, team });
    if (this.completions.size > MAX_COMPLETIONS) {
      const oldest = this.completions.keys().next().value;
      if (oldest !== undefined) this.completions.delete(oldest);
    }
  }

  /** Caches the completion in a peer's view; returns false if the job has not ended. */
  addIfEnded({ id, status, done, team }: JobView): boolean {
    if (status !== 'done' && status !== 'cancelled') return false;
    this.add(id, { outcome: status, tasks: done, team });
    return true;
  }

  /** Returns a view of the cached completion, or null if none is cached. */
  view(id: JobId): JobView | null {
    const completion = this.completions.get(id);
    return completion ? viewOfCompletion(id, completion) : null;
  }
}
