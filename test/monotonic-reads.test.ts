/**
 * Monotonic reads: users ask at all nodes, again and again within milliseconds, and repeat the
 * submission, right after a job was accepted, ended or confirmed as cancelled. No node may then
 * answer something older, whatever the key-value store and the controllers do meanwhile.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { type ClusterNode, cleanUp, startCluster, until } from './stand-ins/cluster.js';
import { Recorder } from './stand-ins/recorder.js';

afterEach(cleanUp);

const leaderOf = (nodes: readonly ClusterNode[]) =>
  nodes.find((n) => n.controller.authority() === 'lead');

/** Follows a job by frequent queries: accepted, cancelled or not, ended, and long after. */
const followJob = async (users: Recorder, id: string, cancel: boolean): Promise<void> => {
  await users.untilAnswered((at) => users.submit(id, at));
  const looks = users.askEverywhere(id);
  if (cancel) {
    await users.untilAnswered((at) => users.cancel(id, at));
    await users.askEverywhere(id);
  }
  await looks;
  await until(async () => {
    const told = await users.untilAnswered((at) => users.lookUp(id, at));
    return told === 'done' || told === 'withdrawn';
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

describe('reads are monotonic across all nodes', () => {
  it('while transactions lose their answers, or are executed late and after newer ones', async () => {
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

  it('while leaders change, controllers restart, and the key-value store refuses one of them', async () => {
    const { nodes, fronts, start, cloud } = await startCluster(3);
    cloud.taskMs = 60;
    const users = new Recorder(() => nodes.map((n) => n.at));
    let changes = 0;
    let isFinished = false;
    const faults = (async () => {
      while (!isFinished) {
        const leader = await until(() => leaderOf(nodes) ?? isFinished);
        if (isFinished || leader === true) return;
        const i = nodes.indexOf(leader);
        if (changes % 2 === 0) {
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
        changes += 1;
        await new Promise((resolve) => setTimeout(resolve, 300));
      }
    })();
    await followJobs(users, 300, 24);
    isFinished = true;
    await faults;
    expect(users.problems).toEqual([]);
    expect(changes).toBeGreaterThan(1);
    expect(users.answersByStatus.done).toBeGreaterThan(100);
    expect(users.answersByStatus.withdrawn).toBeGreaterThan(50);
  });
});
