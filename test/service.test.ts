import { createServer as createHttpServer } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { Hono } from 'hono';
import pino from 'pino';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { MAX_IN_FLIGHT, makeApi, serveApi } from '../src/adapters/api.js';
import { CloudClient } from '../src/adapters/cloud-client.js';
import { HttpClient } from '../src/adapters/http-client.js';
import { encodeFrame, FrameReader, MAX_FRAME, Peer, servePeers } from '../src/adapters/peer-link.js';
import { Jitter } from '../src/adapters/random.js';
import { parseEndpoint, parseSettings } from '../src/adapters/settings.js';
import { StateClient } from '../src/adapters/state-client.js';
import { WorkerClient } from '../src/adapters/worker-client.js';
import { segmentKey } from '../src/core/state.js';
import type {
  Authority,
  Instant,
  JobId,
  MachineId,
  RequestName,
  Revision,
  SaveOp,
  Term,
  Ticket,
  TypeName,
  ZoneName,
} from '../src/core/types.js';
import type { Controller } from '../src/service/controller.js';
import { Owner } from '../src/service/owner.js';
import { Persister } from '../src/service/persister.js';
import { core } from './model/build.js';
import { Cloud, post } from './stand-ins/cloud.js';
import {
  body,
  cleanUp,
  cleanups,
  cluster,
  freePort,
  log,
  type Node,
  status,
  until,
} from './stand-ins/cluster.js';
import { settingsText } from './stand-ins/settings.js';
import { StateService } from './stand-ins/state-service.js';

afterEach(cleanUp);

