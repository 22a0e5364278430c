/**
 * What the service needs of the consensus-backed key-value store: revisions of keys, compare-and-
 * swap over several keys, leases and watches.
 */
import type { Revision } from '../core/model/ids.js';

/** Names a lease of the store; keys that hang on it go when it expires. */
export type LeaseId = number & { readonly __lease: unique symbol };

/** refused: surely not executed; unknown: it may have been, or may yet be. */
export type StoreFailure = { readonly kind: 'refused' } | { readonly kind: 'unknown' };

/** A key as it is stored; the revision is that of its last change. */
export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** A read of one key. */
export type GetResult =
  | { readonly kind: 'found'; readonly item: StoredItem }
  | { readonly kind: 'absent' }
  | StoreFailure;

/** All keys under a prefix; a watch from the revision on misses no later change. */
export type ListResult =
  | { readonly kind: 'listed'; readonly items: StoredItem[]; readonly revision: Revision }
  | StoreFailure;

/** One change of a key, at its revision. */
export type Change =
  | { readonly key: string; readonly value: unknown; readonly revision: Revision }
  | { readonly key: string; readonly deleted: true; readonly revision: Revision };

/** How a watch ended. */
export type WatchResult =
  /** The changes in their order, none if none came in time; and the revision to watch from next. */
  | { readonly kind: 'changes'; readonly revision: Revision; readonly changes: Change[] }
  /** The store cannot tell the changes any more: the keys must be listed again. */
  | { readonly kind: 'too-old' }
  | StoreFailure;

/** One change of a compare-and-swap. A key that is put under a lease goes when that expires. */
export type Mutation =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly del: string };

/** The key must be at this revision; 0: it must not exist. */
export interface Precondition {
  readonly key: string;
  readonly revision: Revision;
}

/** How a compare-and-swap ended. Only `committed`, and perhaps `unknown`, changed anything. */
export type CompareAndSwapResult =
  /** The revision is that of all its changes. */
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** A precondition does not hold. */
  | { readonly kind: 'conflict' }
  /** A lease that it names has expired. */
  | { readonly kind: 'lease-expired' }
  /** The store takes no request of its size, or no value of one of its sizes. */
  | { readonly kind: 'too-large' }
  | StoreFailure;

/** How the request for a lease ended. */
export type LeaseGrantResult = { readonly kind: 'granted'; readonly lease: LeaseId } | StoreFailure;

/** How the renewal of a lease ended. */
export type LeaseRenewalResult =
  | { readonly kind: 'renewed' }
  | { readonly kind: 'lease-expired' }
  | StoreFailure;

/** The store, within this node's share of its limits. No operation throws for what it does. */
export interface KeyValueStore {
  /** The store did not answer this node, and has not since: a request need not wait to learn it. */
  readonly isDown: boolean;
  get(key: string): Promise<GetResult>;
  /** All keys under a prefix, in pages. */
  listAll(prefix: string): Promise<ListResult>;
  /**
   * Applies all mutations if all preconditions hold. Waits up to `maxWaitMs` for the rate, and up
   * to `timeoutMs` for the answer.
   */
  compareAndSwap(
    preconditions: readonly Precondition[],
    mutations: readonly Mutation[],
    maxWaitMs?: number,
    timeoutMs?: number,
  ): Promise<CompareAndSwapResult>;
  /** A new lease that expires `ttlMs` after its grant or its last renewal. */
  grantLease(ttlMs: number): Promise<LeaseGrantResult>;
  renewLease(lease: LeaseId): Promise<LeaseRenewalResult>;
  revokeLease(lease: LeaseId): Promise<void>;
  /** Changes under a prefix since a revision; waits up to `pollTimeoutMs` for the first. */
  watch(prefix: string, since: Revision, pollTimeoutMs: number): Promise<WatchResult>;
  /** From now on this many times its share of the store's write rate. */
  scaleWriteRate(scale: number): void;
  close(): void;
}
