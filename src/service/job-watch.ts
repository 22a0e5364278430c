/** Follows the jobs that other controllers admit: changes under the jobs' prefix tell of them. */

import { sleep } from '../adapters/runtime/clock.js';
import type { Revision } from '../core/model/ids.js';
import type { Change, StoredItem } from '../ports/key-value-store.js';
import type { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import type { JobIntake } from './job-intake.js';
import { listPrefix } from './store-listing.js';
import { JOB_PREFIX } from './stored-records.js';
import type { TermContext } from './term-context.js';

/** How long one watch is held open, in milliseconds. */
const WATCH_HOLD_MS = 15_000;
const RETRY_MS = 200;

/** What a job watch needs. */
export interface JobWatchOptions {
  readonly dependencies: Pick<Dependencies, 'batchStore' | 'jitter'>;
  readonly term: TermContext;
  readonly jobIntake: JobIntake;
  readonly commandLoop: CommandLoop;
}

/** Deletions tell nothing new: the leader itself removes a job's record when the job has ended. */
const writtenItems = (changes: readonly Change[]): StoredItem[] =>
  changes.filter((change) => 'value' in change);

/** Submits the jobs that come in at the key-value store for as long as the term lasts. */
export class JobWatch {
  constructor(private readonly options: JobWatchOptions) {}

  /** Follows the jobs from a revision on, until the term has ended. */
  async run(from: Revision): Promise<void> {
    const { dependencies, term } = this.options;
    let revision = from;
    while (term.isCurrent) {
      const result = await dependencies.batchStore.watch(JOB_PREFIX, revision, WATCH_HOLD_MS);
      if (!term.isCurrent) return;
      if (result.kind === 'changes') {
        revision = result.revision;
        this.submitJobs(writtenItems(result.changes));
      } else if (result.kind === 'too-old') {
        // The store has dropped changes since the revision: everything is listed again.
        const listing = await listPrefix(dependencies, term, JOB_PREFIX);
        if (!listing) return;
        revision = listing.revision;
        this.submitJobs(listing.items);
      } else await sleep(dependencies.jitter.around(RETRY_MS));
    }
  }

  private submitJobs(items: readonly StoredItem[]): void {
    const { jobIntake, commandLoop } = this.options;
    for (const command of jobIntake.commandsForRecords(items)) commandLoop.submit(command);
  }
}
