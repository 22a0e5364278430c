/** Services, lowered store limits and malformed answers, in a cluster of stand-ins. */
import pino from 'pino';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { parseEndpoint } from '../src/adapters/configuration/settings.js';
import { KeyValueStoreClient } from '../src/adapters/key-value-store/key-value-store-client.js';
import { cleanUp, cleanups, getJob, jobBody, startCluster, until } from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';
import { KeyValueStoreServer } from './stand-ins/key-value-store.js';

afterEach(cleanUp);

const serviceBody = (id: string, change: object = {}) =>
  jobBody(id, {
    Shape: 'daemon',
    Rank: 'critical',
    Pieces: 2,
    Loaners: false,
    GuessS: 0,
    ...change,
  });

describe('a service', () => {
  it('outlasts ends of replicas and failovers until cancelled, then stays withdrawn', async () => {
    const { nodes, cloud } = await startCluster(3, { capacity: 4 });
    // Replicas end soon and must start again.
    cloud.taskMs = 150;
    expect((await requestJson(nodes[0]!.address, '/api/jobs', serviceBody('job-1')))?.status).toBe(
      201,
    );
    expect((await requestJson(nodes[1]!.address, '/api/jobs', serviceBody('job-1')))?.status).toBe(
      200,
    );
    await until(() => cloud.starts.length >= 4);
    cloud.taskMs = 10_000_000;
    await until(async () => (await getJob(nodes[2]!.address, 'job-1'))?.body.running === 2);
    expect((await getJob(nodes[0]!.address, 'job-1'))?.body).toMatchObject({
      Status: 'running',
      done: 0,
      Shape: 'daemon',
      Pieces: 2,
    });
    const leader = nodes.find((n) => n.controller.authority() === 'lead')!;
    leader.stop();
    const others = nodes.filter((n) => n !== leader);
    await until(() => others.some((n) => n.controller.authority() === 'lead'));
    for (const node of others)
      await until(async () => (await getJob(node.address, 'job-1'))?.body.running === 2);
    expect(new Set(cloud.starts).size).toBe(cloud.starts.length);
    await until(
      async () =>
        (await requestJson(others[0]!.address, '/api/jobs/job-1/abort', undefined))?.status === 200,
    );
    await until(() => [...cloud.workers.values()].every((w) => w.running().length === 0));
    for (const node of others)
      expect((await getJob(node.address, 'job-1'))?.body).toMatchObject({ Status: 'withdrawn' });
    expect(
      (await requestJson(others[1]!.address, '/api/jobs', serviceBody('job-1')))?.body,
    ).toMatchObject({
      Status: 'withdrawn',
    });
  });

  it('is refused with 422 if its replicas exceed the team limit; an array is not', async () => {
    const { nodes, state } = await startCluster(1);
    const { address } = nodes[0]!;
    expect(
      (await requestJson(address, '/api/jobs', serviceBody('job-1', { Pieces: 65 })))?.status,
    ).toBe(422);
    expect(
      (await requestJson(address, '/api/jobs', jobBody('job-2', { Pieces: 65 })))?.status,
    ).toBe(201);
    expect(
      (await requestJson(address, '/api/jobs', serviceBody('job-3', { Pieces: 64 })))?.status,
    ).toBe(201);
    expect(
      (await requestJson(address, '/api/jobs', serviceBody('job-4', { Shape: 'gang' })))?.body,
    ).toMatchObject({
      error: expect.stringMatching(/^Shape/),
    });
    expect((await getJob(address, 'job-1'))?.status).toBe(404);
    expect(state.keys.has('j/job-3')).toBe(true);
  });
});

describe('a service that must be spread over zones', () => {
  it('is refused with 422 if it may use one zone only; an array is not', async () => {
    const { nodes } = await startCluster(1);
    const { address } = nodes[0]!;
    const spread = { Scatter: true, Pieces: 2 };
    for (const [id, change] of [
      ['job-1', { Yard: 'a' }],
      ['job-2', { OneZone: true }],
    ] as const) {
      const answer = await requestJson(
        address,
        '/api/jobs',
        serviceBody(id, { ...spread, ...change }),
      );
      expect(answer?.status).toBe(422);
      expect(answer?.body).toMatchObject({ error: expect.stringMatching(/spread/) });
      expect(
        (await requestJson(address, '/api/jobs', jobBody(`${id}1`, { ...spread, ...change })))
          ?.status,
      ).toBe(201);
      expect(
        (
          await requestJson(
            address,
            '/api/jobs',
            serviceBody(`${id}2`, { ...change, Scatter: true, Pieces: 1 }),
          )
        )?.status,
      ).toBe(201);
    }
    expect((await requestJson(address, '/api/jobs', serviceBody('job-3', spread)))?.status).toBe(
      201,
    );
  });
});

