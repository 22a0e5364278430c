/** One controller: leads or follows, and answers users, workers and its peers. */

import { CloudClient } from '../adapters/cloud/cloud-client.js';
import type { Settings } from '../adapters/configuration/settings.js';
import { StateClient } from '../adapters/key-value-store/key-value-store-client.js';
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
import type {
  Authority,
  Instant,
  JobId,
  MachineType,
  NodeId,
  Order,
  Policy,
  Report,
  Revision,
  TeamName,
  Term,
} from '../core/types.js';
import type { Dependencies } from './dependencies.js';
import { Election } from './leader-election.js';
import { BATCH_WRITES, Leadership } from './leader-term.js';
import { readOperatorAnswer } from './operator-answer.js';
import { Gossip } from './peer-monitor.js';
import { readJob, readTypes, TYPES_KEY } from './stored-records.js';
import { Users } from './user-requests.js';

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

export class Controller {
  readonly election: Election;
  readonly users: Users;
  private readonly gossip: Gossip;
  private readonly parts: Dependencies;
  private leading: Leadership | null = null;
  private stopped = false;

  constructor(
    settings: Settings,
    policy: Policy,
    log: Log,
    jitter: Jitter,
    readonly extensions: readonly ExtensionModule[] = [],
  ) {
    const { rps, writeRps, nextRps, nextWriteRps } = settings.stateLimits;
    const nodes = settings.peers.length + 1;
    const share = (reads: number, writes: number) => ({
      rps: rps * reads,
      writeRps: writeRps * writes,
      lowered: { rps: nextRps * reads, writeRps: nextWriteRps * writes },
    });
    const odd = new Once();
    const onOdd = (of: string) => (asked: string) => {
      if (odd.first(`${of} ${asked}`)) log.info({ of, asked }, 'answer of an unknown form');
    };
    const admissions = share(READS_OF_ALL / nodes, ADMISSIONS_OF_ALL / nodes);
    const state = new StateClient(settings.state, admissions, onOdd('state service'));
    const batches = share(BATCH_READS, BATCH_WRITES);
    const batchState = new StateClient(settings.state, batches, onOdd('state service'));
    const orderSockets = Math.max(10, Math.floor(settings.quota.maxConnections * ORDER_SOCKETS));
    this.parts = {
      settings,
      policy,
      log,
      jitter,
      state,
      batchState,
      cloud: new CloudClient(settings.cloud, settings.cloudLimits.rps, onOdd('cloud')),
      workers: new WorkerClient(orderSockets),
      peers: new Map(settings.peers.map((peer) => [peer.node, new Peer(peer.node, peer.at)])),
      extensions,
      types: null,
      spawn: (name, work) => this.spawn(name, work),
    };
    this.election = new Election(
      settings.node,
      state,
      policy.leaderLeaseMs,
      { acquired: (term, at) => this.lead(term, at), lost: () => this.follow() },
      log,
      jitter,
    );
    const leading = () => this.leading;
    this.gossip = new Gossip(this.parts, this.election, leading);
    this.users = new Users(this.parts, this.election, this.gossip, leading);
  }

  start(): void {
    this.spawn('election', () => this.election.run());
    this.spawn('types', () => this.readTypes());
    this.spawn('gossip', () => this.gossip.run());
  }

  stop(): void {
    this.stopped = true;
    this.election.stop();
    this.gossip.stop();
    this.follow();
    this.parts.state.close();
    this.parts.batchState.close();
    this.parts.cloud.close();
    for (const peer of this.parts.peers.values()) peer.close();
  }

  private spawn(name: string, work: () => Promise<void>): void {
    work().catch((error: Error) => {
      // A loop that ends takes its duty with it: better to start afresh than to limp on.
      this.parts.log.error({ err: error, loop: name }, 'loop ended');
      if (!this.stopped) process.exit(1);
    });
  }

  authority(): Authority {
    return this.leading?.authority() ?? 'none';
  }

