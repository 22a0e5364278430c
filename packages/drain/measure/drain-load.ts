/**
 * Empties a fleet of stand-in workers under load with one of `STRATEGIES` and prints the cost as
 * one line of JSON. Run by `scripts/measure-drain.mjs`.
 *
 * Usage: drain-load [STRATEGY [MACHINES [SEED]]]
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { randomExponential, randomLcg, randomLogNormal } from 'd3-random';
import { build as buildHistogram } from 'hdr-histogram-js';
import { cleanUp, jobBody, until } from '../../../test/stand-ins/cluster.js';
import { requestJson } from '../../../test/stand-ins/http.js';
import { buildProgram, startProcesses } from '../../../test/stand-ins/processes.js';
import {
  findConcurrentRuns,
  maxStoppedByTeam,
  tasksLostWithMachines,
} from '../test/support/history-checker.js';

/** How the fleet is emptied: the budgets and the share of machines per step. */
interface Strategy {
  readonly budgets: string;
  readonly atOnceShare: number;
  /** The cloud deletes all machines at once, without a drain. */
  readonly deletedByCloud?: boolean;
}

const STRATEGIES: Readonly<Record<string, Strategy>> = {
  budgets: {
    budgets: '(budgets (team blue (at-once-share 0.1)) (team green (at-once 4)))',
    atOnceShare: 0.1,
  },
  'no-budgets': { budgets: '(budgets)', atOnceShare: 0.1 },
  'all-at-once': { budgets: '(budgets)', atOnceShare: 1 },
  'taken-at-once': { budgets: '(budgets)', atOnceShare: 1, deletedByCloud: true },
};

const CPUS_PER_MACHINE = 8;
/** Shares of the fleet's CPUs that long tasks and service replicas use. */
const LONG_TASK_SHARE = 0.5;
const REPLICA_SHARE = 0.05;
/** Longer than any measured drain. */
const LONG_TASK_MS = 1_200_000;
const SHORT_JOBS_PER_S = 4;
const WARM_UP_MS = 5000;
/** Time for the last stops and starts to be recorded. */
const SETTLE_MS = 3000;
const HEARTBEAT_MS = 1000;

const BLUE = 'blue';
const GREEN = 'green';
const jobIdFor = (n: number): string => `job-${String(n).padStart(6, '0')}`;

const jobIdOfTask = (task: string): string => task.split('/')[0] ?? '';
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

type Fleet = Awaited<ReturnType<typeof startProcesses>>;

/** Submits the jobs and sets how long the stand-in workers run their tasks. */
class LoadGenerator {
  /** Submission times by job ID, in Unix ms. */
  readonly submittedAt = new Map<string, number>();
  private readonly teamByJob = new Map<string, string>();
  /** Run time of each job's tasks in ms; null: they never end. */
  private readonly runMsByJob = new Map<string, number | null>();
  private nextJobNumber = 0;
  private isSubmitting = true;

  constructor(private readonly fleet: Fleet) {
    fleet.cloud.runMsOf = (task) => this.runMsByJob.get(jobIdOfTask(task)) ?? null;
    fleet.cloud.writesCheckpoints = (task) =>
      this.runMsByJob.get(jobIdOfTask(task)) === LONG_TASK_MS;
  }

  teamOfTask(task: string): string {
    return this.teamByJob.get(jobIdOfTask(task)) ?? '';
  }

  countRunningTasks(): number {
    const workers = [...this.fleet.cloud.workers.values()];
    return workers.reduce((sum, worker) => sum + worker.running().length, 0);
  }

  /** Submits a job to the next controller in turn, and retries until it is accepted. */
  async submit(runMs: number | null, fields: Record<string, unknown>): Promise<void> {
    const { processes } = this.fleet;
    const id = jobIdFor(this.nextJobNumber++);
    this.runMsByJob.set(id, runMs);
    this.teamByJob.set(id, String(fields.Crew));
    this.submittedAt.set(id, Date.now());
    const controller = processes[this.nextJobNumber % processes.length];
    if (!controller) throw new Error('no controller process was started');
    await until(async () => {
      const answer = await requestJson(controller.api, '/api/jobs', jobBody(id, fields));
      return [200, 201].includes(answer?.status ?? 0);
    });
  }

  /** Submits short jobs until `stop` is called. */
  async keepSubmitting(nextRunMs: () => number, nextGapS: () => number): Promise<void> {
    while (this.isSubmitting) {
      await this.submit(nextRunMs(), { Crew: BLUE, Pieces: 2, Cpus: 1, GuessS: 2 });
      await sleep(nextGapS() * 1000);
    }
  }

