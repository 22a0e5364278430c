/** Watches the prefix of job records, to receive jobs that other controllers admit. */

import type { Revision } from '../core/model/ids.js';
import type { Change, StoredItem } from '../ports/key-value-store.js';
import type { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import type { JobIntake } from './job-intake.js';
import { watchPrefix } from './prefix-watch.js';
import { listPrefix } from './store-listing.js';
import { JOB_PREFIX } from './stored-records.js';
import type { TermContext } from './term-context.js';

/** How long the store holds one watch request open. */
const WATCH_POLL_TIMEOUT_MS = 15_000;

/** Components that the watch reads from and submits to. */
export interface JobWatchOptions {
  readonly dependencies: Pick<Dependencies, 'batchStore' | 'jitter'>;
  readonly term: TermContext;
  readonly jobIntake: JobIntake;
  readonly commandLoop: CommandLoop;
}

/** Skips deletions: only the leader itself deletes a job's record, once the job has ended. */
const writtenItems = (changes: readonly Change[]): StoredItem[] =>
  changes.filter((change) => 'value' in change);

/** Submits newly stored jobs to the command loop during one leader term. */
export class JobWatch {
  constructor(private readonly options: JobWatchOptions) {}

  /** Watches for changes after revision `from`, until the term has ended. */
  run(from: Revision): Promise<void> {
    const { dependencies, term } = this.options;
    return watchPrefix(
      {
        dependencies,
        term,
        prefix: JOB_PREFIX,
        pollTimeoutMs: WATCH_POLL_TIMEOUT_MS,
        onChanges: (changes) => this.submitJobs(writtenItems(changes)),
        onMissedChanges: () => this.submitAllJobs(),
      },
      from,
    );
  }

  /** Changes are missing: all jobs are listed again. */
  private async submitAllJobs(): Promise<Revision | null> {
    const { dependencies, term } = this.options;
    const listing = await listPrefix(dependencies, term, JOB_PREFIX);
    if (!listing) return null;
    this.submitJobs(listing.items);
    return listing.revision;
  }

  private submitJobs(items: readonly StoredItem[]): void {
    const { jobIntake, commandLoop } = this.options;
    for (const command of jobIntake.commandsForRecords(items)) commandLoop.submit(command);
  }
}
