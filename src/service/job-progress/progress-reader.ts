/**
 * A follower's side of progress reports: asks the leader for one through the key-value store, and
 * keeps the newest for as long as it may be used.
 */
import { sleep, steadyNow } from '../../adapters/runtime/clock.js';
import { type JobProgress, MAX_STATE_LAG_MS } from '../../core/lifecycle/job-view.js';
import type { JobId, Revision } from '../../core/model/ids.js';
import type { Instant } from '../../core/model/time.js';
import type { Change } from '../../ports/key-value-store.js';
import type { Dependencies } from '../dependencies.js';
import {
  decodeProgressPart,
  encodeProgressRequest,
  isSameRequest,
  PROGRESS_REPORT_PREFIX,
  type ProgressPart,
  type ProgressRequest,
  progressRequestKey,
} from '../stored-records.js';

/** How long a question waits for a report: users wait 2 s, and the leader was asked before. */
const QUESTION_TIMEOUT_MS = 900;
/** How long a request waits for its report, which later questions may still use. */
const REQUEST_TIMEOUT_MS = 2000;
const REQUEST_QUEUE_MS = 300;
/** A report is renewed from this age on, while questions come. */
const RENEWAL_AGE_MS = 700;
/** Part of the permitted lag that is left for answering the question. */
const ANSWER_MARGIN_MS = 500;
const MAX_REPORT_AGE_MS = MAX_STATE_LAG_MS - ANSWER_MARGIN_MS;
/** Pause after a request without an answer: there is no leader, or it runs another version. */
const RETRY_MS = 1500;

interface ReceivedReport {
  /** When the request was sent that the report answers: the report is newer. */
  readonly askedAt: Instant;
  readonly isWhole: boolean;
  readonly jobs: ReadonlyMap<JobId, JobProgress>;
}

/** Reads progress reports for one controller. */
export class ProgressReader {
  private report: ReceivedReport | null = null;
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
   * The progress of a job that was unfinished when it was read, by a report of at most the permitted
   * lag; null if there is no such report or it does not tell. Waits for a bounded time.
   */
  async progressOf(id: JobId): Promise<JobProgress | null> {
    if (this.reportAge() > RENEWAL_AGE_MS && steadyNow() >= this.requestNotBefore)
      this.pendingRequest ??= this.renew();
    if (this.reportAge() > MAX_REPORT_AGE_MS && this.pendingRequest && !this.hasFailed)
      await Promise.race([this.pendingRequest, sleep(QUESTION_TIMEOUT_MS)]);
    const { report } = this;
    if (!report || this.reportAge() > MAX_REPORT_AGE_MS) return null;
    const progress = report.jobs.get(id);
    if (progress) return progress.status === null ? null : progress;
    // A whole report names every job of which a task may have run.
    return report.isWhole ? { id, status: 'queued', done: 0, running: 0 } : null;
  }

  private reportAge(): number {
    return this.report ? steadyNow() - this.report.askedAt : Number.POSITIVE_INFINITY;
  }

  private async renew(): Promise<void> {
    const askedAt = steadyNow();
    this.lastRequest += 1;
    const report = await this.request({ life: this.life, n: this.lastRequest }, askedAt);
    this.hasFailed = report === null;
    if (report) this.report = report;
    else this.requestNotBefore = steadyNow() + RETRY_MS;
    this.dependencies.log.debug({ answered: report !== null }, 'progress report requested');
    this.pendingRequest = null;
  }

  private async request(
    request: ProgressRequest,
    askedAt: Instant,
  ): Promise<ReceivedReport | null> {
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
  ): Promise<ReceivedReport | null> {
    const deadline = askedAt + REQUEST_TIMEOUT_MS;
    let revision = from;
    for (;;) {
      const remainingMs = Math.floor(deadline - steadyNow());
      if (remainingMs <= 0) return null;
      const result = await this.dependencies.batchStore.watch(
        PROGRESS_REPORT_PREFIX,
        revision,
        remainingMs,
      );
      if (result.kind !== 'changes') return null;
      revision = result.revision;
      const parts = this.partsThatAnswer(request, result.changes);
      if (parts) return assembleReport(parts, askedAt);
    }
  }

  /** The parts of a report that answers the request; null if the changes hold none. */
  private partsThatAnswer(
    request: ProgressRequest,
    changes: readonly Change[],
  ): ProgressPart[] | null {
    const answers = new Map<Revision, ProgressPart[]>();
    for (const change of changes) {
      const part = 'value' in change ? decodeProgressPart(change.value) : null;
      const answered = part?.requests.get(this.dependencies.settings.node);
      if (!part || !answered || !isSameRequest(answered, request)) continue;
      const parts = answers.get(change.revision) ?? [];
      parts.push(part);
      answers.set(change.revision, parts);
    }
    for (const parts of answers.values()) if (parts.length === parts[0]?.parts) return parts;
    return null;
  }
}

const assembleReport = (parts: readonly ProgressPart[], askedAt: Instant): ReceivedReport => {
  const jobs = new Map<JobId, JobProgress>();
  for (const part of parts) for (const progress of part.jobs) jobs.set(progress.id, progress);
  return { askedAt, isWhole: parts.every((part) => part.isWhole), jobs };
};