  stop(): void {
    this.isSubmitting = false;
  }
}

const startFleet = async (
  directory: string,
  strategy: Strategy,
  machines: number,
): Promise<Fleet> => {
  const file = join(directory, 'drain.scm');
  await writeFile(file, `(drain (let-end-s 5) ${strategy.budgets})`);
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

/** Submits replicas and long tasks; returns their total number. */
const submitLongRunningWork = async (load: LoadGenerator, cpus: number): Promise<number> => {
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

/** Starts a drain of all machines, or has the cloud delete them at once. */
const emptyFleet = async (
  { cloudAt, processes }: Fleet,
  strategy: Strategy,
  machines: readonly string[],
): Promise<void> => {
  if (strategy.deletedByCloud) {
    await requestJson(cloudAt, '/machines/delete', { Berths: machines });
    return;
  }
  const controller = processes[0];
  if (!controller) throw new Error('no controller process was started');
  const request = { name: 'whole', select: { all: true }, atOnceShare: strategy.atOnceShare };
  const finalAnswer = await until(async () => {
    const answer = await requestJson(controller.api, '/api/drains', request);
    return answer && answer.status !== 503 ? answer : null;
  });
  if (finalAnswer.status !== 201)
    throw new Error(`the drain was refused: ${JSON.stringify(finalAnswer.body)}`);
};

/** Delays in ms from submission to first start, of short jobs submitted since `sinceMs`. */
const measureStartDelays = ({ cloud }: Fleet, load: LoadGenerator, sinceMs: number) => {
  const delays = buildHistogram({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000 });
  for (const [id, submittedAt] of load.submittedAt) {
    if (submittedAt < sinceMs || id < jobIdFor(2)) continue;
    const started = cloud.taskEvents.find(
      ({ kind, task }) => kind === 'start' && task.startsWith(`${id}/`),
    );
    if (started) delays.recordValue(Math.max(1, started.at - submittedAt));
  }
  return delays;
};

const measure = async (strategyName: string, machines: number, seed: number): Promise<object> => {
  const strategy = STRATEGIES[strategyName];
  if (!strategy)
    throw new Error(`unknown way ${strategyName}; known: ${Object.keys(STRATEGIES).join(', ')}`);
  const source = randomLcg(seed);
  const nextGapS = randomExponential.source(source)(SHORT_JOBS_PER_S);
  const nextRunMs = randomLogNormal.source(source)(Math.log(1500), 0.5);
  const { directory, remove } = await buildProgram();
  const fleet = await startFleet(directory, strategy, machines);
  const { cloud } = fleet;
  const load = new LoadGenerator(fleet);
  const longRunningTasks = await submitLongRunningWork(load, machines * CPUS_PER_MACHINE);
  await until(() => load.countRunningTasks() >= longRunningTasks);
  const arrivals = load.keepSubmitting(nextRunMs, nextGapS);
  await sleep(WARM_UP_MS);
  const initialMachines = [...cloud.workers.keys()];
  const drainStartedAt = Date.now();
  await emptyFleet(fleet, strategy, initialMachines);
  await until(() => initialMachines.every((machine) => !cloud.workers.has(machine)));
  await until(() => load.countRunningTasks() >= longRunningTasks);
  const drainDurationS = (Date.now() - drainStartedAt) / 1000;
  load.stop();
  await arrivals;
  await sleep(SETTLE_MS);
  const delays = measureStartDelays(fleet, load, drainStartedAt);
  const maxStopped = maxStoppedByTeam(cloud.taskEvents, (task) => load.teamOfTask(task));
  const result = {
    way: strategyName,
    machines: initialMachines.length,
    seed,
    drainedInS: Math.round(drainDurationS),
    redoneTaskS: Math.round(cloud.lostRunMs / 1000),
    stops: cloud.taskEvents.filter(({ kind }) => kind === 'stop').length,
    mostStoppedAtOnce: Object.fromEntries(maxStopped),
    lostTasks: tasksLostWithMachines(cloud.taskEvents).length,
    ranTwice: findConcurrentRuns(cloud.taskEvents).length,
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

const [strategyName = 'budgets', machines = '100', seed = '1'] = process.argv.slice(2);
process.stdout.write(
  `${JSON.stringify(await measure(strategyName, Number(machines), Number(seed)))}\n`,
);
process.exit(0);
