/**
 * What the service needs of the consensus-backed key-value store: revisions of keys, compare-and-
 * swap over several keys, leases and watches.
 */
import type { Revision } from '../../core/model/ids.js';

/** Names a lease of the store; keys that hang on it go when it expires. */
export type LeaseId = number & { readonly __lease: unique symbol };

/** refused: surely not executed; unknown: it may have been, or may yet be. */
export type StoreFailure = 'refused' | 'unknown';

/** A key as it is stored; the revision is that of its last change. */
export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** All keys under a prefix; a watch from the revision on misses no later change. */
export interface StoredItems {
  readonly items: StoredItem[];
  readonly revision: Revision;
}

/** One change of a key, at its revision. */
export type Change =
  | { readonly key: string; readonly value: unknown; readonly revision: Revision }
  | { readonly key: string; readonly deleted: true; readonly revision: Revision };

/** Changes in their order, and the revision to watch from next. */
export interface Changes {
  readonly revision: Revision;
  readonly changes: Change[];
}

/** One change of a compare-and-swap. A key that is put under a lease goes when that expires. */
export type Mutation =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly del: string };

/** The key must be at this revision; 0: it must not exist. */
export interface Precondition {
  readonly key: string;
  readonly revision: Revision;
}

/** The store, within this node's share of its limits. No operation throws for what it does. */
export interface KeyValueStore {
  /** The store did not answer this node, and has not since: a request need not wait to learn it. */
  readonly isDown: boolean;
  get(key: string): Promise<StoredItem | 'absent' | StoreFailure>;
  /** All keys under a prefix, in pages. */
  listAll(prefix: string): Promise<StoredItems | StoreFailure>;
  /**
   * Applies all mutations if all preconditions hold. Waits up to `maxWaitMs` for the rate, and up
   * to `timeoutMs` for the answer.
   */
  compareAndSwap(
    preconditions: readonly Precondition[],
    mutations: readonly Mutation[],
    maxWaitMs?: number,
    timeoutMs?: number,
  ): Promise<{ revision: Revision } | 'conflict' | 'expired' | 'too-large' | StoreFailure>;
  /** A new lease that expires `lifeMs` after its grant or its last renewal. */
  grantLease(lifeMs: number): Promise<LeaseId | StoreFailure>;
  renewLease(lease: LeaseId): Promise<'ok' | 'gone' | StoreFailure>;
  revokeLease(lease: LeaseId): Promise<void>;
  /** Changes under a prefix since a revision; waits up to `holdMs` for the first. */
  watch(
    prefix: string,
    since: Revision,
    holdMs: number,
  ): Promise<Changes | 'too-old' | StoreFailure>;
  /** From now on this many times its share of the store's write rate. */
  scaleWrites(scale: number): void;
  close(): void;
}