describe('the service against stand-ins', () => {
  it('runs a job to its end through any node, and says the same of it everywhere and ever after', async () => {
    const { nodes, cloud, state } = await cluster(3);
    const [a, b, c] = nodes as [Node, Node, Node];
    expect((await post(a.at, '/api/jobs', body('job-000001')))?.status).toBe(201);
    // Stored before the 201.
    expect(state.keys.has('j/job-000001') || state.keys.has('f/job-000001')).toBe(true);
    for (const node of [a, b, c]) {
      await until(async () => (await status(node.at, 'job-000001'))?.body.Status === 'done');
    }
    expect(new Set(cloud.starts.map((s) => s.split('#')[0])).size).toBe(3);
    // A repeat is answered with the job, even with another body and even one that would be refused.
    for (const change of [{}, { Pieces: 9 }, { Crew: 'nobody' }, { Cpus: -1 }]) {
      const again = await post(b.at, '/api/jobs', body('job-000001', change));
      expect([again?.status, (again!.body as { Status: string }).Status]).toEqual([200, 'done']);
    }
    const abort = await post(c.at, '/api/jobs/job-000001/abort', {});
    expect([abort?.status, (abort!.body as { Status: string }).Status]).toEqual([200, 'done']);
    expect((await status(a.at, 'job-000777'))?.status).toBe(404);
    expect((await status(a.at, 'nonsense'))?.status).toBe(404);
    expect((await post(b.at, '/api/jobs/job-000777/abort', {}))?.status).toBe(404);
  });

  it('refuses what is malformed with 400 and what can never run with 422', async () => {
    const { nodes } = await cluster(1);
    const at = nodes[0]!.at;
    const bad: [unknown, number][] = [
      ['{', 400],
      ['[]', 400],
      ['null', 400],
      [`{"Ref":"${'x'.repeat(70_000)}"}`, 400],
      [body('job-1', { Pieces: 0 }), 400],
      [body('job-1', { Pieces: 1.5 }), 400],
      [body('job-1', { Pieces: 100_001 }), 400],
      [body('job-1', { Cpus: -1 }), 400],
      [body('job-1', { Cpus: '1' }), 400],
      [JSON.stringify(body('job-1')).replace('"Cpus":1', '"Cpus":1e999'), 400],
      [body('job-1', { Shape: 'ring' }), 400],
      [body('job-1', { Rank: 'first' }), 400],
      [body('job-1', { OneZone: undefined }), 400],
      [body('task-1'), 400],
      [body('job-1', { Crew: 'nobody' }), 422],
      [body('job-1', { Cpus: 9 }), 422],
      [body('job-1', { Hulls: ['c9'] }), 422],
      [body('job-1', { Yard: 'z' }), 422],
      [body('job-1', { Accelerators: 1 }), 422],
      [body('job-1', { Hulls: [] }), 422],
    ];
    // Whatever may not be null must be there, and is named.
    const { Hulls: _h, Yard: _y, DueS: _d, Ref: _r, ...needed } = body('job-1');
    for (const field of Object.keys(needed)) {
      for (const value of [undefined, null]) {
        const answer = await post(at, '/api/jobs', body('job-1', { [field]: value }));
        expect(answer?.status, field).toBe(400);
        expect(answer?.body, field).toMatchObject({ error: expect.stringContaining(field) });
      }
    }
    expect(Object.keys(needed)).toHaveLength(16);
    for (const [text, expected] of bad) {
      expect((await post(at, '/api/jobs', text))?.status, JSON.stringify(text).slice(0, 200)).toBe(expected);
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
      expect((await post(at, '/checkin', { ...worker, Berth }))?.status).toBe(400);
    }
    expect((await post(at, '/checkin', worker))?.status).not.toBe(400);
    const client = new HttpClient({ host: '127.0.0.1', port: 99_999 }, 1);
    expect(await client.call('GET', '/', undefined, 1000)).toMatchObject({ kind: 'none', sent: false });
    for (const text of ['{', '{}', '{"Berth":7}', '[1]'])
      expect((await post(at, '/checkin', text))?.status).toBe(400);
    expect((await status(at, 'job-1'))?.status).toBe(404);
  });

  it('answers for every single job at every node while the state service is at its limit, and after a takeover', async () => {
    const { nodes, state, cloud } = await cluster(3);
    cloud.taskMs = 10_000_000;
    const ids = Array.from({ length: 12 }, (_, i) => `job-0001${String(i).padStart(2, '0')}`);
    for (const [i, id] of ids.entries()) await post(nodes[i % 3]!.at, '/api/jobs', body(id, { Pieces: 1 }));
    const leader = nodes.find((n) => n.controller.authority() === 'lead')!;
    for (const id of ids) await until(async () => (await status(leader.at, id))?.body.running === 1);
    state.limited = true;
    for (const node of nodes) {
      for (const id of ids) expect((await status(node.at, id))?.body.Status, id).toBe('running');
    }
    state.limited = false;
    leader.stop();
    const others = nodes.filter((n) => n !== leader);
    await until(() => others.some((n) => n.controller.authority() === 'lead'));
    for (const node of others) {
      for (const id of ids) await until(async () => (await status(node.at, id))?.body.running === 1);
    }
    expect(cloud.starts).toHaveLength(12);
  });

  it('still knows a job whose record cannot be read, at every node, also when it is submitted again', async () => {
    const { nodes, state } = await cluster(2);
    state.multi({ Apply: [{ Write: 'j/job-000077', Data: { odd: true } }] });
    for (const node of nodes) {
      expect((await status(node.at, 'job-000077'))?.status).toBe(200);
      expect((await post(node.at, '/api/jobs', body('job-000077')))?.status).toBe(200);
    }
    expect((await status(nodes[0]!.at, 'job-000078'))?.status).toBe(404);
  });

  it('says withdrawn only once that is stored, and ends the tasks', async () => {
    const { nodes, cloud, state } = await cluster(2);
    cloud.taskMs = 10_000_000;
    const [a, b] = nodes as [Node, Node];
    await post(a.at, '/api/jobs', body('job-5'));
    await until(async () => (await status(b.at, 'job-5'))?.body.running === 3);
    const answer = await until(async () => {
      const r = await post(b.at, '/api/jobs/job-5/abort', {});
      return r?.status === 200 ? r : null;
    });
    expect((answer.body as { Status: string }).Status).toBe('withdrawn');
    expect(state.keys.get('f/job-5')?.data).toMatchObject({ o: 'cancelled' });
    await until(() => [...cloud.workers.values()].every((w) => w.running().length === 0));
    // Repeats of what was carried out, at any node, change nothing: neither of the abort nor of the submission.
    const { epoch } = state;
    for (const node of nodes) {
      const again = [
        await post(node.at, '/api/jobs/job-5/abort', {}),
        await post(node.at, '/api/jobs', body('job-5')),
      ];
      for (const r of again) expect(r).toMatchObject({ status: 200, body: { Status: 'withdrawn' } });
      expect((await status(node.at, 'job-5'))?.body.Status).toBe('withdrawn');
    }
    expect(state.keys.has('j/job-5')).toBe(false);
    expect(state.keys.get('f/job-5')!.stamp).toBeLessThanOrEqual(epoch);
    expect(cloud.starts).toHaveLength(3);
  });

  it('answers 503 with Retry-After at once while the state service is away, and takes up again after', async () => {
    const { nodes, state } = await cluster(1);
    state.down = true;
    const refused = await post(nodes[0]!.at, '/api/jobs', body('job-8'));
    expect([refused?.status, refused?.headers['retry-after']]).toEqual([503, '1']);
    state.down = false;
    await until(async () => (await post(nodes[0]!.at, '/api/jobs', body('job-8')))?.status === 201);
    await until(async () => (await status(nodes[0]!.at, 'job-8'))?.body.Status === 'done');
  });

  it('hands over to another leader that neither loses nor doubles a task', async () => {
    const { nodes, cloud } = await cluster(3);
    cloud.taskMs = 10_000_000;
    const first = nodes.find((n) => n.controller.authority() === 'lead')!;
    const others = nodes.filter((n) => n !== first);
    await post(others[0]!.at, '/api/jobs', body('job-9', { Pieces: 6 }));
    await until(async () => (await status(others[0]!.at, 'job-9'))?.body.running === 6);
    first.stop();
    const second = await until(() => others.find((n) => n.controller.authority() === 'lead'));
    const answer = await until(async () => {
      const s = await status(second.at, 'job-9');
      return s?.body.running === 6 ? s : null;
    });
    expect(answer.body.Status).toBe('running');
    expect(cloud.starts).toHaveLength(6);
  });
});

