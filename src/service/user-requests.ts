/** What users ask of a controller: submissions, questions and cancellations; and what it may say by itself. */
import * as v from 'valibot';
import type { Guard, Write } from '../adapters/key-value-store/key-value-store-client.js';
import type { Peer } from '../adapters/peers/peer-link.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { JobView } from '../adapters/wire.js';
import { explainJob, viewJob } from '../core/lifecycle/job-view.js';
import {
  isService,
  type JobId,
  type JobSpec,
  type Revision,
  type TeamName,
  type ZoneName,
} from '../core/types.js';
import type { Dependencies } from './dependencies.js';
import type { Election } from './leader-election.js';
import type { Leadership } from './leader-term.js';
import type { Gossip } from './peer-monitor.js';
import {
  type FinalRecord,
  finalKey,
  type JobRecord,
  jobKey,
  readFinal,
  readJob,
  writeJob,
} from './stored-records.js';

/** Final states kept in memory; older ones are read from the state service again. */
const MAX_FINALS = 20_000;
const PEER_MS = 700;
const ABORT_MS = 3000;
/** Tries at an admission that the state service turns away for its rate, within what a user waits for. */
const ADMIT_TRIES = 3;
const ADMIT_WAIT_MS = 500;
const ADMIT_MS = 1500;

export type Submitted =
  | { readonly kind: 'accepted' | 'known'; readonly view: JobView }
  | { readonly kind: 'malformed' | 'impossible'; readonly reason: string }
  | { readonly kind: 'later'; readonly reason: string };

export type Lookup = JobView | 'absent' | 'later';

const viewSchema = v.object({
  id: v.string(),
  team: v.string(),
  status: v.picklist(['queued', 'running', 'done', 'cancelled']),
  done: v.number(),
  running: v.number(),
  // A controller of the version before this one does not say these.
  shape: v.optional(v.picklist(['array', 'service'])),
  tasks: v.optional(v.number()),
  waiting: v.optional(v.string()),
});

/** A peer's word on a job; anything odd counts as no answer. */
const readView = (answer: unknown): JobView | null => {
  const r = v.safeParse(viewSchema, answer);
  return r.success ? (r.output as JobView) : null;
};

const admittedSchema = v.object({ kind: v.picklist(['accepted', 'known']), view: viewSchema });

const finalView = (id: JobId, f: FinalRecord): JobView => ({
  id,
  team: f.team,
  status: f.outcome,
  done: f.outcome === 'done' ? f.tasks : 0,
  running: 0,
});

const waitingView = ({ id, team, shape, tasks }: JobSpec): JobView => ({
  id,
  team,
  shape,
  tasks,
  status: 'queued',
  done: 0,
  running: 0,
});

const TOO_LARGE = {
  kind: 'impossible',
  reason: 'the description is larger than what the state service takes',
} as const;

export class Users {
  private readonly finals = new Map<JobId, FinalRecord>();
  private turn = 0;

  constructor(
    private readonly parts: Dependencies,
    private readonly election: Election,
    private readonly gossip: Gossip,
    private readonly leading: () => Leadership | null,
  ) {}

  remember(id: JobId, { outcome, tasks, team }: FinalRecord): void {
    this.finals.set(id, { outcome, tasks, team });
    if (this.finals.size > MAX_FINALS) {
      const oldest = this.finals.keys().next().value;
      if (oldest !== undefined) this.finals.delete(oldest);
    }
  }

  // ---- submissions -------------------------------------------------------------------------------

  private fault(spec: JobSpec): { kind: 'impossible'; reason: string } | null {
    const team = this.parts.settings.teams.get(spec.team);
    const no = (reason: string) => ({ kind: 'impossible' as const, reason });
    if (!team) return no(`unknown team ${spec.team}`);
    if (spec.cpus > team.cpusMax || spec.gpus > team.gpusMax)
      return no("a task exceeds the team's limit");
    const replicas = isService({ spec }) ? spec.tasks : 1;
    if (spec.cpus * replicas > team.cpusMax || spec.gpus * replicas > team.gpusMax)
      return no("all replicas together exceed the team's limit");
    const zones = new Set<ZoneName>();
    for (const t of this.parts.types ?? []) {
      const allowed = !spec.types || spec.types.includes(t.name);
      const fits = spec.cpus <= t.cpus && spec.gpus <= t.gpus && spec.memoryGb <= t.memoryGb;
      if (!allowed || !fits) continue;
      for (const zone of t.zones) if (spec.zone === null || spec.zone === zone) zones.add(zone);
    }
    if (zones.size === 0) return no('no allowed machine type fits a task');
    // An array's tasks can go one after the other; replicas run side by side, for good.
    const spread = replicas > 1 && spec.scatter;
    if (spread && (spec.oneZone || zones.size < 2))
      return no('its replicas must be spread over zones, and only one is allowed');
    return null;
  }

