/** Job submission: checks feasibility and admits jobs by a write to the key-value store. */

import { sleep } from '../../adapters/runtime/clock.js';
import type { JobId, Revision } from '../../core/model/ids.js';
import type { JobSpec } from '../../core/model/job.js';
import type { CompareAndSwapResult, Mutation, Precondition } from '../../ports/key-value-store.js';
import type { Peer } from '../../ports/peer.js';
import type {
  SubmissionRefusal,
  SubmissionRequest,
  SubmissionResult,
} from '../../ports/user-api.js';
import type { Dependencies } from '../dependencies.js';
import type { LeaderTerm } from '../leader-term.js';
import { MachineTypeRefresher } from '../machine-type-refresher.js';
import type { PeerMonitor } from '../peers/peer-monitor.js';
import { requestAdmission } from '../peers/peer-requests.js';
import { completionKey, encodeJob, type JobRecord, jobKey } from '../stored-records.js';
import type { JobQueryService } from './job-query-service.js';
import { STORE_UNAVAILABLE, viewOfAcceptedJob } from './job-views.js';
import { findTeamInfeasibility, findTypeInfeasibility } from './submission-validation.js';

/** Attempts at a rate-limited admission, few enough to answer before the user's time-out. */
const MAX_ADMISSION_ATTEMPTS = 3;
const ADMISSION_RETRY_MS = 150;
/** How long an admission waits for the write rate limit. */
const ADMISSION_QUEUE_MS = 500;
/** How long an admission waits for the store's response. */
const ADMISSION_TIMEOUT_MS = 1500;

const TOO_LARGE: SubmissionRefusal = {
  kind: 'infeasible',
  reason: 'the description is larger than what the state service takes',
};

type Unavailable = Extract<SubmissionResult, { kind: 'unavailable' }>;

const TYPES_UNKNOWN: Unavailable = { kind: 'unavailable', reason: 'machine types not known yet' };

/** Accepts jobs on any controller. A job is accepted only once its record is stored. */
export class SubmissionService {
  private nextPeerIndex = 0;
  private readonly machineTypeRefresher: MachineTypeRefresher;

  constructor(
    private readonly dependencies: Dependencies,
    private readonly queries: JobQueryService,
    private readonly peerMonitor: PeerMonitor,
    private readonly currentTerm: () => LeaderTerm | null,
  ) {
    this.machineTypeRefresher = new MachineTypeRefresher(dependencies);
  }

  /** Submits a job. An id accepted before is `already-known`, even if the body is now invalid. */
  async submit(id: JobId, request: SubmissionRequest): Promise<SubmissionResult> {
    const known = this.queries.viewLocally(id);
    if (known) return { kind: 'already-known', job: known };
    if ('error' in request) return this.refuse(id, { kind: 'malformed', reason: request.error });
    const { settings, store } = this.dependencies;
    const refusal = await this.findRefusal(request);
    if (refusal) return this.refuse(id, refusal);
    const record: JobRecord = { acceptedAt: Date.now(), spec: request };
    const size = Buffer.byteLength(JSON.stringify(encodeJob(record)));
    if (size > settings.keyValueStoreLimits.maxValueBytes) return this.refuse(id, TOO_LARGE);
    return store.isDown
      ? this.admitThroughPeer(record, this.peerMonitor.reachablePeer())
      : this.admit(record, { mayForward: true });
  }

  /**
   * Returns why the job is not admitted, else null. That no machine type fits is said only by types
   * that the cloud has listed lately: those of the key-value store may be from long ago.
   */
  private async findRefusal(spec: JobSpec): Promise<SubmissionRefusal | Unavailable | null> {
    const { dependencies } = this;
    if (!dependencies.machineTypes) return TYPES_UNKNOWN;
    const { teams } = dependencies.settings;
    const teamReason = findTeamInfeasibility(spec, teams.get(spec.team));
    if (teamReason !== null) return { kind: 'infeasible', reason: teamReason };
    if (findTypeInfeasibility(spec, dependencies.machineTypes) === null) return null;
    if (!(await this.machineTypeRefresher.areRecent())) return TYPES_UNKNOWN;
    const reason = findTypeInfeasibility(spec, dependencies.machineTypes);
    return reason === null ? null : { kind: 'infeasible', reason };
  }

  /**
   * Stores the job's record. `mayForward` is false for an admission that a peer has forwarded:
   * admissions are forwarded only once.
   */
  async admit(
    record: JobRecord,
    { mayForward }: { readonly mayForward: boolean },
  ): Promise<SubmissionResult> {
    const { store, jitter } = this.dependencies;
    const { id } = record.spec;
    const key = jobKey(id);
    const absent = 0 as Revision;
    const preconditions: Precondition[] = [
      { key, revision: absent },
      { key: completionKey(id), revision: absent },
    ];
    const mutations: Mutation[] = [{ put: key, value: encodeJob(record) }];
    const write = () =>
      store.compareAndSwap(preconditions, mutations, ADMISSION_QUEUE_MS, ADMISSION_TIMEOUT_MS);
    let result = await write();
    for (
      let attempt = 1;
      attempt < MAX_ADMISSION_ATTEMPTS && result.kind === 'refused' && !store.isDown;
      attempt += 1
    ) {
      // The load balancer does not spread users evenly, so a peer may have write rate to spare.
      if (mayForward && attempt === 1) {
        const forwarded = await this.admitThroughPeer(record, this.nextPeer());
        if (forwarded.kind !== 'unavailable') return forwarded;
      } else await sleep(jitter.apply(ADMISSION_RETRY_MS));
      result = await write();
    }
    return this.concludeAdmission(record, result);
  }

  private async concludeAdmission(
    record: JobRecord,
    result: CompareAndSwapResult,
  ): Promise<SubmissionResult> {
    const { id } = record.spec;
    if (result.kind === 'committed') {
      this.currentTerm()?.addAdmittedJob(record, result.revision);
      return { kind: 'accepted', job: viewOfAcceptedJob(record.spec) };
    }
    // The store's size limit is now below the one in the settings.
    if (result.kind === 'too-large') return this.refuse(id, TOO_LARGE);
    if (
      result.kind === 'conflict' ||
      (result.kind === 'unknown' && !this.dependencies.store.isDown)
    ) {
      const stored = await this.queries.lookUpInStore(id);
      if (stored.kind === 'found') return { kind: 'already-known', job: stored.job };
    }
    return STORE_UNAVAILABLE;
  }

  /** Selects peers round-robin to spread forwarded admissions. */
  private nextPeer(): Peer | null {
    const peers = [...this.dependencies.peers.values()];
    return peers[this.nextPeerIndex++ % Math.max(1, peers.length)] ?? null;
  }

  /** Forwards an admission; the job counts as accepted only if the peer confirms it. */
  private async admitThroughPeer(record: JobRecord, peer: Peer | null): Promise<SubmissionResult> {
    const admission = peer && (await requestAdmission(peer, record));
    return admission ?? STORE_UNAVAILABLE;
  }

  /** Rejects a submission, unless the id was accepted before: then returns that job. */
  private async refuse(
    id: JobId,
    refusal: SubmissionRefusal | Unavailable,
  ): Promise<SubmissionResult> {
    const known = await this.queries.lookUp(id);
    switch (known.kind) {
      case 'found':
        return { kind: 'already-known', job: known.job };
      case 'not-found':
        return refusal;
      case 'unavailable':
        return known;
    }
  }
}
