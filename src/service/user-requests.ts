/** What users ask of a controller: submissions, questions and cancellations; and what it may say by itself. */
import * as v from 'valibot';
import type { Mutation, Precondition } from '../adapters/key-value-store/key-value-store-client.js';
import type { Peer } from '../adapters/peers/peer-link.js';
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import type { JobView } from '../adapters/wire.js';
import { explainJob, viewJob } from '../core/lifecycle/job-view.js';
import type { JobId, Revision, TeamName, ZoneName } from '../core/model/ids.js';
import { isService, type JobSpec } from '../core/model/job.js';
import type { Dependencies } from './dependencies.js';
import type { LeaderElection } from './leader-election.js';
import type { LeaderTerm } from './leader-term.js';
import type { PeerMonitor } from './peer-monitor.js';
import {
  completionKey,
  decodeCompletion,
  decodeJob,
  encodeJob,
  type JobCompletion,
  type JobRecord,
  jobKey,
} from './stored-records.js';

/** Final states kept in memory; older ones are read from the state service again. */
const MAX_FINALS = 20_000;
const PEER_MS = 700;
const ABORT_MS = 3000;
/** Tries at an admission that the state service turns away for its rate, within what a user waits for. */
const ADMIT_TRIES = 3;
const ADMIT_WAIT_MS = 500;
const ADMIT_MS = 1500;

export type SubmissionResult =
  | { readonly kind: 'accepted' | 'known'; readonly view: JobView }
  | { readonly kind: 'malformed' | 'impossible'; readonly reason: string }
  | { readonly kind: 'later'; readonly reason: string };

export type LookupResult = JobView | 'absent' | 'later';

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