  /** `parsed` is the job, or what is wrong with the body; an accepted id is answered as known either way. */
  async submit(id: JobId, parsed: JobSpec | { readonly fault: string }): Promise<Submitted> {
    const known = this.localView(id);
    if (known) return { kind: 'known', view: known };
    if ('fault' in parsed) return this.refuse(id, { kind: 'malformed', reason: parsed.fault });
    if (!this.parts.types) return { kind: 'later', reason: 'machine types not known yet' };
    const fault = this.fault(parsed);
    if (fault) return this.refuse(id, fault);
    const record: JobRecord = { at: Date.now(), spec: parsed };
    if (
      Buffer.byteLength(JSON.stringify(writeJob(record))) >
      this.parts.settings.stateLimits.valueBytes
    ) {
      return this.refuse(id, TOO_LARGE);
    }
    return this.parts.state.down
      ? this.admitElsewhere(record, this.gossip.helper())
      : this.admit(record, true);
  }

  async admit(record: JobRecord, mayAsk: boolean): Promise<Submitted> {
    const { id } = record.spec;
    const key = jobKey(id);
    const none = 0 as Revision;
    const guards: Guard[] = [
      { key, revision: none },
      { key: finalKey(id), revision: none },
    ];
    const writes: Write[] = [{ put: key, value: writeJob(record) }];
    const write = () => this.parts.state.txn(guards, writes, ADMIT_WAIT_MS, ADMIT_MS);
    let result = await write();
    for (let i = 1; i < ADMIT_TRIES && result === 'refused' && !this.parts.state.down; i += 1) {
      // The load balancer does not spread users evenly: a peer may have some of its share of the rate left.
      if (mayAsk && i === 1) {
        const peers = [...this.parts.peers.values()];
        const peer = peers[this.turn++ % Math.max(1, peers.length)] ?? null;
        const elsewhere = await this.admitElsewhere(record, peer);
        if (elsewhere.kind !== 'later') return elsewhere;
      } else await sleep(this.parts.jitter.around(150));
      result = await write();
    }
    if (typeof result === 'object') {
      this.leading()?.admitted(record, result.revision);
      return { kind: 'accepted', view: waitingView(record.spec) };
    }
    // The limits have fallen below what any setting said.
    if (result === 'too-large') return this.refuse(id, TOO_LARGE);
    if (result === 'conflict' || (result === 'unknown' && !this.parts.state.down)) {
      const view = await this.storedView(id);
      if (typeof view === 'object') return { kind: 'known', view };
    }
    return { kind: 'later', reason: 'state service away' };
  }

  /** Cut off from the state service alone, a node has a peer write the job; it says 201 only on that peer's word. */
  private async admitElsewhere(record: JobRecord, helper: Peer | null): Promise<Submitted> {
    const answer = await helper?.ask({ ask: 'admit', record: writeJob(record) }, ADMIT_MS);
    const r = v.safeParse(admittedSchema, answer);
    if (r.success && r.output.view.id === record.spec.id) return r.output as Submitted;
    return { kind: 'later', reason: 'state service away' };
  }

  /** A bad repeat of an accepted job is still answered with the job. */
  private async refuse(
    id: JobId,
    answer: { kind: 'malformed' | 'impossible'; reason: string },
  ): Promise<Submitted> {
    const view = await this.lookUp(id);
    if (view === 'later') return { kind: 'later', reason: 'state service away' };
    return view === 'absent' ? answer : { kind: 'known', view };
  }

  // ---- questions ---------------------------------------------------------------------------------

  /** What this node may say by itself: final states, and as leader with a valid lease all it knows. */
  localView(id: JobId): JobView | null {
    const final = this.finals.get(id);
    if (final) return finalView(id, final);
    const leading = this.leading();
    if (leading?.authority() === 'lead') {
      const view = viewJob(leading.owner.core, id, steadyNow());
      if (view) return view;
    }
    return null;
  }

