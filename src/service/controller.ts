/** One controller: leads or follows, and answers users, workers and its peers. */

import { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import { KeyValueStoreClient } from '../adapters/key-value-store/key-value-store-client.js';
import { type Log, Once } from '../adapters/logging/log.js';
import { Peer, type Question } from '../adapters/peers/peer-link.js';
import { sleep } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import { WorkerClient } from '../adapters/workers/worker-client.js';
import type {
  ExtensionModule,
  OperatorAnswer,
  OperatorCall,
} from '../core/extensions/extension.js';
import type { Authority } from '../core/model/effect.js';
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { FencingToken, JobId, Revision, TeamName } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machine.js';
import type { Policy } from '../core/model/policy.js';
import type { Instant } from '../core/model/time.js';
import type { Dependencies } from './dependencies.js';
import { LeaderElection } from './leader-election.js';
import { LeaderTerm } from './leader-term.js';
import { readOperatorAnswer } from './operator-answer.js';
import { PeerMonitor } from './peer-monitor.js';
import type { HeartbeatDecision, HeartbeatService } from './ports/heartbeat-service.js';
import { decodeJob, decodeMachineTypes, MACHINE_TYPES_KEY } from './stored-records.js';
import { UserRequests } from './user-requests.js';
import { MIN_BATCH_WRITE_SHARE } from './write-share.js';

/**
 * How the state service's limits are shared. Admissions may go beyond what the leader's batches leave: users come
 * first, and a batch that is refused for the rate is sent again a moment later.
 */
const BATCH_READS = 0.3;
const READS_OF_ALL = 0.7;
const ADMISSIONS_OF_ALL = 1.25;
/** An operator's call waits for what it asks for to be stored. */
const OPERATE_MS = 4000;
/** Of all sockets, how many direct orders may use at a time. */
const ORDER_SOCKETS = 0.08;

export class Controller implements HeartbeatService {
  readonly election: LeaderElection;
  readonly users: UserRequests;
  private readonly peerMonitor: PeerMonitor;
  private readonly dependencies: Dependencies;
  private leaderTerm: LeaderTerm | null = null;
  private stopped = false;

  constructor(
    settings: Settings,
    policy: Policy,
    log: Log,
    jitter: Jitter,
    readonly extensions: readonly ExtensionModule[] = [],
  ) {
    const { rps, writeRps, nextRps, nextWriteRps } = settings.keyValueStoreLimits;
    const nodes = settings.peers.length + 1;
    const share = (reads: number, writes: number) => ({
      rps: rps * reads,
      writeRps: writeRps * writes,
      lowered: { rps: nextRps * reads, writeRps: nextWriteRps * writes },
    });
    const odd = new Once();
    const onOdd = (of: string) => (asked: string) => {
      if (odd.isFirst(`${of} ${asked}`)) log.info({ of, asked }, 'answer of an unknown form');
    };
    const admissions = share(READS_OF_ALL / nodes, ADMISSIONS_OF_ALL / nodes);
    const state = new KeyValueStoreClient(
      settings.keyValueStore,
      admissions,
      onOdd('state service'),
    );
    const batches = share(BATCH_READS, MIN_BATCH_WRITE_SHARE);
    const batchState = new KeyValueStoreClient(
      settings.keyValueStore,
      batches,
      onOdd('state service'),
    );
    const orderSockets = Math.max(10, Math.floor(settings.quota.maxConnections * ORDER_SOCKETS));
    this.dependencies = {
      settings,
      policy,
      log,
      jitter,
      store: state,
      batchStore: batchState,
      cloud: new CloudClient(settings.cloud, settings.cloudLimits.rps, onOdd('cloud')),
      workers: new WorkerClient(orderSockets),
      peers: new Map(settings.peers.map((peer) => [peer.node, new Peer(peer.node, peer.at)])),
      extensions,
      machineTypes: null,
      spawn: (name, work) => this.spawn(name, work),
    };
    this.election = new LeaderElection({
      node: settings.node,
      store: state,
      leaseMs: policy.leaderLeaseMs,
      events: {
        onElected: (fencingToken, at) => this.startLeading(fencingToken, at),
        onDeposed: () => this.stopLeading(),
      },
      log,
      jitter,
    });
    const leading = () => this.leaderTerm;
    this.peerMonitor = new PeerMonitor(this.dependencies, this.election, leading);
    this.users = new UserRequests(this.dependencies, this.election, this.peerMonitor, leading);
  }

  start(): void {
    this.spawn('election', () => this.election.run());
    this.spawn('types', () => this.readTypes());
    this.spawn('gossip', () => this.peerMonitor.run());
  }

  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.peerMonitor.stop();
    this.stopLeading();
    this.dependencies.store.close();
    this.dependencies.batchStore.close();
    this.dependencies.cloud.close();
    for (const peer of this.dependencies.peers.values()) peer.close();
  }

  private spawn(name: string, work: () => Promise<void>): void {
    work().catch((error: Error) => {
      // A loop that ends takes its duty with it: better to start afresh than to limp on.
      this.dependencies.log.error({ err: error, loop: name }, 'loop ended');
      if (!this.stopped) process.exit(1);
    });
  }

  authority(): Authority {
    return this.leaderTerm?.authority() ?? 'none';
  }

  private startLeading(fencingToken: FencingToken, acquiredAt: Instant): void {
    this.leaderTerm = new LeaderTerm({
      dependencies: this.dependencies,
      fencingToken,
      acquiredAt,
      election: this.election,
      onJobEnded: (id, final) => this.users.rememberCompletion(id, final),
      isIsolated: () => this.peerMonitor.isIsolated(),
    });
    this.leaderTerm.start();
  }

  private stopLeading(): void {
    const was = this.leaderTerm;
    this.leaderTerm = null;
    was?.stop();
  }

  /**
   * Every node needs the machine types to judge submissions: from the state service or the cloud, whichever answers first,
   * so that a node that starts while one of them is away need not wait for it.
   */
  private async readTypes(): Promise<void> {
    const { dependencies } = this;
    const use = (types: readonly MachineType[]) => {
      dependencies.machineTypes = types;
      this.leaderTerm?.commandLoop.submit({ kind: 'machine-types', types });
    };
    while (!this.stopped && !dependencies.machineTypes) {
      const stored = dependencies.store.get(MACHINE_TYPES_KEY).then((item) => {
        const types = typeof item === 'object' ? decodeMachineTypes(item.value) : null;
        if (types && !dependencies.machineTypes) use(types);
        return item;
      });
      const fresh = await dependencies.cloud.listMachineTypes();
      if (fresh) use(fresh);
      // Larger than a value may be, it is left out: the cloud tells it too.
      const small =
        Buffer.byteLength(JSON.stringify(fresh)) <=
        dependencies.settings.keyValueStoreLimits.maxValueBytes;
      if (fresh && small && (await stored) === 'absent') {
        await dependencies.store.compareAndSwap(
          [{ key: MACHINE_TYPES_KEY, revision: 0 as Revision }],
          [{ put: MACHINE_TYPES_KEY, value: fresh }],
        );
      }
      await stored;
      if (!dependencies.machineTypes) await sleep(dependencies.jitter.around(700));
    }
  }

  /** A node that reaches neither the state service nor a peer can do nothing for users. */
  isReady(): boolean {
    return this.dependencies.machineTypes !== null && !this.peerMonitor.isIsolated();
  }

  async handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision> {
    if (this.leaderTerm) return this.leaderTerm.handleHeartbeat(heartbeat);
    this.peerMonitor.recordRedirect(heartbeat.machine);
    const leader = this.election.leaderNode;
    // Its own name would send the worker back here.
    return { kind: 'redirect', leader: leader === this.dependencies.settings.node ? null : leader };
  }

  /** Answers an operator's call to an extension: here when this node leads, else by the leader; null when neither can. */
  async handleOperatorCall(extension: string, call: OperatorCall): Promise<OperatorAnswer | null> {
    if (this.leaderTerm) return this.leaderTerm.handleOperatorCall(extension, call);
    const answer = await this.users
      .leaderPeer()
      ?.ask({ ask: 'operate', extension, call }, OPERATE_MS);
    return readOperatorAnswer(answer);
  }

  /** A peer's question on behalf of an operator. It is never passed on a second time. */
  private handleOperatorCallLocally({
    extension,
    call,
  }: Question): Promise<OperatorAnswer | null> | null {
    if (!this.leaderTerm || extension === undefined || call === undefined) return null;
    return this.leaderTerm.handleOperatorCall(extension, call);
  }

  async respond(question: Question): Promise<unknown> {
    const job = question.job as JobId | undefined;
    switch (question.ask) {
      case 'status':
        return job ? this.users.localView(job) : null;
      case 'abort':
        return job && this.leaderTerm ? this.users.cancelLocally(job) : 'later';
      case 'explain':
        return job ? this.users.explainLocally(job) : null;
      case 'list':
        return question.team ? this.users.listLocally(question.team as TeamName) : null;
      case 'operate':
        return this.handleOperatorCallLocally(question);
      case 'health':
        return this.peerMonitor.health();
      case 'look':
        return job ? (this.users.localView(job) ?? this.users.storedView(job)) : null;
      case 'admit': {
        const record = decodeJob(question.record);
        return record && !this.dependencies.store.isDown ? this.users.admit(record, false) : null;
      }
    }
  }
}
