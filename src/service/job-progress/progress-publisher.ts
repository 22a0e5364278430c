/**
 * The leader's side of progress snapshots: publishes one in the key-value store whenever a follower
 * asks for it there, because connections between controllers fail.
 */
import { sleep, steadyNow } from '../../adapters/runtime/clock.js';
import { listJobProgress } from '../../core/lifecycle/job-view.js';
import type { NodeId, Revision } from '../../core/model/ids.js';
import type { Change, Mutation, Precondition } from '../../ports/key-value-store.js';
import type { CommandLoop } from '../command-loop.js';
import type { Dependencies } from '../dependencies.js';
import { watchPrefix } from '../prefix-watch.js';
import { listPrefix } from '../store-listing.js';
import {
  decodeProgressRequest,
  encodeProgressSnapshot,
  LEADER_KEY,
  PROGRESS_REQUEST_PREFIX,
  type ProgressRequest,
  progressSnapshotKey,
} from '../stored-records.js';
import type { TermContext } from '../term-context.js';

/** How long the store holds one watch request open. */
const WATCH_POLL_TIMEOUT_MS = 30_000;
/** Shortest time between two snapshots: one snapshot answers the requests of several followers. */
const MIN_INTERVAL_MS = 300;
/** A follower does not wait longer for its answer. */
const WRITE_TIMEOUT_MS = 1000;
/** Bounds a snapshot to what one transaction takes. */
const MAX_SNAPSHOT_BYTES = 48_000;
/** Share of the maximum value size: the store may count sizes differently. */
const VALUE_FILL_SHARE = 0.9;

/** Components that the publisher reads from. */
export interface ProgressPublisherOptions {
  readonly dependencies: Pick<Dependencies, 'batchStore' | 'jitter' | 'log' | 'settings'>;
  readonly term: TermContext;
  readonly commandLoop: CommandLoop;
}

/** Publishes progress snapshots during one leader term. */
export class ProgressPublisher {
  /** The newest request of each controller. */
  private readonly requests = new Map<NodeId, ProgressRequest>();

  constructor(private readonly options: ProgressPublisherOptions) {}

  /** Answers requests made after revision `from`, until the term has ended. */
  run(from: Revision): Promise<void> {
    const { dependencies, term } = this.options;
    return watchPrefix(
      {
        dependencies,
        term,
        prefix: PROGRESS_REQUEST_PREFIX,
        pollTimeoutMs: WATCH_POLL_TIMEOUT_MS,
        onChanges: (changes) => this.answer(changes),
        onMissedChanges: () => this.skipMissedRequests(),
      },
      from,
    );
  }

  private async answer(changes: readonly Change[]): Promise<void> {
    if (!this.recordRequests(changes)) return;
    await this.publish();
    await sleep(MIN_INTERVAL_MS);
  }

  /** A request that is missed is repeated. */
  private async skipMissedRequests(): Promise<Revision | null> {
    const { dependencies, term } = this.options;
    const listing = await listPrefix(dependencies, term, PROGRESS_REQUEST_PREFIX);
    return listing?.revision ?? null;
  }

  /** Returns whether the changes hold a request. */
  private recordRequests(changes: readonly Change[]): boolean {
    let hasRequest = false;
    for (const change of changes) {
      const request = 'value' in change ? decodeProgressRequest(change.value) : null;
      if (!request) continue;
      this.requests.set(change.key.slice(PROGRESS_REQUEST_PREFIX.length) as NodeId, request);
      hasRequest = true;
    }
    return hasRequest;
  }

  /**
   * Writes a snapshot under the leader key's revision: that of a deposed leader is refused. A failure
   * is not retried, since followers repeat their requests.
   */
  private async publish(): Promise<void> {
    const { dependencies, term, commandLoop } = this.options;
    if (term.authority() !== 'lead' || !commandLoop.core.isRecovered) return;
    const jobs = listJobProgress(commandLoop.core, steadyNow());
    const pages = encodeProgressSnapshot({ requests: this.requests, jobs }, this.limits());
    const preconditions: Precondition[] = [
      { key: LEADER_KEY, revision: term.fencingToken as number as Revision },
    ];
    const mutations = pages.map(
      (value, page): Mutation => ({ put: progressSnapshotKey(page), value }),
    );
    const { kind: outcome } = await dependencies.batchStore.compareAndSwap(
      preconditions,
      mutations,
      WRITE_TIMEOUT_MS,
      WRITE_TIMEOUT_MS,
    );
    dependencies.log.debug(
      { outcome, jobs: jobs.length, pages: pages.length, nodes: [...this.requests.keys()] },
      'progress snapshot published',
    );
  }

  private limits() {
    const { maxValueBytes, maxTransactionOperations } =
      this.options.dependencies.settings.keyValueStoreLimits;
    const maxPageBytes = Math.min(maxValueBytes * VALUE_FILL_SHARE, MAX_SNAPSHOT_BYTES);
    const maxPages = Math.min(maxTransactionOperations, MAX_SNAPSHOT_BYTES / maxPageBytes);
    return { maxPageBytes, maxPages: Math.max(1, Math.floor(maxPages)) };
  }
}
