/** Drain settings files and requests, and the error messages for faulty ones. */
import { describe, expect, it } from 'vitest';
import { parseDrainRequest } from '../src/adapters/drain-request-parser.js';
import { parseDrainSettings } from '../src/adapters/settings-parser.js';
import { DrainFleet, machinesInZone } from './support/drain-fleet.js';

const TEAMS = new Set(['blue', 'green']);
const faultIn = (text: string): string => {
  const parsed = parseDrainSettings(text, TEAMS);
  return 'error' in parsed ? parsed.error : 'none';
};

describe('parseDrainSettings', () => {
  it('reads every field, and keeps the default of a field that is left out', () => {
    const settings = parseDrainSettings(
      `; a comment
       (drain (let-end-s 30)
         (budgets (default (at-once 3))
           (team "blue" (at-once 2) (at-once-share 0.25) (within 600 10) (class settle (at-once 1)))))`,
      TEAMS,
    );
    expect(settings).toEqual({
      letEndS: 30,
      readyTimeoutS: 300,
      stalledAfterS: 60,
      defaultBudget: { count: 3, share: null, window: null },
      teams: new Map([
        [
          'blue',
          {
            limits: { count: 2, share: 0.25, window: { seconds: 600, count: 10 } },
            classes: new Map([['settle', { count: 1, share: null, window: null }]]),
          },
        ],
      ]),
    });
  });

  it.each([
    ['(drain (budgets (team red (at-once 1))))', 'drain: field budgets: unknown team red'],
    [
      '(drain (budgets (team blue (at-once -1))))',
      'drain: field budgets blue at-once: must be a number from 0 to 1000000',
    ],
    [
      '(drain (budgets (team blue (at-once 1.5))))',
      'drain: field budgets blue at-once: must be a whole number',
    ],
    [
      '(drain (budgets (team blue (at-once))))',
      'drain: field budgets blue at-once: takes 1 value(s)',
    ],
    [
      '(drain (budgets (team blue (at-once-share 1.2))))',
      'drain: field budgets blue at-once-share: must be a number from 0 to 1',
    ],
    [
      '(drain (budgets (team blue (within 10))))',
      'drain: field budgets blue within: takes 2 value(s)',
    ],
    ['(drain (budgets (team blue (often 3))))', 'drain: unknown field budgets blue often'],
    [
      '(drain (budgets (team blue (class))))',
      'drain: field budgets blue class: expected (class NAME ...)',
    ],
    ['(drain (budgets (team blue) (team blue)))', 'drain: field budgets blue: stated twice'],
    ['(drain (budget))', 'drain: unknown field budget'],
    ['(drain (let-end-s soon))', 'drain: field let-end-s: must be a number from 0 to 86400'],
    ['(drains)', 'drain: expected (drain ...)'],
    ['drain', 'drain: expected (drain ...)'],
  ])('refuses a faulty file in one line that names the field: %s', (text, fault) => {
    expect(faultIn(text)).toBe(fault);
  });

  it('refuses a truncated or empty file', () => {
    for (const text of ['(drain', '', '())', '(drain let-end-s)'])
      expect(faultIn(text)).toMatch(/^drain: .+/);
  });
});

describe('a drain request', () => {
  const body = { name: 'swap', select: { all: true } };

  it.each([
    [{ ...body, name: 'Swap it' }, 'field name: must be 1 to 40 of a-z, 0-9 and -'],
    [{ ...body, name: 'plan' }, 'field name: is the name of a call'],
    [{ ...body, select: {} }, 'field select: must not be empty'],
    [{ ...body, select: { machines: [] } }, 'field select.machines: must not be empty'],
    [{ ...body, select: { kind: 'c8' } }, 'field select.kind: unknown'],
    [{ ...body, colour: 1 }, 'field colour: unknown'],
    [{ ...body, atOnceShare: 1.1 }, 'field atOnceShare: must not be above 1'],
    [{ ...body, atOnceShare: 0 }, 'field atOnceShare: must be above 0'],
    [{ ...body, atOnce: 0 }, 'field atOnce: must be 1 or more'],
    [{ ...body, atOnce: 1, atOnceShare: 0.5 }, 'field atOnceShare: not together with atOnce'],
    [{ ...body, deadlineS: -1 }, 'field deadlineS: must be above 0'],
  ])('is refused in one line that names the faulty field: %j', (request, fault) => {
    expect(parseDrainRequest(request)).toEqual({ kind: 'invalid', message: fault });
  });

  it.each([null, 7, [], { select: { all: true } }, { name: 'swap' }])(
    'is refused when its body is malformed: %j',
    (request) => {
      expect(parseDrainRequest(request)).toEqual({ kind: 'invalid', message: expect.any(String) });
    },
  );

  it('gets 422 if no machine matches, 404 for an unknown drain, and stores nothing', () => {
    const fleet = new DrainFleet(machinesInZone(2));
    const refusals = [
      [{ type: 'c9' }, 'field select.type: unknown machine type c9'],
      [{ zone: 'z' }, 'field select.zone: unknown zone z'],
      [{ machines: ['n-0000', 'n-77'] }, 'field select.machines: unknown machine n-77'],
      [{ spot: true }, 'field select: no machine meets it'],
    ] as const;

    for (const [select, error] of refusals) {
      expect(fleet.startDrain('out', { select })).toMatchObject({ status: 422, body: { error } });
    }
    for (const call of ['status', 'pause', 'resume', 'cancel'])
      expect(fleet.callOperatorApi(call, 'out').status).toBe(404);
    expect(fleet.startDrain('out', { select: { all: 1 } }).status).toBe(400);
    expect(fleet.store.records.size).toBe(0);
  });

  it('is idempotent; a different body under the same drain name is refused', () => {
    const fleet = new DrainFleet(machinesInZone(2));

    expect(fleet.startDrain('out', { select: { all: true } }).status).toBe(201);
    expect(
      fleet.startDrain('out', { select: { all: true }, atOnce: 1, replace: true }).status,
    ).toBe(200);
    expect(fleet.startDrain('out', { select: { all: true }, atOnce: 2 }).status).toBe(409);
    fleet.runUntil(() => fleet.drainPhase('out') === 'done');

    expect(fleet.startDrain('out', { select: { all: true } })).toMatchObject({
      status: 200,
      body: { status: 'done' },
    });
    expect(fleet.cloud.provisioned.size).toBe(2);
  });

  it('is refused, naming the field, when it lists more machines than a record holds', () => {
    const fleet = new DrainFleet(machinesInZone(120));
    const machines = [...fleet.workers.machines.keys()];

    const refused = fleet.startDrain('out', { select: { machines } });

    expect(refused.status).toBe(422);
    expect(refused.body.error).toMatch(/^field select.machines: more names/);
  });
});
