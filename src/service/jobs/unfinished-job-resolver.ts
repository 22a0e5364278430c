/**
 * Finds out whether a task of an unfinished job runs. The stored record tells only that the job was
 * accepted and has not ended. Each source is asked in turn, from the cheapest and most exact; if
 * none knows, there is no view.
 */
import { sleep, steadyNow } from '../../adapters/runtime/clock.js';
import {
  type JobProgress,
  MAX_STATE_LAG_MS,
  viewReportedJob,
} from '../../core/lifecycle/job-view.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { Instant } from '../../core/model/time.js';
import type { JobView } from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import type { PlacedJobs } from '../job-progress/placed-jobs.js';
import type { ProgressReader } from '../job-progress/progress-reader.js';
import type { WorkerInspector } from '../job-progress/worker-inspector.js';
import type { LeaderTerm } from '../leader-term.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import { requestRecordedJobView } from '../peers/peer-requests.js';
import { decodeJob, type JobRecord } from '../stored-records.js';
import { NO_LEADER_TEXT, viewOfAcceptedJob } from './job-views.js';

/** Users wait 2 s, of which the leader and the store were given a part before. */
const RESOLUTION_TIMEOUT_MS = 1000;
/** Bounds the processor time that questions to all peers take. */
const MAX_PENDING_PEER_QUESTIONS = 8;
/** Part of the permitted lag that is left for answering the question. */
const ANSWER_MARGIN_MS = 500;

/** An unfinished job, and what was tried before. */
export interface UnfinishedJob {
  readonly id: JobId;
  /** The stored record, read after the question came. */
  readonly record: unknown;
  /** What this node knows as the leader; null if it does not lead. */
  readonly ownView: JobView | 'never-placed' | 'unknown' | null;
  /** Whether the leader has just left a request unanswered. */
  readonly isLeaderSilent: boolean;
}

/** Where a view comes from, for the log. */
type Source =
  | 'own-state'
  | 'leader'
  | 'progress-snapshot'
  | 'ledger'
  | 'worker'
  | 'peer'
  | 'acceptance'
  | 'none';

/** A job's view, at most the permitted lag old. */
export interface Resolution {
  readonly source: Source;
  /** null if no source tells. */
  readonly view: JobView | null;
  /**
   * Set if the source lacks jobs that have ended, and may be of a time up to this one: a record
   * read before may be of a job that has ended since.
   */
  readonly asOf?: Instant;
}

const UNRESOLVED: Resolution = { source: 'none', view: null };

/** View of a job of which no task runs; an unreadable record shows only that it was accepted. */
const viewOfIdleJob = (id: JobId, record: JobRecord | null): JobView =>
  record
    ? viewOfAcceptedJob(record.spec)
    : { id, team: '' as TeamName, status: 'queued', done: 0, running: 0 };

const viewOfProgress = (
  { id, status, done, running }: JobProgress,
  record: JobRecord | null,
): JobView => ({
  ...viewOfIdleJob(id, record),
  status: status ?? 'queued',
  done,
  running,
});

/** Resolves unfinished jobs on any controller. */
export class UnfinishedJobResolver {
  private pendingPeerQuestions = 0;

  constructor(
    private readonly dependencies: Pick<Dependencies, 'log' | 'peers' | 'settings'>,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
    private readonly progressReader: ProgressReader,
    private readonly placedJobs: PlacedJobs,
    private readonly workerInspector: WorkerInspector,
  ) {}

  /** Finds the job's view, within a bounded time. */
  async resolve(job: UnfinishedJob): Promise<Resolution> {
    const resolution = await Promise.race([
      this.findSource(job, decodeJob(job.record)),
      sleep(RESOLUTION_TIMEOUT_MS).then(() => UNRESOLVED),
    ]);
    this.dependencies.log.debug(
      { jobId: job.id, source: resolution.source, status: resolution.view?.status },
      'unfinished job looked up in the store',
    );
    return resolution;
  }

