/**
 * The operators' interface as pinned at commit 90313a6: requests, output and exit codes of the
 * commands, and the field names of `policy.scm`, `drain.scm` and the platform's settings file.
 */
import { readFileSync } from 'node:fs';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { parseDrainSettings } from '../packages/drain/src/adapters/settings-parser.js';
import { DrainFleet, machinesInZone } from '../packages/drain/test/support/drain-fleet.js';
import { DEFAULT_POLICY, parsePolicy } from '../src/adapters/configuration/policy.js';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import { run } from '../src/cli/main.js';
import { loadPins } from './fixtures/pins.js';
import { cleanUp, freePort } from './stand-ins/cluster.js';
import { startRecordingServer } from './stand-ins/recording-server.js';
import { settingsText } from './stand-ins/settings.js';

const pins = loadPins('commands');

afterEach(() => {
  cleanUp();
  vi.restoreAllMocks();
  process.exitCode = undefined;
});

/** Runs a command in this process until it returns or calls `exit`. */
const runCommand = async (args: readonly string[]) => {
  let out = '';
  let error = '';
  let code: unknown = 0;
  process.exitCode = undefined;
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    out += String(text);
    return true;
  });
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
    error += String(text);
    return true;
  });
  vi.spyOn(process, 'exit').mockImplementation((status) => {
    code = status;
    throw new Error('exit');
  });
  try {
    await run(['node', 'robinspread', ...args]);
    code = process.exitCode ?? 0;
  } catch (thrown) {
    if ((thrown as Error).message !== 'exit') throw thrown;
  }
  vi.restoreAllMocks();
  process.exitCode = undefined;
  return { code, out, error };
};

const drainDetails = {
  name: 'os-update',
  status: 'stalled',
  total: 30,
  returned: 12,
  failed: 1,
  step: 4,
  inStep: 2,
  why: 'an operator paused it',
  blocked: { kind: 'budget', text: 'budget of team blue: 2 of 2 disrupted' },
  waiting: 15,
  machines: [
    {
      name: 'n-1',
      state: 'draining',
      replacement: 'n-9',
      left: 3,
      blocked: { kind: 'storing', text: 'held' },
    },
    { name: 'n-2', state: 'waiting', replacement: null, left: 0, blocked: null },
  ],
};
const plan = {
  refused: 'field select: no machine meets it',
  machines: 3,
  stepSize: 1,
  steps: 3,
  listed: 1,
  plan: [{ name: 'n-1', step: 1, stops: 1, moves: 2, ends: 3, blocked: ['held', 'up'] }],
};
const budgets = [
  { scope: 'team blue', disrupted: 1, atOnce: 2, withinS: 60, recent: 1, most: 3 },
  { scope: 'team green', disrupted: 0, atOnce: null },
];

