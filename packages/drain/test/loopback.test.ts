/**
 * Real controller processes drain a fleet of stand-ins under load. Guards against lost jobs, double
 * runs and exceeded budgets when leaders are killed on the way.
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { cleanUp, getJob, jobBody, until } from '../../../test/stand-ins/cluster.js';
import { requestJson } from '../../../test/stand-ins/http.js';
import { buildProgram, runCommand, startProcesses } from '../../../test/stand-ins/processes.js';
import {
  findConcurrentRuns,
  maxStoppedByTeam,
  tasksLostWithMachines,
} from './support/history-checker.js';

const DRAIN_SETTINGS = `(drain (let-end-s 0) (stalled-after-s 5)
  (budgets (team blue (at-once 2)) (team green (at-once 1))))`;

let directory = '';
let removeDirectory = async (): Promise<void> => {};

beforeAll(async () => {
  ({ directory, remove: removeDirectory } = await buildProgram());
});
afterAll(() => removeDirectory());
afterEach(cleanUp);

const WORKER_TIMINGS = { report_s: 0.3, lease_s: 6, cancel_s: 20 };

const startFleet = async (capacity: number, params: Record<string, unknown> = {}) => {
  const file = join(directory, 'drain.scm');
  await writeFile(file, DRAIN_SETTINGS);
  return startProcesses(directory, 3, capacity, ['--enable', file], {
    workers: WORKER_TIMINGS,
    ...params,
  });
};

/** Exit code of a command while no leader can serve it (HTTP status 503). */
const EXIT_CODE_UNAVAILABLE = 4;
const CHECKPOINTING = { Pieces: 4, GuessS: 600, BookmarkS: 1, StowS: 0, Cpus: 2 };

describe('a drain of a whole fleet', () => {
  it('keeps budgets and loses no job under load, while leaders and machines crash', async () => {
    const { cloud, processes, leader, killAndRestart } = await startFleet(40);
    const teamOf = (task: string) => (Number(task.slice(4, 10)) % 2 === 0 ? 'blue' : 'green');
    const jobId = (n: number) => `job-${String(n).padStart(6, '0')}`;
    cloud.runMsOf = (task) => (Number(task.slice(4, 10)) < 10 ? null : 1500);
    const apiOf = (n: number) => processes[n % processes.length]!.api;
    const submit = async (n: number, change: object) => {
      const Crew = n % 2 === 0 ? 'blue' : 'green';
      await until(async () =>
        [200, 201].includes(
          (await requestJson(apiOf(n), '/api/jobs', jobBody(jobId(n), { Crew, ...change })))
            ?.status ?? 0,
        ),
      );
    };
    for (const n of [2, 3]) await submit(n, { Shape: 'daemon', Rank: 'standard', Pieces: 3 });
    for (const n of [4, 5]) await submit(n, { ...CHECKPOINTING, Pieces: n === 4 ? 6 : 3 });
    const countRunningTasks = () =>
      [...cloud.workers.values()].reduce((sum, w) => sum + w.running().length, 0);
    // These tasks fill three machines; the capacity headroom of 1.2 then provisions a fourth.
    await until(() => countRunningTasks() >= 15 && cloud.workers.size >= 4);
    const initialMachines = [...cloud.workers.keys()];
    expect(initialMachines.length).toBeGreaterThanOrEqual(4);

    const startCommand = ['drain', 'start', 'whole', '--all', '--at-once', '2', '--at', apiOf(1)];
    // On a busy host the leader may have just changed; a new one answers 503 at first.
    const startResult = await until(async () => {
      const result = await runCommand(directory, startCommand);
      return result.code === EXIT_CODE_UNAVAILABLE ? null : result;
    });
    expect([startResult.code, startResult.error]).toEqual([0, '']);
    expect(startResult.out).toContain(`of ${initialMachines.length} returned`);
    // Steady load during the drain, through each node in turn.
    let nextJobNumber = 10;
    let isSubmitting = true;
    const arrivals = (async () => {
      for (; isSubmitting; nextJobNumber += 1) {
        await submit(nextJobNumber, { ...CHECKPOINTING, Pieces: 2, Cpus: 1 });
        await new Promise((resolve) => setTimeout(resolve, 150));
      }
    })();
    const countDeleted = () => initialMachines.filter((name) => !cloud.workers.has(name)).length;
    // Kills two leaders, and at the same time crashes a machine to be drained and a new one.
    for (const deletedShare of [0.25, 0.6]) {
      await until(() => countDeleted() >= initialMachines.length * deletedShare);
      await killAndRestart(leader()!);
      const busyMachines = [...cloud.workers.entries()].filter(
        ([, worker]) => worker.running().length > 0,
      );
      const drainedMachine = busyMachines.find(([name]) => initialMachines.includes(name));
      const replacement = busyMachines.find(([name]) => !initialMachines.includes(name));
      for (const [, worker] of [drainedMachine, replacement].filter((found) => found !== undefined))
        worker.crash();
    }
    const readStatus = async () => {
      const result = await runCommand(directory, [
        'drain',
        'status',
        'whole',
        '--json',
        '--at',
        apiOf(0),
      ]);
      return result.code === 0
        ? (JSON.parse(result.out) as { status: string; returned: number; failed: number })
        : null;
    };
    const finalStatus = await until(async () => {
      const answer = await readStatus();
      return answer?.status === 'done' ? answer : null;
    });
    isSubmitting = false;
    await arrivals;
    expect(countDeleted()).toBe(initialMachines.length);
    expect(finalStatus.returned + finalStatus.failed).toBe(initialMachines.length);
    expect(cloud.taskEvents.some(({ kind }) => kind === 'crashed')).toBe(true);
    // Every job of the load completes; the long jobs run on.
    for (let n = 10; n < nextJobNumber; n += 1) {
      await until(async () => (await getJob(apiOf(n), jobId(n)))?.body.Status === 'done');
    }
    await until(() => countRunningTasks() >= 15);
    const maxStopped = maxStoppedByTeam(cloud.taskEvents, teamOf);
    expect(maxStopped.get('blue')).toBeLessThanOrEqual(2);
    expect(maxStopped.get('green')).toBeLessThanOrEqual(1);
    expect(cloud.taskEvents.filter(({ kind }) => kind === 'stop').length).toBeGreaterThanOrEqual(6);
    expect(findConcurrentRuns(cloud.taskEvents)).toEqual([]);
    expect(tasksLostWithMachines(cloud.taskEvents)).toEqual([]);
    const list = await runCommand(directory, ['drain', 'list', '--at', apiOf(2)]);
    expect(list.out).toMatch(/^whole: done/);
  }, 120_000);

  it('stays within the limits of a slow key-value store, while users are served', async () => {
    const { cloud, processes, state } = await startFleet(20, {
      state: { rps: 150, write_rps: 20, value_kb: 1, txn_ops: 3 },
    });
    state.limits = { valueBytes: 1024, txnOps: 3, writeRps: 20 };
    const at = processes[0]!.api;
    cloud.runMsOf = (task) => (task.startsWith('job-000004') ? null : 300);
    expect(
      (await requestJson(at, '/api/jobs', jobBody('job-000004', { ...CHECKPOINTING, Pieces: 6 })))
        ?.status,
    ).toBe(201);
    await until(
      () => [...cloud.workers.values()].reduce((sum, w) => sum + w.running().length, 0) === 6,
    );
    const initialMachines = [...cloud.workers.keys()];
    const startResult = await runCommand(directory, [
      'drain',
      'start',
      'slow',
      '--all',
      '--at-once',
      '50%',
      '--at',
      at,
    ]);
    expect(startResult.code).toBe(0);
    const statuses = new Set<number>();
    for (let n = 20; n < 30; n += 1) {
      const reply = await requestJson(at, '/api/jobs', jobBody(`job-0000${n}`, { Pieces: 1 }));
      statuses.add(reply?.status ?? 0);
    }
    expect([...statuses]).toEqual([201]);
    await until(() => initialMachines.every((name) => !cloud.workers.has(name)));
    expect(maxStoppedByTeam(cloud.taskEvents, () => 'blue').get('blue')).toBeLessThanOrEqual(2);
    expect(state.rejectedTransactions).toEqual([]);
    expect(tasksLostWithMachines(cloud.taskEvents)).toEqual([]);
  }, 60_000);
});