describe('a restart', () => {
  it('of the leader replaces its own former life at once, and neither loses nor doubles a task', async () => {
    // With a lease of ten minutes nobody could lead in the time of this test by waiting for its end.
    const { nodes, cloud, state, start } = await cluster(1, 3, 600_000);
    cloud.taskMs = 10_000_000;
    await post(nodes[0]!.at, '/api/jobs', body('job-41'));
    await until(async () => (await status(nodes[0]!.at, 'job-41'))?.body.running === 3);
    const before = state.keys.get('leader')?.stamp ?? 0;
    nodes[0]!.stop();
    const again = start(0);
    await until(() => again.controller.authority() === 'lead');
    expect(state.keys.get('leader')?.stamp).toBeGreaterThan(before);
    await until(async () => (await status(again.at, 'job-41'))?.body.running === 3);
    expect(cloud.starts).toHaveLength(3);
  });
});

describe('a leader that is cut off', () => {
  const leaderOf = (nodes: Node[]) => nodes.find((n) => n.controller.authority() === 'lead');

  it('from the state service alone learns from a peer that another leads, and keeps no workers', async () => {
    const { nodes, fronts, cloud } = await cluster(3);
    cloud.taskMs = 10_000_000;
    const old = leaderOf(nodes)!;
    await post(old.at, '/api/jobs', body('job-31'));
    await until(async () => (await status(old.at, 'job-31'))?.body.running === 3);
    fronts[nodes.indexOf(old)]!.refuse = true;
    const next = await until(() => leaderOf(nodes.filter((n) => n !== old)));
    // It cannot read this from the state service: only a peer can have told it.
    await until(() => old.controller.election.leaderNode === `node-${nodes.indexOf(next)}`);
    expect(old.controller.authority()).toBe('none');
    await until(async () => (await status(next.at, 'job-31'))?.body.running === 3);
    expect(cloud.starts).toHaveLength(3);
  });

  it('from the state service alone has a peer admit and look up jobs, and says no more than that peer', async () => {
    const { nodes, fronts, state } = await cluster(3);
    const cut = nodes.find((n) => n !== leaderOf(nodes))!;
    fronts[nodes.indexOf(cut)]!.refuse = true;
    await until(async () => (await post(cut.at, '/api/jobs', body('job-34')))?.status === 201);
    expect(state.keys.has('j/job-34') || state.keys.has('f/job-34')).toBe(true);
    expect((await post(cut.at, '/api/jobs', body('job-34')))?.status).toBe(200);
    expect((await status(cut.at, 'job-34'))?.status).toBe(200);
    expect((await status(cut.at, 'job-35'))?.status).toBe(404);
    expect((await post(cut.at, '/up', undefined, 'GET'))?.status).toBe(200);
  });

  it('from the state service and all peers leaves its users to others until either is back', async () => {
    const { nodes, fronts } = await cluster(2);
    nodes[1]!.stop();
    fronts[0]!.refuse = true;
    const up = async () => (await post(nodes[0]!.at, '/up', undefined, 'GET'))?.status;
    await until(async () => (await up()) === 503);
    expect((await post(nodes[0]!.at, '/api/jobs', body('job-36')))?.status).toBe(503);
    fronts[0]!.refuse = false;
    await until(async () => (await up()) === 200);
    await until(async () => (await post(nodes[0]!.at, '/api/jobs', body('job-36')))?.status === 201);
  });

  it('from the state service and its peers, but not its workers, lets them go to the next leader', async () => {
    const { nodes, fronts, cloud } = await cluster(2, 3, 600, 0, 2);
    const [old, next] = nodes as [Node, Node];
    if (next.controller.authority() === 'lead') next.controller.election.resign(2000);
    await until(() => old.controller.authority() === 'lead');
    cloud.taskMs = 10_000_000;
    // With report periods of 2 s none of the three machines is silent for too long while it finds the next leader.
    await until(async () => (await post(old.at, '/api/jobs', body('job-37', { Cpus: 8 })))?.status === 201);
    await until(async () => (await status(old.at, 'job-37'))?.body.running === 3);
    fronts[0]!.refuse = true;
    await until(() => next.controller.authority() === 'lead');
    // Well before the 21 s for which it may keep workers alive without a lease.
    await until(async () => (await status(next.at, 'job-37'))?.body.running === 3);
    expect(old.controller.authority()).not.toBe('lead');
    expect(cloud.starts).toHaveLength(3);
  });

  it('from the workers alone steps aside for a peer that hears them', async () => {
    const { nodes, cloud } = await cluster(2);
    const old = leaderOf(nodes)!;
    const next = nodes.find((n) => n !== old)!;
    await post(old.at, '/api/jobs', body('job-32'));
    await until(async () => (await status(old.at, 'job-32'))?.body.Status === 'done');
    cloud.nodes[nodes.indexOf(old)] = `127.0.0.1:${await freePort()}`;
    await until(() => next.controller.authority() === 'lead');
    await post(old.at, '/api/jobs', body('job-33'));
    await until(async () => (await status(old.at, 'job-33'))?.body.Status === 'done');
  });
});