describe('the operator commands', () => {
  it('send, print and exit as pinned', async () => {
    let answer: readonly [number, unknown] | null = null;
    const { sent, at } = await startRecordingServer(({ method, path }) => {
      if (answer) return answer;
      if (path === '/api/drains/plan') return [200, plan];
      if (path === '/api/budgets') return [200, { budgets }];
      if (path === '/api/drains' && method === 'GET') return [200, { drains: [drainDetails] }];
      if (path.startsWith('/api/drains')) return [201, drainDetails];
      if (path.endsWith('/explain')) return [200, { id: 'job-1', waiting: 'team limit' }];
      return [200, { jobs: [{ Ref: 'job-1', Status: 'queued' }] }];
    });
    const target = ['--at', `${at.host}:${at.port}`];
    const selection = [
      '--machine',
      'n-1',
      '--machine',
      'n-2',
      '--type',
      'c8',
      '--zone',
      'a',
      '--image',
      'img',
    ];
    const check = async (name: string, ...args: string[]) => {
      sent.splice(0);
      const result = await runCommand([...args, ...target]);
      pins.check(name, { sent, ...result });
    };
    await check('explain', 'explain', 'job-1');
    await check('jobs', 'jobs', '--team', 'blue');
    const otherOptions = [
      '--spot',
      '--min-age',
      '60',
      '--at-once',
      '4',
      '--deadline',
      '600',
      '--no-replace',
    ];
    await check('drain start', 'drain', 'start', 'os-update', ...selection, ...otherOptions);
    await check(
      'drain start of a share',
      'drain',
      'start',
      'x',
      '--all',
      '--ordinary',
      '--at-once',
      '10%',
    );
    await check('drain plan', 'drain', 'plan', '--all');
    await check('drain list', 'drain', 'list');
    await check('drain status', 'drain', 'status', 'os-update');
    for (const change of ['pause', 'resume', 'cancel'])
      await check(`drain ${change}`, 'drain', change, 'os-update');
    await check('drain budgets', 'drain', 'budgets');
    await check('drain status as JSON', 'drain', 'status', 'os-update', '--json');
    await check('drain plan as JSON', 'drain', 'plan', '--all', '--json');
    await check('drain list as JSON', 'drain', 'list', '--json');
    await check('drain budgets as JSON', 'drain', 'budgets', '--json');
    for (const status of [400, 404, 409, 422, 503]) {
      answer = [status, { error: 'because' }];
      await check(`drain status answered ${status}`, 'drain', 'status', 'x');
      await check(`drain status answered ${status} as JSON`, 'drain', 'status', 'x', '--json');
      await check(`jobs answered ${status}`, 'jobs', '--team', 'blue');
    }
    const closedAddress = `127.0.0.1:${await freePort()}`;
    const { code } = await runCommand(['drain', 'list', '--at', closedAddress]);
    const jobsResult = await runCommand(['jobs', '--team', 'blue', '--at', closedAddress]);
    pins.check('exit codes without an answer', [code, jobsResult.code]);
  });

  it('report a settings file that cannot be read, and exit with 2', async () => {
    const { code, out, error } = await runCommand([
      'check-config',
      '--config',
      '/nonexistent.json',
    ]);
    pins.check('check-config', { code, out, error });
  });
});

describe('answers of the drain API', () => {
  it('are in the pinned form', () => {
    const fleet = new DrainFleet(machinesInZone(3));
    fleet.submitJob('job-1', {
      tasks: 4,
      estimateS: 1000,
      checkpointIntervalS: 10,
      checkpointWriteS: 1,
    });
    fleet.run(5000);
    const { status, body } = fleet.startDrain('swap', {
      select: { all: true },
      atOnce: 2,
      deadlineS: 600,
    });
    pins.check('drain started', { status, body });
    fleet.run(3000);
    pins.check('drain under way', fleet.drainStatus('swap'));
    pins.check('drains listed', fleet.callOperatorApi('list', '').body);
    pins.check('drain paused', fleet.callOperatorApi('pause', 'swap'));
    pins.check('drain resumed', fleet.callOperatorApi('resume', 'swap'));
    pins.check('drain repeated otherwise', fleet.startDrain('swap', { select: { all: true } }));
    pins.check('drain cancelled', fleet.callOperatorApi('cancel', 'swap'));
    pins.check('drain resumed after', fleet.callOperatorApi('resume', 'swap'));
  });
});

const errorMessageOf = (parse: () => unknown): string => {
  try {
    parse();
    return 'none';
  } catch (error) {
    return (error as Error).message;
  }
};

/** Fields of the policy file: name, default, minimum and maximum. */
const POLICY_FIELDS: readonly (readonly [string, number, number, number])[] = [
  ['age-factor', 1, 0, 1e6],
  ['deadline-weight', 1, 0, 1e6],
  ['scarcity-weight', 1, 0, 1e6],
  ['priority-boost', 20, 0, 1e6],
  ['level-weight', 5, 0, 1e6],
  ['deadline-k', 2, 1.000001, 1000],
  ['deadline-min', 1, 0, 1e6],
  ['deadline-max', 10, 0, 1e6],
  ['first-task-s', 120, 1, 1e6],
  ['make-room-level', 2, 0, 99],
  ['make-room-s', 2, 0, 1e6],
  ['standing-share', 1, 0, 10],
  ['headroom', 1.2, 1, 10],
  ['idle-return-s', 240, 5, 86_400],
  ['boot-give-up', 2.5, 1, 100],
  ['silent-reports', 4, 2, 1000],
  ['leader-lease-ms', 3000, 500, 60_000],
];