  async storedView(id: JobId): Promise<Lookup> {
    // In this order: a job's record and its final one change places in a single transaction.
    const job = await this.parts.state.get(jobKey(id));
    if (typeof job === 'object') {
      const record = readJob(job.value);
      const waiting = 'no leader to ask';
      if (record) return { ...waitingView(record.spec), id, waiting };
      // A record that cannot be read still says that the job was accepted.
      return { id, team: '' as TeamName, status: 'queued', done: 0, running: 0, waiting };
    }
    if (job !== 'absent') return 'later';
    const final = await this.parts.state.get(finalKey(id));
    if (typeof final === 'object') {
      const record = readFinal(final.value);
      if (!record) return 'later';
      this.remember(id, record);
      return finalView(id, record);
    }
    return final === 'absent' ? 'absent' : 'later';
  }

  async lookUp(id: JobId): Promise<Lookup> {
    const local = this.localView(id);
    if (local) return local;
    const leader = this.leaderPeer();
    if (leader) {
      const answer = readView(await leader.ask({ ask: 'status', job: id }, PEER_MS));
      if (answer?.id === id) {
        if (answer.status === 'done' || answer.status === 'cancelled') {
          this.remember(id, { outcome: answer.status, tasks: answer.done, team: answer.team });
        }
        return answer;
      }
    }
    if (!this.parts.state.down) return this.storedView(id);
    const elsewhere = await this.gossip.helper()?.ask({ ask: 'look', job: id }, PEER_MS);
    if (elsewhere === 'absent') return 'absent';
    const view = readView(elsewhere);
    return view?.id === id ? view : 'later';
  }

  leaderPeer(): Peer | null {
    const node = this.election.leaderNode;
    return node === null || this.leading() ? null : (this.parts.peers.get(node) ?? null);
  }

  // ---- cancellations -----------------------------------------------------------------------------

  async abort(id: JobId): Promise<Lookup> {
    const final = this.finals.get(id);
    if (final) return finalView(id, final);
    if (this.leading()) return this.abortHere(id);
    const leader = this.leaderPeer();
    if (leader) {
      const answer = readView(await leader.ask({ ask: 'abort', job: id }, ABORT_MS));
      if (answer?.id === id && (answer.status === 'done' || answer.status === 'cancelled')) {
        this.remember(id, { outcome: answer.status, tasks: answer.done, team: answer.team });
        return answer;
      }
    }
    const view = await this.storedView(id);
    if (typeof view === 'object' && (view.status === 'queued' || view.status === 'running'))
      return 'later';
    return view;
  }

  async abortHere(id: JobId): Promise<Lookup> {
    const leading = this.leading();
    if (leading?.authority() !== 'lead') return 'later';
    for (let round = 0; round < 2; round += 1) {
      const outcome = await leading.abort(id);
      if (outcome === 'late') return 'later';
      if (outcome !== null) {
        const record = this.finals.get(id);
        return record ? finalView(id, record) : this.storedView(id);
      }
      // Not known here: over, never accepted, or accepted elsewhere a moment ago.
      const item = await this.parts.state.get(jobKey(id));
      if (typeof item !== 'object') break;
      leading.found(item.key, item.value, item.revision);
    }
    const view = await this.storedView(id);
    return typeof view === 'object' && view.status === 'queued' ? 'later' : view;
  }

  // ---- why a job waits ---------------------------------------------------------------------------

  explainHere(id: JobId) {
    const leading = this.leading();
    if (leading?.authority() !== 'lead') return null;
    const told = explainJob(leading.owner.core, id, steadyNow());
    return told ? { ...told, cloud: this.parts.cloud.away ? 'away' : 'ok', state: 'ok' } : null;
  }

  listHere(team: TeamName): JobView[] | null {
    const leading = this.leading();
    if (leading?.authority() !== 'lead') return null;
    const { core } = leading.owner;
    const views: JobView[] = [];
    for (const job of core.jobs.values()) {
      if (job.spec.team !== team || views.length >= 200) continue;
      const view = viewJob(core, job.spec.id, steadyNow());
      if (view) views.push(view);
    }
    return views;
  }

  async explain(id: JobId): Promise<unknown> {
    const here = this.explainHere(id);
    if (here) return here;
    const answer = await this.leaderPeer()?.ask({ ask: 'explain', job: id }, PEER_MS);
    if (answer) return answer;
    if (!this.parts.state.down) return null;
    return {
      id,
      waiting: 'the state service is away: nothing starts until it is back',
      state: 'away',
    };
  }

  async list(team: TeamName): Promise<readonly JobView[] | null> {
    const here = this.listHere(team);
    if (here) return here;
    const answer = await this.leaderPeer()?.ask({ ask: 'list', team }, PEER_MS);
    return Array.isArray(answer) ? answer.map(readView).filter((view) => view !== null) : null;
  }
}
