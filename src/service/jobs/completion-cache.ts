/**
 * Completions that this node knows of. A stored end never changes, so that any node may tell it
 * without asking; nothing else about a job may be told from memory.
 */
import type { JobId } from '../../core/model/ids.js';
import type { JobView } from '../../ports/user-api.js';
import type { JobCompletion } from '../stored-records.js';
import { viewOfCompletion } from './job-views.js';

/** Bounds the cache's memory; older completions are read from the key-value store again. */
const MAX_COMPLETIONS = 20_000;

/** The latest completions, by job. Holds stored ends only. */
export class CompletionCache {
  private readonly completions = new Map<JobId, JobCompletion>();

  add(id: JobId, { outcome, tasks, team }: JobCompletion): void {
    this.completions.set(id, { outcome, tasks, team });
    if (this.completions.size > MAX_COMPLETIONS) {
      const oldest = this.completions.keys().next().value;
      if (oldest !== undefined) this.completions.delete(oldest);
    }
  }

  /** Remembers a peer's view if it tells the job's end; true if it does. */
  addIfEnded({ id, status, done, team }: JobView): boolean {
    if (status !== 'done' && status !== 'cancelled') return false;
    this.add(id, { outcome: status, tasks: done, team });
    return true;
  }

  /** The job's end, or null where none is known here. */
  view(id: JobId): JobView | null {
    const completion = this.completions.get(id);
    return completion ? viewOfCompletion(id, completion) : null;
  }
}
