/**
 * A fleet of stand-ins under steady load is drained whole by the command line on real daemons, with
 * leaders killed on the way.
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { body, cleanUp, status, until } from '../../../test/stand-ins/cluster.js';
import { post } from '../../../test/stand-ins/http.js';
import { buildProgram, runCommand, startProcesses } from '../../../test/stand-ins/processes.js';
import {
  findConcurrentRuns,
  maxStoppedByTeam,
  tasksLostWithMachines,
} from './support/history-checker.js';

const BUDGETS = `(drain (let-end-s 0) (stalled-after-s 5)
  (budgets (team blue (at-once 2)) (team green (at-once 1))))`;

let directory = '';
let remove = async (): Promise<void> => {};

beforeAll(async () => {
  ({ directory, remove } = await buildProgram());
});
afterAll(() => remove());
afterEach(cleanUp);

const WORKERS = { report_s: 0.3, lease_s: 6, cancel_s: 20 };

const startFleet = async (capacity: number, params: Record<string, unknown> = {}) => {
  const file = join(directory, 'drain.scm');
  await writeFile(file, BUDGETS);
  return startProcesses(directory, 3, capacity, ['--enable', file], {
    workers: WORKERS,
    ...params,
  });
};

/** The exit code of a command that a new leader does not serve yet. */
const TRY_LATER = 4;
const CHECKPOINTING = { Pieces: 4, GuessS: 600, BookmarkS: 1, StowS: 0, Cpus: 2 };

describe('a drain of a whole fleet of processes', () => {
  it('keeps every budget and loses no job under load, while leaders are killed and machines die', async () => {
    const { cloud, processes, leader, killAndRestart } = await startFleet(40);
    const teamOf = (task: string) => (Number(task.slice(4, 10)) % 2 === 0 ? 'blue' : 'green');
    const id = (n: number) => `job-${String(n).padStart(6, '0')}`;
    cloud.runMsOf = (task) => (Number(task.slice(4, 10)) < 10 ? null : 1500);
    const at = (n: number) => processes[n % processes.length]!.api;
    const submit = async (n: number, change: object) => {
      const Crew = n % 2 === 0 ? 'blue' : 'green';
      await until(async () =>
        [200, 201].includes(
          (await post(at(n), '/api/jobs', body(id(n), { Crew, ...change })))?.status ?? 0,
        ),
      );
    };
    for (const n of [2, 3]) await submit(n, { Shape: 'daemon', Rank: 'standard', Pieces: 3 });
    for (const n of [4, 5]) await submit(n, { ...CHECKPOINTING, Pieces: n === 4 ? 6 : 3 });
    const tasks = () => [...cloud.workers.values()].reduce((sum, w) => sum + w.running().length, 0);
    // Three machines hold these tasks; the capacity headroom of 1.2 brings the fourth soon after.
    await until(() => tasks() >= 15 && cloud.workers.size >= 4);
    const before = [...cloud.workers.keys()];
    expect(before.length).toBeGreaterThanOrEqual(4);

    const start = ['drain', 'start', 'whole', '--all', '--at-once', '2', '--at', at(1)];
    // On a busy machine the leader may have changed just now: its successor asks to try later.
    const first = await until(async () => {
      const result = await runCommand(directory, start);
      return result.code === TRY_LATER ? null : result;
    });
    expect([first.code, first.error]).toEqual([0, '']);
    expect(first.out).toContain(`of ${before.length} returned`);
    // Steady load beside it, by whichever node answers.
    let load = 10;
    let loading = true;
    const arrivals = (async () => {
      for (; loading; load += 1) {
        await submit(load, { ...CHECKPOINTING, Pieces: 2, Cpus: 1 });
        await new Promise((resolve) => setTimeout(resolve, 150));
      }
    })();
    const gone = () => before.filter((name) => !cloud.workers.has(name)).length;
    // Two leaders are killed, and at those moments a machine of the drain and a replacement die.
    for (const part of [0.25, 0.6]) {
      await until(() => gone() >= before.length * part);
      await killAndRestart(leader()!);
      const alive = [...cloud.workers.entries()].filter(
        ([, worker]) => worker.running().length > 0,
      );
      const old = alive.find(([name]) => before.includes(name));
      const fresh = alive.find(([name]) => !before.includes(name));
      for (const [, worker] of [old, fresh].filter((found) => found !== undefined)) worker.crash();
    }
    const doneOf = async () => {
      const shown = await runCommand(directory, [
        'drain',
        'status',
        'whole',
        '--json',
        '--at',
        at(0),
      ]);
      return shown.code === 0
        ? (JSON.parse(shown.out) as { status: string; returned: number; failed: number })
        : null;
    };
    const told = await until(async () => {
      const answer = await doneOf();
      return answer?.status === 'done' ? answer : null;
    });
    loading = false;
    await arrivals;
    expect(gone()).toBe(before.length);
    expect(told.returned + told.failed).toBe(before.length);
    expect(cloud.history.some(({ kind }) => kind === 'crashed')).toBe(true);
    // Every job of the load is done; the long ones run on.
    for (let n = 10; n < load; n += 1) {
      await until(async () => (await status(at(n), id(n)))?.body.Status === 'done');
    }
    await until(() => tasks() >= 15);
    const most = maxStoppedByTeam(cloud.history, teamOf);
    expect(most.get('blue')).toBeLessThanOrEqual(2);
    expect(most.get('green')).toBeLessThanOrEqual(1);
    expect(cloud.history.filter(({ kind }) => kind === 'stop').length).toBeGreaterThanOrEqual(6);
    expect(findConcurrentRuns(cloud.history)).toEqual([]);
    expect(tasksLostWithMachines(cloud.history)).toEqual([]);
    const list = await runCommand(directory, ['drain', 'list', '--at', at(2)]);
    expect(list.out).toMatch(/^whole: done/);
  }, 120_000);

  it('stays within the rate of a slow key-value store, while users are served', async () => {
    const { cloud, processes, state } = await startFleet(20, {
      state: { rps: 150, write_rps: 20, value_kb: 1, txn_ops: 3 },
    });
    state.limits = { valueBytes: 1024, txnOps: 3, writeRps: 20 };
    const at = processes[0]!.api;
    cloud.runMsOf = (task) => (task.startsWith('job-000004') ? null : 300);
    expect(
      (await post(at, '/api/jobs', body('job-000004', { ...CHECKPOINTING, Pieces: 6 })))?.status,
    ).toBe(201);
    await until(
      () => [...cloud.workers.values()].reduce((sum, w) => sum + w.running().length, 0) === 6,
    );
    const before = [...cloud.workers.keys()];
    const begun = await runCommand(directory, [
      'drain',
      'start',
      'slow',
      '--all',
      '--at-once',
      '50%',
      '--at',
      at,
    ]);
    expect(begun.code).toBe(0);
    const told = new Set<number>();
    for (let n = 20; n < 30; n += 1) {
      const reply = await post(at, '/api/jobs', body(`job-0000${n}`, { Pieces: 1 }));
      told.add(reply?.status ?? 0);
    }
    expect([...told]).toEqual([201]);
    await until(() => before.every((name) => !cloud.workers.has(name)));
    expect(maxStoppedByTeam(cloud.history, () => 'blue').get('blue')).toBeLessThanOrEqual(2);
    expect(state.refused).toEqual([]);
    expect(tasksLostWithMachines(cloud.history)).toEqual([]);
  }, 60_000);
});

