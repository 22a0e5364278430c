/**
 * The port to the consensus-backed key-value store: key revisions, compare-and-swap over several
 * keys, leases and watches.
 */
import type { Revision } from '../core/model/ids.js';

/** Id of a lease; keys attached to a lease are deleted when it expires. */
export type LeaseId = number & { readonly __lease: unique symbol };

/** `refused`: certainly not executed; `unknown`: may have been executed, or may still be. */
export type StoreFailure = { readonly kind: 'refused' } | { readonly kind: 'unknown' };

/** A key, its value, and the revision of its last change. */
export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/** Result of reading a key; `absent` is confirmed by the store. */
export type GetResult =
  | { readonly kind: 'found'; readonly item: StoredItem }
  | { readonly kind: 'absent' }
  | StoreFailure;

/** All keys under a prefix; a watch from the revision on delivers every later change. */
export type ListResult<T = StoredItem> =
  | { readonly kind: 'listed'; readonly items: T[]; readonly revision: Revision }
  | StoreFailure;

/** A put or a deletion of one key, at this revision. */
export type Change =
  | { readonly key: string; readonly value: unknown; readonly revision: Revision }
  | { readonly key: string; readonly deleted: true; readonly revision: Revision };

/** Result of one long poll for changes under a prefix. */
export type WatchResult =
  /** Ordered changes, none after a time-out, and the revision for the next call. */
  | { readonly kind: 'changes'; readonly revision: Revision; readonly changes: Change[] }
  /** The store no longer has all changes since the revision: the keys must be listed again. */
  | { readonly kind: 'too-old' }
  | StoreFailure;

/** A mutation of a compare-and-swap; `lease` attaches the key to a lease. */
export type Mutation =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly del: string };

/** Requires the key to be at this revision, or to be absent if that is 0. */
export interface Precondition {
  readonly key: string;
  readonly revision: Revision;
}

/** Result of a compare-and-swap. Only `committed`, and possibly `unknown`, changed anything. */
export type CompareAndSwapResult =
  /** Applied at this revision. */
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** A precondition does not hold. */
  | { readonly kind: 'conflict' }
  /** A lease named by a mutation has expired. */
  | { readonly kind: 'lease-expired' }
  /** The request or one of its values exceeds a size limit. */
  | { readonly kind: 'too-large' }
  | StoreFailure;

/** Result of requesting a lease. */
export type LeaseGrantResult = { readonly kind: 'granted'; readonly lease: LeaseId } | StoreFailure;

/** Result of renewing a lease; `lease-expired` is final. */
export type LeaseRenewalResult =
  | { readonly kind: 'renewed' }
  | { readonly kind: 'lease-expired' }
  | StoreFailure;

/** Client of the store, limited to this node's share of its rates. Failures never throw. */
export interface KeyValueStore {
  /** Whether the store has stopped answering this node: callers need not wait for a time-out. */
  readonly isDown: boolean;
  get(key: string): Promise<GetResult>;
  /**
   * Lists all keys under a prefix, in pages. `decode` converts each item as its page arrives, so
   * that no more than a page is held as it was stored.
   */
  listAll<T = StoredItem>(prefix: string, decode?: (item: StoredItem) => T): Promise<ListResult<T>>;
  /**
   * Applies all mutations atomically if all preconditions hold. Waits up to `maxWaitMs` for the
   * rate limit and up to `timeoutMs` for the response.
   */
  compareAndSwap(
    preconditions: readonly Precondition[],
    mutations: readonly Mutation[],
    maxWaitMs?: number,
    timeoutMs?: number,
  ): Promise<CompareAndSwapResult>;
  /** Grants a lease that expires `ttlMs` after its grant or last renewal. */
  grantLease(ttlMs: number): Promise<LeaseGrantResult>;
  renewLease(lease: LeaseId): Promise<LeaseRenewalResult>;
  revokeLease(lease: LeaseId): Promise<void>;
  /** Returns changes under a prefix since a revision; waits up to `pollTimeoutMs` for the first. */
  watch(prefix: string, since: Revision, pollTimeoutMs: number): Promise<WatchResult>;
  /** Sets the write rate to `scale` times this node's share. */
  scaleWriteRate(scale: number): void;
  close(): void;
}
