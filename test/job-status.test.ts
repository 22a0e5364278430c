/**
 * What users are told of unfinished jobs by controllers that get no answer from the leader: never
 * that a running job is queued, and nothing less than before of jobs that wait.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { MAX_STATE_LAG_MS } from '../src/core/lifecycle/job-view.js';
import {
  type ClusterNode,
  type ClusterOptions,
  cleanUp,
  getJob,
  jobBody,
  startCluster,
  until,
} from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';

afterEach(cleanUp);

const RUNNING = 'job-1';
const WAITING = 'job-2';
/** Longer than an election takes. */
const LONG_HEARTBEAT_INTERVAL_S = 2.5;

/** A cluster whose only machine runs three endless tasks, while another job waits for all of it. */
const startBusyCluster = async (options: ClusterOptions = {}) => {
  const cluster = await startCluster(3, { capacity: 1, ...options });
  cluster.cloud.runMsOf = (task) => (task.startsWith(`${RUNNING}/`) ? null : 50);
  const [node] = cluster.nodes;
  const submit = async (id: string, overrides: object) =>
    expect((await requestJson(node!.address, '/api/jobs', jobBody(id, overrides)))?.status).toBe(
      201,
    );
  await submit(RUNNING, { Pieces: 3 });
  await allSay(cluster.nodes, RUNNING, 'running');
  await submit(WAITING, { Pieces: 1, Cpus: 8 });
  await allSay(cluster.nodes, WAITING, 'queued');
  return cluster;
};

const allSay = (nodes: readonly ClusterNode[], id: string, status: string) =>
  until(async () => {
    const answers = await Promise.all(nodes.map((node) => getJob(node.address, id)));
    return answers.every((answer) => answer?.body.Status === status);
  });