describe('the policy file', () => {
  it.each(POLICY_FIELDS)(
    'accepts %s with its pinned default and bounds',
    (name, initial, least, most) => {
      const otherValue =
        name === 'deadline-min' ? 7.5 : name === 'deadline-max' ? 8.5 : (initial + most) / 2;
      const changed = Object.entries(parsePolicy(`(policy (${name} ${otherValue}))`)).filter(
        ([key, value]) => value !== DEFAULT_POLICY[key as keyof typeof DEFAULT_POLICY],
      );
      expect(changed).toHaveLength(1);
      const [key, value] = changed[0]!;
      expect([DEFAULT_POLICY[key as keyof typeof DEFAULT_POLICY], value]).toEqual([
        initial,
        otherValue,
      ]);
      for (const beyond of [least - 1e-3, most + 1]) {
        expect(errorMessageOf(() => parsePolicy(`(policy (${name} ${beyond}))`))).toBe(
          `policy: field ${name} must be one number from ${least} to ${most}`,
        );
      }
    },
  );

  it('accepts no other field', () => {
    expect(Object.keys(DEFAULT_POLICY)).toHaveLength(POLICY_FIELDS.length);
    expect(errorMessageOf(() => parsePolicy('(policy (what 1))'))).toBe(
      'policy: unknown field what',
    );
  });
});

describe('the drain settings file', () => {
  const teams = new Set(['blue', 'green']);
  it.each([
    ['let-end-s', 60, 0],
    ['ready-timeout-s', 300, 1],
    ['stalled-after-s', 60, 1],
  ] as const)('accepts %s with its pinned default and bounds', (name, initial, least) => {
    const defaults = parseDrainSettings('(drain)', teams) as unknown as Record<string, unknown>;
    const changedSettings = parseDrainSettings(`(drain (${name} 77))`, teams) as unknown as Record<
      string,
      unknown
    >;
    const changed = Object.keys(changedSettings).filter(
      (key) => typeof changedSettings[key] === 'number' && changedSettings[key] !== defaults[key],
    );
    expect(changed.map((key) => [defaults[key], changedSettings[key]])).toEqual([[initial, 77]]);
    expect(parseDrainSettings(`(drain (${name} ${least - 1}))`, teams)).toEqual({
      error: `drain: field ${name}: must be a number from ${least} to 86400`,
    });
  });

  it('is valid as deployed, and with budgets of every form', () => {
    const deployed = readFileSync(new URL('../deploy/drain.scm', import.meta.url), 'utf8');
    const full = `(drain (budgets (default (at-once 3)) (team blue (at-once 2) (at-once-share 0.25)
      (within 600 10) (class settle (at-once 1) (at-once-share 0.5) (within 60 1)))))`;
    for (const text of [deployed, full])
      expect(parseDrainSettings(text, teams)).not.toHaveProperty('error');
  });
});

describe("the platform's settings", () => {
  it('are accepted, or rejected by name, as pinned for each missing field', () => {
    const messages: Record<string, string> = {};
    const removeFields = (path: readonly string[], value: unknown): void => {
      if (typeof value !== 'object' || value === null) return;
      for (const [key, inner] of Object.entries(value)) {
        const fieldPath = [...path, key];
        const settings = JSON.parse(settingsText());
        let parent = settings;
        for (const step of path) parent = parent[step];
        if (Array.isArray(value)) removeFields(fieldPath, inner);
        else {
          delete parent[key];
          messages[fieldPath.join('.')] = errorMessageOf(() =>
            parseSettings(JSON.stringify(settings)),
          );
          removeFields(fieldPath, inner);
        }
      }
    };
    removeFields([], JSON.parse(settingsText()));
    pins.check('settings without a field', messages);
  });
});

describe('the pinned commands', () => {
  it('are all compared', () => expect(pins.unusedNames()).toEqual([]));
});
