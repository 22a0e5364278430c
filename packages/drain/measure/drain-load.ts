/**
 * Drains a fleet of stand-in workers under load in different ways and reports what each costs. Not part of the tests: see
 * `scripts/measure-drain.mjs`. Usage: drain-load WAY MACHINES [SEED]
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { randomExponential, randomLcg, randomLogNormal } from 'd3-random';
import { build as buildHistogram } from 'hdr-histogram-js';
import { post } from '../../../test/stand-ins/cloud.js';
import { body, cleanUp, until } from '../../../test/stand-ins/cluster.js';
import { buildProgram, startProcesses } from '../../../test/stand-ins/processes.js';
import { lostWithMachines, mostStoppedAtOnce, ranTwice } from '../test/support/history-checker.js';

/** How the fleet is emptied: what the file allows, and the share of the machines that one step takes. */
interface Way {
  readonly budgets: string;
  readonly share: number;
  /** Without the daemon: the cloud takes all machines at once. */
  readonly byCloud?: boolean;
}

const WAYS: Readonly<Record<string, Way>> = {
  budgets: {
    budgets: '(budgets (team blue (at-once-share 0.1)) (team green (at-once 4)))',
    share: 0.1,
  },
  'no-budgets': { budgets: '(budgets)', share: 0.1 },
  'all-at-once': { budgets: '(budgets)', share: 1 },
  'taken-at-once': { budgets: '(budgets)', share: 1, byCloud: true },
};

const CPUS = 8;
/** Of the fleet's processors, what long tasks and replicas are to use. */
const LONG_SHARE = 0.5;
const REPLICA_SHARE = 0.05;
/** Longer than any drain that is measured. */
const LONG_RUN_MS = 1_200_000;
const SHORT_RATE_PER_S = 4;
const WARM_UP_MS = 5000;
const CHECK_IN_MS = 1000;

const BLUE = 'blue';
const GREEN = 'green';
const idOf = (n: number): string => `job-${String(n).padStart(6, '0')}`;

const run = async (name: string, machines: number, seed: number): Promise<object> => {
  const way = WAYS[name];
  if (!way) throw new Error(`unknown way ${name}; known: ${Object.keys(WAYS).join(', ')}`);
  const source = randomLcg(seed);
  const gapS = randomExponential.source(source)(SHORT_RATE_PER_S);
  const shortMs = randomLogNormal.source(source)(Math.log(1500), 0.5);
  const { directory, remove } = await buildProgram();
  const file = join(directory, 'drain.scm');
  await writeFile(file, `(drain (let-end-s 5) ${way.budgets})`);
  const cpus = machines * CPUS;
  const fleet = await startProcesses(directory, 3, machines * 4, ['--enable', file], {
    workers: { report_s: 2, lease_s: 16, cancel_s: 40 },
    teams: [
      { name: BLUE, cpus: cpus * 0.75, cpus_max: cpus },
      { name: GREEN, cpus: cpus * 0.25, cpus_max: cpus },
    ],
    quota: { cores: 1, mem_mb: 1000, max_connections: machines * 4 + 500 },
  });
  const { cloud, processes } = fleet;
  const runMs = new Map<string, number | null>();
  const teams = new Map<string, string>();
  cloud.checkInMs = CHECK_IN_MS;
  cloud.runMsOf = (task) => runMs.get(task.split('/')[0]!) ?? null;
  cloud.savesOf = (task) => runMs.get(task.split('/')[0]!) === LONG_RUN_MS;
  const submitted = new Map<string, number>();
  let next = 0;
  const submit = async (ms: number | null, change: Record<string, unknown>) => {
    const id = idOf(next++);
    runMs.set(id, ms);
    teams.set(id, String(change.Crew));
    submitted.set(id, Date.now());
    const at = processes[next % processes.length]!.api;
    await until(async () =>
      [200, 201].includes((await post(at, '/api/jobs', body(id, change)))?.status ?? 0),
    );
  };
  const replicas = Math.round(cpus * REPLICA_SHARE);
  const longTasks = Math.round((cpus * LONG_SHARE) / 2);
  await submit(null, { Crew: GREEN, Shape: 'daemon', Rank: 'standard', Pieces: replicas, Cpus: 1 });
  await submit(LONG_RUN_MS, {
    Crew: BLUE,
    Pieces: longTasks,
    Cpus: 2,
    GuessS: LONG_RUN_MS / 1000,
    BookmarkS: 5,
    StowS: 1,
  });
  const running = () => [...cloud.workers.values()].reduce((sum, w) => sum + w.running().length, 0);
  await until(() => running() >= replicas + longTasks);
  let loading = true;
  const load = (async () => {
    while (loading) {
      await submit(shortMs(), { Crew: BLUE, Pieces: 2, Cpus: 1, GuessS: 2 });
      await new Promise((resolve) => setTimeout(resolve, gapS() * 1000));
    }
  })();
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
  const before = [...cloud.workers.keys()];
  const from = Date.now();
  const at = processes[0]!.api;
  if (way.byCloud) {
    await post(fleet.cloudAt, '/machines/delete', { Berths: before });
  } else {
    const request = { name: 'whole', select: { all: true }, atOnceShare: way.share };
    const begun = await until(async () => {
      const reply = await post(at, '/api/drains', request);
      return reply && reply.status !== 503 ? reply : null;
    });
    if (begun.status !== 201) throw new Error(`refused: ${JSON.stringify(begun.body)}`);
  }
  await until(() => before.every((machine) => !cloud.workers.has(machine)));
  await until(() => running() >= replicas + longTasks);
  const tookS = (Date.now() - from) / 1000;
  loading = false;
  await load;
  await new Promise((resolve) => setTimeout(resolve, 3000));
  const delays = buildHistogram({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000 });
  for (const [id, submittedAt] of submitted) {
    if (submittedAt < from || id < idOf(2)) continue;
    const started = cloud.history.find(
      ({ kind, task }) => kind === 'start' && task.startsWith(`${id}/`),
    );
    if (started) delays.recordValue(Math.max(1, started.at - submittedAt));
  }
  const most = mostStoppedAtOnce(cloud.history, (task) => teams.get(task.split('/')[0]!) ?? '');
  const result = {
    way: name,
    machines: before.length,
    seed,
    drainedInS: Math.round(tookS),
    redoneTaskS: Math.round(cloud.redoneMs / 1000),
    stops: cloud.history.filter(({ kind }) => kind === 'stop').length,
    mostStoppedAtOnce: Object.fromEntries(most),
    lostTasks: lostWithMachines(cloud.history).length,
    ranTwice: ranTwice(cloud.history).length,
    otherJobs: delays.totalCount,
    startDelayMs: {
      p50: delays.getValueAtPercentile(50),
      p90: delays.getValueAtPercentile(90),
      p99: delays.getValueAtPercentile(99),
      max: delays.maxValue,
    },
  };
  cleanUp();
  await remove();
  return result;
};

const [way = 'budgets', machines = '100', seed = '1'] = process.argv.slice(2);
process.stdout.write(`${JSON.stringify(await run(way, Number(machines), Number(seed)))}\n`);
process.exit(0);