describe('the drain commands', () => {
  it('tell errors in one line, with an exit code for each kind', async () => {
    const { processes, state } = await startFleet(4);
    const at = processes[0]!.api;
    const run = (...args: string[]) => runCommand(directory, ['drain', ...args]);
    // `list` is served as soon as there is a leader, `start` only once its machines have reported.
    const runOnceServed = (...args: string[]) =>
      until(async () => {
        const result = await run(...args);
        return result.code === TRY_LATER ? null : result;
      });
    await until(async () => (await run('list', '--at', at)).code === 0);
    expect(await run('status', 'none', '--at', at)).toMatchObject({
      code: 1,
      error: 'robinspread: 404 no such drain\n',
    });
    expect(await runOnceServed('start', 'x', '--type', 'c9', '--at', at)).toMatchObject({
      code: 2,
      error: 'robinspread: 422 field select.type: unknown machine type c9\n',
    });
    expect(await run('start', 'x', '--at', at)).toMatchObject({
      code: 2,
      error: 'robinspread: 400 field select: must not be empty\n',
    });
    expect(await run('start', 'x', '--all', '--at-once', 'many', '--at', at)).toMatchObject({
      code: 2,
    });
    const nobody = await run('list', '--at', '127.0.0.1:1');
    expect(nobody).toMatchObject({ code: 3, error: 'robinspread: no answer from 127.0.0.1:1\n' });
    const plan = await run('plan', '--all', '--at', at);
    expect(plan.out).toMatch(/machines in \d+ steps of 1/);
    expect((await run('budgets', '--at', at)).out).toBe(
      'team blue: 0 disrupted of 2\nteam green: 0 disrupted of 1\n',
    );
    // Without the key-value store nobody leads: answered at once, with another exit code.
    state.isDown = true;
    const later = await until(async () => {
      const answer = await run('list', '--at', at);
      return answer.code === 4 ? answer : null;
    });
    expect(later.error).toMatch(/^robinspread: 503 /);
    const reply = await post(at, '/api/drains', undefined, 'GET');
    expect(reply?.headers['retry-after']).toBeDefined();
  }, 60_000);

  it('refuse a faulty file at start-up with exit code 2 and one line', async () => {
    const file = join(directory, 'bad.scm');
    await writeFile(file, '(drain (budgets (team red (at-once 1))))');
    const settings = join(directory, 'plain.json');
    const { settingsText } = await import('../../../test/stand-ins/settings.js');
    await writeFile(settings, settingsText());
    const bad = await runCommand(directory, [
      'check-config',
      '--config',
      settings,
      '--enable',
      file,
    ]);
    expect(bad).toEqual({
      code: 2,
      out: '',
      error: 'robinspread: drain: field budgets: unknown team red\n',
    });
    await writeFile(file, '(unheard-of)');
    const none = await runCommand(directory, [
      'check-config',
      '--config',
      settings,
      '--enable',
      file,
    ]);
    expect(none.code).toBe(2);
    expect(none.error).toMatch(/^robinspread: extension: .* begins with no known name/);
    const good = await runCommand(directory, [
      'check-config',
      '--config',
      settings,
      '--enable',
      'deploy/drain.scm',
    ]);
    expect(good.code).toBe(0);
  });
});
