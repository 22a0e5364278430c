/** Messages between controllers: their encoding, and how malformed answers are decoded. */
import { describe, expect, it } from 'vitest';
import type { FencingToken, JobId, NodeId, TeamName } from '../src/core/model/ids.js';
import type { JobView, SubmissionResult } from '../src/ports/user-api.js';
import {
  decodeAdmission,
  decodeHealth,
  decodeJobView,
  decodeLeaderView,
  decodeLookup,
  decodeOperatorAnswer,
  encodeAdmission,
  encodeHealth,
  encodeKnownView,
  encodeLeaderView,
  encodeLookup,
} from '../src/service/peers/peer-messages.js';

const id = 'job-7' as JobId;
const otherId = 'job-8' as JobId;
const job: JobView = { id, team: 'blue' as TeamName, status: 'running', done: 1, running: 2 };
const unavailable = { kind: 'unavailable', reason: 'state service away' } as const;

describe('the result of a look-up between controllers', () => {
  it('is encoded as the job view, "absent" or "later"', () => {
    expect(encodeLookup({ kind: 'found', job })).toBe(job);
    expect(encodeLookup({ kind: 'not-found' })).toBe('absent');
    expect(encodeLookup(unavailable)).toBe('later');
  });

  it('is decoded as null unless it is well-formed and concerns the requested job', () => {
    expect(decodeLookup(job, id)).toEqual({ kind: 'found', job });
    expect(decodeLookup('absent', id)).toEqual({ kind: 'not-found' });
    for (const answer of ['later', null, undefined, {}, { ...job, status: 'ended' }])
      expect(decodeLookup(answer, id)).toBeNull();
    expect(decodeLookup(job, otherId)).toBeNull();
  });

  it('is decoded from an older version’s view, and without a newer version’s fields', () => {
    expect(decodeJobView({ ...job, later: 1 })).toEqual(job);
    const fullView = { ...job, shape: 'service', tasks: 3, waiting: 'next round' };
    expect(decodeJobView(fullView)).toEqual(fullView);
    expect(decodeJobView('later')).toBeNull();
  });
});

describe('a view that earlier versions send without knowing', () => {
  const doubtful: JobView = { ...job, status: 'queued', running: 0, waiting: 'no leader to ask' };
  const recovering = { ...doubtful, waiting: 'a new leader waits for the workers to report' };

  // Guards against: a follower that passes on what an earlier version did not know.
  it('counts only with the mark of this version, from a look-up, an admission and a leader', () => {
    for (const view of [doubtful, recovering]) {
      const marked = encodeKnownView(view);
      expect(marked).toEqual({ ...view, known: true });
      expect(decodeLookup(view, id)).toBeNull();
      expect(decodeLookup(marked, id)).toEqual({ kind: 'found', job: view });
      expect(decodeLeaderView(view, id)).toEqual({ kind: 'unknown' });
      expect(decodeLeaderView(marked, id)).toEqual({ kind: 'viewed', job: view });
      expect(decodeAdmission({ kind: 'known', view }, id)).toBeNull();
      expect(decodeAdmission({ kind: 'known', view: marked }, id)).not.toBeNull();
    }
    expect(encodeKnownView(job)).toBe(job);
  });

  it('is told apart from no answer, and from a job of which no task was ever placed', () => {
    expect(decodeLeaderView(undefined, id)).toEqual({ kind: 'unanswered' });
    expect(decodeLeaderView(null, id)).toEqual({ kind: 'unknown' });
    expect(decodeLeaderView(job, otherId)).toEqual({ kind: 'unknown' });
    expect(encodeLeaderView('never-placed')).toBe('unplaced');
    expect(decodeLeaderView('unplaced', id)).toEqual({ kind: 'never-placed' });
    expect([encodeLeaderView('unknown'), encodeLeaderView(null)]).toEqual([null, null]);
  });
});

describe('an admission between controllers', () => {
  it.each<[SubmissionResult, object]>([
    [
      { kind: 'accepted', job },
      { kind: 'accepted', view: job },
    ],
    [
      { kind: 'already-known', job },
      { kind: 'known', view: job },
    ],
    [
      { kind: 'malformed', reason: 'x' },
      { kind: 'malformed', reason: 'x' },
    ],
    [
      { kind: 'infeasible', reason: 'x' },
      { kind: 'impossible', reason: 'x' },
    ],
    [unavailable, { kind: 'later', reason: unavailable.reason }],
  ])('with the result %j is encoded as %j', (result, encoded) => {
    expect(encodeAdmission(result)).toEqual(encoded);
    const isAdmitted = result.kind === 'accepted' || result.kind === 'already-known';
    expect(decodeAdmission(encoded, id)).toEqual(isAdmitted ? result : null);
    expect(decodeAdmission(encoded, otherId)).toBeNull();
  });
});

describe('health between controllers', () => {
  const health = {
    leader: 'node-1' as NodeId,
    fencingToken: 41 as FencingToken,
    redirectedWorkers: 3,
    reachesStore: true,
  };

  it('is encoded under the protocol’s field names', () => {
    const sent = { leader: 'node-1', term: 41, workers: 3, state: true };
    expect(encodeHealth(health)).toEqual(sent);
    expect(decodeHealth(sent)).toEqual(health);
  });

  it('is decoded as unable to reach the store by default, and as null if malformed', () => {
    expect(decodeHealth({ leader: null, term: 41, workers: 3 })?.reachesStore).toBe(false);
    expect(decodeHealth({ leader: 'node-1', term: 4.1, workers: 3 })).toBeNull();
    expect(decodeHealth(undefined)).toBeNull();
  });
});

describe("an extension's answer between controllers", () => {
  it('is decoded as null unless it has an HTTP status and an object', () => {
    const answer = { status: 409, body: { error: 'x' } };
    expect(decodeOperatorAnswer(answer)).toEqual(answer);
    for (const malformed of [{ ...answer, status: 700 }, { status: 200 }, null])
      expect(decodeOperatorAnswer(malformed)).toBeNull();
  });
});
