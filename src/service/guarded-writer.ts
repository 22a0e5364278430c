/** The leader's transactions, conditional on the leader key and the changed keys' revisions. */

import { sleep } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { FencingToken, Revision } from '../core/model/ids.js';
import type { KeyValueStore, Mutation, Precondition } from '../ports/key-value-store.js';
import { COMPLETION_PREFIX, LEADER_KEY } from './stored-records.js';

/** Revision that stands for a missing key. */
const ABSENT = 0 as Revision;
/** Maximum wait of a transaction for the write rate limiter. */
const MAX_RATE_WAIT_MS = 5000;
/** Pause after the store's rate limit has refused a transaction. */
const RATE_REFUSAL_DELAY_MS = 120;
/** Back-off after other failures, such as an unavailable store. */
const FIRST_RETRY_DELAY_MS = 60;
const MAX_RETRY_DOUBLINGS = 4;
const MAX_RETRY_DELAY_MS = 1000;

/** Outcome of a transaction; `too-large`: not executed, and not accepted at this size. */
export type WriteOutcome = 'stored' | 'leadership-lost' | 'too-large';

/** The store to write to, and the fencing token that guards every transaction. */
export interface GuardedWriterOptions {
  readonly store: KeyValueStore;
  readonly fencingToken: FencingToken;
  readonly jitter: Jitter;
}

const keyOf = (mutation: Mutation): string => ('del' in mutation ? mutation.del : mutation.put);

/** Executes transactions one at a time. */
export class GuardedWriter {
  /** Last known revision of each key that this leader has read or written. */
  readonly keyRevisions = new Map<string, Revision>();
  /** Revision of the newest transaction known to be stored under this token. */
  lastRevision: Revision;
  private readonly store: KeyValueStore;
  private readonly fencingToken: FencingToken;
  private readonly jitter: Jitter;
  private isStopped = false;

  constructor({ store, fencingToken, jitter }: GuardedWriterOptions) {
    this.store = store;
    this.fencingToken = fencingToken;
    this.jitter = jitter;
    this.lastRevision = fencingToken as number as Revision;
  }

  /** Stops retries; a transaction whose outcome is unknown returns `leadership-lost`. */
  stop(): void {
    this.isStopped = true;
  }

  /** Executes mutations as one transaction, retried until its outcome is known. */
  async write(mutations: readonly Mutation[]): Promise<WriteOutcome> {
    const keys = mutations.map(keyOf);
    for (let retries = 0; !this.isStopped; retries += 1) {
      const result = await this.store.compareAndSwap(
        this.preconditions(keys),
        mutations,
        MAX_RATE_WAIT_MS,
      );
      if (result.kind === 'committed') {
        this.recordStored(mutations, result.revision);
        return 'stored';
      }
      if (result.kind === 'too-large') return 'too-large';
      if (result.kind === 'conflict' || result.kind === 'unknown') {
        const outcome = await this.readBack(mutations, keys);
        if (outcome !== 'not-stored') return outcome;
      }
      const isRateRefusal = result.kind === 'refused' && !this.store.isDown;
      await sleep(this.jitter.apply(isRateRefusal ? RATE_REFUSAL_DELAY_MS : retryDelayMs(retries)));
    }
    return 'leadership-lost';
  }

  private preconditions(keys: readonly string[]): Precondition[] {
    const preconditions: Precondition[] = [
      { key: LEADER_KEY, revision: this.fencingToken as number as Revision },
    ];
    for (const key of keys) preconditions.push({ key, revision: this.knownRevision(key) });
    return preconditions;
  }

  private knownRevision(key: string): Revision {
    return this.keyRevisions.get(key) ?? ABSENT;
  }

  private recordStored(mutations: readonly Mutation[], revision: Revision): void {
    this.lastRevision = Math.max(this.lastRevision, revision) as Revision;
    for (const mutation of mutations) {
      if ('del' in mutation) this.keyRevisions.delete(mutation.del);
      // Completions are written once: their revisions would only use memory.
      else if (!mutation.put.startsWith(COMPLETION_PREFIX))
        this.keyRevisions.set(mutation.put, revision);
    }
  }

  /**
   * Determines whether a transaction that conflicted or got no answer was executed: it was if its
   * first key has a new revision and the leader key is unchanged. A failed read gives `not-stored`.
   */
  private async readBack(
    mutations: readonly Mutation[],
    keys: readonly string[],
  ): Promise<'stored' | 'leadership-lost' | 'not-stored'> {
    const leader = await this.store.get(LEADER_KEY);
    if (leader.kind === 'absent') return 'leadership-lost';
    if (leader.kind !== 'found') return 'not-stored';
    if ((leader.item.revision as number) !== (this.fencingToken as number))
      return 'leadership-lost';
    const [firstKey] = keys;
    if (firstKey === undefined) return 'stored';
    const first = await this.store.get(firstKey);
    if (first.kind !== 'found' && first.kind !== 'absent') return 'not-stored';
    const revision = first.kind === 'absent' ? ABSENT : first.item.revision;
    if (revision !== this.knownRevision(firstKey)) {
      this.recordStored(mutations, revision);
      return 'stored';
    }
    await this.refreshRevisions(keys);
    return 'not-stored';
  }

  /** Rereads the keys' revisions before the next retry. */
  private async refreshRevisions(keys: readonly string[]): Promise<void> {
    for (const key of keys) {
      const result = await this.store.get(key);
      if (result.kind === 'absent') this.keyRevisions.delete(key);
      else if (result.kind === 'found') this.keyRevisions.set(key, result.item.revision);
    }
  }
}

const retryDelayMs = (retries: number): number =>
  Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** Math.min(retries, MAX_RETRY_DOUBLINGS));
