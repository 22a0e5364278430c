/** One controller: leads or follows, and serves users, operators, workers and peers. */
import type { Settings } from '../adapters/configuration/settings.js';
import type { Log } from '../adapters/logging/log.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type {
  ExtensionModule,
  OperatorAnswer,
  OperatorCall,
} from '../core/extensions/extension.js';
import type { Authority } from '../core/model/effect.js';
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { FencingToken } from '../core/model/ids.js';
import type { Policy } from '../core/model/policy.js';
import type { Instant } from '../core/model/time.js';
import type { ControllerApi } from '../ports/controller-api.js';
import type { HeartbeatDecision } from '../ports/heartbeat-service.js';
import type { PeerRequest } from '../ports/peer.js';
import { closeDependencies, createDependencies } from './create-dependencies.js';
import type { Dependencies } from './dependencies.js';
import { JobService } from './jobs/job-service.js';
import { LeaderElection } from './leader-election.js';
import { LeaderTerm } from './leader-term.js';
import { MachineTypeDiscovery } from './machine-type-discovery.js';
import { PeerMonitor } from './peers/peer-monitor.js';
import { PeerRequestHandler } from './peers/peer-request-handler.js';
import { requestOperatorCall } from './peers/peer-requests.js';

/** Configuration of one controller, with its log and jitter. */
export interface ControllerOptions {
  readonly settings: Settings;
  readonly policy: Policy;
  readonly log: Log;
  readonly jitter: Jitter;
  /** Enabled extensions; none by default. */
  readonly extensions?: readonly ExtensionModule[];
}

/** Wires the components of a controller, and owns the leader term while this node leads. */
export class Controller implements ControllerApi {
  readonly election: LeaderElection;
  readonly users: JobService;
  readonly extensions: readonly ExtensionModule[];
  private readonly dependencies: Dependencies;
  private readonly peerMonitor: PeerMonitor;
  private readonly peerRequests: PeerRequestHandler;
  private readonly machineTypeDiscovery: MachineTypeDiscovery;
  private leaderTerm: LeaderTerm | null = null;
  private isStopped = false;

  constructor(options: ControllerOptions) {
    const { settings, policy, log, jitter } = options;
    this.extensions = options.extensions ?? [];
    const dependencies = createDependencies({
      settings,
      policy,
      log,
      jitter,
      extensions: this.extensions,
      runInBackground: (name, work) => this.runInBackground(name, work),
    });
    this.dependencies = dependencies;
    this.election = new LeaderElection({
      node: settings.node,
      store: dependencies.electionStore,
      leaseMs: policy.leaderLeaseMs,
      events: {
        onElected: (fencingToken, at) => this.startLeading(fencingToken, at),
        onDeposed: () => this.stopLeading(),
      },
      log,
      jitter,
    });
    const currentTerm = () => this.leaderTerm;
    this.peerMonitor = new PeerMonitor(dependencies, this.election, currentTerm);
    this.users = new JobService(
      dependencies,
      this.peerMonitor,
      currentTerm,
      this.election.incarnation,
    );
    this.peerRequests = new PeerRequestHandler(
      dependencies,
      this.users,
      this.peerMonitor,
      currentTerm,
    );
    this.machineTypeDiscovery = new MachineTypeDiscovery(dependencies, (types) =>
      this.leaderTerm?.commandLoop.submit({ kind: 'machine-types', types }),
    );
  }

  start(): void {
    this.runInBackground('election', () => this.election.run());
    this.runInBackground('machine-type-discovery', () => this.machineTypeDiscovery.run());
    this.runInBackground('peer-monitor', () => this.peerMonitor.run());
  }

  stop(): void {
    this.isStopped = true;
    this.election.stop();
    this.machineTypeDiscovery.stop();
    this.peerMonitor.stop();
    this.stopLeading();
    closeDependencies(this.dependencies);
  }

  private runInBackground(name: string, work: () => Promise<void>): void {
    work().catch((error: Error) => {
      // A restart is better than a controller that works only in part.
      this.dependencies.log.error({ err: error, task: name }, 'background task failed');
      if (!this.isStopped) process.exit(1);
    });
  }

  /** What this node may do now; `none` unless it leads. */
  authority(): Authority {
    return this.leaderTerm?.authority() ?? 'none';
  }

  private startLeading(fencingToken: FencingToken, acquiredAt: Instant): void {
    this.leaderTerm = new LeaderTerm({
      dependencies: this.dependencies,
      fencingToken,
      acquiredAt,
      election: this.election,
      onJobEnded: (id, completion) => this.users.completions.add(id, completion),
      isIsolated: () => this.peerMonitor.isIsolated(),
    });
    this.leaderTerm.start();
  }

  private stopLeading(): void {
    const endedTerm = this.leaderTerm;
    this.leaderTerm = null;
    endedTerm?.stop();
  }

  /** False without machine types, or while neither store nor peers answer: it serves nobody. */
  isReady(): boolean {
    return this.dependencies.machineTypes !== null && !this.peerMonitor.isIsolated();
  }

  async handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision> {
    this.users.workerInspector.recordHint(heartbeat);
    if (this.leaderTerm) return this.leaderTerm.handleHeartbeat(heartbeat);
    this.peerMonitor.recordRedirect(heartbeat.machine);
    const leader = this.election.leaderNode;
    // A redirect to this node would send the worker back here.
    return { kind: 'redirect', leader: leader === this.dependencies.settings.node ? null : leader };
  }

  /** Answers the call if this node leads, else asks the leader; null if neither answers. */
  async handleOperatorCall(extension: string, call: OperatorCall): Promise<OperatorAnswer | null> {
    if (this.leaderTerm) return this.leaderTerm.handleOperatorCall(extension, call);
    const leader = this.peerMonitor.leaderPeer();
    return leader && requestOperatorCall(leader, extension, call);
  }

  /** Answers a peer's request, in the wire form of the answer. */
  handlePeerRequest(request: PeerRequest): Promise<unknown> {
    return this.peerRequests.handle(request);
  }
}
