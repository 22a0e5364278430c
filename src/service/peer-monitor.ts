/**
 * What the state service does not tell a node: controllers ask one another who leads, whom the workers turn to, and who
 * reaches the state service.
 */
import * as v from 'valibot';
import type { Peer } from '../adapters/peers/peer-link.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { Instant, MachineId, NodeId, Term } from '../core/types.js';
import type { Dependencies } from './dependencies.js';
import type { Election } from './leader-election.js';
import type { Leadership } from './leader-term.js';

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
  readonly term: Term;
  readonly workers: number;
  /** The state service answers it. */
  readonly state: boolean;
}

const readHealth = (answer: unknown): Health | null => {
  const r = v.safeParse(healthSchema, answer);
  return r.success ? (r.output as Health) : null;
};

export class Gossip {
  /** Workers that have turned to this node while it did not lead, and when. */
  private readonly turnedAway = new Map<MachineId, number>();
  /** Peers that the state service answered when they were last heard of, while it does not answer this node. */
  private helpers: readonly Peer[] = [];
  /** Since when neither the state service nor any peer answers. */
  private aloneSince: Instant | null = null;
  private stopped = false;

  constructor(
    private readonly parts: Dependencies,
    private readonly election: Election,
    private readonly leading: () => Leadership | null,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** A worker came here while another node leads. */
  turnsAway(machine: MachineId): void {
    this.turnedAway.set(machine, steadyNow());
  }

  /** The leader if it can help, since it knows best; else any peer that can. */
  helper(): Peer | null {
    const leader = this.helpers.find((peer) => peer.node === this.election.leaderNode);
    return leader ?? this.helpers[0] ?? null;
  }

  isIsolated(): boolean {
    return this.aloneSince !== null && steadyNow() - this.aloneSince > ALONE_MS;
  }

  /**
   * What the state service does not tell a node. A leader cut off from it learns here that another leads, so that
   * workers do not stay with it; one cut off from the workers alone steps aside for a peer that hears them.
   */
  async run(): Promise<void> {
    while (!this.stopped) {
      await sleep(this.parts.jitter.around(GOSSIP_MS));
      const leading = this.leading();
      const leads = leading?.authority() === 'lead';
      if (!this.parts.state.down) this.aloneSince = null;
      if (!leading && !this.parts.state.down) continue;
      const heard = leads ? leading.hearing() : null;
      if (leads && !heard && !this.parts.state.down) continue;
      const peers = [...this.parts.peers.values()];
      const answers = await Promise.all(peers.map((peer) => peer.ask({ ask: 'health' }, PEER_MS)));
      const told = answers.map(readHealth);
      this.helpers = peers.filter((_, i) => told[i]?.state);
      const alone = told.length > 0 && told.every((health) => health === null);
      if (this.parts.state.down && alone) this.aloneSince ??= steadyNow();
      else this.aloneSince = null;
      if (this.leading() !== leading) continue;
      let most = 0;
      for (const health of told) {
        if (!health) continue;
        most = Math.max(most, health.workers);
        if (!leads && health.leader !== null) this.election.hear(health.leader, health.term);
      }
      if (heard && most > heard.recent) {
        this.parts.log.info(
          { ...heard, peerHears: most },
          'workers reach a peer but not this leader: stepping aside',
        );
        this.election.resign(ASIDE_MS);
      }
    }
  }

  health(): Health {
    const now = steadyNow();
    const span = this.parts.settings.workers.reportS * 2500;
    for (const [id, at] of this.turnedAway) if (now - at > span) this.turnedAway.delete(id);
    return {
      leader: this.election.leaderNode,
      term: this.election.knownTerm,
      workers: this.turnedAway.size,
      state: !this.parts.state.down,
    };
  }
}
