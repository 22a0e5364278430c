/**
 * What the state service does not tell a node: controllers ask one another who leads, whom the workers turn to, and who
 * reaches the state service.
 */
import * as v from 'valibot';
import type { Peer } from '../adapters/peers/peer-link.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { FencingToken, MachineId, NodeId } from '../core/model/ids.js';
import type { Instant } from '../core/model/time.js';
import type { Dependencies } from './dependencies.js';
import type { LeaderElection } from './leader-election.js';
import type { LeaderTerm } from './leader-term.js';

const GOSSIP_MS = 800;
/** After stepping aside for a peer, how long before campaigning again. */
const ASIDE_MS = 20_000;
const ALONE_MS = 1000;
const PEER_MS = 700;

const healthSchema = v.object({
  leader: v.nullable(v.string()),
  term: v.pipe(v.number(), v.integer()),
  workers: v.pipe(v.number(), v.integer()),
  state: v.optional(v.boolean(), false),
});

interface Health {
  readonly leader: NodeId | null;
  readonly term: FencingToken;
  readonly workers: number;
  /** The state service answers it. */
  readonly state: boolean;
}

const readHealth = (answer: unknown): Health | null => {
  const r = v.safeParse(healthSchema, answer);
  return r.success ? (r.output as Health) : null;
};

export class PeerMonitor {
  /** Workers that have turned to this node while it did not lead, and when. */
  private readonly redirectedWorkers = new Map<MachineId, number>();
  /** Peers that the state service answered when they were last heard of, while it does not answer this node. */
  private peersReachingStore: readonly Peer[] = [];
  /** Since when neither the state service nor any peer answers. */
  private isolatedSince: Instant | null = null;
  private stopped = false;

  constructor(
    private readonly dependencies: Dependencies,
    private readonly election: LeaderElection,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** A worker came here while another node leads. */
  recordRedirect(machine: MachineId): void {
    this.redirectedWorkers.set(machine, steadyNow());
  }

  /** The leader if it can help, since it knows best; else any peer that can. */
  reachablePeer(): Peer | null {
    const leader = this.peersReachingStore.find((peer) => peer.node === this.election.leaderNode);
    return leader ?? this.peersReachingStore[0] ?? null;
  }

  isIsolated(): boolean {
    return this.isolatedSince !== null && steadyNow() - this.isolatedSince > ALONE_MS;
  }

  /**
   * What the state service does not tell a node. A leader cut off from it learns here that another leads, so that
   * workers do not stay with it; one cut off from the workers alone steps aside for a peer that hears them.
   */
  async run(): Promise<void> {
    while (!this.stopped) {
      await sleep(this.dependencies.jitter.around(GOSSIP_MS));
      const leading = this.currentTerm();
      const leads = leading?.authority() === 'lead';
      if (!this.dependencies.store.isDown) this.isolatedSince = null;
      if (!leading && !this.dependencies.store.isDown) continue;
      const heard = leads ? leading.heartbeatCoverage() : null;
      if (leads && !heard && !this.dependencies.store.isDown) continue;
      const peers = [...this.dependencies.peers.values()];
      const answers = await Promise.all(peers.map((peer) => peer.ask({ ask: 'health' }, PEER_MS)));
      const told = answers.map(readHealth);
      this.peersReachingStore = peers.filter((_, i) => told[i]?.state);
      const alone = told.length > 0 && told.every((health) => health === null);
      if (this.dependencies.store.isDown && alone) this.isolatedSince ??= steadyNow();
      else this.isolatedSince = null;
      if (this.currentTerm() !== leading) continue;
      let most = 0;
      for (const health of told) {
        if (!health) continue;
        most = Math.max(most, health.workers);
        if (!leads && health.leader !== null)
          this.election.learnLeaderFromPeer(health.leader, health.term);
      }
      if (heard && most > heard.recent) {
        this.dependencies.log.info(
          { ...heard, peerHears: most },
          'workers reach a peer but not this leader: stepping aside',
        );
        this.election.resign(ASIDE_MS);
      }
    }
  }

  health(): Health {
    const now = steadyNow();
    const span = this.dependencies.settings.workers.heartbeatIntervalS * 2500;
    for (const [id, at] of this.redirectedWorkers)
      if (now - at > span) this.redirectedWorkers.delete(id);
    return {
      leader: this.election.leaderNode,
      term: this.election.highestKnownToken,
      workers: this.redirectedWorkers.size,
      state: !this.dependencies.store.isDown,
    };
  }
}
