/**
 * Drains a fleet of stand-in workers under load in different ways and reports what each costs. Not
 * part of the tests: see `scripts/measure-drain.mjs`. Usage: drain-load WAY MACHINES [SEED]
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { randomExponential, randomLcg, randomLogNormal } from 'd3-random';
import { build as buildHistogram } from 'hdr-histogram-js';
import { body, cleanUp, until } from '../../../test/stand-ins/cluster.js';
import { post } from '../../../test/stand-ins/http.js';
import { buildProgram, startProcesses } from '../../../test/stand-ins/processes.js';
import {
  findConcurrentRuns,
  maxStoppedByTeam,
  tasksLostWithMachines,
} from '../test/support/history-checker.js';

/** How the fleet is emptied: the budgets of the file, and the share of the machines in a step. */
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

const CPUS_PER_MACHINE = 8;
/** Shares of the fleet's processors that long tasks and replicas use. */
const LONG_TASK_SHARE = 0.5;
const REPLICA_SHARE = 0.05;
/** Longer than any drain that is measured. */
const LONG_TASK_MS = 1_200_000;
const SHORT_JOBS_PER_S = 4;
const WARM_UP_MS = 5000;
/** For the last stops and starts to be in the history. */
const SETTLE_MS = 3000;
const HEARTBEAT_MS = 1000;

const BLUE = 'blue';
const GREEN = 'green';
const jobIdOf = (n: number): string => `job-${String(n).padStart(6, '0')}`;

const jobOf = (task: string): string => task.split('/')[0] ?? '';
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

type Fleet = Awaited<ReturnType<typeof startProcesses>>;

/** The jobs that a measurement submits, and what the stand-in workers make of them. */
class Load {
  /** When each job was submitted. */
  readonly submittedAt = new Map<string, number>();
  private readonly teamByJob = new Map<string, string>();
  /** How long each job's tasks run; null: for ever. */
  private readonly runMsByJob = new Map<string, number | null>();
  private next = 0;
  private isOn = true;

  constructor(private readonly fleet: Fleet) {
    fleet.cloud.runMsOf = (task) => this.runMsByJob.get(jobOf(task)) ?? null;
    fleet.cloud.writesCheckpoints = (task) => this.runMsByJob.get(jobOf(task)) === LONG_TASK_MS;
  }

  teamOf(task: string): string {
    return this.teamByJob.get(jobOf(task)) ?? '';
  }

  runningTasks(): number {
    const workers = [...this.fleet.cloud.workers.values()];
    return workers.reduce((sum, worker) => sum + worker.running().length, 0);
  }

  /** Submits a job to the controllers in turn, until one takes it. */
  async submit(runMs: number | null, fields: Record<string, unknown>): Promise<void> {
    const { processes } = this.fleet;
    const id = jobIdOf(this.next++);
    this.runMsByJob.set(id, runMs);
    this.teamByJob.set(id, String(fields.Crew));
    this.submittedAt.set(id, Date.now());
    const controller = processes[this.next % processes.length];
    if (!controller) throw new Error('no controller');
    await until(async () => {
      const reply = await post(controller.api, '/api/jobs', body(id, fields));
      return [200, 201].includes(reply?.status ?? 0);
    });
  }

  /** Submits short jobs until it is ended. */
  async keepSubmitting(nextRunMs: () => number, nextGapS: () => number): Promise<void> {
    while (this.isOn) {
      await this.submit(nextRunMs(), { Crew: BLUE, Pieces: 2, Cpus: 1, GuessS: 2 });
      await sleep(nextGapS() * 1000);
    }
  }

  end(): void {
    this.isOn = false;
  }
}

const startFleet = async (directory: string, way: Way, machines: number): Promise<Fleet> => {
  const file = join(directory, 'drain.scm');
  await writeFile(file, `(drain (let-end-s 5) ${way.budgets})`);
  const cpus = machines * CPUS_PER_MACHINE;
  const fleet = await startProcesses(directory, 3, machines * 4, ['--enable', file], {
    workers: { report_s: 2, lease_s: 16, cancel_s: 40 },
    teams: [
      { name: BLUE, cpus: cpus * 0.75, cpus_max: cpus },
      { name: GREEN, cpus: cpus * 0.25, cpus_max: cpus },
    ],
    quota: { cores: 1, mem_mb: 1000, max_connections: machines * 4 + 500 },
  });
  fleet.cloud.heartbeatMs = HEARTBEAT_MS;
  return fleet;
};

