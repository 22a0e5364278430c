/**
 * Job queries. Stored completions may come from any cache. That a job is unfinished must come from
 * the leader under a valid lease or from the key-value store: any other source could be older than
 * what another node has reported. The store alone does not tell whether an unfinished job runs;
 * `UnfinishedJobResolver` finds out.
 */
import { steadyNow } from '../../adapters/runtime/clock.js';
import { explainJob, viewJob, viewRecordedJob } from '../../core/lifecycle/job-view.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { ExplainResult, JobView, ListResult, LookupResult } from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import type { LeaderTerm } from '../leader-term.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import {
  requestExplanation,
  requestJobList,
  requestLeaderView,
  requestLookup,
} from '../peers/peer-requests.js';
import { completionKey, decodeCompletion, jobKey } from '../stored-records.js';
import type { CompletionCache } from './completion-cache.js';
import {
  NO_LEADER_TEXT,
  PROGRESS_UNKNOWN,
  STORE_UNAVAILABLE,
  viewOfCompletion,
} from './job-views.js';
import type { UnfinishedJobResolver } from './unfinished-job-resolver.js';

/** Keeps a list within one frame between controllers. */
const MAX_LISTED_JOBS = 200;

/** A job's record is read again if its answer takes longer: another node may report the end. */
const MAX_READ_AGE_MS = 50;

/** What the key-value store holds of a job. */
export type StoredJobState =
  | { readonly kind: 'found'; readonly job: JobView }
  | { readonly kind: 'not-found' }
  /** Accepted, and not ended at the time of the reading; `record` may be unreadable. */
  | { readonly kind: 'unfinished'; readonly record: unknown }
  | typeof STORE_UNAVAILABLE;

/** Answers job queries on any controller. */
export class JobQueryService {
  constructor(
    private readonly dependencies: Dependencies,
    private readonly completions: CompletionCache,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
    private readonly unfinishedJobs: UnfinishedJobResolver,
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

  /**
   * What this leader knows of a job whose record was just read in the store; null if this node does
   * not lead with a valid lease, or has not recovered the stored state.
   */
  viewRecordedLocally(id: JobId): JobView | 'never-placed' | 'unknown' | null {
    const term = this.authoritativeTerm();
    return term && viewRecordedJob(term.commandLoop.core, id, steadyNow());
  }

  /** Reads a job in the key-value store; caches a completion that it finds. */
  async readStored(id: JobId): Promise<StoredJobState> {
    // The job record must be read first: one transaction replaces it by the completion.
    const job = await this.dependencies.store.get(jobKey(id));
    // Even an unreadable record proves that the job was accepted.
    if (job.kind === 'found') return { kind: 'unfinished', record: job.item.value };
    if (job.kind !== 'absent') return STORE_UNAVAILABLE;
    const stored = await this.dependencies.store.get(completionKey(id));
    if (stored.kind === 'absent') return { kind: 'not-found' };
    const completion = stored.kind === 'found' ? decodeCompletion(stored.item.value) : null;
    if (!completion) return STORE_UNAVAILABLE;
    this.completions.add(id, completion);
    return { kind: 'found', job: viewOfCompletion(id, completion) };
  }

  /**
   * Looks a job up in the key-value store, and finds out whether an unfinished one runs.
   * `isLeaderSilent`: the leader has just left a request unanswered, and is not asked again.
   */
  async lookUpInStore(id: JobId, isLeaderSilent = false): Promise<LookupResult> {
    const stored = await this.readStored(id);
    if (stored.kind !== 'unfinished') return stored;
    const readAt = steadyNow();
    const { view, asOf = readAt } = await this.unfinishedJobs.resolve({
      id,
      record: stored.record,
      ownView: this.viewRecordedLocally(id),
      isLeaderSilent,
    });
    if (!view) return PROGRESS_UNKNOWN;
    const found: LookupResult = { kind: 'found', job: view };
    if (asOf <= readAt && steadyNow() - readAt < MAX_READ_AGE_MS) return found;
    const reread = await this.readStored(id);
    return reread.kind === 'unfinished' ? found : reread;
  }

  /** Queries this node, the leader, then the store, or, if it is down, a peer that reaches it. */
  async lookUp(id: JobId): Promise<LookupResult> {
    const local = this.viewLocally(id);
    if (local) return { kind: 'found', job: local };
    const leader = this.peerMonitor.leaderPeer();
    const view = leader && (await requestLeaderView(leader, id));
    if (view?.kind === 'viewed') {
      this.completions.addIfEnded(view.job);
      return { kind: 'found', job: view.job };
    }
    if (!this.dependencies.store.isDown) return this.lookUpInStore(id, view?.kind === 'unanswered');
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
    return explanation ? { kind: 'explained', explanation } : { kind: 'unexplained' };
  }

  /** Lists a team's unfinished jobs if this node leads and knows them all, else returns null. */
  listLocally(team: TeamName): JobView[] | null {
    const term = this.authoritativeTerm();
    if (!term) return null;
    const { core } = term.commandLoop;
    if (!core.isRecovered) return null;
    const now = steadyNow();
    const views: JobView[] = [];
    for (const { spec, terminalState } of core.jobs.values()) {
      if (spec.team !== team || terminalState !== 'none') continue;
      if (views.length >= MAX_LISTED_JOBS) break;
      const view = viewJob(core, spec.id, now);
      if (!view) return null;
      views.push(view);
    }
    return views;
  }

  async list(team: TeamName): Promise<ListResult> {
    const local = this.listLocally(team);
    if (local) return { kind: 'listed', jobs: local };
    const leader = this.peerMonitor.leaderPeer();
    const jobs = leader && (await requestJobList(leader, team));
    return jobs ? { kind: 'listed', jobs } : { kind: 'unavailable', reason: NO_LEADER_TEXT };
  }
}
