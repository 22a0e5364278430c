/** Heartbeats over HTTP: framing, what is left to the HTTP server, and the parser's memory. */
import { connect, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import type { HeartbeatReply } from '../src/adapters/http/answers.js';
import { makeApi } from '../src/adapters/http/api.js';
import { serveApi } from '../src/adapters/http/api-server.js';
import { type Framing, frameHeartbeat } from '../src/adapters/http/heartbeat-framing.js';
import { makeHeartbeatHandler } from '../src/adapters/http/heartbeat-handler.js';
import { HeartbeatParser, parseHeartbeat } from '../src/adapters/workers/heartbeat-parser.js';
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import type { AttemptId, FencingToken, JobId, NodeId, TaskIndex } from '../src/core/model/ids.js';
import type { ControllerApi } from '../src/ports/controller-api.js';
import type { HeartbeatDecision } from '../src/ports/heartbeat-service.js';
import { cleanUp, cleanups, freePort, log, until } from './stand-ins/cluster.js';
import { post } from './stand-ins/http.js';
import { settingsText } from './stand-ins/settings.js';

afterEach(cleanUp);

const MAX_BODY = 1000;

const request = (
  body: string,
  headers: readonly string[] = [],
  line = 'POST /checkin HTTP/1.1',
): string =>
  `${[line, 'Host: 10.0.0.1', `Content-Length: ${body.length}`, ...headers].join('\r\n')}\r\n\r\n${body}`;

const kindOf = (text: string): Framing['kind'] => frameHeartbeat(Buffer.from(text), MAX_BODY).kind;

describe('frameHeartbeat', () => {
  it('reports a request as incomplete until its last byte has come', () => {
    const whole = request('{"a":1}');
    for (let n = 1; n < whole.length; n += 1) expect(kindOf(whole.slice(0, n))).toBe('incomplete');
    const framing = frameHeartbeat(Buffer.from(`${whole}POST`), MAX_BODY);
    if (framing.kind !== 'request') throw new Error(framing.kind);
    expect(whole.slice(framing.bodyStart, framing.bodyEnd)).toBe('{"a":1}');
    expect(framing.close).toBe(false);
  });

  it('leaves all but plain heartbeats to the HTTP server', () => {
    const others = [
      request('{}', [], 'GET /checkin HTTP/1.1'),
      request('{}', [], 'POST /checkin?x=1 HTTP/1.1'),
      request('{}', [], 'POST /checkin HTTP/1.0'),
      request('{}', [], 'POST /api/jobs HTTP/1.1'),
      request('{}', ['Transfer-Encoding: chunked']),
      request('{}', ['transfer-encoding : chunked']),
      request('{}', ['Expect: 100-continue']),
      request('{}', ['Upgrade: websocket']),
      request('{}', ['Content-Length: 2']),
      request('{}', ['Content-Length: 3']),
      request('{}', ['Connection: close', 'Connection: keep-alive']),
      request('{}', ['Connection: upgrade']),
      request('x'.repeat(MAX_BODY + 1)),
      `POST /checkin HTTP/1.1\r\nHost: a\r\n\r\n{}`,
      `POST /checkin HTTP/1.1\r\nContent-Length: -1\r\n\r\n{}`,
      `POST /checkin HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\n{}`,
      request('{}', [`X: ${'y'.repeat(9000)}`]),
      'G',
    ];
    for (const text of others)
      expect([text.slice(0, 80), kindOf(text)]).toEqual([text.slice(0, 80), 'unsupported']);
  });

  it('recognizes that the client wants the connection closed', () => {
    const framing = frameHeartbeat(Buffer.from(request('{}', ['Connection: Close'])), MAX_BODY);
    expect(framing).toMatchObject({ kind: 'request', close: true });
  });
});

/** A connection that gathers what comes back. */
const dial = async (
  port: number,
): Promise<{ socket: Socket; text: () => string; closed: () => boolean }> => {
  let text = '';
  let closed = false;
  const socket = connect(port, '127.0.0.1');
  cleanups.push(() => socket.destroy());
  socket.on('data', (bytes) => {
    text += bytes.toString();
  });
  socket.on('close', () => {
    closed = true;
  });
  await new Promise<void>((resolve) => socket.once('connect', resolve));
  return { socket, text: () => text, closed: () => closed };
};

const answersIn = (text: string): number => text.split('HTTP/1.1 ').length - 1;

/** An API that answers a heartbeat with its body; with `hold`, once its `waiting` is called. */
const echoServer = async () => {
  const port = await freePort();
  const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
  const bodies: string[] = [];
  const waiting: (() => void)[] = [];
  const control = { hold: false };
  const handleHeartbeat = async (body: string): Promise<HeartbeatReply> => {
    bodies.push(body);
    if (control.hold) await new Promise<void>((resolve) => waiting.push(resolve));
    return { status: 200, body: { got: body } };
  };
  const controller: Pick<ControllerApi, 'isReady' | 'extensions'> = {
    isReady: () => true,
    extensions: [],
  };
  const app = makeApi(controller as ControllerApi, log, handleHeartbeat);
  const server = serveApi({ settings, app, log, handleHeartbeat });
  cleanups.push(
    () => server.close(),
    () => server.closeAllConnections(),
  );
  /** Requests that Node's HTTP server has seen, of whatever kind. */
  const httpRequests = { count: 0 };
  server.on('request', () => {
    httpRequests.count += 1;
  });
  await until(() => server.listening);
  return { port, bodies, waiting, control, httpRequests };
};

describe('heartbeat connections', () => {
  it('answer one request after the other, cut into single bytes or sent at once', async () => {
    const { port, bodies, httpRequests } = await echoServer();
    const { socket, text } = await dial(port);
    for (const byte of request('{"n":1}')) socket.write(byte);
    await until(() => answersIn(text()) === 1);
    socket.write(
      request('{"n":2}') +
        request('{"n":"\u00e4"}').replace('Content-Length: 9', 'Content-Length: 10'),
    );
    await until(() => answersIn(text()) === 3);
    expect(bodies).toEqual(['{"n":1}', '{"n":2}', '{"n":"\u00e4"}']);
    expect(httpRequests.count).toBe(0);
  });

  it('hand all but plain heartbeats over to the HTTP server, without losing a byte', async () => {
    const { port, bodies, httpRequests } = await echoServer();
    const { socket, text } = await dial(port);
    socket.write(request('{"n":1}'));
    await until(() => answersIn(text()) === 1);
    // Chunked and cut in the middle of its head.
    const chunked =
      'POST /checkin HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{"n":2}\r\n0\r\n\r\n';
    socket.write(chunked.slice(0, 40));
    await new Promise((resolve) => setTimeout(resolve, 30));
    socket.write(chunked.slice(40));
    await until(() => answersIn(text()) === 2);
    socket.write('GET /up HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => answersIn(text()) === 3);
    socket.write(request('{"n":3}'));
    await until(() => answersIn(text()) === 4);
    expect(bodies).toEqual(['{"n":1}', '{"n":2}', '{"n":3}']);
    expect(httpRequests.count).toBe(3);
    expect(text()).toContain('{"ok":true}');
  });

  it('close when asked to, and survive a worker that hangs up', async () => {
    const { port, control, waiting, bodies } = await echoServer();
    const asked = await dial(port);
    asked.socket.write(request('{}', ['Connection: close']));
    await until(() => asked.closed());
    expect(asked.text()).toContain('Connection: close');
    control.hold = true;
    const gone = await dial(port);
    gone.socket.write(request('{}'));
    await until(() => waiting.length === 1);
    gone.socket.destroy();
    await until(() => gone.closed());
    waiting[0]!();
    // Half closed, it still gets its answer.
    const half = await dial(port);
    half.socket.end(request('{"half":1}'));
    await until(() => waiting.length === 2);
    waiting[1]!();
    await until(() => half.closed());
    expect(answersIn(half.text())).toBe(1);
    expect(bodies).toHaveLength(3);
  });

  it('are closed when the worker keeps sending while it waits for its answer', async () => {
    const { port, control, waiting } = await echoServer();
    control.hold = true;
    const { socket, closed } = await dial(port);
    socket.on('error', () => {});
    socket.write(request('{}'));
    await until(() => waiting.length === 1);
    const part = 'x'.repeat(1024 * 1024);
    for (let i = 0; i < 5; i += 1) socket.write(part);
    await until(() => closed());
  });

  it('answer as the HTTP server does: 400 for malformed, 421, 503 with Retry-After', async () => {
    const port = await freePort();
    const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
    let decision: HeartbeatDecision = { kind: 'unavailable' };
    const controller: Pick<ControllerApi, 'handleHeartbeat' | 'extensions'> = {
      handleHeartbeat: async () => decision,
      extensions: [],
    };
    const handleHeartbeat = makeHeartbeatHandler(controller as ControllerApi, log);
    const app = makeApi(controller as ControllerApi, log, handleHeartbeat);
    const server = serveApi({ settings, app, log, handleHeartbeat });
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const at = `127.0.0.1:${port}`;
    const heartbeat = report(1, []);
    const answers: unknown[] = [];
    const ask = async (body: unknown, viaHttpServer: boolean) => {
      const path = viaHttpServer ? '/checkin?' : '/checkin';
      const reply = await post(at, path, body);
      answers.push([reply?.status, reply?.body, reply?.headers['retry-after']]);
    };
    for (const viaHttpServer of [false, true]) {
      decision = { kind: 'unavailable' };
      await ask(heartbeat, viaHttpServer);
      decision = { kind: 'redirect', leader: 'node-1' as NodeId };
      await ask(heartbeat, viaHttpServer);
      decision = { kind: 'redirect', leader: null };
      await ask(heartbeat, viaHttpServer);
      await ask('[1]', viaHttpServer);
      decision = {
        kind: 'commands',
        fencingToken: 7 as FencingToken,
        commands: [
          {
            op: 'reap',
            job: 'job-1' as JobId,
            index: 2 as TaskIndex,
            attempt: 3 as AttemptId,
          },
        ],
      };
      await ask(heartbeat, viaHttpServer);
    }
    expect(answers.slice(0, 5)).toEqual([
      [503, { error: 'not now' }, '1'],
      [421, { Foreman: 'node-1' }, undefined],
      [421, {}, undefined],
      [400, { error: 'malformed' }, undefined],
      [200, { Baton: 7, Orders: [{ Verb: 'reap', Piece: 'job-1/2', Try: 3 }] }, undefined],
    ]);
    expect(answers.slice(5)).toEqual(answers.slice(0, 5));
  });
});

interface Entry {
  Piece: string;
  Try: number;
  Status: string;
  Cause?: string;
  Stored?: boolean;
}

const report = (tick: number, Pieces: readonly Entry[]) => ({
  Berth: 'n-000001',
  Endpoint: '10.1.0.1:9000',
  Hull: 'c8',
  Yard: 'a',
  Loaners: true,
  Tenure: 1,
  Tick: tick,
  Baton: 7,
  RecallS: null,
  Pieces,
});

const running = (n: number): Entry => ({ Piece: `job-1/${n}`, Try: 100 + n, Status: 'running' });

/** As it comes from the wire: nothing is shared between two reports. */
const fresh = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;

describe('HeartbeatParser', () => {
  it('validates only the attempts that differ from those of the last heartbeat', () => {
    const parser = new HeartbeatParser();
    const tasks = Array.from({ length: 40 }, (_, n) => running(n));
    parser.parse(fresh(report(1, tasks)));
    expect(parser.decodedTaskCount).toBe(40);
    for (let tick = 2; tick < 12; tick += 1) parser.parse(fresh(report(tick, tasks)));
    expect(parser.decodedTaskCount).toBe(40);
    // One ends, one is gone, one is new.
    const changed = tasks.map((t, n) => (n === 5 ? { ...t, Status: 'ended', Cause: 'done' } : t));
    changed.splice(20, 1);
    changed.push(running(90));
    parser.parse(fresh(report(12, changed)));
    expect(parser.decodedTaskCount).toBe(42);
  });

  it('parses with its memory as without it, and refuses malformed heartbeats alike', () => {
    const parser = new HeartbeatParser();
    let seed = 7;
    const draw = (n: number): number => {
      seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
      return Math.floor(seed / 65_536) % n;
    };
    let tasks: Entry[] = [];
    let refused = 0;
    for (let tick = 1; tick < 600; tick += 1) {
      if (draw(2) === 0) tasks = [...tasks, running(tick)];
      if (draw(3) === 0) tasks = tasks.filter((_, n) => n !== draw(tasks.length + 1));
      if (draw(3) === 0) {
        const at = draw(tasks.length + 1);
        const status = (['pulling', 'running', 'saving', 'ended', 'odd'] as const)[draw(5)]!;
        const cause = draw(2) === 0 ? {} : { Cause: 'done', Stored: draw(2) === 0 };
        tasks = tasks.map((t, n) => (n === at ? { ...t, Status: status, ...cause } : t));
      }
      if (draw(9) === 0) tasks = [...tasks].reverse();
      const isMalformed = draw(12) === 0;
      const body = report(tick, isMalformed ? [...tasks, { ...running(1), Try: -1 }] : tasks);
      const alone: Heartbeat | null = parseHeartbeat(fresh(body));
      expect(parser.parse(fresh(body))).toEqual(alone);
      if (isMalformed) {
        expect(alone).toBeNull();
        refused += 1;
      }
    }
    expect(refused).toBeGreaterThan(20);
  });
});
