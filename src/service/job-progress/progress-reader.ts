/**
 * A follower's side of progress snapshots: asks the leader for one through the key-value store, and
 * keeps the newest for as long as it may be used.
 */
import { sleep, steadyNow } from '../../adapters/runtime/clock.js';
import { type JobProgress, MAX_STATE_LAG_MS } from '../../core/lifecycle/job-view.js';
import type { JobId, Revision } from '../../core/model/ids.js';
import type { Instant } from '../../core/model/time.js';
import type { Change } from '../../ports/key-value-store.js';
import type { Dependencies } from '../dependencies.js';
import {
  decodeProgressPage,
  encodeProgressRequest,
  isSameRequest,
  PROGRESS_SNAPSHOT_PREFIX,
  type ProgressPage,
  type ProgressRequest,
  progressRequestKey,
} from '../stored-records.js';

/** How long a question waits for a snapshot: users wait 2 s, and the leader was asked before. */
const QUESTION_TIMEOUT_MS = 900;
/** How long a request waits for its snapshot, which later questions may still use. */
const REQUEST_TIMEOUT_MS = 2000;
const REQUEST_QUEUE_MS = 300;
/** A snapshot is renewed from this age on, while questions come. */
const RENEWAL_AGE_MS = 700;
/** Page of the permitted lag that is left for answering the question. */
const ANSWER_MARGIN_MS = 500;
const MAX_SNAPSHOT_AGE_MS = MAX_STATE_LAG_MS - ANSWER_MARGIN_MS;
/** Pause after a request without an answer: there is no leader, or it runs another version. */
const RETRY_MS = 1500;

interface ReceivedSnapshot {
  /** When the request was sent, and when the snapshot came: it was taken between. */
  readonly askedAt: Instant;
  readonly receivedAt: Instant;
  readonly isWhole: boolean;
  readonly jobs: ReadonlyMap<JobId, JobProgress>;
}

/** How far a job had come, at a time not after `asOf`. */
export interface ProgressFinding {
  readonly progress: JobProgress;
  readonly asOf: Instant;
}

/** Reads progress snapshots for one controller. */
export class ProgressReader {
  private snapshot: ReceivedSnapshot | null = null;
  private pendingRequest: Promise<void> | null = null;
  private requestNotBefore = 0;
  /** Whether the last request got no answer: questions do not wait for the next one. */
  private hasFailed = false;
  private lastRequest = 0;

  constructor(
    private readonly dependencies: Pick<Dependencies, 'batchStore' | 'log' | 'settings'>,
    /** Identifies this process among those of its node. */
    private readonly life: string,
  ) {}

  /**
   * The progress of a job that was unfinished when it was read, by a snapshot of at most the permitted
   * lag; null if there is no such snapshot or it does not tell. Waits for a bounded time.
   */
  async find(id: JobId): Promise<ProgressFinding | null> {
    if (this.snapshotAge() > RENEWAL_AGE_MS && steadyNow() >= this.requestNotBefore)
      this.pendingRequest ??= this.renew();
    if (this.snapshotAge() > MAX_SNAPSHOT_AGE_MS && this.pendingRequest && !this.hasFailed)
      await Promise.race([this.pendingRequest, sleep(QUESTION_TIMEOUT_MS)]);
    const { snapshot } = this;
    if (!snapshot || this.snapshotAge() > MAX_SNAPSHOT_AGE_MS) return null;
    const progress = findProgress(snapshot, id);
    return progress && { progress, asOf: snapshot.receivedAt };
  }

  private snapshotAge(): number {
    return this.snapshot ? steadyNow() - this.snapshot.askedAt : Number.POSITIVE_INFINITY;
  }

  private async renew(): Promise<void> {
    const askedAt = steadyNow();
    this.lastRequest += 1;
    const snapshot = await this.request({ life: this.life, n: this.lastRequest }, askedAt);
    this.hasFailed = snapshot === null;
    if (snapshot) this.snapshot = snapshot;
    else this.requestNotBefore = steadyNow() + RETRY_MS;
    this.dependencies.log.debug({ answered: snapshot !== null }, 'progress snapshot requested');
    this.pendingRequest = null;
  }

  private async request(
    request: ProgressRequest,
    askedAt: Instant,
  ): Promise<ReceivedSnapshot | null> {
    const { batchStore, settings } = this.dependencies;
    const put = progressRequestKey(settings.node);
    const written = await batchStore.compareAndSwap(
      [],
      [{ put, value: encodeProgressRequest(request) }],
      REQUEST_QUEUE_MS,
      REQUEST_TIMEOUT_MS,
    );
    if (written.kind !== 'committed') return null;
    return this.awaitAnswer(request, askedAt, written.revision);
  }

  private async awaitAnswer(
    request: ProgressRequest,
    askedAt: Instant,
    from: Revision,
  ): Promise<ReceivedSnapshot | null> {
    const deadline = askedAt + REQUEST_TIMEOUT_MS;
    let revision = from;
    for (;;) {
      const remainingMs = Math.floor(deadline - steadyNow());
      if (remainingMs <= 0) return null;
      const result = await this.dependencies.batchStore.watch(
        PROGRESS_SNAPSHOT_PREFIX,
        revision,
        remainingMs,
      );
      if (result.kind !== 'changes') return null;
      revision = result.revision;
      const pages = this.pagesThatAnswer(request, result.changes);
      if (pages) return assembleSnapshot(pages, askedAt);
    }
  }

  /** The pages of a snapshot that answers the request; null if the changes hold none. */
  private pagesThatAnswer(
    request: ProgressRequest,
    changes: readonly Change[],
  ): ProgressPage[] | null {
    const answers = new Map<Revision, ProgressPage[]>();
    for (const change of changes) {
      const page = 'value' in change ? decodeProgressPage(change.value) : null;
      const answered = page?.requests.get(this.dependencies.settings.node);
      if (!page || !answered || !isSameRequest(answered, request)) continue;
      const pages = answers.get(change.revision) ?? [];
      pages.push(page);
      answers.set(change.revision, pages);
    }
    for (const pages of answers.values()) if (pages.length === pages[0]?.pages) return pages;
    return null;
  }
}

/** Null if the snapshot does not tell. */
const findProgress = ({ jobs, isWhole }: ReceivedSnapshot, id: JobId): JobProgress | null => {
  const progress = jobs.get(id);
  if (progress) return progress.status === null ? null : progress;
  // A whole snapshot names every job of which a task may have run.
  return isWhole ? { id, status: 'queued', done: 0, running: 0 } : null;
};

const assembleSnapshot = (pages: readonly ProgressPage[], askedAt: Instant): ReceivedSnapshot => {
  const jobs = new Map<JobId, JobProgress>();
  for (const page of pages) for (const progress of page.jobs) jobs.set(progress.id, progress);
  const isWhole = pages.every((page) => page.isWhole);
  return { askedAt, receivedAt: steadyNow(), isWhole, jobs };
};