describe('lowered limits of the key-value store', () => {
  it('interrupt no job, neither at the announced values nor below them', async () => {
    const next = { value_kb: 1, txn_ops: 3, write_rps: 200 };
    const { nodes, state, cloud } = await startCluster(2, { capacity: 6, storeLimits: { next } });
    state.limits = { valueBytes: 8192, txnOps: 16, writeRps: 1000 };
    const { address } = nodes[0]!;
    cloud.taskMs = 10_000_000;
    await requestJson(address, '/api/jobs', serviceBody('job-1', { Pieces: 4 }));
    await until(async () => (await getJob(address, 'job-1'))?.body.running === 4);
    cloud.taskMs = 20;
    await requestJson(address, '/api/jobs', jobBody('job-2', { Pieces: 40 }));
    await until(async () => (await getJob(address, 'job-2'))?.body.Status === 'done');
    state.limits = { valueBytes: 1024, txnOps: 3, writeRps: 200 };
    for (let i = 0; i < 10; i += 1)
      await until(
        async () =>
          (await requestJson(address, '/api/jobs', jobBody(`job-3${i}`, { Pieces: 12 })))
            ?.status === 201,
      );
    for (let i = 0; i < 10; i += 1)
      await until(async () => (await getJob(address, `job-3${i}`))?.body.Status === 'done');
    // No request within the announced limits is refused for its size.
    expect(state.rejectedTransactions).toEqual([]);
    state.limits = { valueBytes: 500, txnOps: 2, writeRps: 200 };
    await requestJson(address, '/api/jobs', jobBody('job-4', { Pieces: 40 }));
    await until(async () => (await getJob(address, 'job-4'))?.body.Status === 'done');
    expect(new Set(state.rejectedTransactions).size).toBe(state.rejectedTransactions.length);
    expect((await getJob(address, 'job-1'))?.body.running).toBe(4);
    expect(new Set(cloud.starts).size).toBe(cloud.starts.length);
  });

  it('cause 422 for a new job that no longer fits, and 200 for one accepted before', async () => {
    const { nodes, state } = await startCluster(2);
    const { address } = nodes[0]!;
    const largeJob = (id: string) =>
      jobBody(id, { Hulls: ['c8', ...Array(40).fill('x'.repeat(30))], Pieces: 500 });
    expect((await requestJson(address, '/api/jobs', largeJob('job-1')))?.status).toBe(201);
    state.limits.valueBytes = 600;
    expect((await requestJson(address, '/api/jobs', largeJob('job-1')))?.status).toBe(200);
    expect((await requestJson(nodes[1]!.address, '/api/jobs', largeJob('job-1')))?.status).toBe(
      200,
    );
    const refused = await requestJson(nodes[1]!.address, '/api/jobs', largeJob('job-2'));
    expect(refused?.status).toBe(422);
    expect(refused?.body).toMatchObject({
      error: expect.stringMatching(/larger than what the state service/),
    });
    expect((await getJob(address, 'job-2'))?.status).toBe(404);
  });

  it('lower the client’s write rate until the store has refused nothing for a while', async () => {
    let now = 1000;
    const hrtime = (): [number, number] => [Math.floor(now / 1000), (now % 1000) * 1e6];
    const clock = vi.spyOn(process, 'hrtime').mockImplementation(hrtime);
    cleanups.push(() => clock.mockRestore());
    const store = new KeyValueStoreServer();
    cleanups.push(() => store.close());
    const at = parseEndpoint(await store.listen());
    const client = new KeyValueStoreClient(at, {
      rps: 1000,
      writeRps: 8,
      lowered: { rps: 1000, writeRps: 4 },
    });
    cleanups.push(() => client.close());
    let n = 0;
    const write = () => {
      n += 1;
      return client.compareAndSwap([], [{ put: `k/${n}`, value: n }], 0);
    };
    /** Counts the writes that the client admits at one instant of the mocked clock. */
    const countCommitted = async () => {
      now += 1000;
      let committed = 0;
      while ((await write()).kind === 'committed') committed += 1;
      return committed;
    };
    expect(await countCommitted()).toBe(8);
    store.isRateLimited = true;
    now += 1000;
    expect(await write()).toEqual({ kind: 'refused' });
    store.isRateLimited = false;
    expect(client.usesLoweredRates).toBe(true);
    for (let i = 0; i < 3; i += 1) expect(await countCommitted()).toBe(4);
    now += 20_000;
    await countCommitted();
    expect(client.usesLoweredRates).toBe(false);
    expect(await countCommitted()).toBe(8);
  });
});

describe('malformed answers', () => {
  it('of the cloud and the key-value store change nothing and are logged once each', async () => {
    const lines: string[] = [];
    const log = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
    const { nodes, cloud, state } = await startCluster(1, { log });
    const { address } = nodes[0]!;
    // By then the machines have been listed; nothing is provisioned before that.
    await until(() => cloud.workers.size > 0);
    cloud.sendsMalformedAnswers = true;
    state.commit({ Apply: [{ Write: 'j/job-000077', Data: { odd: true } }] });
    const malformedLogs = () => lines.filter((l) => l.includes('malformed answer'));
    // More tasks than the machines provisioned before the fault can run in that time.
    cloud.taskMs = 500;
    await requestJson(address, '/api/jobs', jobBody('job-1', { Pieces: 300, Cpus: 8 }));
    await until(() => malformedLogs().some((l) => l.includes('provision')));
    cloud.sendsMalformedAnswers = false;
    await until(
      async () => (await requestJson(address, '/api/jobs/job-1/abort', {}))?.status === 200,
    );
    await requestJson(address, '/api/jobs', jobBody('job-2', { Pieces: 1 }));
    await until(async () => (await getJob(address, 'job-2'))?.body.Status === 'done');
    const provisions = malformedLogs().filter((l) => l.includes('provision'));
    expect(provisions).toHaveLength(1);
  });
});
