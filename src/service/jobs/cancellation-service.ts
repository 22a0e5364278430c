/** Job cancellation. Only the leader stores completions; a cancellation is reported once stored. */
import type { JobId } from '../../core/model/ids.js';
import type { LookupResult } from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import type { LeaderTerm } from '../leader-term.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import { requestCancellation } from '../peers/peer-requests.js';
import { jobKey } from '../stored-records.js';
import type { CompletionCache } from './completion-cache.js';
import type { JobQueryService } from './job-query-service.js';
import { STORE_UNAVAILABLE } from './job-views.js';

/** The second attempt follows once a job unknown to the leader is read from the store. */
const MAX_ATTEMPTS = 2;

/** Cancels jobs on any controller. */
export class CancellationService {
  constructor(
    private readonly dependencies: Dependencies,
    private readonly completions: CompletionCache,
    private readonly queries: JobQueryService,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {}

  /** Cancels a job, through the leader if this node does not lead; idempotent. */
  async cancel(id: JobId): Promise<LookupResult> {
    const ended = this.completions.view(id);
    if (ended) return { kind: 'found', job: ended };
    if (this.currentTerm()) return this.cancelAsLeader(id);
    const leader = this.peerMonitor.leaderPeer();
    const job = leader && (await requestCancellation(leader, id));
    if (job && this.completions.addIfEnded(job)) return { kind: 'found', job };
    return this.lookUpEnd(id);
  }

  /** Looks up a stored end; an unfinished job is not cancelled, so the user must retry. */
  private async lookUpEnd(id: JobId): Promise<LookupResult> {
    const stored = await this.queries.readStored(id);
    return stored.kind === 'unfinished' ? STORE_UNAVAILABLE : stored;
  }

  /** Cancels a job as leader; returns unavailable without a term or a valid leader lease. */
  async cancelAsLeader(id: JobId): Promise<LookupResult> {
    const term = this.currentTerm();
    if (term?.authority() !== 'lead') return STORE_UNAVAILABLE;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const result = await term.cancelJob(id);
      if (result.kind === 'timed-out') return STORE_UNAVAILABLE;
      if (result.kind === 'ended') {
        const ended = this.completions.view(id);
        return ended ? { kind: 'found', job: ended } : this.lookUpEnd(id);
      }
      // Unknown to this leader, but perhaps just accepted by another controller.
      const stored = await this.dependencies.store.get(jobKey(id));
      if (stored.kind !== 'found') break;
      const { key, value, revision } = stored.item;
      term.addStoredJob(key, value, revision);
    }
    return this.lookUpEnd(id);
  }
}
