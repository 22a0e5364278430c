/**
 * Answers requests from other controllers. No request is forwarded a second time; a look-up may ask
 * the leader for its view, which the leader answers from its own state.
 */

import type { OperatorAnswer } from '../../core/extensions/extension.js';
import type { JobId } from '../../core/model/ids.js';
import type { PeerRequest } from '../../ports/peer.js';
import type { Dependencies } from '../dependencies.js';
import type { JobService } from '../jobs/job-service.js';
import { STORE_UNAVAILABLE } from '../jobs/job-views.js';
import type { LeaderTerm } from '../leader-term.js';
import { decodeJob } from '../stored-records.js';
import {
  encodeAdmission,
  encodeHealth,
  encodeKnownView,
  encodeLeaderView,
  encodeLookup,
} from './peer-messages.js';
import type { PeerMonitor } from './peer-monitor.js';

/** Dispatches each kind of request; the answer is null if this node has none. */
export class PeerRequestHandler {
  constructor(
    private readonly dependencies: Dependencies,
    private readonly jobs: JobService,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {}

  async handle(request: PeerRequest): Promise<unknown> {
    switch (request.ask) {
      case 'status':
        return request.job ? this.handleStatus(request.job, request.record) : null;
      case 'abort':
        return this.handleCancellation(request.job);
      case 'explain':
        return request.job ? this.jobs.queries.explainLocally(request.job) : null;
      case 'list':
        return request.team ? this.jobs.queries.listLocally(request.team) : null;
      case 'operate':
        return this.handleOperatorCall(request);
      case 'health':
        return encodeHealth(this.peerMonitor.health());
      case 'look':
        return request.job ? this.handleLookup(request.job) : null;
      case 'admit':
        return this.handleAdmission(request.record);
      default:
        return request satisfies never;
    }
  }

  /** What this node knows of a job, by itself or, if the sender has read its record, by workers. */
  private async handleStatus(job: JobId, record: unknown): Promise<object | string | null> {
    const { queries, unfinishedJobs } = this.jobs;
    const local = queries.viewLocally(job);
    if (local || record === undefined) return encodeLeaderView(local);
    const recorded = queries.viewRecordedLocally(job);
    if (recorded !== null && recorded !== 'unknown') return encodeLeaderView(recorded);
    return encodeLeaderView(await unfinishedJobs.viewByWorkers(job, decodeJob(record)));
  }

  private async handleCancellation(job: JobId | undefined): Promise<object | string> {
    if (!job || !this.currentTerm()) return encodeLookup(STORE_UNAVAILABLE);
    return encodeLookup(await this.jobs.cancellations.cancelAsLeader(job));
  }

  private handleOperatorCall({
    extension,
    call,
  }: Extract<PeerRequest, { ask: 'operate' }>): Promise<OperatorAnswer | null> | null {
    const term = this.currentTerm();
    if (!term || extension === undefined || call === undefined) return null;
    return term.handleOperatorCall(extension, call);
  }

  private async handleLookup(job: JobId): Promise<object | string> {
    const local = this.jobs.queries.viewLocally(job);
    return local
      ? encodeKnownView(local)
      : encodeLookup(await this.jobs.queries.lookUpInStore(job));
  }

  private async handleAdmission(stored: unknown): Promise<object | null> {
    const record = decodeJob(stored);
    if (!record || this.dependencies.store.isDown) return null;
    return encodeAdmission(await this.jobs.submissions.admit(record, { mayForward: false }));
  }
}