/** Submits the replicas and the long tasks; returns how many there are of both. */
const submitLongWork = async (load: Load, cpus: number): Promise<number> => {
  const replicas = Math.round(cpus * REPLICA_SHARE);
  const longTasks = Math.round((cpus * LONG_TASK_SHARE) / 2);
  const service = { Crew: GREEN, Shape: 'daemon', Rank: 'standard', Pieces: replicas, Cpus: 1 };
  await load.submit(null, service);
  await load.submit(LONG_TASK_MS, {
    Crew: BLUE,
    Pieces: longTasks,
    Cpus: 2,
    GuessS: LONG_TASK_MS / 1000,
    BookmarkS: 5,
    StowS: 1,
  });
  return replicas + longTasks;
};

/** Has the fleet emptied: by a drain, or by the cloud at once. */
const emptyFleet = async (
  { cloudAt, processes }: Fleet,
  way: Way,
  machines: readonly string[],
): Promise<void> => {
  if (way.byCloud) {
    await post(cloudAt, '/machines/delete', { Berths: machines });
    return;
  }
  const controller = processes[0];
  if (!controller) throw new Error('no controller');
  const request = { name: 'whole', select: { all: true }, atOnceShare: way.share };
  const reply = await until(async () => {
    const answer = await post(controller.api, '/api/drains', request);
    return answer && answer.status !== 503 ? answer : null;
  });
  if (reply.status !== 201) throw new Error(`refused: ${JSON.stringify(reply.body)}`);
};

/** How long the jobs that were submitted from a moment on waited for their first start. */
const startDelays = ({ cloud }: Fleet, load: Load, from: number) => {
  const delays = buildHistogram({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000 });
  for (const [id, submittedAt] of load.submittedAt) {
    if (submittedAt < from || id < jobIdOf(2)) continue;
    const started = cloud.history.find(
      ({ kind, task }) => kind === 'start' && task.startsWith(`${id}/`),
    );
    if (started) delays.recordValue(Math.max(1, started.at - submittedAt));
  }
  return delays;
};

const run = async (name: string, machines: number, seed: number): Promise<object> => {
  const way = WAYS[name];
  if (!way) throw new Error(`unknown way ${name}; known: ${Object.keys(WAYS).join(', ')}`);
  const source = randomLcg(seed);
  const nextGapS = randomExponential.source(source)(SHORT_JOBS_PER_S);
  const nextRunMs = randomLogNormal.source(source)(Math.log(1500), 0.5);
  const { directory, remove } = await buildProgram();
  const fleet = await startFleet(directory, way, machines);
  const { cloud } = fleet;
  const load = new Load(fleet);
  const longWork = await submitLongWork(load, machines * CPUS_PER_MACHINE);
  await until(() => load.runningTasks() >= longWork);
  const arrivals = load.keepSubmitting(nextRunMs, nextGapS);
  await sleep(WARM_UP_MS);
  const before = [...cloud.workers.keys()];
  const from = Date.now();
  await emptyFleet(fleet, way, before);
  await until(() => before.every((machine) => !cloud.workers.has(machine)));
  await until(() => load.runningTasks() >= longWork);
  const tookS = (Date.now() - from) / 1000;
  load.end();
  await arrivals;
  await sleep(SETTLE_MS);
  const delays = startDelays(fleet, load, from);
  const most = maxStoppedByTeam(cloud.history, (task) => load.teamOf(task));
  const result = {
    way: name,
    machines: before.length,
    seed,
    drainedInS: Math.round(tookS),
    redoneTaskS: Math.round(cloud.redoneMs / 1000),
    stops: cloud.history.filter(({ kind }) => kind === 'stop').length,
    mostStoppedAtOnce: Object.fromEntries(most),
    lostTasks: tasksLostWithMachines(cloud.history).length,
    ranTwice: findConcurrentRuns(cloud.history).length,
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
