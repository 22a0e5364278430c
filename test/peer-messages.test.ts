/** The messages between controllers: their names on the link, and what counts as no answer. */
import { describe, expect, it } from 'vitest';
import type { FencingToken, JobId, NodeId, TeamName } from '../src/core/model/ids.js';
import type { JobView, SubmissionResult } from '../src/ports/user-api.js';
import {
  decodeAdmission,
  decodeHealth,
  decodeJobView,
  decodeLookup,
  decodeOperatorAnswer,
  encodeAdmission,
  encodeHealth,
  encodeLookup,
} from '../src/service/peers/peer-messages.js';

const id = 'job-7' as JobId;
const otherId = 'job-8' as JobId;
const job: JobView = { id, team: 'blue' as TeamName, status: 'running', done: 1, running: 2 };
const unavailable = { kind: 'unavailable', reason: 'state service away' } as const;

describe('a look-up between controllers', () => {
  it('is the view itself, or one of two words', () => {
    expect(encodeLookup({ kind: 'found', job })).toBe(job);
    expect(encodeLookup({ kind: 'not-found' })).toBe('absent');
    expect(encodeLookup(unavailable)).toBe('later');
  });

  it('counts as no answer unless it is of the job that was asked for', () => {
    expect(decodeLookup(job, id)).toEqual({ kind: 'found', job });
    expect(decodeLookup('absent', id)).toEqual({ kind: 'not-found' });
    for (const answer of ['later', null, undefined, {}, { ...job, status: 'ended' }])
      expect(decodeLookup(answer, id)).toBeNull();
    expect(decodeLookup(job, otherId)).toBeNull();
  });

  it('reads views of the first version, and drops fields of later ones', () => {
    expect(decodeJobView({ ...job, later: 1 })).toEqual(job);
    const whole = { ...job, shape: 'service', tasks: 3, waiting: 'next round' };
    expect(decodeJobView(whole)).toEqual(whole);
    expect(decodeJobView('later')).toBeNull();
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
  ])('sends %j as %j', (result, sent) => {
    expect(encodeAdmission(result)).toEqual(sent);
    const isAdmitted = result.kind === 'accepted' || result.kind === 'already-known';
    expect(decodeAdmission(sent, id)).toEqual(isAdmitted ? result : null);
    expect(decodeAdmission(sent, otherId)).toBeNull();
  });
});

describe('health between controllers', () => {
  const health = {
    leader: 'node-1' as NodeId,
    fencingToken: 41 as FencingToken,
    redirectedWorkers: 3,
    reachesStore: true,
  };

  it('travels under the names of the first version', () => {
    const sent = { leader: 'node-1', term: 41, workers: 3, state: true };
    expect(encodeHealth(health)).toEqual(sent);
    expect(decodeHealth(sent)).toEqual(health);
  });

  it('counts as out of reach of the store unless it says otherwise, and malformed as none', () => {
    expect(decodeHealth({ leader: null, term: 41, workers: 3 })?.reachesStore).toBe(false);
    expect(decodeHealth({ leader: 'node-1', term: 4.1, workers: 3 })).toBeNull();
    expect(decodeHealth(undefined)).toBeNull();
  });
});

describe("an extension's answer between controllers", () => {
  it('counts as none unless it is an HTTP status and an object', () => {
    const answer = { status: 409, body: { error: 'x' } };
    expect(decodeOperatorAnswer(answer)).toEqual(answer);
    for (const malformed of [{ ...answer, status: 700 }, { status: 200 }, null])
      expect(decodeOperatorAnswer(malformed)).toBeNull();
  });
});
