/** What a controller asks of another, one function for each question; null where none answers. */

import type { OperatorAnswer, OperatorCall } from '../../core/extensions/extension.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { Peer } from '../../ports/peer.js';
import type { JobView, LookupResult, SubmissionResult } from '../../ports/user-api.js';
import { encodeJob, type JobRecord } from '../stored-records.js';
import {
  decodeAdmission,
  decodeHealth,
  decodeJobView,
  decodeLookup,
  decodeOperatorAnswer,
  type PeerHealth,
} from './peer-messages.js';

/** How long each kind of question waits for its answer. */
const TIMEOUT_MS = {
  /** Users wait 2 s for an answer about a job. */
  query: 700,
  health: 700,
  /** As long as the store itself has for the write. */
  admission: 1500,
  /** Longer than the leader takes to store an end. */
  cancellation: 3000,
  /** The leader stores what an operator asks for before it answers. */
  operatorCall: 4000,
} as const;

/** The leader's view of a job that it may speak of. */
export const requestJobView = async (leader: Peer, id: JobId): Promise<JobView | null> => {
  const job = decodeJobView(await leader.request({ ask: 'status', job: id }, TIMEOUT_MS.query));
  return job?.id === id ? job : null;
};

/** A look-up by a peer that reaches the key-value store while this node does not. */
export const requestLookup = async (peer: Peer, id: JobId): Promise<LookupResult | null> =>
  decodeLookup(await peer.request({ ask: 'look', job: id }, TIMEOUT_MS.query), id);

/** The job after the leader has cancelled it, or as it had ended before. */
export const requestCancellation = async (leader: Peer, id: JobId): Promise<JobView | null> => {
  const job = decodeJobView(
    await leader.request({ ask: 'abort', job: id }, TIMEOUT_MS.cancellation),
  );
  return job?.id === id ? job : null;
};

/** The leader's explanation of why a job waits, as it is told to users; falsy where it has none. */
export const requestExplanation = (leader: Peer, id: JobId): Promise<unknown> =>
  leader.request({ ask: 'explain', job: id }, TIMEOUT_MS.query);

/** A team's unfinished jobs; a view of an unknown form is left out. */
export const requestJobList = async (leader: Peer, team: TeamName): Promise<JobView[] | null> => {
  const answer = await leader.request({ ask: 'list', team }, TIMEOUT_MS.query);
  return Array.isArray(answer) ? answer.map(decodeJobView).filter((job) => job !== null) : null;
};

/** Has a peer store a job. The user may be told 201 only on this word. */
export const requestAdmission = async (
  peer: Peer,
  record: JobRecord,
): Promise<SubmissionResult | null> =>
  decodeAdmission(
    await peer.request({ ask: 'admit', record: encodeJob(record) }, TIMEOUT_MS.admission),
    record.spec.id,
  );

/** The answer of an extension on the leader. */
export const requestOperatorCall = async (
  leader: Peer,
  extension: string,
  call: OperatorCall,
): Promise<OperatorAnswer | null> =>
  decodeOperatorAnswer(
    await leader.request({ ask: 'operate', extension, call }, TIMEOUT_MS.operatorCall),
  );

/** A peer's health. */
export const requestHealth = async (peer: Peer): Promise<PeerHealth | null> =>
  decodeHealth(await peer.request({ ask: 'health' }, TIMEOUT_MS.health));
