/** Watches a prefix of the key-value store during one leader term. */

import { sleep } from '../adapters/runtime/clock.js';
import type { Revision } from '../core/model/ids.js';
import type { Change } from '../ports/key-value-store.js';
import type { Dependencies } from './dependencies.js';
import type { TermContext } from './term-context.js';

const RETRY_MS = 200;

/** What to watch, and whom to tell. */
export interface PrefixWatchOptions {
  readonly dependencies: Pick<Dependencies, 'batchStore' | 'jitter'>;
  readonly term: TermContext;
  readonly prefix: string;
  /** How long the store holds one watch request open. */
  readonly pollTimeoutMs: number;
  /** Called with the changes since the last call; the next request waits for it. */
  readonly onChanges: (changes: readonly Change[]) => Promise<void> | void;
  /**
   * Called if the store no longer has all changes since the last call. Returns the revision from
   * which to go on; null if the term has ended.
   */
  readonly onMissedChanges: () => Promise<Revision | null>;
}

/** Reports all changes after revision `from`, until the term has ended. */
export const watchPrefix = async (options: PrefixWatchOptions, from: Revision): Promise<void> => {
  const { dependencies, term, prefix, pollTimeoutMs, onChanges, onMissedChanges } = options;
  let revision = from;
  while (term.isCurrent) {
    const result = await dependencies.batchStore.watch(prefix, revision, pollTimeoutMs);
    if (!term.isCurrent) return;
    if (result.kind === 'changes') {
      revision = result.revision;
      await onChanges(result.changes);
    } else if (result.kind === 'too-old') {
      const next = await onMissedChanges();
      if (next === null) return;
      revision = next;
    } else await sleep(dependencies.jitter.apply(RETRY_MS));
  }
};
