/**
 * The jobs that the placement ledger names, as a node without the leader's state reads it. Every
 * attempt is in the ledger before its start is sent: no task of a job that it does not name runs.
 */
import { steadyNow } from '../../adapters/runtime/clock.js';
import type { JobId, Revision } from '../../core/model/ids.js';
import type { Instant } from '../../core/model/time.js';
import type { Change, StoredItem } from '../../ports/key-value-store.js';
import type { Dependencies } from '../dependencies.js';
import { LEDGER_PREFIX, LEGACY_LEDGER_PREFIX, listPlacedJobs } from '../stored-records.js';

/** What was read is used for this long, which is well below the permitted lag. */
const MAX_AGE_MS = 500;
/** What was read is dropped after this time without a question. */
const IDLE_MS = 30_000;
/** Pause after a failed read. */
const RETRY_MS = 500;
/** The store answers at once with the changes so far. */
const NO_WAIT_MS = 0;

/** Jobs by ledger segment; null for a segment that is unreadable and may name any job. */
type JobsBySegment = Map<string, readonly JobId[] | null>;

interface LedgerCopy {
  readonly segments: JobsBySegment;
  readonly revision: Revision;
  /** When the newest read was sent, and when its answer came: what was read is from between. */
  readonly sentAt: Instant;
  readonly receivedAt: Instant;
  /** Every job that a segment names; null if a segment is unreadable. */
  readonly jobs: ReadonlySet<JobId> | null;
}

/** Every job that a segment names; null if a segment is unreadable. */
const namedJobs = (segments: JobsBySegment): ReadonlySet<JobId> | null => {
  const jobs = new Set<JobId>();
  for (const named of segments.values()) {
    if (named === null) return null;
    for (const job of named) jobs.add(job);
  }
  return jobs;
};

/** A segment's key and its jobs, as in `JobsBySegment`. */
const listSegmentJobs = ({ key, value }: StoredItem): [string, readonly JobId[] | null] => [
  key,
  listPlacedJobs(value),
];

const applyChanges = (segments: JobsBySegment, changes: readonly Change[]): void => {
  for (const change of changes) {
    if ('value' in change) segments.set(change.key, listPlacedJobs(change.value));
    else segments.delete(change.key);
  }
};

/** What the ledger said of a job, at a time not after `asOf`. */
export interface LedgerFinding {
  readonly isNamed: boolean;
  readonly asOf: Instant;
}

/** Reads the ledger when asked, and then only its changes. */
export class PlacedJobs {
  private copy: LedgerCopy | null = null;
  private pendingRead: Promise<void> | null = null;
  private readNotBefore = 0;
  private dropTimer: NodeJS.Timeout | null = null;

  constructor(private readonly dependencies: Pick<Dependencies, 'batchStore'>) {}

  /**
   * Whether the ledger named the job, well within the permitted lag; null if the ledger was not read
   * or may name any job.
   */
  async find(id: JobId): Promise<LedgerFinding | null> {
    if (!this.isFresh() && steadyNow() >= this.readNotBefore) this.pendingRead ??= this.read();
    await this.pendingRead;
    if (!this.copy?.jobs || !this.isFresh()) return null;
    return { isNamed: this.copy.jobs.has(id), asOf: this.copy.receivedAt };
  }

  private isFresh(): boolean {
    return this.copy !== null && steadyNow() - this.copy.sentAt < MAX_AGE_MS;
  }

  private async read(): Promise<void> {
    const copy = (this.copy && (await this.readChanges(this.copy))) ?? (await this.readAll());
    if (copy) {
      this.copy = copy;
      this.dropWhenIdle();
    } else this.readNotBefore = steadyNow() + RETRY_MS;
    this.pendingRead = null;
  }

  /** Reads pages, then the changes since: a row may have moved to a page that was read before. */
  private async readAll(): Promise<LedgerCopy | null> {
    const { batchStore } = this.dependencies;
    const [ledger, legacy] = await Promise.all([
      batchStore.listAll(LEDGER_PREFIX, listSegmentJobs),
      batchStore.listAll(LEGACY_LEDGER_PREFIX),
    ]);
    if (ledger.kind !== 'listed' || legacy.kind !== 'listed') return null;
    // Legacy records are not decoded: they may name any job, until the leader deletes them.
    if (legacy.items.length > 0) return null;
    return this.readChanges({ segments: new Map(ledger.items), revision: ledger.revision });
  }

  private async readChanges({
    segments,
    revision,
  }: Pick<LedgerCopy, 'segments' | 'revision'>): Promise<LedgerCopy | null> {
    const sentAt = steadyNow();
    const result = await this.dependencies.batchStore.watch(LEDGER_PREFIX, revision, NO_WAIT_MS);
    if (result.kind !== 'changes') return null;
    applyChanges(segments, result.changes);
    return {
      segments,
      revision: result.revision,
      sentAt,
      receivedAt: steadyNow(),
      jobs: namedJobs(segments),
    };
  }

  private dropWhenIdle(): void {
    if (this.dropTimer) clearTimeout(this.dropTimer);
    this.dropTimer = setTimeout(() => {
      this.copy = null;
    }, IDLE_MS);
    this.dropTimer.unref();
  }
}