describe('a team', () => {
  it('sees and stops its own jobs only, and is told why they wait', async () => {
    const { nodes, cloud } = await cluster(2, 1);
    cloud.taskMs = 10_000_000;
    const [a, b] = nodes as [Node, Node];
    await post(a.at, '/api/jobs', body('job-20', { Pieces: 8 }));
    await until(async () => (await status(a.at, 'job-20'))?.body.running === 8);
    await post(b.at, '/api/jobs', body('job-21', { Crew: 'green', Pieces: 2 }));
    const listed = (await until(async () => {
      const r = await post(b.at, '/api/jobs?team=green', undefined, 'GET');
      return r?.status === 200 && (r.body as { jobs: unknown[] }).jobs.length > 0 ? r : null;
    })) as { body: { jobs: { Ref: string }[] } };
    expect(listed.body.jobs.map((j) => j.Ref)).toEqual(['job-21']);
    for (const node of [a, b]) {
      expect((await status(node.at, 'job-20?team=green'))?.status).toBe(404);
      expect((await post(node.at, '/api/jobs/job-20/abort?team=green', {}))?.status).toBe(404);
      expect((await status(node.at, 'job-20'))?.body.Status).toBe('running');
    }
    await until(async () =>
      /no machine with room/.test(String((await status(a.at, 'job-21'))?.body.waiting)),
    );
    const told = (await status(b.at, 'job-21/explain'))?.body;
    expect(told).toMatchObject({ team: 'green', rank: 1, ofJobs: 1, head: 'job-21', waitingTasks: 2 });
    const own = await until(async () => {
      const r = await post(b.at, '/api/jobs/job-20/abort?team=blue', {});
      return r?.status === 200 ? r : null;
    });
    expect((own.body as { Status: string }).Status).toBe('withdrawn');
    expect((await status(a.at, 'job-20?team=green'))?.status).toBe(404);
  });
});

