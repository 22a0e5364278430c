/**
 * Elections while users ask much. Guards against questions that use up a controller's share of the
 * key-value store's requests, so that no controller can claim the leader key that they wait for.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { cleanUp, getJob, jobBody, startCluster, until } from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';

afterEach(cleanUp);

/** The operators' bound of a takeover in this suite: a lease, a campaign, and the time to read. */
const MAX_TAKEOVER_MS = 5000;
const ASKERS_PER_NODE = 60;

describe('controllers without a leader', () => {
  it('elect one while questions exceed their share of the requests by far', async () => {
    const { nodes } = await startCluster(3, { capacity: 0, storeLimits: { rps: 30 } });
    const [first] = nodes;
    await requestJson(first!.address, '/api/jobs', jobBody('job-1'));
    const leader = nodes.find(({ controller }) => controller.authority() === 'lead');
    const others = nodes.filter((node) => node !== leader);
    let isOver = false;
    let asked = 0;
    const ask = async (address: string) => {
      while (!isOver) {
        await getJob(address, 'job-1');
        asked += 1;
      }
    };
    const askers = others.flatMap(({ address }) =>
      Array.from({ length: ASKERS_PER_NODE }, () => ask(address)),
    );
    await until(() => asked > 500);
    leader!.stop();
    const stoppedAt = Date.now();
    await until(
      () =>
        others.some(({ controller }) => controller.authority() === 'lead') ||
        Date.now() - stoppedAt > 4 * MAX_TAKEOVER_MS,
    );
    const takeoverMs = Date.now() - stoppedAt;
    isOver = true;
    await Promise.all(askers);
    expect(takeoverMs).toBeLessThan(MAX_TAKEOVER_MS);
  });
});
