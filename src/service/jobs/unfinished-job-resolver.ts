/**
 * Finds out whether a task of an unfinished job runs. The stored record tells only that the job was
 * accepted and has not ended. Each source is asked in turn, from the cheapest and most exact; if
 * none knows, there is no view.
 */
import { type JobProgress, MAX_STATE_LAG_MS } from '../../core/lifecycle/job-view.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { JobView } from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import type { PlacedJobs } from '../job-progress/placed-jobs.js';
import type { ProgressReader } from '../job-progress/progress-reader.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import { requestRecordedJobView } from '../peers/peer-requests.js';
import { decodeJob, type JobRecord } from '../stored-records.js';
import { NO_LEADER_TEXT, viewOfAcceptedJob } from './job-views.js';

/** Part of the permitted lag that is left for answering the question. */
const ANSWER_MARGIN_MS = 500;

/** An unfinished job, and what was tried before. */
export interface UnfinishedJob {
  readonly id: JobId;
  /** The stored record, read after the question came. */
  readonly record: unknown;
  /** This node's own view as the leader; null if it does not lead or does not know. */
  readonly ownView: JobView | 'never-placed' | null;
  /** Whether the leader has just left a request unanswered. */
  readonly isLeaderSilent: boolean;
}

/** Where a view comes from, for the log. */
type Source = 'own-state' | 'leader' | 'progress-report' | 'ledger' | 'acceptance' | 'none';

interface Resolution {
  readonly source: Source;
  readonly view: JobView | null;
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
  constructor(
    private readonly dependencies: Pick<Dependencies, 'log' | 'settings'>,
    private readonly peerMonitor: PeerMonitor,
    private readonly progressReader: ProgressReader,
    private readonly placedJobs: PlacedJobs,
  ) {}

  /** The job's view, at most the permitted lag old; null if no source tells. */
  async resolve(job: UnfinishedJob): Promise<JobView | null> {
    const { source, view } = await this.findSource(job, decodeJob(job.record));
    this.dependencies.log.debug(
      { jobId: job.id, source, status: view?.status },
      'unfinished job looked up in the store',
    );
    return view;
  }

  private async findSource(job: UnfinishedJob, record: JobRecord | null): Promise<Resolution> {
    const { id, ownView } = job;
    if (ownView === 'never-placed' && record)
      return { source: 'own-state', view: viewOfAcceptedJob(record.spec) };
    if (ownView !== null && ownView !== 'never-placed')
      return { source: 'own-state', view: ownView };
    const reported = await this.askLeader(job, record);
    if (reported.view) return reported;
    const idleView = { ...viewOfIdleJob(id, record), waiting: NO_LEADER_TEXT };
    switch (await this.placedJobs.includes(id)) {
      case true:
        return UNRESOLVED;
      case false:
        return { source: 'ledger', view: idleView };
      case null:
        return record && this.isJustAccepted(record)
          ? { source: 'acceptance', view: idleView }
          : UNRESOLVED;
    }
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
        const progress = await this.progressReader.progressOf(id);
        const view = progress && viewOfProgress(progress, record);
        return { source: 'progress-report', view };
      }
    }
  }

  /** Whether the job was accepted so lately that its state then is within the permitted lag. */
  private isJustAccepted({ acceptedAt }: JobRecord): boolean {
    const maxAgeMs = Date.now() - acceptedAt + 2 * this.dependencies.settings.maxClockOffsetMs;
    return maxAgeMs < MAX_STATE_LAG_MS - ANSWER_MARGIN_MS;
  }
}