describe('the persister', () => {
  const RATES = { rps: 1000, writeRps: 1000 };
  const setUp = async () => {
    const state = new StateService();
    cleanups.push(() => state.close());
    const at = await state.listen();
    const [host, port] = at.split(':');
    const client = new StateClient({ host: host!, port: Number(port) }, { ...RATES, lowered: RATES });
    cleanups.push(() => client.close());
    state.multi({ Apply: [{ Write: 'leader', Data: {} }] });
    const persister = new Persister(client, state.epoch as Term, log, new Jitter(3));
    return { state, persister };
  };
  const key = (n: number) => segmentKey(7 as Term, n);
  const segment = (n: number, bits = n): SaveOp => ({
    kind: 'segment',
    key: key(n),
    machines: [],
    progress: [{ job: 'job-1' as JobId, from: 0, bits: Uint8Array.of(bits) }],
  });

  it('finds out by reading back that an unanswered write was carried out', async () => {
    const { state, persister } = await setUp();
    state.swallow = 1;
    expect(await persister.save([segment(1)])).toEqual([]);
    expect(state.transactions).toBe(1);
    expect(await persister.save([segment(3), { kind: 'segment-gone', key: key(1) }])).toEqual([]);
    expect(state.keys.get(key(3))?.data).toMatchObject({ d: [['job-1', 0, 'Aw==']] });
    expect(state.keys.has(key(1))).toBe(false);
  });

  it('writes again what was not carried out', async () => {
    const { state, persister } = await setUp();
    state.drop = 2;
    expect(await persister.save([segment(1)])).toEqual([]);
    expect(state.transactions).toBe(3);
  });

  it('gives up once another leads, and changes nothing', async () => {
    const { state, persister } = await setUp();
    state.multi({ Apply: [{ Write: 'leader', Data: { node: 'other' } }] });
    const gone: SaveOp = { kind: 'segment-gone', key: key(9) };
    expect(await persister.save([segment(1), gone])).toBeNull();
    expect(state.keys.has(key(1))).toBe(false);
  });

  it('a late copy of an older write fails, since each key is guarded by its version', async () => {
    const { state, persister } = await setUp();
    await persister.save([segment(1)]);
    const late = {
      Guards: [{ Path: key(1), Stamp: 0 as Revision }],
      Apply: [{ Write: key(1), Data: 'old' }],
    };
    await persister.save([segment(3)]);
    expect(state.multi(late).status).toBe(409);
  });
});

describe('a node that starts while the cloud hangs', () => {
  it('takes requests as soon as it has read the machine types from the state service', async () => {
    const { nodes, cloud, state, start } = await cluster(1);
    await until(() => state.keys.has('c/types'));
    nodes[0]!.stop();
    cloud.silent = true;
    const again = start(0);
    await until(async () => (await post(again.at, '/up', undefined, 'GET'))?.status === 200);
    // The cloud has been asked, and its answer still stands out: no request to it has been given up yet.
    expect(cloud.unanswered).toBeGreaterThan(0);
    expect(cloud.givenUp).toBe(0);
    expect((await post(again.at, '/api/jobs', body('job-1')))?.status).toBe(201);
    expect((await post(again.at, '/api/jobs', body('job-2', { Crew: 'nobody' })))?.status).toBe(422);
  });
});

