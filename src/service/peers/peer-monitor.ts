/**
 * What the key-value store does not tell a node: controllers ask one another who leads, whom the
 * workers turn to, and who reaches the store.
 */

import { sleep, steadyNow } from '../../adapters/runtime/clock.js';
import type { MachineId } from '../../core/model/ids.js';
import type { Instant } from '../../core/model/time.js';
import type { Peer } from '../../ports/peer.js';
import type { Dependencies } from '../dependencies.js';
import type { LeaderElection } from '../leader-election.js';
import type { LeaderTerm } from '../leader-term.js';
import type { HeartbeatCoverage } from '../worker-heartbeats.js';
import type { PeerHealth } from './peer-messages.js';
import { requestHealth } from './peer-requests.js';

const POLL_INTERVAL_MS = 800;
/** After stepping aside for a peer, how long before campaigning again. */
const CAMPAIGN_PAUSE_MS = 20_000;
/** How long nobody must answer before a node counts as isolated: one lost poll is no proof. */
const ISOLATION_DELAY_MS = 1000;
/** A redirected worker counts for this many of its heartbeat intervals. */
const REDIRECT_RETENTION_INTERVALS = 2.5;

/** Watches the peers while this node leads or is cut off from the key-value store. */
export class PeerMonitor {
  /** Workers that have turned to this node while it did not lead, and when. */
  private readonly redirectedWorkers = new Map<MachineId, number>();
  /** Peers that the store answered at the last poll; for when it does not answer this node. */
  private peersReachingStore: readonly Peer[] = [];
  /** Since when neither the store nor any peer answers. */
  private isolatedSince: Instant | null = null;
  private isStopped = false;

  constructor(
    private readonly dependencies: Dependencies,
    private readonly election: LeaderElection,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {}

  stop(): void {
    this.isStopped = true;
  }

  /** A worker came here while another node leads. */
  recordRedirect(machine: MachineId): void {
    this.redirectedWorkers.set(machine, steadyNow());
  }

  /** The leader, or null when it is unknown or this node has a term of its own. */
  leaderPeer(): Peer | null {
    const node = this.election.leaderNode;
    return node === null || this.currentTerm() ? null : (this.dependencies.peers.get(node) ?? null);
  }

  /** The leader if it reaches the store, since it knows best; else any peer that does. */
  reachablePeer(): Peer | null {
    const leader = this.peersReachingStore.find((peer) => peer.node === this.election.leaderNode);
    return leader ?? this.peersReachingStore[0] ?? null;
  }

  isIsolated(): boolean {
    return this.isolatedSince !== null && steadyNow() - this.isolatedSince > ISOLATION_DELAY_MS;
  }

  /** What this node tells its peers. */
  health(): PeerHealth {
    const now = steadyNow();
    const retentionMs =
      this.dependencies.settings.workers.heartbeatIntervalS * 1000 * REDIRECT_RETENTION_INTERVALS;
    for (const [machine, redirectedAt] of this.redirectedWorkers)
      if (now - redirectedAt > retentionMs) this.redirectedWorkers.delete(machine);
    return {
      leader: this.election.leaderNode,
      fencingToken: this.election.highestKnownToken,
      redirectedWorkers: this.redirectedWorkers.size,
      reachesStore: !this.dependencies.store.isDown,
    };
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      await sleep(this.dependencies.jitter.around(POLL_INTERVAL_MS));
      await this.poll();
    }
  }

  /**
   * A leader cut off from the store learns here that another leads, so that workers do not stay
   * with it; one cut off from the workers alone steps aside for a peer that hears them. A node with
   * no such doubt asks nobody.
   */
  private async poll(): Promise<void> {
    const { store } = this.dependencies;
    const term = this.currentTerm();
    const isLeading = term?.authority() === 'lead';
    if (!store.isDown) this.isolatedSince = null;
    if (!term && !store.isDown) return;
    const coverage = isLeading ? term.lowHeartbeatCoverage() : null;
    if (isLeading && !coverage && !store.isDown) return;
    const peers = [...this.dependencies.peers.values()];
    const healths = await Promise.all(peers.map(requestHealth));
    this.peersReachingStore = peers.filter((_, i) => healths[i]?.reachesStore);
    this.updateIsolation(healths);
    // What was asked for was asked on behalf of another term.
    if (this.currentTerm() !== term) return;
    if (!isLeading) this.learnLeader(healths);
    if (coverage) this.resignForPeer(coverage, healths);
  }

  private updateIsolation(healths: readonly (PeerHealth | null)[]): void {
    const noPeerAnswers = healths.length > 0 && healths.every((health) => health === null);
    if (this.dependencies.store.isDown && noPeerAnswers) this.isolatedSince ??= steadyNow();
    else this.isolatedSince = null;
  }

  private learnLeader(healths: readonly (PeerHealth | null)[]): void {
    for (const health of healths) {
      if (health && health.leader !== null)
        this.election.learnLeaderFromPeer(health.leader, health.fencingToken);
    }
  }

  private resignForPeer(
    coverage: HeartbeatCoverage,
    healths: readonly (PeerHealth | null)[],
  ): void {
    let workersAtPeer = 0;
    for (const health of healths)
      if (health) workersAtPeer = Math.max(workersAtPeer, health.redirectedWorkers);
    if (workersAtPeer <= coverage.recent) return;
    this.dependencies.log.info(
      { ...coverage, peerHears: workersAtPeer },
      'workers reach a peer but not this leader: resigning',
    );
    this.election.resign(CAMPAIGN_PAUSE_MS);
  }
}
