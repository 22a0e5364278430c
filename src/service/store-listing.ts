/** Lists a prefix of the key-value store. */

import { sleep } from '../adapters/runtime/clock.js';
import type { Revision } from '../core/model/ids.js';
import type { StoredItem } from '../ports/key-value-store.js';
import type { Dependencies } from './dependencies.js';
import type { TermContext } from './term-context.js';

const RETRY_MS = 200;

/** All items under a prefix; a watch from `revision` on misses no later change. */
export interface StoreListing<T = StoredItem> {
  readonly items: readonly T[];
  readonly revision: Revision;
}

/**
 * Lists a prefix, retrying after each failure; returns null once the term has ended. `decode` may
 * be called more than once for an item.
 */
export const listPrefix = async <T = StoredItem>(
  { batchStore, jitter }: Pick<Dependencies, 'batchStore' | 'jitter'>,
  term: TermContext,
  prefix: string,
  decode?: (item: StoredItem) => T,
): Promise<StoreListing<T> | null> => {
  while (term.isCurrent) {
    const listing = await batchStore.listAll(prefix, decode);
    if (listing.kind === 'listed') return listing;
    await sleep(jitter.apply(RETRY_MS));
  }
  return null;
};
