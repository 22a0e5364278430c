/**
 * Polls the peers for what the key-value store cannot provide: the leader as they see it, how many
 * workers reach them, and whether they reach the store.
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
/** Pause of campaigns after resigning in favour of a peer. */
const CAMPAIGN_PAUSE_MS = 20_000;
/** Time without any answer after which a node is isolated; one lost poll is no proof. */
const ISOLATION_DELAY_MS = 1000;
/** How long a redirected worker is counted, in heartbeat intervals. */
const REDIRECT_RETENTION_INTERVALS = 2.5;

/** Polls the peers while this node's leadership or connection to the store is in doubt. */
export class PeerMonitor {
  /** Time of each worker's last heartbeat that this node redirected. */
  private readonly redirectedWorkers = new Map<MachineId, number>();
  /** Peers that reached the store at the last poll; used if this node does not. */
  private peersReachingStore: readonly Peer[] = [];
  /** Since when neither the store nor any peer has answered; null if one has. */
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

  /** Records that this node, not being the leader, redirected a worker. */
  recordRedirect(machine: MachineId): void {
    this.redirectedWorkers.set(machine, steadyNow());
  }

  /** Returns the leader, or null if it is unknown or this node has a term itself. */
  leaderPeer(): Peer | null {
    const node = this.election.leaderNode;
    return node === null || this.currentTerm() ? null : (this.dependencies.peers.get(node) ?? null);
  }

  /** Returns a peer that reaches the store, preferably the leader: its state is the newest. */
  reachablePeer(): Peer | null {
    const leader = this.peersReachingStore.find((peer) => peer.node === this.election.leaderNode);
    return leader ?? this.peersReachingStore[0] ?? null;
  }

  isIsolated(): boolean {
    return this.isolatedSince !== null && steadyNow() - this.isolatedSince > ISOLATION_DELAY_MS;
  }

  /** This node's health, as reported to peers. */
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
      await sleep(this.dependencies.jitter.apply(POLL_INTERVAL_MS));
      await this.poll();
    }
  }

  /**
   * A leader that cannot reach the store learns of its successor from peers, and redirects its
   * workers; a leader that only the workers cannot reach resigns in favour of a peer that they
   * reach. A node without such problems polls no peer.
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
    // The answers do not apply to another term.
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