describe('direct orders', () => {
  it('to many machines at once, as when a large job is cancelled, do not cut one another off', async () => {
    const count = 90;
    const waiting: (() => void)[] = [];
    const told = JSON.stringify({
      Berth: 'n-1',
      Endpoint: '127.0.0.1:9',
      Hull: 'c8',
      Yard: 'a',
      Tenure: 1,
      Tick: 2,
      Baton: 7,
    });
    const servers = await Promise.all(
      Array.from({ length: count }, async () => {
        const server = createHttpServer((_, res) => {
          waiting.push(() => res.writeHead(200, { 'content-type': 'application/json' }).end(told));
          // Nobody is answered before all have been asked.
          if (waiting.length === count) for (const answer of waiting) answer();
        });
        await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
        cleanups.push(
          () => server.close(),
          () => server.closeAllConnections(),
        );
        return server;
      }),
    );
    const client = new WorkerClient(count);
    const answers = await Promise.all(
      servers.map((server) => {
        const { port } = server.address() as AddressInfo;
        return client.orders(`127.0.0.1:${port}`, 7 as Term, 1, []);
      }),
    );
    expect(answers.filter((report) => report?.machine === 'n-1')).toHaveLength(count);
  });

  it('take no more sockets than they may, and all are sent even so', async () => {
    let open = 0;
    let most = 0;
    let asked = 0;
    const server = createHttpServer((_, res) => {
      asked += 1;
      setImmediate(() => res.writeHead(409).end('{}'));
    });
    server.on('connection', (socket) => {
      open += 1;
      most = Math.max(most, open);
      socket.on('close', () => (open -= 1));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const { port } = server.address() as AddressInfo;
    const client = new WorkerClient(5);
    const orders = Array.from({ length: 40 }, () => client.orders(`127.0.0.1:${port}`, 7 as Term, 1, []));
    await Promise.all(orders);
    expect(asked).toBe(40);
    expect(most).toBeLessThanOrEqual(5);
  });
});

describe('a leader that has stood still since it decided', () => {
  it('sends no start that it decided before: right and time are looked at as the answer goes out', async () => {
    const { nodes, cloud } = await cluster(1);
    const { at, controller } = nodes[0]!;
    type Inside = { authority(): Authority; carryOut(effect: { kind: string; orders?: unknown[] }): void };
    const { leading } = controller as unknown as { leading: Inside };
    let frozen = false;
    let decided = 0;
    const authority = leading.authority.bind(leading);
    vi.spyOn(leading, 'authority').mockImplementation(() => (frozen ? 'keep-alive' : authority()));
    const carryOut = leading.carryOut.bind(leading);
    vi.spyOn(leading, 'carryOut').mockImplementation((effect) => {
      carryOut(effect);
      if (effect.kind !== 'answer' || !effect.orders?.length || decided > 0) return;
      decided = effect.orders.length;
      frozen = true;
    });
    expect((await post(at, '/api/jobs', body('job-1')))?.status).toBe(201);
    await until(() => decided > 0);
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(cloud.starts).toEqual([]);
    frozen = false;
    await until(async () => (await status(at, 'job-1'))?.body.Status === 'done');
    expect(new Set(cloud.starts.map((s) => s.split('#')[0])).size).toBe(3);
    expect(cloud.starts).toHaveLength(3);
  });

  it('neither rents nor returns machines for it', async () => {
    const cloud = new Cloud(3);
    cloud.nodes = ['127.0.0.1:9'];
    cleanups.push(() => cloud.close());
    const client = new CloudClient(parseEndpoint(await cloud.listen()), 100);
    cleanups.push(() => client.close());
    const names = ['r-1' as RequestName, 'c8' as TypeName, 'a' as ZoneName] as const;
    expect(await client.rent(...names, true, 2, () => false)).toBe('refused');
    expect(cloud.workers.size).toBe(0);
    const rented = await client.rent(...names, true, 2, () => true);
    expect(cloud.workers.size).toBe(2);
    expect(await client.delete(rented as MachineId[], () => false)).toBe(false);
    expect(cloud.workers.size).toBe(2);
    expect(await client.delete(rented as MachineId[], () => true)).toBe(true);
    expect(cloud.workers.size).toBe(0);
  });
});

describe('malformed reports', () => {
  it('are refused each time and logged once for each machine, however often they come', async () => {
    const port = await freePort();
    const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
    const lines: string[] = [];
    const told = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
    const server = serveApi(settings, makeApi({} as Controller, told), told);
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    for (let i = 0; i < 5; i += 1) {
      for (const bad of [{ Berth: 'n-1' }, { Berth: 'n-2' }, 'not json', null]) {
        expect((await post(`127.0.0.1:${port}`, '/checkin', bad))?.status).toBe(400);
      }
    }
    expect(lines).toHaveLength(4);
  });
});

describe('under overload', () => {
  it('turns users away at once beyond a bound, with Retry-After, and serves again when there is room', async () => {
    const port = await freePort();
    const given = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
    const settings = { ...given, quota: { ...given.quota, maxConnections: 1000 } };
    const app = new Hono();
    const held: (() => void)[] = [];
    let fast = false;
    app.get('/slow', async (c) => {
      if (!fast) await new Promise<void>((resolve) => held.push(resolve));
      return c.json({});
    });
    const server = serveApi(settings, app, log);
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const at = `127.0.0.1:${port}`;
    await until(() => server.listening);
    const waiting = Array.from({ length: MAX_IN_FLIGHT }, () => post(at, '/slow', undefined, 'GET'));
    await until(() => held.length === MAX_IN_FLIGHT);
    const refused = await post(at, '/slow', undefined, 'GET');
    expect([refused?.status, refused?.headers['retry-after']]).toEqual([503, '1']);
    fast = true;
    for (const release of held) release();
    for (const answer of await Promise.all(waiting)) expect(answer?.status).toBe(200);
    expect((await post(at, '/slow', undefined, 'GET'))?.status).toBe(200);
    expect(server.maxConnections).toBeLessThan(settings.quota.maxConnections);
  });

  it('answers within one long turn of the event loop, as when a whole fleet reports after a takeover', () => {
    vi.useFakeTimers();
    cleanups.push(() => vi.useRealTimers());
    let clock = 0;
    let settled = 0;
    const owner = new Owner(
      core(),
      () => 'lead',
      (effect) => {
        if (effect.kind === 'settled') settled += 1;
      },
      () => clock as Instant,
    );
    owner.start([]);
    vi.advanceTimersByTime(1);
    // No timer fires while the turn lasts.
    for (let i = 0; i < 500; i += 1) {
      owner.submit({ kind: 'abort', job: 'job-1' as JobId, ticket: 1 as Ticket });
      clock += 8;
    }
    expect(settled).toBeGreaterThan(400);
    vi.advanceTimersByTime(1000);
    expect(settled).toBe(500);
  });

  it('widens its batches: what comes in while a round is paid off is decided together', () => {
    vi.useFakeTimers();
    cleanups.push(() => vi.useRealTimers());
    const steps: number[] = [];
    const state = core();
    let cost = 0;
    const owner = new Owner(
      state,
      () => {
        // Stands for a costly decision: the clock moves on while it is made.
        vi.setSystemTime(Date.now() + cost);
        clock += cost;
        return 'lead';
      },
      (effect) => {
        if (effect.kind === 'settled') steps[steps.length - 1]! += 1;
      },
      () => clock as Instant,
    );
    let clock = 0;
    const abort = () => owner.submit({ kind: 'abort', job: 'job-1' as JobId, ticket: 1 as Ticket });
    const load = (every: number, count: number) => {
      steps.length = 0;
      for (let i = 0; i < count; i += 1) {
        abort();
        clock += every;
        const before = state.lastTick;
        steps.push(0);
        vi.advanceTimersByTime(every);
        expect(state.lastTick).toBe(before);
      }
      return Math.max(...steps);
    };
    owner.start([]);
    vi.advanceTimersByTime(1);
    const light = load(2, 40);
    cost = 40;
    const heavy = load(2, 200);
    expect(light).toBe(1);
    expect(heavy).toBeGreaterThan(5);
  });
});

describe('the peer link', () => {
  it('puts frames together again however the stream is cut', () => {
    const frames = Buffer.concat([encodeFrame({ n: 1 }), encodeFrame({ n: 2, is: 'x'.repeat(500) })]);
    const reader = new FrameReader();
    const got: unknown[] = [];
    for (const byte of frames) got.push(...reader.push(Buffer.of(byte)));
    expect(got).toEqual([{ n: 1 }, { n: 2, is: 'x'.repeat(500) }]);
  });

  it('refuses a frame that is too large or of no known form, and goes on serving others', async () => {
    const port = await freePort();
    const bad: string[] = [];
    const server = servePeers(
      { host: '127.0.0.1', port },
      () => 'fine',
      (reason) => bad.push(reason),
    );
    cleanups.push(() => server.close());
    const huge = Buffer.alloc(8);
    huge.writeUInt32BE(MAX_FRAME + 1);
    for (const bytes of [
      huge,
      encodeFrame({ n: 'one' }),
      encodeFrame({ n: 1, ask: 'everything' }),
      Buffer.from([0, 0, 0, 1, 0xc1]),
    ]) {
      const before = bad.length;
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => {});
      socket.write(bytes);
      await until(() => bad.length > before);
      socket.destroy();
    }
    expect(bad).toHaveLength(4);
    const peer = new Peer('node-1' as never, { host: '127.0.0.1', port });
    cleanups.push(() => peer.close());
    expect(await peer.ask({ ask: 'health' }, 5000)).toBe('fine');
  });
});
