/** Users' requests to one controller: submission, queries and cancellation of jobs. */
import type { JobId, TeamName } from '../../core/model/ids.js';
import type {
  ExplainResult,
  ListResult,
  LookupResult,
  SubmissionRequest,
  SubmissionResult,
  UserApi,
} from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import { PlacedJobs } from '../job-progress/placed-jobs.js';
import { ProgressReader } from '../job-progress/progress-reader.js';
import { WorkerInspector } from '../job-progress/worker-inspector.js';
import type { LeaderTerm } from '../leader-term.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import { CancellationService } from './cancellation-service.js';
import { CompletionCache } from './completion-cache.js';
import { JobQueryService } from './job-query-service.js';
import { SubmissionService } from './submission-service.js';
import { UnfinishedJobResolver } from './unfinished-job-resolver.js';

/** Implements the user port with three services; peers' requests call these directly. */
export class JobService implements UserApi {
  readonly completions = new CompletionCache();
  readonly workerInspector: WorkerInspector;
  readonly unfinishedJobs: UnfinishedJobResolver;
  readonly queries: JobQueryService;
  readonly submissions: SubmissionService;
  readonly cancellations: CancellationService;

  constructor(
    dependencies: Dependencies,
    peerMonitor: PeerMonitor,
    currentTerm: () => LeaderTerm | null,
    /** Identifies this process among those of its node. */
    incarnation: string,
  ) {
    const { completions } = this;
    this.workerInspector = new WorkerInspector(dependencies);
    this.unfinishedJobs = new UnfinishedJobResolver(
      dependencies,
      peerMonitor,
      currentTerm,
      new ProgressReader(dependencies, incarnation),
      new PlacedJobs(dependencies),
      this.workerInspector,
    );
    this.queries = new JobQueryService(
      dependencies,
      completions,
      peerMonitor,
      currentTerm,
      this.unfinishedJobs,
    );
    this.submissions = new SubmissionService(dependencies, this.queries, peerMonitor, currentTerm);
    this.cancellations = new CancellationService(
      dependencies,
      completions,
      this.queries,
      peerMonitor,
      currentTerm,
    );
  }

  submit(id: JobId, request: SubmissionRequest): Promise<SubmissionResult> {
    return this.submissions.submit(id, request);
  }

  lookUp(id: JobId): Promise<LookupResult> {
    return this.queries.lookUp(id);
  }

  explain(id: JobId): Promise<ExplainResult> {
    return this.queries.explain(id);
  }

  list(team: TeamName): Promise<ListResult> {
    return this.queries.list(team);
  }

  cancel(id: JobId): Promise<LookupResult> {
    return this.cancellations.cancel(id);
  }
}
