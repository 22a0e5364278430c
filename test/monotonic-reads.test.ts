/**
 * Monotonic reads: despite faults of the key-value store and of controllers, no node may return an
 * older state of a job than any node returned before. Users query all nodes within milliseconds of
 * a job's acceptance, end or confirmed cancellation, and repeat the submission.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { type ClusterNode, cleanUp, startCluster, until } from './stand-ins/cluster.js';
import { Recorder } from './stand-ins/recorder.js';

afterEach(cleanUp);

const leaderOf = (nodes: readonly ClusterNode[]) =>
  nodes.find((n) => n.controller.authority() === 'lead');

/** Queries a job at all nodes from its submission until after its end; cancels it if asked to. */
const followJob = async (users: Recorder, id: string, cancel: boolean): Promise<void> => {
  await users.untilAnswered((at) => users.submit(id, at));
  const queries = users.askEverywhere(id);
  if (cancel) {
    await users.untilAnswered((at) => users.cancel(id, at));
    await users.askEverywhere(id);
  }
  await queries;
  await until(async () => {
    const status = await users.untilAnswered((at) => users.lookUp(id, at));
    return status === 'done' || status === 'withdrawn';
  });
  await users.askEverywhere(id);
  await users.untilAnswered((at) => users.cancel(id, at));
  await users.askEverywhere(id);
};

const followJobs = (users: Recorder, from: number, count: number) =>
  Promise.all(
    Array.from({ length: count }, async (_, i) => {
      await new Promise((resolve) => setTimeout(resolve, i * 15));
      await followJob(users, `job-${from + i}`, i % 4 === 0);
    }),
  );

describe('reads across all nodes', () => {
  it('are monotonic while transactions lose replies or run late, after newer ones', async () => {
    const { nodes, state } = await startCluster(3);
    const users = new Recorder(() => nodes.map((n) => n.at));
    state.loseEvery = 3;
    await followJobs(users, 100, 12);
    state.loseEvery = 0;
    state.lateEvery = 4;
    await followJobs(users, 200, 12);
    expect(users.problems).toEqual([]);
    expect(state.lost).toBeGreaterThan(5);
    expect(state.late).toBeGreaterThan(5);
    expect(users.answersByStatus.done).toBeGreaterThan(100);
    expect(users.answersByStatus.withdrawn).toBeGreaterThan(50);
    expect(
      (users.answersByStatus.queued ?? 0) + (users.answersByStatus.running ?? 0),
    ).toBeGreaterThan(50);
  });

  it('are monotonic while leaders restart, or are refused by the key-value store', async () => {
    const { nodes, fronts, start, cloud } = await startCluster(3);
    cloud.taskMs = 60;
    const users = new Recorder(() => nodes.map((n) => n.at));
    let leaderChanges = 0;
    let isFinished = false;
    const faults = (async () => {
      while (!isFinished) {
        const leader = await until(() => leaderOf(nodes) ?? isFinished);
        if (isFinished || leader === true) return;
        const i = nodes.indexOf(leader);
        if (leaderChanges % 2 === 0) {
          leader.stop();
          nodes[i] = start(i);
        } else {
          fronts[i]!.refuse = true;
          await until(
            () =>
              isFinished || nodes.some((n, j) => j !== i && n.controller.authority() === 'lead'),
          );
          await new Promise((resolve) => setTimeout(resolve, 150));
          fronts[i]!.refuse = false;
        }
        leaderChanges += 1;
        await new Promise((resolve) => setTimeout(resolve, 300));
      }
    })();
    await followJobs(users, 300, 24);
    isFinished = true;
    await faults;
    expect(users.problems).toEqual([]);
    expect(leaderChanges).toBeGreaterThan(1);
    expect(users.answersByStatus.done).toBeGreaterThan(100);
    expect(users.answersByStatus.withdrawn).toBeGreaterThan(50);
  });
});
