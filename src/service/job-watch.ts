/** Watches the prefix of job records, to receive jobs that other controllers admit. */

import { sleep } from '../adapters/runtime/clock.js';
import type { Revision } from '../core/model/ids.js';
import type { Change, StoredItem } from '../ports/key-value-store.js';
import type { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import type { JobIntake } from './job-intake.js';
import { listPrefix } from './store-listing.js';
import { JOB_PREFIX } from './stored-records.js';
import type { TermContext } from './term-context.js';

/** How long the store holds one watch request open. */
const WATCH_POLL_TIMEOUT_MS = 15_000;
const RETRY_MS = 200;

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
  async run(from: Revision): Promise<void> {
    const { dependencies, term } = this.options;
    let revision = from;
    while (term.isCurrent) {
      const result = await dependencies.batchStore.watch(
        JOB_PREFIX,
        revision,
        WATCH_POLL_TIMEOUT_MS,
      );
      if (!term.isCurrent) return;
      if (result.kind === 'changes') {
        revision = result.revision;
        this.submitJobs(writtenItems(result.changes));
      } else if (result.kind === 'too-old') {
        // Changes since this revision are missing: all jobs are listed again.
        const listing = await listPrefix(dependencies, term, JOB_PREFIX);
        if (!listing) return;
        revision = listing.revision;
        this.submitJobs(listing.items);
      } else await sleep(dependencies.jitter.apply(RETRY_MS));
    }
  }

  private submitJobs(items: readonly StoredItem[]): void {
    const { jobIntake, commandLoop } = this.options;
    for (const command of jobIntake.commandsForRecords(items)) commandLoop.submit(command);
  }
}