  private async findSource(job: UnfinishedJob, record: JobRecord | null): Promise<Resolution> {
    const { ownView } = job;
    if (ownView === 'unknown') return this.askWorkers(job, record);
    // The leader skips a job whose record is unreadable, but may have recovered attempts of it.
    if (ownView === 'never-placed')
      return record
        ? { source: 'own-state', view: viewOfAcceptedJob(record.spec) }
        : this.readLedger(job, record);
    if (ownView) return { source: 'own-state', view: ownView };
    const reported = await this.askLeader(job, record);
    return reported.view ? reported : this.readLedger(job, record);
  }

  private async readLedger(job: UnfinishedJob, record: JobRecord | null): Promise<Resolution> {
    const idleView = { ...viewOfIdleJob(job.id, record), waiting: NO_LEADER_TEXT };
    const finding = await this.placedJobs.find(job.id);
    if (finding?.isNamed) return this.askWorkers(job, record);
    if (finding) return { source: 'ledger', view: idleView, asOf: finding.asOf };
    return record && this.isJustAccepted(record)
      ? { source: 'acceptance', view: idleView }
      : UNRESOLVED;
  }

  /** Asks the leader directly, or through the store if it does not answer. */
  private async askLeader(
    { id, record: stored, isLeaderSilent }: UnfinishedJob,
    record: JobRecord | null,
  ): Promise<Resolution> {
    const leader = this.peerMonitor.leaderPeer();
    if (!leader) return UNRESOLVED;
    const answer = isLeaderSilent
      ? ({ kind: 'unanswered' } as const)
      : await requestRecordedJobView(leader, id, stored);
    switch (answer.kind) {
      case 'viewed':
        return { source: 'leader', view: answer.job };
      case 'never-placed':
        return record ? { source: 'leader', view: viewOfAcceptedJob(record.spec) } : UNRESOLVED;
      case 'unknown':
        return UNRESOLVED;
      case 'unanswered': {
        const finding = await this.progressReader.find(id);
        if (!finding) return UNRESOLVED;
        const view = viewOfProgress(finding.progress, record);
        return { source: 'progress-snapshot', view, asOf: finding.asOf };
      }
    }
  }

  /** Asks the workers that this node has heard, then the peers about those that they have. */
  private async askWorkers(
    { id, record: stored }: UnfinishedJob,
    record: JobRecord | null,
  ): Promise<Resolution> {
    const view = await this.viewByWorkers(id, record);
    if (view) return { source: 'worker', view };
    if (this.pendingPeerQuestions >= MAX_PENDING_PEER_QUESTIONS) return UNRESOLVED;
    this.pendingPeerQuestions += 1;
    const peers = [...this.dependencies.peers.values()];
    const answers = await Promise.all(
      peers.map((peer) => requestRecordedJobView(peer, id, stored)),
    );
    this.pendingPeerQuestions -= 1;
    const answer = answers.find(({ kind }) => kind === 'viewed');
    return answer?.kind === 'viewed' ? { source: 'peer', view: answer.job } : UNRESOLVED;
  }

  /**
   * The view of a job of which a worker says that a task runs, by its heartbeats to this node or
   * when it is asked; null if none says so, which does not prove that none runs.
   */
  async viewByWorkers(id: JobId, record: JobRecord | null): Promise<JobView | null> {
    const core = this.currentTerm()?.commandLoop.core;
    const reported = core && viewReportedJob(core, id, steadyNow());
    if (reported) return reported;
    const running = await this.workerInspector.countRunning(id);
    if (running === 0) return null;
    return viewOfProgress({ id, status: 'running', done: 0, running }, record);
  }

  /** Whether the job was accepted so lately that its state then is within the permitted lag. */
  private isJustAccepted({ acceptedAt }: JobRecord): boolean {
    const maxAgeMs = Date.now() - acceptedAt + 2 * this.dependencies.settings.maxClockOffsetMs;
    return maxAgeMs < MAX_STATE_LAG_MS - ANSWER_MARGIN_MS;
  }
}
