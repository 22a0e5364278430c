/** Answers to users from controllers in this process, with stand-ins for store and cloud. */
import { afterEach, describe, expect, it } from 'vitest';
import { HttpClient } from '../src/adapters/outbound/http-client.js';
import {
  type ClusterNode,
  cleanUp,
  getJob,
  jobBody,
  startCluster,
  until,
} from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';

afterEach(cleanUp);

describe('a cluster of controllers', () => {
  it('runs a job to completion and afterwards answers alike at every node', async () => {
    const { nodes, cloud, state } = await startCluster(3);
    const [a, b, c] = nodes as [ClusterNode, ClusterNode, ClusterNode];
    expect((await requestJson(a.address, '/api/jobs', jobBody('job-000001')))?.status).toBe(201);
    // The job is stored before the 201 is sent.
    expect(state.keys.has('j/job-000001') || state.keys.has('f/job-000001')).toBe(true);
    for (const node of [a, b, c]) {
      await until(async () => (await getJob(node.address, 'job-000001'))?.body.Status === 'done');
    }
    expect(new Set(cloud.starts.map((s) => s.split('#')[0])).size).toBe(3);
    // A repeated submission is answered with the job, even if its body differs or is invalid.
    for (const change of [{}, { Pieces: 9 }, { Crew: 'nobody' }, { Cpus: -1 }]) {
      const repeat = await requestJson(b.address, '/api/jobs', jobBody('job-000001', change));
      expect([repeat?.status, (repeat!.body as { Status: string }).Status]).toEqual([200, 'done']);
    }
    const cancellation = await requestJson(c.address, '/api/jobs/job-000001/abort', {});
    expect([cancellation?.status, (cancellation!.body as { Status: string }).Status]).toEqual([
      200,
      'done',
    ]);
    expect((await getJob(a.address, 'job-000777'))?.status).toBe(404);
    expect((await getJob(a.address, 'nonsense'))?.status).toBe(404);
    expect((await requestJson(b.address, '/api/jobs/job-000777/abort', {}))?.status).toBe(404);
  });

  it('refuses malformed submissions with 400 and infeasible ones with 422', async () => {
    const { nodes } = await startCluster(1);
    const at = nodes[0]!.address;
    const rejections: [unknown, number][] = [
      ['{', 400],
      ['[]', 400],
      ['null', 400],
      [`{"Ref":"${'x'.repeat(70_000)}"}`, 400],
      [jobBody('job-1', { Pieces: 0 }), 400],
      [jobBody('job-1', { Pieces: 1.5 }), 400],
      [jobBody('job-1', { Pieces: 100_001 }), 400],
      [jobBody('job-1', { Cpus: -1 }), 400],
      [jobBody('job-1', { Cpus: '1' }), 400],
      [JSON.stringify(jobBody('job-1')).replace('"Cpus":1', '"Cpus":1e999'), 400],
      [jobBody('job-1', { Shape: 'ring' }), 400],
      [jobBody('job-1', { Rank: 'first' }), 400],
      [jobBody('job-1', { OneZone: undefined }), 400],
      [jobBody('task-1'), 400],
      [jobBody('job-1', { Crew: 'nobody' }), 422],
      [jobBody('job-1', { Cpus: 9 }), 422],
      [jobBody('job-1', { Hulls: ['c9'] }), 422],
      [jobBody('job-1', { Yard: 'z' }), 422],
      [jobBody('job-1', { Accelerators: 1 }), 422],
      [jobBody('job-1', { Hulls: [] }), 422],
    ];
    // The error names a required field that is missing or null.
    const { Hulls: _h, Yard: _y, DueS: _d, Ref: _r, ...requiredFields } = jobBody('job-1');
    for (const field of Object.keys(requiredFields)) {
      for (const value of [undefined, null]) {
        const answer = await requestJson(at, '/api/jobs', jobBody('job-1', { [field]: value }));
        expect(answer?.status, field).toBe(400);
        expect(answer?.body, field).toMatchObject({ error: expect.stringContaining(field) });
      }
    }
    expect(Object.keys(requiredFields)).toHaveLength(16);
    for (const [text, expected] of rejections) {
      expect(
        (await requestJson(at, '/api/jobs', text))?.status,
        JSON.stringify(text).slice(0, 200),
      ).toBe(expected);
    }
    const worker = {
      Berth: 'n-1',
      Endpoint: '127.0.0.1:99999',
      Hull: 'c8',
      Yard: 'a',
      Tenure: 1,
      Tick: 1,
      Baton: 0,
    };
    for (const Berth of ['n 1', 'x/../y', '', 'n'.repeat(500)]) {
      expect((await requestJson(at, '/checkin', { ...worker, Berth }))?.status).toBe(400);
    }
    expect((await requestJson(at, '/checkin', worker))?.status).not.toBe(400);
    const client = new HttpClient({ host: '127.0.0.1', port: 99_999 }, 1);
    expect(await client.send({ method: 'GET', path: '/', timeoutMs: 1000 })).toMatchObject({
      kind: 'none',
      sent: false,
    });
    for (const text of ['{', '{}', '{"Berth":7}', '[1]'])
      expect((await requestJson(at, '/checkin', text))?.status).toBe(400);
    expect((await getJob(at, 'job-1'))?.status).toBe(404);
  });

  it('answers for all jobs at all nodes during rate limiting and after a failover', async () => {
    const { nodes, state, cloud } = await startCluster(3);
    cloud.taskMs = 10_000_000;
    const ids = Array.from({ length: 12 }, (_, i) => `job-0001${String(i).padStart(2, '0')}`);
    for (const [i, id] of ids.entries())
      await requestJson(nodes[i % 3]!.address, '/api/jobs', jobBody(id, { Pieces: 1 }));
    const leader = nodes.find((n) => n.controller.authority() === 'lead')!;
    for (const id of ids)
      await until(async () => (await getJob(leader.address, id))?.body.running === 1);
    state.isRateLimited = true;
    for (const node of nodes) {
      for (const id of ids)
        expect((await getJob(node.address, id))?.body.Status, id).toBe('running');
    }
    state.isRateLimited = false;
    leader.stop();
    const others = nodes.filter((n) => n !== leader);
    await until(() => others.some((n) => n.controller.authority() === 'lead'));
    for (const node of others) {
      for (const id of ids)
        await until(async () => (await getJob(node.address, id))?.body.running === 1);
    }
    expect(cloud.starts).toHaveLength(12);
  });

  it('knows a job with an unreadable record at every node, also if resubmitted', async () => {
    const { nodes, state } = await startCluster(2);
    state.commit({ Apply: [{ Write: 'j/job-000077', Data: { odd: true } }] });
    for (const node of nodes) {
      expect((await getJob(node.address, 'job-000077'))?.status).toBe(200);
      expect((await requestJson(node.address, '/api/jobs', jobBody('job-000077')))?.status).toBe(
        200,
      );
    }
    expect((await getJob(nodes[0]!.address, 'job-000078'))?.status).toBe(404);
  });

  it('reports a cancellation only once it is stored, and kills the tasks', async () => {
    const { nodes, cloud, state } = await startCluster(2);
    cloud.taskMs = 10_000_000;
    const [a, b] = nodes as [ClusterNode, ClusterNode];
    await requestJson(a.address, '/api/jobs', jobBody('job-5'));
    await until(async () => (await getJob(b.address, 'job-5'))?.body.running === 3);
    const answer = await until(async () => {
      const r = await requestJson(b.address, '/api/jobs/job-5/abort', {});
      return r?.status === 200 ? r : null;
    });
    expect((answer.body as { Status: string }).Status).toBe('withdrawn');
    expect(state.keys.get('f/job-5')?.value).toMatchObject({ o: 'cancelled' });
    await until(() => [...cloud.workers.values()].every((w) => w.running().length === 0));
    // Repeating the cancellation or the submission changes nothing at any node.
    const { revision: revisionAfterCancel } = state;
    for (const node of nodes) {
      const repeats = [
        await requestJson(node.address, '/api/jobs/job-5/abort', {}),
        await requestJson(node.address, '/api/jobs', jobBody('job-5')),
      ];
      for (const r of repeats)
        expect(r).toMatchObject({ status: 200, body: { Status: 'withdrawn' } });
      expect((await getJob(node.address, 'job-5'))?.body.Status).toBe('withdrawn');
    }
    expect(state.keys.has('j/job-5')).toBe(false);
    expect(state.keys.get('f/job-5')!.revision).toBeLessThanOrEqual(revisionAfterCancel);
    expect(cloud.starts).toHaveLength(3);
  });

  it('answers 503 with Retry-After while the store is down, then recovers', async () => {
    const { nodes, state } = await startCluster(1);
    state.isDown = true;
    const unavailable = await requestJson(nodes[0]!.address, '/api/jobs', jobBody('job-8'));
    expect([unavailable?.status, unavailable?.headers['retry-after']]).toEqual([503, '1']);
    state.isDown = false;
    await until(
      async () =>
        (await requestJson(nodes[0]!.address, '/api/jobs', jobBody('job-8')))?.status === 201,
    );
    await until(async () => (await getJob(nodes[0]!.address, 'job-8'))?.body.Status === 'done');
  });

  it('fails over to another leader without losing or doubling a task', async () => {
    const { nodes, cloud } = await startCluster(3);
    cloud.taskMs = 10_000_000;
    const formerLeader = nodes.find((n) => n.controller.authority() === 'lead')!;
    const others = nodes.filter((n) => n !== formerLeader);
    await requestJson(others[0]!.address, '/api/jobs', jobBody('job-9', { Pieces: 6 }));
    await until(async () => (await getJob(others[0]!.address, 'job-9'))?.body.running === 6);
    formerLeader.stop();
    const newLeader = await until(() => others.find((n) => n.controller.authority() === 'lead'));
    const answer = await until(async () => {
      const s = await getJob(newLeader.address, 'job-9');
      return s?.body.running === 6 ? s : null;
    });
    expect(answer.body.Status).toBe('running');
    expect(cloud.starts).toHaveLength(6);
  });
});