describe('the drain commands', () => {
  it('tell errors in one line, with an exit code for each kind', async () => {
    const { processes, state } = await startFleet(4);
    const at = processes[0]!.api;
    const run = (...args: string[]) => runCommand(directory, ['drain', ...args]);
    // `list` is served once there is a leader; `start` only once its machines have reported.
    const runOnceServed = (...args: string[]) =>
      until(async () => {
        const result = await run(...args);
        return result.code === EXIT_CODE_UNAVAILABLE ? null : result;
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
    const noController = await run('list', '--at', '127.0.0.1:1');
    expect(noController).toMatchObject({
      code: 3,
      error: 'robinspread: no answer from 127.0.0.1:1\n',
    });
    const plan = await run('plan', '--all', '--at', at);
    expect(plan.out).toMatch(/machines in \d+ steps of 1/);
    expect((await run('budgets', '--at', at)).out).toBe(
      'team blue: 0 disrupted of 2\nteam green: 0 disrupted of 1\n',
    );
    // Without the key-value store there is no leader: the answer is immediate, with exit code 4.
    state.isDown = true;
    const unavailable = await until(async () => {
      const answer = await run('list', '--at', at);
      return answer.code === 4 ? answer : null;
    });
    expect(unavailable.error).toMatch(/^robinspread: 503 /);
    const reply = await requestJson(at, '/api/drains', undefined, 'GET');
    expect(reply?.headers['retry-after']).toBeDefined();
  }, 60_000);

  it('refuse a faulty extension file in check-config with exit code 2 and one line', async () => {
    const file = join(directory, 'bad.scm');
    await writeFile(file, '(drain (budgets (team red (at-once 1))))');
    const settings = join(directory, 'plain.json');
    const { settingsText } = await import('../../../test/stand-ins/settings.js');
    await writeFile(settings, settingsText());
    const faulty = await runCommand(directory, [
      'check-config',
      '--config',
      settings,
      '--enable',
      file,
    ]);
    expect(faulty).toEqual({
      code: 2,
      out: '',
      error: 'robinspread: drain: field budgets: unknown team red\n',
    });
    await writeFile(file, '(unheard-of)');
    const unknownExtension = await runCommand(directory, [
      'check-config',
      '--config',
      settings,
      '--enable',
      file,
    ]);
    expect(unknownExtension.code).toBe(2);
    expect(unknownExtension.error).toMatch(/^robinspread: extension: .* begins with no known name/);
    const valid = await runCommand(directory, [
      'check-config',
      '--config',
      settings,
      '--enable',
      'deploy/drain.scm',
    ]);
    expect(valid.code).toBe(0);
  });
});
