/**
 * HTTP answers to users, operators and workers, and messages between controllers, as pinned at
 * commit 90313a6: status, headers and body byte for byte. The follower under test has a stand-in
 * leader that answers in the pinned forms; the leader under test is sent the pinned requests.
 */
import { request } from 'node:http';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import * as v from 'valibot';
import { afterEach, describe, expect, it } from 'vitest';
import { drainModule } from '../packages/drain/src/index.js';
import { settingsOf } from '../packages/drain/test/support/settings.js';
import { DEFAULT_POLICY } from '../src/adapters/configuration/policy.js';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import { startApi } from '../src/adapters/http/api-server.js';
import { encodeFrame, FrameDecoder } from '../src/adapters/peers/frames.js';
import { servePeers } from '../src/adapters/peers/peer-server.js';
import { Jitter } from '../src/adapters/runtime/random.js';
import type { AttemptId, FencingToken, JobId, NodeId, TaskIndex } from '../src/core/model/ids.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import type { ControllerApi } from '../src/ports/controller-api.js';
import type { HeartbeatDecision } from '../src/ports/heartbeat-service.js';
import type { UserApi } from '../src/ports/user-api.js';
import { Controller } from '../src/service/controller.js';
import { loadPins } from './fixtures/pins.js';
import * as pinnedSchemas from './fixtures/schemas-90313a6.js';
import { Cloud } from './stand-ins/cloud.js';
import { cleanUp, cleanups, freePort, jobBody, log, until } from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';
import { KeyValueStoreServer } from './stand-ins/key-value-store.js';
import { settingsText } from './stand-ins/settings.js';

afterEach(cleanUp);

const inputs = loadPins('inputs');
const records = loadPins('records');
const answers = loadPins('answers');
const pins = loadPins('http');

interface Answer {
  readonly status: number;
  readonly headers: Record<string, unknown>;
  readonly text: string;
}

/** Returns the answer to a request without the headers that vary from run to run. */
const sendRequest = (
  address: string,
  method: string,
  path: string,
  payload?: unknown,
  chunked = false,
): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const text =
      payload === undefined ? '' : typeof payload === 'string' ? payload : JSON.stringify(payload);
    const headers = chunked
      ? { 'transfer-encoding': 'chunked' }
      : { 'content-length': Buffer.byteLength(text) };
    const req = request(
      { host, port: Number(port), path, method, headers, agent: false },
      async (res) => {
        let responseText = '';
        for await (const part of res) responseText += part;
        const {
          date: _date,
          connection: _connection,
          'keep-alive': _keepAlive,
          ...kept
        } = res.headers;
        resolve({ status: res.statusCode ?? 0, headers: kept, text: responseText });
      },
    );
    req.on('error', reject);
    req.end(text);
  });

type PeerRequest = {
  n: number;
  ask: string;
  job?: string;
  record?: unknown;
  call?: { subject: string; route: string };
};

/** Whether a question tells the leader that the job's record is stored; 90313a6 sent none. */
const tellsOfRecord = ({ ask, record }: PeerRequest): boolean =>
  ask === 'status' && record !== undefined;