  private lead(term: Term, acquiredAt: Instant): void {
    this.leading = new Leadership(this.parts, term, acquiredAt, this.election, {
      over: (id, final) => this.users.remember(id, final),
      isIsolated: () => this.gossip.isIsolated(),
    });
    this.leading.start();
  }

  private follow(): void {
    const was = this.leading;
    this.leading = null;
    was?.stop();
  }

  /**
   * Every node needs the machine types to judge submissions: from the state service or the cloud, whichever answers first,
   * so that a node that starts while one of them is away need not wait for it.
   */
  private async readTypes(): Promise<void> {
    const { parts } = this;
    const use = (types: readonly MachineType[]) => {
      parts.types = types;
      this.leading?.owner.submit({ kind: 'types', types });
    };
    while (!this.stopped && !parts.types) {
      const stored = parts.state.get(TYPES_KEY).then((item) => {
        const types = typeof item === 'object' ? readTypes(item.value) : null;
        if (types && !parts.types) use(types);
        return item;
      });
      const fresh = await parts.cloud.types();
      if (fresh) use(fresh);
      // Larger than a value may be, it is left out: the cloud tells it too.
      const small =
        Buffer.byteLength(JSON.stringify(fresh)) <= parts.settings.stateLimits.valueBytes;
      if (fresh && small && (await stored) === 'absent') {
        await parts.state.txn(
          [{ key: TYPES_KEY, revision: 0 as Revision }],
          [{ put: TYPES_KEY, value: fresh }],
        );
      }
      await stored;
      if (!parts.types) await sleep(parts.jitter.around(700));
    }
  }

  /** A node that reaches neither the state service nor a peer can do nothing for users. */
  ready(): boolean {
    return this.parts.types !== null && !this.gossip.isIsolated();
  }

  /** The orders for a worker; or the leader to turn to; or null for "not now". */
  async checkIn(
    report: Report,
  ): Promise<
    | { readonly kind: 'orders'; readonly term: Term; readonly orders: readonly Order[] }
    | { readonly kind: 'elsewhere'; readonly leader: NodeId | null }
    | { readonly kind: 'later' }
  > {
    const leading = this.leading;
    if (!leading) {
      this.gossip.turnsAway(report.machine);
      const leader = this.election.leaderNode;
      return { kind: 'elsewhere', leader: leader === this.parts.settings.node ? null : leader };
    }
    const orders = await leading.checkIn(report);
    if (orders === 'elsewhere') return { kind: 'elsewhere', leader: null };
    return orders ? { kind: 'orders', term: leading.term, orders } : { kind: 'later' };
  }

  /** Answers an operator's call to an extension: here when this node leads, else by the leader; null when neither can. */
  async operate(extension: string, call: OperatorCall): Promise<OperatorAnswer | null> {
    if (this.leading) return this.leading.operate(extension, call);
    const answer = await this.users
      .leaderPeer()
      ?.ask({ ask: 'operate', extension, call }, OPERATE_MS);
    return readOperatorAnswer(answer);
  }

  /** A peer's question on behalf of an operator. It is never passed on a second time. */
  private operateHere({ extension, call }: Question): Promise<OperatorAnswer | null> | null {
    if (!this.leading || extension === undefined || call === undefined) return null;
    return this.leading.operate(extension, call);
  }

  async respond(question: Question): Promise<unknown> {
    const job = question.job as JobId | undefined;
    switch (question.ask) {
      case 'status':
        return job ? this.users.localView(job) : null;
      case 'abort':
        return job && this.leading ? this.users.abortHere(job) : 'later';
      case 'explain':
        return job ? this.users.explainHere(job) : null;
      case 'list':
        return question.team ? this.users.listHere(question.team as TeamName) : null;
      case 'operate':
        return this.operateHere(question);
      case 'health':
        return this.gossip.health();
      case 'look':
        return job ? (this.users.localView(job) ?? this.users.storedView(job)) : null;
      case 'admit': {
        const record = readJob(question.record);
        return record && !this.parts.state.down ? this.users.admit(record, false) : null;
      }
    }
  }
}
