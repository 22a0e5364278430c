/**
 * Job queries. Stored completions may come from any cache; other state must come from the leader
 * under a valid lease or from the key-value store: any other source could be older than what
 * another node has reported.
 */
import { steadyNow } from '../../adapters/runtime/clock.js';
import { explainJob, viewJob } from '../../core/lifecycle/job-view.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { ExplainResult, JobView, ListResult, LookupResult } from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import type { LeaderTerm } from '../leader-term.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import {
  requestExplanation,
  requestJobList,
  requestJobView,
  requestLookup,
} from '../peers/peer-requests.js';
import { completionKey, decodeCompletion, decodeJob, jobKey } from '../stored-records.js';
import type { CompletionCache } from './completion-cache.js';
import { STORE_UNAVAILABLE, viewOfAcceptedJob, viewOfCompletion } from './job-views.js';

/** Keeps a list within one frame between controllers. */
const MAX_LISTED_JOBS = 200;
const NO_LEADER = 'no leader to ask';

/** Answers job queries on any controller. */
export class JobQueryService {
  constructor(
    private readonly dependencies: Dependencies,
    private readonly completions: CompletionCache,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {}

  /** The current term if this node leads with a valid lease, else null. */
  private authoritativeTerm(): LeaderTerm | null {
    const term = this.currentTerm();
    return term?.authority() === 'lead' ? term : null;
  }

  /** A cached completion or, under a valid leader lease, this leader's view; else null. */
  viewLocally(id: JobId): JobView | null {
    const ended = this.completions.view(id);
    if (ended) return ended;
    const term = this.authoritativeTerm();
    return term && viewJob(term.commandLoop.core, id, steadyNow());
  }

  /** Looks a job up in the key-value store; caches a completion that it finds. */
  async lookUpInStore(id: JobId): Promise<LookupResult> {
    // The job record must be read first: one transaction replaces it by the completion.
    const job = await this.dependencies.store.get(jobKey(id));
    if (job.kind === 'found') return { kind: 'found', job: this.viewOfRecord(id, job.item.value) };
    if (job.kind !== 'absent') return STORE_UNAVAILABLE;
    const stored = await this.dependencies.store.get(completionKey(id));
    if (stored.kind === 'absent') return { kind: 'not-found' };
    const completion = stored.kind === 'found' ? decodeCompletion(stored.item.value) : null;
    if (!completion) return STORE_UNAVAILABLE;
    this.completions.add(id, completion);
    return { kind: 'found', job: viewOfCompletion(id, completion) };
  }

  private viewOfRecord(id: JobId, value: unknown): JobView {
    const record = decodeJob(value);
    const waiting = NO_LEADER;
    if (record) return { ...viewOfAcceptedJob(record.spec), id, waiting };
    // Even an unreadable record proves that the job was accepted.
    return { id, team: '' as TeamName, status: 'queued', done: 0, running: 0, waiting };
  }

  /** Queries this node, the leader, then the store, or, if it is down, a peer that reaches it. */
  async lookUp(id: JobId): Promise<LookupResult> {
    const local = this.viewLocally(id);
    if (local) return { kind: 'found', job: local };
    const leader = this.peerMonitor.leaderPeer();
    const job = leader && (await requestJobView(leader, id));
    if (job) {
      this.completions.addIfEnded(job);
      return { kind: 'found', job };
    }
    if (!this.dependencies.store.isDown) return this.lookUpInStore(id);
    const peer = this.peerMonitor.reachablePeer();
    const answer = peer && (await requestLookup(peer, id));
    return answer ?? STORE_UNAVAILABLE;
  }

  /** Explains an unfinished job if this node leads, else returns null. */
  explainLocally(id: JobId): object | null {
    const term = this.authoritativeTerm();
    if (!term) return null;
    const explanation = explainJob(term.commandLoop.core, id, steadyNow());
    const cloud = this.dependencies.cloud.isUnavailable ? 'away' : 'ok';
    return explanation && { ...explanation, cloud, state: 'ok' };
  }

  async explain(id: JobId): Promise<ExplainResult> {
    const local = this.explainLocally(id);
    if (local) return { kind: 'explained', explanation: local };
    const leader = this.peerMonitor.leaderPeer();
    const explanation = leader && (await requestExplanation(leader, id));
    if (explanation) return { kind: 'explained', explanation };
    if (!this.dependencies.store.isDown) return { kind: 'unexplained' };
    const waiting = 'the state service is away: nothing starts until it is back';
    return { kind: 'explained', explanation: { id, waiting, state: 'away' } };
  }

  /** Lists a team's unfinished jobs if this node leads, else returns null. */
  listLocally(team: TeamName): JobView[] | null {
    const term = this.authoritativeTerm();
    if (!term) return null;
    const { core } = term.commandLoop;
    const views: JobView[] = [];
    for (const job of core.jobs.values()) {
      if (job.spec.team !== team || views.length >= MAX_LISTED_JOBS) continue;
      const view = viewJob(core, job.spec.id, steadyNow());
      if (view) views.push(view);
    }
    return views;
  }

  async list(team: TeamName): Promise<ListResult> {
    const local = this.listLocally(team);
    if (local) return { kind: 'listed', jobs: local };
    const leader = this.peerMonitor.leaderPeer();
    const jobs = leader && (await requestJobList(leader, team));
    return jobs ? { kind: 'listed', jobs } : { kind: 'unavailable', reason: NO_LEADER };
  }
}