describe('a restarted leader', () => {
  it('replaces its earlier incarnation at once, without losing or doubling a task', async () => {
    // With a lease of ten minutes, the controller can lead only by replacing the leader key of its
    // earlier incarnation.
    const { nodes, cloud, state, start } = await startCluster(1, { leaderLeaseMs: 600_000 });
    cloud.taskMs = 10_000_000;
    await requestJson(nodes[0]!.address, '/api/jobs', jobBody('job-41'));
    await until(async () => (await getJob(nodes[0]!.address, 'job-41'))?.body.running === 3);
    const revisionBefore = state.keys.get('leader')?.revision ?? 0;
    nodes[0]!.stop();
    const restarted = start(0);
    await until(() => restarted.controller.authority() === 'lead');
    expect(state.keys.get('leader')?.revision).toBeGreaterThan(revisionBefore);
    await until(async () => (await getJob(restarted.address, 'job-41'))?.body.running === 3);
    expect(cloud.starts).toHaveLength(3);
  });
});

describe('a team', () => {
  it('sees and cancels its own jobs only, and gets an explanation of why they wait', async () => {
    const { nodes, cloud } = await startCluster(2, { capacity: 1 });
    cloud.taskMs = 10_000_000;
    const [a, b] = nodes as [ClusterNode, ClusterNode];
    await requestJson(a.address, '/api/jobs', jobBody('job-20', { Pieces: 8 }));
    await until(async () => (await getJob(a.address, 'job-20'))?.body.running === 8);
    await requestJson(b.address, '/api/jobs', jobBody('job-21', { Crew: 'green', Pieces: 2 }));
    const listed = (await until(async () => {
      const r = await requestJson(b.address, '/api/jobs?team=green', undefined, 'GET');
      return r?.status === 200 && (r.body as { jobs: unknown[] }).jobs.length > 0 ? r : null;
    })) as { body: { jobs: { Ref: string }[] } };
    expect(listed.body.jobs.map((j) => j.Ref)).toEqual(['job-21']);
    for (const node of [a, b]) {
      expect((await getJob(node.address, 'job-20?team=green'))?.status).toBe(404);
      expect(
        (await requestJson(node.address, '/api/jobs/job-20/abort?team=green', {}))?.status,
      ).toBe(404);
      expect((await getJob(node.address, 'job-20'))?.body.Status).toBe('running');
    }
    await until(async () =>
      /no machine with room/.test(String((await getJob(a.address, 'job-21'))?.body.waiting)),
    );
    const explanation = (await getJob(b.address, 'job-21/explain'))?.body;
    expect(explanation).toMatchObject({
      team: 'green',
      rank: 1,
      ofJobs: 1,
      head: 'job-21',
      waitingTasks: 2,
    });
    const cancellation = await until(async () => {
      const r = await requestJson(b.address, '/api/jobs/job-20/abort?team=blue', {});
      return r?.status === 200 ? r : null;
    });
    expect((cancellation.body as { Status: string }).Status).toBe('withdrawn');
    expect((await getJob(a.address, 'job-20?team=green'))?.status).toBe(404);
  });
});

