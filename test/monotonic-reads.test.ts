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
  await users.retryUntilAnswered((at) => users.submit(id, at));
  const queries = users.queryAllNodes(id);
  if (cancel) {
    await users.retryUntilAnswered((at) => users.cancel(id, at));
    await users.queryAllNodes(id);
  }
  await queries;
  await until(async () => {
    const status = await users.retryUntilAnswered((at) => users.lookUp(id, at));
    return status === 'done' || status === 'withdrawn';
  });
  await users.queryAllNodes(id);
  await users.retryUntilAnswered((at) => users.cancel(id, at));
  await users.queryAllNodes(id);
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
    const users = new Recorder(() => nodes.map((n) => n.address));
    state.loseAnswerEvery = 3;
    await followJobs(users, 100, 12);
    state.loseAnswerEvery = 0;
    state.delayEvery = 4;
    await followJobs(users, 200, 12);
    expect(users.problems).toEqual([]);
    expect(state.lostAnswers).toBeGreaterThan(5);
    expect(state.delayedTransactions).toBeGreaterThan(5);
    expect(users.answersByStatus.done).toBeGreaterThan(100);
    expect(users.answersByStatus.withdrawn).toBeGreaterThan(50);
    expect(
      (users.answersByStatus.queued ?? 0) + (users.answersByStatus.running ?? 0),
    ).toBeGreaterThan(50);
  });

  it('are monotonic while leaders restart, or are refused by the key-value store', async () => {
    const { nodes, storeEndpoints, start, cloud } = await startCluster(3);
    cloud.taskMs = 60;
    const users = new Recorder(() => nodes.map((n) => n.address));
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
          storeEndpoints[i]!.isDown = true;
          await until(
            () =>
              isFinished || nodes.some((n, j) => j !== i && n.controller.authority() === 'lead'),
          );
          await new Promise((resolve) => setTimeout(resolve, 150));
          storeEndpoints[i]!.isDown = false;
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
