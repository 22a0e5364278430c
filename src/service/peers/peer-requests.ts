/** Requests to peers, one function per kind; null means that there is no valid answer. */

import type { OperatorAnswer, OperatorCall } from '../../core/extensions/extension.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { Peer } from '../../ports/peer.js';
import type { JobView, LookupResult, SubmissionResult } from '../../ports/user-api.js';
import { encodeJob, type JobRecord } from '../stored-records.js';
import {
  decodeAdmission,
  decodeHealth,
  decodeJobView,
  decodeLeaderView,
  decodeLookup,
  decodeOperatorAnswer,
  type LeaderView,
  type PeerHealth,
} from './peer-messages.js';

/** Time-outs by kind of request. */
const TIMEOUT_MS = {
  /** Users wait 2 s for the result of a job query. */
  query: 700,
  health: 700,
  /** Equal to the store's time-out for the write. */
  admission: 1500,
  /** Longer than the leader takes to store a completion. */
  cancellation: 3000,
  /** The leader stores the effect of an operator's call before it answers. */
  operatorCall: 4000,
} as const;

/** Requests the leader's view of a job; `unknown` also if the leader has no valid lease. */
export const requestLeaderView = async (leader: Peer, id: JobId): Promise<LeaderView> =>
  decodeLeaderView(await leader.request({ ask: 'status', job: id }, TIMEOUT_MS.query), id);

/** Requests the leader's view of a job whose stored record this node has just read. */
export const requestRecordedJobView = async (
  leader: Peer,
  id: JobId,
  record: unknown,
): Promise<LeaderView> =>
  decodeLeaderView(await leader.request({ ask: 'status', job: id, record }, TIMEOUT_MS.query), id);

/** Requests a look-up from a peer that, unlike this node, reaches the store. */
export const requestLookup = async (peer: Peer, id: JobId): Promise<LookupResult | null> =>
  decodeLookup(await peer.request({ ask: 'look', job: id }, TIMEOUT_MS.query), id);

/** Requests a cancellation; returns the job as it ended. */
export const requestCancellation = async (leader: Peer, id: JobId): Promise<JobView | null> => {
  const job = decodeJobView(
    await leader.request({ ask: 'abort', job: id }, TIMEOUT_MS.cancellation),
  );
  return job?.id === id ? job : null;
};

/** Requests the leader's explanation of why a job waits; falsy if there is none. */
export const requestExplanation = (leader: Peer, id: JobId): Promise<unknown> =>
  leader.request({ ask: 'explain', job: id }, TIMEOUT_MS.query);

/** Requests a team's unfinished jobs; undecodable views are omitted. */
export const requestJobList = async (leader: Peer, team: TeamName): Promise<JobView[] | null> => {
  const answer = await leader.request({ ask: 'list', team }, TIMEOUT_MS.query);
  return Array.isArray(answer) ? answer.map(decodeJobView).filter((job) => job !== null) : null;
};

/** Requests a peer to store a job; users may get status 201 only once it confirms. */
export const requestAdmission = async (
  peer: Peer,
  record: JobRecord,
): Promise<SubmissionResult | null> =>
  decodeAdmission(
    await peer.request({ ask: 'admit', record: encodeJob(record) }, TIMEOUT_MS.admission),
    record.spec.id,
  );

/** Forwards an operator's call to the leader. */
export const requestOperatorCall = async (
  leader: Peer,
  extension: string,
  call: OperatorCall,
): Promise<OperatorAnswer | null> =>
  decodeOperatorAnswer(
    await leader.request({ ask: 'operate', extension, call }, TIMEOUT_MS.operatorCall),
  );

/** Requests a peer's health. */
export const requestHealth = async (peer: Peer): Promise<PeerHealth | null> =>
  decodeHealth(await peer.request({ ask: 'health' }, TIMEOUT_MS.health));