/** A leader that answers in the pinned forms and records each frame it receives, with `n` = 1. */
const startLeaderStandIn = async () => {
  const frames: string[] = [];
  const received: PeerRequest[] = [];
  const control = { silent: new Set<string>(), admit: 'admit' };
  const answerTo = ({ ask, job = '' }: PeerRequest): unknown => {
    if (ask === 'admit') return answers.get(control.admit);
    const pinned = answers.get<Record<string, unknown>>(ask);
    if (ask === 'status' || ask === 'abort' || ask === 'look')
      return pinned[job] ?? (ask === 'abort' ? 'later' : null);
    return pinned;
  };
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    const decoder = new FrameDecoder();
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      for (const message of decoder.decode(bytes)) {
        const question = message as PeerRequest;
        if (question.ask !== 'health') {
          frames.push(encodeFrame({ ...question, n: 1 }).toString('base64'));
          received.push(question);
        }
        const is = control.silent.has(question.ask) ? null : answerTo(question);
        socket.write(encodeFrame({ n: question.n, is }));
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(
    () => server.close(),
    () => {
      for (const socket of sockets) socket.destroy();
    },
  );
  const { port } = server.address() as AddressInfo;
  return { at: `127.0.0.1:${port}`, frames, received, control };
};

const startNode = async (peer: string | null, capacity = 0) => {
  const store = new KeyValueStoreServer();
  const cloud = new Cloud(capacity);
  cleanups.push(
    () => store.close(),
    () => cloud.close(),
  );
  const api = `127.0.0.1:${await freePort()}`;
  const back = `127.0.0.1:${await freePort()}`;
  const outside = { cloud: await cloud.listen(), state: await store.listen() };
  if (peer)
    store.commit({ Apply: [{ Write: 'leader', Data: { node: 'node-1', life: 'x', lease: 1 } }] });
  const seeds = peer ? [{ node: 'node-1', zone: 'a', endpoint: peer }] : [];
  const { params } = JSON.parse(settingsText()) as { params: object };
  // Short heartbeat intervals: a new leader waits for a few heartbeats.
  const quickParams = { ...params, workers: { report_s: 0.2, lease_s: 16, cancel_s: 40 } };
  const settings = parseSettings(
    settingsText({ api_addr: api, back, seeds, outside, params: quickParams }),
  );
  const drains = drainModule(settingsOf('(drain (budgets (team blue (at-once 2) (within 60 3))))'));
  const controller = new Controller({
    settings,
    policy: DEFAULT_POLICY,
    log,
    jitter: new Jitter(1),
    extensions: [drains],
  });
  const server = startApi(settings, controller, log);
  const peers = servePeers(
    settings.peerAddress,
    (question) => controller.handlePeerRequest(question),
    () => {},
  );
  controller.start();
  cleanups.push(() => {
    controller.stop();
    server.closeAllConnections();
    server.close();
    peers.close();
  });
  await until(async () => (await requestJson(api, '/up', undefined, 'GET'))?.status === 200);
  if (peer) await until(() => controller.election.leaderNode === 'node-1');
  else await until(() => controller.authority() === 'lead');
  return { store, cloud, api, back, controller };
};

/** Submissions with each kind of fault, and valid ones. */
const submissions: Record<string, unknown> = {
  'not JSON': '{',
  'an array': '[]',
  'too large': `{"Ref":"${'x'.repeat(70_000)}"}`,
  'without Ref': {},
  'a bad Ref': jobBody('task-1'),
  'no tasks': jobBody('job-900', { Pieces: 0 }),
  'a bad shape': jobBody('job-900', { Shape: 'ring' }),
  'a bad rank': jobBody('job-900', { Rank: 'first' }),
  'text for a number': jobBody('job-900', { Cpus: '1' }),
  'a field less': jobBody('job-900', { OneZone: undefined }),
  'a bad type': jobBody('job-900', { Hulls: ['', 'c8'] }),
  'unknown team': jobBody('job-900', { Crew: 'nobody' }),
  'over the limit': jobBody('job-900', { Cpus: 65 }),
  'replicas over the limit': jobBody('job-900', { Shape: 'daemon', Pieces: 9, Cpus: 8 }),
  'fits no type': jobBody('job-900', { Hulls: ['c9'] }),
  'replicas in one zone': jobBody('job-900', { Shape: 'daemon', Scatter: true, Yard: 'a' }),
  accepted: jobBody('job-10'),
  'accepted service': jobBody('job-11', { Shape: 'daemon' }),
  'not known to this node': jobBody('job-1'),
  known: jobBody('job-3'),
  'known with a bad body': jobBody('job-1', { Pieces: 0 }),
};

describe('a follower', () => {
  it('answers users and queries the leader in the pinned forms', async () => {
    const leader = await startLeaderStandIn();
    const { store, api } = await startNode(leader.at);
    const check = async (name: string, method: string, path: string, sent?: unknown) =>
      pins.check(`follower: ${name}`, await sendRequest(api, method, path, sent));
    await check('up', 'GET', '/up');
    await check('no path', 'GET', '/nowhere');
    for (const id of ['job-1', 'job-2', 'job-3', 'job-4', 'job-5', 'job-900', 'nonsense'])
      await check(id, 'GET', `/api/jobs/${id}`);
    await check('own team', 'GET', '/api/jobs/job-2?team=green');
    await check('other team', 'GET', '/api/jobs/job-2?team=blue');
    // Jobs known only by their stored records.
    store.commit({
      Apply: [
        { Write: 'j/job-000412', Data: records.get('job array') },
        { Write: 'j/job-413', Data: records.get('job service') },
        { Write: 'j/job-12', Data: { odd: true } },
        { Write: 'f/job-13', Data: records.get('final done') },
        { Write: 'f/job-14', Data: records.get('final cancelled') },
      ],
    });
    for (const id of ['job-000412', 'job-413', 'job-12', 'job-13', 'job-14'])
      await check(id, 'GET', `/api/jobs/${id}`);
    await check('no team', 'GET', '/api/jobs');
    await check('list', 'GET', '/api/jobs?team=blue');
    await check('explain', 'GET', '/api/jobs/job-1/explain');
    await check('explain of another team', 'GET', '/api/jobs/job-2/explain?team=blue');
    await check('explain nonsense', 'GET', '/api/jobs/nonsense/explain');
    for (const id of ['job-6', 'job-7', 'job-413', 'job-900', 'nonsense'])
      await check(`abort ${id}`, 'POST', `/api/jobs/${id}/abort`, {});
    await check('abort of another team', 'POST', '/api/jobs/job-2/abort?team=blue', {});
    for (const [name, sent] of Object.entries(submissions))
      await check(name, 'POST', '/api/jobs', sent);
    pins.check('stored by a submission', [
      Object.keys(store.keys.get('j/job-10')!.value as object),
      (store.keys.get('j/job-10')!.value as { spec: unknown }).spec,
      (store.keys.get('j/job-11')!.value as { service: unknown }).service,
    ]);
    await check('start a drain', 'POST', '/api/drains', inputs.get('drain'));
    await check('plan a drain', 'POST', '/api/drains/plan', inputs.get('drain of all'));
    await check('drains', 'GET', '/api/drains');
    await check('a drain', 'GET', '/api/drains/os-update');
    for (const change of ['pause', 'resume', 'cancel'])
      await check(`${change} a drain`, 'POST', `/api/drains/os-update/${change}`);
    await check('budgets', 'GET', '/api/budgets');
    await check('a drain that is not JSON', 'POST', '/api/drains', '{');
    pins.check(
      'questions',
      leader.received
        .map(({ n: _, ...question }) => question)
        .filter(({ ask }) => ask !== 'status'),
    );
    const framesWhere = (isWanted: (question: PeerRequest) => boolean) => [
      ...new Set(leader.frames.filter((_, i) => isWanted(leader.received[i]!))),
    ];
    pins.check(
      'frames',
      framesWhere((question) => !tellsOfRecord(question)),
    );
    pins.check('frames that tell of a record', framesWhere(tellsOfRecord));
    for (const question of leader.received)
      expect(v.parse(pinnedSchemas.question, question)).toEqual(question);
    // The leader answers these with null.
    for (const ask of ['list', 'explain', 'operate']) leader.control.silent.add(ask);
    await check('list without a leader', 'GET', '/api/jobs?team=blue');
    await check('explain without a leader', 'GET', '/api/jobs/job-1/explain');
    await check('drains without a leader', 'GET', '/api/drains');
    await check('check-in', 'POST', '/checkin', inputs.get('report'));
    await check('malformed check-in', 'POST', '/checkin', {});
  });

  it('has a peer submit and look up in the pinned forms while the store is down', async () => {
    const leader = await startLeaderStandIn();
    const { store, api } = await startNode(leader.at);
    const check = async (name: string, method: string, path: string, sent?: unknown) =>
      pins.check(`cut off: ${name}`, await sendRequest(api, method, path, sent));
    store.isDown = true;
    await until(
      async () => (await requestJson(api, '/api/jobs', jobBody('job-20')))?.status === 201,
    );
    leader.received.splice(0);
    leader.control.silent.add('status');
    leader.control.silent.add('explain');
    await check('submission', 'POST', '/api/jobs', jobBody('job-20'));
    const { record } = leader.received.find(({ ask }) => ask === 'admit') as unknown as {
      record: { at: number };
    };
    pins.check('admit question', {
      ...leader.received.find(({ ask }) => ask === 'admit'),
      n: 1,
      record: { ...record, at: 1 },
    });
    leader.control.admit = 'admit known';
    await check('known submission', 'POST', '/api/jobs', jobBody('job-21'));
    leader.control.silent.add('admit');
    await check('refused submission', 'POST', '/api/jobs', jobBody('job-22'));
    // job-30 is in the form of 90313a6, which did not know whether the job runs.
    for (const id of ['job-30', 'job-31', 'job-32', 'job-33'])
      await check(id, 'GET', `/api/jobs/${id}`);
    await check('explain', 'GET', '/api/jobs/job-30/explain');
    await check('abort', 'POST', '/api/jobs/job-30/abort');
    const lookRequests = leader.received
      .filter(({ ask }) => ask === 'look')
      .map((question) => ({ ...question, n: 1 }));
    pins.check('look questions', lookRequests.slice(0, 3));
    for (const question of leader.received)
      expect(v.parse(pinnedSchemas.question, question)).toEqual(question);
  });
});

/** Connects as a peer; returns a function that sends a request and awaits its answer. */
const connectAsPeer = async (address: string) => {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  cleanups.push(() => socket.destroy());
  const decoder = new FrameDecoder();
  const pending = new Map<number, (is: unknown) => void>();
  socket.on('data', (bytes: Buffer) => {
    for (const message of decoder.decode(bytes)) {
      const { n, is } = v.parse(pinnedSchemas.answer, message);
      pending.get(n)?.(is);
    }
  });
  await new Promise<void>((resolve) => socket.once('connect', resolve));
  let lastNumber = 0;
  return (question: object): Promise<unknown> =>
    new Promise((resolve) => {
      lastNumber += 1;
      pending.set(lastNumber, resolve);
      socket.write(encodeFrame({ n: lastNumber, ...question }));
    });
};

/** An answer without the values of an explanation that vary. */
const withoutVolatileValues = (answer: unknown): unknown =>
  JSON.parse(JSON.stringify(answer), (key, value) =>
    key === 'scores' && value
      ? Object.keys(value as object)
      : key === 'headShadowInS'
        ? null
        : value,
  );

describe('a leader', () => {
  it('answers its peers and operators in the pinned forms', async () => {
    const { store, api, back } = await startNode(null);
    const ask = await connectAsPeer(back);
    const checkAnswer = async (name: string, question: object, schema?: v.GenericSchema) => {
      const answer = withoutVolatileValues(await ask(question));
      pins.check(`leader: ${name}`, answer);
      if (schema) expect(v.parse(schema, answer)).toEqual(answer);
    };
    const leaderRecord = store.keys.get('leader')!;
    pins.check('leader record', Object.keys(leaderRecord.value as object));
    expect(leaderRecord.value).toMatchObject({
      node: 'node-0',
      life: expect.any(String),
      lease: leaderRecord.lease,
    });
    const record = { ...records.get<{ at: number; spec: object }>('job array') };
    const plainRecord = {
      ...record,
      spec: { ...record.spec, id: 'job-1', cpus: 1, gpus: 0, types: null },
    };
    await checkAnswer('admit', { ask: 'admit', record: plainRecord }, pinnedSchemas.admitted);
    await checkAnswer('admit of no record', { ask: 'admit', record: { odd: true } });
    await checkAnswer(
      'admit of a service',
      { ask: 'admit', record: records.get('job service') },
      pinnedSchemas.admitted,
    );
    await until(async () => {
      const view = (await ask({ ask: 'status', job: 'job-1' })) as { waiting?: string } | null;
      return view?.waiting?.startsWith('no machine');
    });
    await checkAnswer('admit again', { ask: 'admit', record: plainRecord }, pinnedSchemas.admitted);
    await checkAnswer('status', { ask: 'status', job: 'job-1' }, pinnedSchemas.view);
    await checkAnswer('status of a service', { ask: 'status', job: 'job-413' }, pinnedSchemas.view);
    await checkAnswer('status of no job', { ask: 'status', job: 'job-900' });
    await checkAnswer('look', { ask: 'look', job: 'job-1' }, pinnedSchemas.view);
    await checkAnswer('look for no job', { ask: 'look', job: 'job-900' });
    await checkAnswer('list', { ask: 'list', team: 'blue' }, v.array(pinnedSchemas.view));
    await checkAnswer('list of no team', { ask: 'list' });
    await checkAnswer('explain', { ask: 'explain', job: 'job-1' });
    await checkAnswer('explain no job', { ask: 'explain', job: 'job-900' });
    const health = (await ask({ ask: 'health' })) as { term: number };
    pins.check('leader: health', { ...health, term: 1 });
    expect(v.parse(pinnedSchemas.health, health)).toEqual(health);
    const operate = (route: string, subject = '', sent: unknown = null) =>
      checkAnswer(
        `operate ${route} ${subject}`,
        { ask: 'operate', extension: 'drain', call: { route, subject, body: sent } },
        pinnedSchemas.operatorAnswer,
      );
    await operate('list');
    await operate('budgets');
    await operate('status', 'none');
    await operate('start', 'empty', {});
    await operate('what');
    await checkAnswer('operate of another package', {
      ask: 'operate',
      extension: 'none',
      call: { route: 'list', subject: '', body: null },
    });
    await checkAnswer('operate without a call', { ask: 'operate' });
    pins.check('leader: drains', await sendRequest(api, 'GET', '/api/drains'));
    await checkAnswer('abort', { ask: 'abort', job: 'job-1' }, pinnedSchemas.view);
    await checkAnswer('abort again', { ask: 'abort', job: 'job-1' }, pinnedSchemas.view);
    await checkAnswer('abort of no job', { ask: 'abort', job: 'job-900' });
    pins.check('stored by an abort', store.keys.get('f/job-1')!.value);
  });
});

describe('replies to heartbeats', () => {
  it('have the pinned bytes, both from the raw socket and from the HTTP server', async () => {
    const task = {
      job: 'job-000412' as JobId,
      index: 8 as TaskIndex,
      attempt: 41000002 as AttemptId,
    };
    const workerCommands: WorkerCommand[] = [
      { op: 'start', ...task },
      { op: 'kill', ...task, graceS: 3 },
      { op: 'reap', ...task },
    ];
    const decisions: Record<string, HeartbeatDecision | null> = {
      orders: { kind: 'commands', fencingToken: 41 as FencingToken, commands: workerCommands },
      'no orders': { kind: 'commands', fencingToken: 41 as FencingToken, commands: [] },
      elsewhere: { kind: 'redirect', leader: 'node-1' as NodeId },
      nowhere: { kind: 'redirect', leader: null },
      later: { kind: 'unavailable' },
      fault: null,
    };
    let currentDecision: HeartbeatDecision | null = null;
    const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${await freePort()}` }));
    const users: Pick<UserApi, 'lookUp'> = {
      lookUp: () => {
        throw new Error('fault');
      },
    };
    const controller: Omit<ControllerApi, 'users' | 'handleOperatorCall'> & {
      users: typeof users;
    } = {
      extensions: [],
      isReady: () => false,
      handleHeartbeat: async () => {
        if (currentDecision === null) throw new Error('fault');
        return currentDecision;
      },
      users,
    };
    const server = startApi(settings, controller as ControllerApi, log);
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    await until(() => server.listening);
    const { host, port } = settings.api;
    const postOnSocket = (text: string): Promise<string> =>
      new Promise((resolve, reject) => {
        let reply = '';
        const socket = connect(port, host, () =>
          socket.write(
            `POST /checkin HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
          ),
        );
        socket.on('data', (bytes) => {
          reply += bytes.toString();
        });
        socket.on('error', reject);
        socket.on('close', () => resolve(reply));
      });
    const report = JSON.stringify(inputs.get('report'));
    for (const [name, decision] of Object.entries(decisions)) {
      currentDecision = decision;
      pins.check(`check-in: ${name}`, await postOnSocket(report));
      pins.check(
        `check-in by HTTP: ${name}`,
        await sendRequest(`${host}:${port}`, 'POST', '/checkin', report, true),
      );
    }
    pins.check('check-in: malformed', await postOnSocket('{'));
    pins.check('check-in: of no fields', await postOnSocket('{}'));
    pins.check(
      'check-in by HTTP: malformed',
      await sendRequest(`${host}:${port}`, 'POST', '/checkin', '{', true),
    );
    pins.check('starting', await sendRequest(`${host}:${port}`, 'GET', '/up'));
    pins.check('a fault', await sendRequest(`${host}:${port}`, 'GET', '/api/jobs/job-1'));
  });
});

describe('the pinned answers', () => {
  it('are all compared', () =>
    expect([...pins.unusedNames(), ...answers.unusedNames()]).toEqual([]));
});