/** Asks all nodes about both jobs until a time has passed; counts answers by job and status. */
const countAnswers = async (nodes: readonly ClusterNode[], ms: number) => {
  const counts: Record<string, number> = {};
  for (const end = Date.now() + ms; Date.now() < end; ) {
    for (const node of nodes)
      for (const id of [RUNNING, WAITING]) {
        const answer = await getJob(node.address, id);
        const name = `${id} ${answer?.body.Status ?? answer?.status}`;
        counts[name] = (counts[name] ?? 0) + 1;
      }
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  return counts;
};

/** Until then, an answer may still be from before the tasks' start. */
const passPermittedLag = () => new Promise((resolve) => setTimeout(resolve, MAX_STATE_LAG_MS));

const leaderOf = (nodes: readonly ClusterNode[]): ClusterNode =>
  nodes.find((node) => node.controller.authority() === 'lead')!;

describe('controllers that refuse each other’s connections', () => {
  // Guards against: followers that call running jobs queued while the leader does not answer.
  it('say of every job whether it runs, and go on saying so beyond the permitted lag', async () => {
    const { nodes } = await startBusyCluster();
    await passPermittedLag();
    for (const node of nodes) node.refusePeers();
    const counts = await countAnswers(nodes, 5000);
    expect(Object.keys(counts).sort()).toEqual([`${RUNNING} running`, `${WAITING} queued`]);
    expect(counts[`${RUNNING} running`]).toBeGreaterThan(30);
  });

  it('accept jobs, and tell of their ends', async () => {
    const { nodes, cloud } = await startCluster(3, { capacity: 1 });
    for (const node of nodes) node.refusePeers();
    for (const [i, node] of nodes.entries()) {
      const id = `job-1${i}`;
      const answer = await requestJson(node.address, '/api/jobs', jobBody(id));
      expect(answer?.status).toBe(201);
      await allSay(nodes, id, 'done');
    }
    expect(cloud.starts).toHaveLength(3 * nodes.length);
  });
});

describe('controllers whose leader has ended', () => {
  // Guards against: running jobs called queued from the leader's end until its successor knows.
  it('say of no running job that it is queued, and always tell of waiting jobs', async () => {
    const { nodes } = await startBusyCluster({ leaderLeaseMs: 2000 });
    const leader = leaderOf(nodes);
    const others = nodes.filter((node) => node !== leader);
    await passPermittedLag();
    leader.stop();
    const counts = await countAnswers(others, 1000);
    expect(others.some((node) => node.controller.authority() === 'lead')).toBe(false);
    expect(Object.keys(counts).sort()).toEqual([`${RUNNING} 503`, `${WAITING} queued`]);
    await until(() => others.some((node) => node.controller.authority() === 'lead'));
    const later = await countAnswers(others, 1500);
    expect(later[`${RUNNING} queued`]).toBeUndefined();
    expect(later[`${WAITING} 503`]).toBeUndefined();
    await allSay(others, RUNNING, 'running');
  });

  it('ask the workers that turn to them, and say that their jobs run', async () => {
    const { nodes, cloud } = await startBusyCluster({
      leaderLeaseMs: 3000,
      servesInspections: true,
    });
    const leader = leaderOf(nodes);
    const others = nodes.filter((node) => node !== leader);
    await passPermittedLag();
    leader.stop();
    const counts = await countAnswers(others, 2000);
    expect(others.some((node) => node.controller.authority() === 'lead')).toBe(false);
    expect(counts[`${RUNNING} running`]).toBeGreaterThan(counts[`${RUNNING} 503`] ?? 0);
    expect(counts[`${RUNNING} queued`]).toBeUndefined();
    const [worker] = cloud.workers.values();
    // Each node asks at most once a second.
    expect(worker?.inspectionCount).toBeLessThanOrEqual(6);
  });
});

describe('controllers whose leader alone is refused by the store', () => {
  // Guards against: silence about jobs whose workers the former leader knows, until the next one does.
  it('go on saying which jobs run, while the workers have not turned to the next leader', async () => {
    const { nodes, storeEndpoints, cloud } = await startBusyCluster({
      leaderLeaseMs: 1500,
      heartbeatIntervalS: LONG_HEARTBEAT_INTERVAL_S,
      servesInspections: true,
    });
    const leader = leaderOf(nodes);
    await passPermittedLag();
    // The workers learn late of the next leader.
    cloud.heartbeatMs = LONG_HEARTBEAT_INTERVAL_S * 1000;
    storeEndpoints[nodes.indexOf(leader)]!.isDown = true;
    const counts = await countAnswers(nodes, 6000);
    expect(leaderOf(nodes)).not.toBe(leader);
    expect(Object.keys(counts).sort()).toEqual([`${RUNNING} running`, `${WAITING} queued`]);
  });
});

describe('a repeated submission', () => {
  // Guards against: followers that answer it with "queued" at any time, whatever the job does.
  it('gets the job’s current state from every controller', async () => {
    const { nodes } = await startBusyCluster();
    const statuses = async (id: string) =>
      Promise.all(
        nodes.map(async (node) => {
          const answer = await requestJson(node.address, '/api/jobs', jobBody(id));
          const body = answer?.body as { Status?: string } | undefined;
          return `${answer?.status} ${body?.Status}`;
        }),
      );
    await until(async () => {
      const answers = new Set(await statuses(RUNNING));
      return answers.size === 1 && answers.has('200 running');
    });
    await passPermittedLag();
    expect(new Set(await statuses(RUNNING))).toEqual(new Set(['200 running']));
    expect(new Set(await statuses(WAITING))).toEqual(new Set(['200 queued']));
  });
});

describe('an explanation', () => {
  // Guards against: explanations of jobs that nobody submitted, while the store is down.
  it('is not given of a job that no controller knows', async () => {
    const { nodes, state } = await startCluster(1);
    state.isDown = true;
    const explanation = () =>
      requestJson(nodes[0]!.address, '/api/jobs/job-99/explain', undefined, 'GET');
    // The node learns of the outage from its own requests.
    for (const end = Date.now() + 1500; Date.now() < end; ) {
      expect((await explanation())?.status).toBe(503);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  });
});