describe('a controller that starts while the cloud does not answer', () => {
  it('is ready once it has read the machine types from the key-value store', async () => {
    const { nodes, cloud, state, start } = await startCluster(1);
    await until(() => state.keys.has('c/types'));
    nodes[0]!.stop();
    // A late request of the stopped controller must not be counted below. Two readings, as one may
    // precede the acceptance of its connection.
    let readingsWithoutConnection = 0;
    await until(async () => {
      const isIdle = (await cloud.countConnections()) === 0;
      readingsWithoutConnection = isIdle ? readingsWithoutConnection + 1 : 0;
      return readingsWithoutConnection > 1;
    });
    cloud.isUnresponsive = true;
    const restarted = start(0);
    await until(
      async () => (await requestJson(restarted.address, '/up', undefined, 'GET'))?.status === 200,
    );
    // The request to the cloud is still pending: none has timed out yet.
    expect(cloud.unansweredRequests).toBeGreaterThan(0);
    expect(cloud.abandonedRequests).toBe(0);
    expect((await requestJson(restarted.address, '/api/jobs', jobBody('job-1')))?.status).toBe(201);
    expect(
      (await requestJson(restarted.address, '/api/jobs', jobBody('job-2', { Crew: 'nobody' })))
        ?.status,
    ).toBe(422);
  });
});