const finalView = (id: JobId, f: JobCompletion): JobView => ({
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

export class UserRequests {
  private readonly completions = new Map<JobId, JobCompletion>();
  private turn = 0;

  constructor(
    private readonly dependencies: Dependencies,
    private readonly election: LeaderElection,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {}

  rememberCompletion(id: JobId, { outcome, tasks, team }: JobCompletion): void {
    this.completions.set(id, { outcome, tasks, team });
    if (this.completions.size > MAX_FINALS) {
      const oldest = this.completions.keys().next().value;
      if (oldest !== undefined) this.completions.delete(oldest);
    }
  }

  // ---- submissions -------------------------------------------------------------------------------

  private validateFeasibility(spec: JobSpec): { kind: 'impossible'; reason: string } | null {
    const team = this.dependencies.settings.teams.get(spec.team);
    const no = (reason: string) => ({ kind: 'impossible' as const, reason });
    if (!team) return no(`unknown team ${spec.team}`);
    if (spec.cpus > team.cpusMax || spec.gpus > team.gpusMax)
      return no("a task exceeds the team's limit");
    const replicas = isService({ spec }) ? spec.tasks : 1;
    if (spec.cpus * replicas > team.cpusMax || spec.gpus * replicas > team.gpusMax)
      return no("all replicas together exceed the team's limit");
    const zones = new Set<ZoneName>();
    for (const t of this.dependencies.machineTypes ?? []) {
      const allowed = !spec.machineTypes || spec.machineTypes.includes(t.name);
      const fits = spec.cpus <= t.cpus && spec.gpus <= t.gpus && spec.memoryGb <= t.memoryGb;
      if (!allowed || !fits) continue;
      for (const zone of t.zones) if (spec.zone === null || spec.zone === zone) zones.add(zone);
    }
    if (zones.size === 0) return no('no allowed machine type fits a task');
    // An array's tasks can go one after the other; replicas run side by side, for good.
    const spread = replicas > 1 && spec.spreadZones;
    if (spread && (spec.singleZone || zones.size < 2))
      return no('its replicas must be spread over zones, and only one is allowed');
    return null;
  }

  /** `parsed` is the job, or what is wrong with the body; an accepted id is answered as known either way. */
  async submit(id: JobId, parsed: JobSpec | { readonly fault: string }): Promise<SubmissionResult> {
    const known = this.localView(id);
    if (known) return { kind: 'known', view: known };
    if ('fault' in parsed) return this.refuse(id, { kind: 'malformed', reason: parsed.fault });
    if (!this.dependencies.machineTypes)
      return { kind: 'later', reason: 'machine types not known yet' };
    const fault = this.validateFeasibility(parsed);
    if (fault) return this.refuse(id, fault);
    const record: JobRecord = { acceptedAt: Date.now(), spec: parsed };
    if (
      Buffer.byteLength(JSON.stringify(encodeJob(record))) >
      this.dependencies.settings.keyValueStoreLimits.maxValueBytes
    ) {
      return this.refuse(id, TOO_LARGE);
    }
    return this.dependencies.store.isDown
      ? this.admitElsewhere(record, this.peerMonitor.reachablePeer())
      : this.admit(record, true);
  }

  async admit(record: JobRecord, mayAsk: boolean): Promise<SubmissionResult> {
    const { id } = record.spec;
    const key = jobKey(id);
    const none = 0 as Revision;
    const guards: Precondition[] = [
      { key, revision: none },
      { key: completionKey(id), revision: none },
    ];
    const writes: Mutation[] = [{ put: key, value: encodeJob(record) }];
    const write = () =>
      this.dependencies.store.compareAndSwap(guards, writes, ADMIT_WAIT_MS, ADMIT_MS);
    let result = await write();
    for (
      let i = 1;
      i < ADMIT_TRIES && result === 'refused' && !this.dependencies.store.isDown;
      i += 1
    ) {
      // The load balancer does not spread users evenly: a peer may have some of its share of the rate left.
      if (mayAsk && i === 1) {
        const peers = [...this.dependencies.peers.values()];
        const peer = peers[this.turn++ % Math.max(1, peers.length)] ?? null;
        const elsewhere = await this.admitElsewhere(record, peer);
        if (elsewhere.kind !== 'later') return elsewhere;
      } else await sleep(this.dependencies.jitter.around(150));
      result = await write();
    }
    if (typeof result === 'object') {
      this.currentTerm()?.addAdmittedJob(record, result.revision);
      return { kind: 'accepted', view: waitingView(record.spec) };
    }
    // The limits have fallen below what any setting said.
    if (result === 'too-large') return this.refuse(id, TOO_LARGE);
    if (result === 'conflict' || (result === 'unknown' && !this.dependencies.store.isDown)) {
      const view = await this.storedView(id);
      if (typeof view === 'object') return { kind: 'known', view };
    }
    return { kind: 'later', reason: 'state service away' };
  }

  /** Cut off from the state service alone, a node has a peer write the job; it says 201 only on that peer's word. */
  private async admitElsewhere(record: JobRecord, helper: Peer | null): Promise<SubmissionResult> {
    const answer = await helper?.ask({ ask: 'admit', record: encodeJob(record) }, ADMIT_MS);
    const r = v.safeParse(admittedSchema, answer);
    if (r.success && r.output.view.id === record.spec.id) return r.output as SubmissionResult;
    return { kind: 'later', reason: 'state service away' };
  }

  /** A bad repeat of an accepted job is still answered with the job. */
  private async refuse(
    id: JobId,
    answer: { kind: 'malformed' | 'impossible'; reason: string },
  ): Promise<SubmissionResult> {
    const view = await this.lookUp(id);
    if (view === 'later') return { kind: 'later', reason: 'state service away' };
    return view === 'absent' ? answer : { kind: 'known', view };
  }

  // ---- questions ---------------------------------------------------------------------------------

  /** What this node may say by itself: final states, and as leader with a valid lease all it knows. */
  localView(id: JobId): JobView | null {
    const final = this.completions.get(id);
    if (final) return finalView(id, final);
    const leading = this.currentTerm();
    if (leading?.authority() === 'lead') {
      const view = viewJob(leading.commandLoop.core, id, steadyNow());
      if (view) return view;
    }
    return null;
  }

  async storedView(id: JobId): Promise<LookupResult> {
    // In this order: a job's record and its final one change places in a single transaction.
    const job = await this.dependencies.store.get(jobKey(id));
    if (typeof job === 'object') {
      const record = decodeJob(job.value);
      const waiting = 'no leader to ask';
      if (record) return { ...waitingView(record.spec), id, waiting };
      // A record that cannot be read still says that the job was accepted.
      return { id, team: '' as TeamName, status: 'queued', done: 0, running: 0, waiting };
    }
    if (job !== 'absent') return 'later';
    const final = await this.dependencies.store.get(completionKey(id));
    if (typeof final === 'object') {
      const record = decodeCompletion(final.value);
      if (!record) return 'later';
      this.rememberCompletion(id, record);
      return finalView(id, record);
    }
    return final === 'absent' ? 'absent' : 'later';
  }

  async lookUp(id: JobId): Promise<LookupResult> {
    const local = this.localView(id);
    if (local) return local;
    const leader = this.leaderPeer();
    if (leader) {
      const answer = readView(await leader.ask({ ask: 'status', job: id }, PEER_MS));
      if (answer?.id === id) {
        if (answer.status === 'done' || answer.status === 'cancelled') {
          this.rememberCompletion(id, {
            outcome: answer.status,
            tasks: answer.done,
            team: answer.team,
          });
        }
        return answer;
      }
    }
    if (!this.dependencies.store.isDown) return this.storedView(id);
    const elsewhere = await this.peerMonitor
      .reachablePeer()
      ?.ask({ ask: 'look', job: id }, PEER_MS);
    if (elsewhere === 'absent') return 'absent';
    const view = readView(elsewhere);
    return view?.id === id ? view : 'later';
  }

  leaderPeer(): Peer | null {
    const node = this.election.leaderNode;
    return node === null || this.currentTerm() ? null : (this.dependencies.peers.get(node) ?? null);
  }

  // ---- cancellations -----------------------------------------------------------------------------

  async cancel(id: JobId): Promise<LookupResult> {
    const final = this.completions.get(id);
    if (final) return finalView(id, final);
    if (this.currentTerm()) return this.cancelLocally(id);
    const leader = this.leaderPeer();
    if (leader) {
      const answer = readView(await leader.ask({ ask: 'abort', job: id }, ABORT_MS));
      if (answer?.id === id && (answer.status === 'done' || answer.status === 'cancelled')) {
        this.rememberCompletion(id, {
          outcome: answer.status,
          tasks: answer.done,
          team: answer.team,
        });
        return answer;
      }
    }
    const view = await this.storedView(id);
    if (typeof view === 'object' && (view.status === 'queued' || view.status === 'running'))
      return 'later';
    return view;
  }

  async cancelLocally(id: JobId): Promise<LookupResult> {
    const leading = this.currentTerm();
    if (leading?.authority() !== 'lead') return 'later';
    for (let round = 0; round < 2; round += 1) {
      const result = await leading.cancelJob(id);
      if (result.kind === 'timed-out') return 'later';
      if (result.kind === 'ended') {
        const record = this.completions.get(id);
        return record ? finalView(id, record) : this.storedView(id);
      }
      // Not known here: over, never accepted, or accepted elsewhere a moment ago.
      const item = await this.dependencies.store.get(jobKey(id));
      if (typeof item !== 'object') break;
      leading.addStoredJob(item.key, item.value, item.revision);
    }
    const view = await this.storedView(id);
    return typeof view === 'object' && view.status === 'queued' ? 'later' : view;
  }

  // ---- why a job waits ---------------------------------------------------------------------------

  explainLocally(id: JobId) {
    const leading = this.currentTerm();
    if (leading?.authority() !== 'lead') return null;
    const told = explainJob(leading.commandLoop.core, id, steadyNow());
    return told
      ? { ...told, cloud: this.dependencies.cloud.isAway ? 'away' : 'ok', state: 'ok' }
      : null;
  }

  listLocally(team: TeamName): JobView[] | null {
    const leading = this.currentTerm();
    if (leading?.authority() !== 'lead') return null;
    const { core } = leading.commandLoop;
    const views: JobView[] = [];
    for (const job of core.jobs.values()) {
      if (job.spec.team !== team || views.length >= 200) continue;
      const view = viewJob(core, job.spec.id, steadyNow());
      if (view) views.push(view);
    }
    return views;
  }

  async explain(id: JobId): Promise<unknown> {
    const here = this.explainLocally(id);
    if (here) return here;
    const answer = await this.leaderPeer()?.ask({ ask: 'explain', job: id }, PEER_MS);
    if (answer) return answer;
    if (!this.dependencies.store.isDown) return null;
    return {
      id,
      waiting: 'the state service is away: nothing starts until it is back',
      state: 'away',
    };
  }

  async list(team: TeamName): Promise<readonly JobView[] | null> {
    const here = this.listLocally(team);
    if (here) return here;
    const answer = await this.leaderPeer()?.ask({ ask: 'list', team }, PEER_MS);
    return Array.isArray(answer) ? answer.map(readView).filter((view) => view !== null) : null;
  }
}
