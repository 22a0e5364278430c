/** Heartbeats over HTTP: framing, requests left to the HTTP server, and the parser's cache. */
import { connect, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import type { HeartbeatAnswer } from '../src/adapters/http/answers.js';
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
import { requestJson } from './stand-ins/http.js';
import { settingsText } from './stand-ins/settings.js';

afterEach(cleanUp);

const MAX_BODY = 1000;

const requestText = (
  body: string,
  headers: readonly string[] = [],
  requestLine = 'POST /checkin HTTP/1.1',
): string =>
  `${[requestLine, 'Host: 10.0.0.1', `Content-Length: ${body.length}`, ...headers].join('\r\n')}\r\n\r\n${body}`;

const framingKindOf = (text: string): Framing['kind'] =>
  frameHeartbeat(Buffer.from(text), MAX_BODY).kind;

describe('frameHeartbeat', () => {
  it('reports a request as incomplete until its last byte has arrived', () => {
    const message = requestText('{"a":1}');
    for (let n = 1; n < message.length; n += 1)
      expect(framingKindOf(message.slice(0, n))).toBe('incomplete');
    const framing = frameHeartbeat(Buffer.from(`${message}POST`), MAX_BODY);
    if (framing.kind !== 'request') throw new Error(framing.kind);
    expect(message.slice(framing.bodyStart, framing.bodyEnd)).toBe('{"a":1}');
    expect(framing.close).toBe(false);
  });

  it('reports all requests but plain heartbeats as unsupported', () => {
    const unsupported = [
      requestText('{}', [], 'GET /checkin HTTP/1.1'),
      requestText('{}', [], 'POST /checkin?x=1 HTTP/1.1'),
      requestText('{}', [], 'POST /checkin HTTP/1.0'),
      requestText('{}', [], 'POST /api/jobs HTTP/1.1'),
      requestText('{}', ['Transfer-Encoding: chunked']),
      requestText('{}', ['transfer-encoding : chunked']),
      requestText('{}', ['Expect: 100-continue']),
      requestText('{}', ['Upgrade: websocket']),
      requestText('{}', ['Content-Length: 2']),
      requestText('{}', ['Content-Length: 3']),
      requestText('{}', ['Connection: close', 'Connection: keep-alive']),
      requestText('{}', ['Connection: upgrade']),
      requestText('x'.repeat(MAX_BODY + 1)),
      `POST /checkin HTTP/1.1\r\nHost: a\r\n\r\n{}`,
      `POST /checkin HTTP/1.1\r\nContent-Length: -1\r\n\r\n{}`,
      `POST /checkin HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\n{}`,
      requestText('{}', [`X: ${'y'.repeat(9000)}`]),
      'G',
    ];
    for (const text of unsupported)
      expect([text.slice(0, 80), framingKindOf(text)]).toEqual([text.slice(0, 80), 'unsupported']);
  });

  it('recognizes a request to close the connection', () => {
    const framing = frameHeartbeat(Buffer.from(requestText('{}', ['Connection: Close'])), MAX_BODY);
    expect(framing).toMatchObject({ kind: 'request', close: true });
  });
});

/** Opens a connection that collects the received text. */
const openConnection = async (
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

const countResponses = (text: string): number => text.split('HTTP/1.1 ').length - 1;

/** An API that echoes heartbeats; with `holdsReplies`, only when `heldReplies` are called. */
const echoServer = async () => {
  const port = await freePort();
  const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
  const bodies: string[] = [];
  const heldReplies: (() => void)[] = [];
  const control = { holdsReplies: false };
  const handleHeartbeat = async (body: string): Promise<HeartbeatAnswer> => {
    bodies.push(body);
    if (control.holdsReplies) await new Promise<void>((resolve) => heldReplies.push(resolve));
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
  /** Requests of any kind that reached Node's HTTP server. */
  const httpRequests = { count: 0 };
  server.on('request', () => {
    httpRequests.count += 1;
  });
  await until(() => server.listening);
  return { port, bodies, heldReplies, control, httpRequests };
};

describe('heartbeat connections', () => {
  it('answer requests in order, sent byte by byte or several at once', async () => {
    const { port, bodies, httpRequests } = await echoServer();
    const { socket, text } = await openConnection(port);
    for (const byte of requestText('{"n":1}')) socket.write(byte);
    await until(() => countResponses(text()) === 1);
    socket.write(
      requestText('{"n":2}') +
        requestText('{"n":"\u00e4"}').replace('Content-Length: 9', 'Content-Length: 10'),
    );
    await until(() => countResponses(text()) === 3);
    expect(bodies).toEqual(['{"n":1}', '{"n":2}', '{"n":"\u00e4"}']);
    expect(httpRequests.count).toBe(0);
  });

  it('hand all but plain heartbeats to the HTTP server without losing a byte', async () => {
    const { port, bodies, httpRequests } = await echoServer();
    const { socket, text } = await openConnection(port);
    socket.write(requestText('{"n":1}'));
    await until(() => countResponses(text()) === 1);
    // A chunked request split in its header.
    const chunked =
      'POST /checkin HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{"n":2}\r\n0\r\n\r\n';
    socket.write(chunked.slice(0, 40));
    await new Promise((resolve) => setTimeout(resolve, 30));
    socket.write(chunked.slice(40));
    await until(() => countResponses(text()) === 2);
    socket.write('GET /up HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => countResponses(text()) === 3);
    socket.write(requestText('{"n":3}'));
    await until(() => countResponses(text()) === 4);
    expect(bodies).toEqual(['{"n":1}', '{"n":2}', '{"n":3}']);
    expect(httpRequests.count).toBe(3);
    expect(text()).toContain('{"ok":true}');
  });

  it('close on request, and handle a worker that disconnects before its reply', async () => {
    const { port, control, heldReplies, bodies } = await echoServer();
    const closing = await openConnection(port);
    closing.socket.write(requestText('{}', ['Connection: close']));
    await until(() => closing.closed());
    expect(closing.text()).toContain('Connection: close');
    control.holdsReplies = true;
    const aborted = await openConnection(port);
    aborted.socket.write(requestText('{}'));
    await until(() => heldReplies.length === 1);
    aborted.socket.destroy();
    await until(() => aborted.closed());
    heldReplies[0]!();
    // A half-closed connection still receives its reply.
    const halfClosed = await openConnection(port);
    halfClosed.socket.end(requestText('{"half":1}'));
    await until(() => heldReplies.length === 2);
    heldReplies[1]!();
    await until(() => halfClosed.closed());
    expect(countResponses(halfClosed.text())).toBe(1);
    expect(bodies).toHaveLength(3);
  });

  it('are closed when the worker keeps sending while its reply is pending', async () => {
    const { port, control, heldReplies } = await echoServer();
    control.holdsReplies = true;
    const { socket, closed } = await openConnection(port);
    socket.on('error', () => {});
    socket.write(requestText('{}'));
    await until(() => heldReplies.length === 1);
    const chunk = 'x'.repeat(1024 * 1024);
    for (let i = 0; i < 5; i += 1) socket.write(chunk);
    await until(() => closed());
  });

  it('answer with the same status, body and Retry-After as the HTTP server', async () => {
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
    const address = `127.0.0.1:${port}`;
    const heartbeat = heartbeatBody(1, []);
    const answers: unknown[] = [];
    const recordResponse = async (body: unknown, viaHttpServer: boolean) => {
      const path = viaHttpServer ? '/checkin?' : '/checkin';
      const reply = await requestJson(address, path, body);
      answers.push([reply?.status, reply?.body, reply?.headers['retry-after']]);
    };
    for (const viaHttpServer of [false, true]) {
      decision = { kind: 'unavailable' };
      await recordResponse(heartbeat, viaHttpServer);
      decision = { kind: 'redirect', leader: 'node-1' as NodeId };
      await recordResponse(heartbeat, viaHttpServer);
      decision = { kind: 'redirect', leader: null };
      await recordResponse(heartbeat, viaHttpServer);
      await recordResponse('[1]', viaHttpServer);
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
      await recordResponse(heartbeat, viaHttpServer);
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

interface TaskEntry {
  Piece: string;
  Try: number;
  Status: string;
  Cause?: string;
  Stored?: boolean;
}

const heartbeatBody = (tick: number, Pieces: readonly TaskEntry[]) => ({
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

const runningEntry = (n: number): TaskEntry => ({
  Piece: `job-1/${n}`,
  Try: 100 + n,
  Status: 'running',
});

/** Copies a value: two received heartbeats share no objects. */
const cloneJson = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;

describe('HeartbeatParser', () => {
  it('validates only the attempts that differ from those of the last heartbeat', () => {
    const parser = new HeartbeatParser();
    const tasks = Array.from({ length: 40 }, (_, n) => runningEntry(n));
    parser.parse(cloneJson(heartbeatBody(1, tasks)));
    expect(parser.decodedTaskCount).toBe(40);
    for (let tick = 2; tick < 12; tick += 1) parser.parse(cloneJson(heartbeatBody(tick, tasks)));
    expect(parser.decodedTaskCount).toBe(40);
    // One task has ended, one is absent, one is new.
    const changed = tasks.map((t, n) => (n === 5 ? { ...t, Status: 'ended', Cause: 'done' } : t));
    changed.splice(20, 1);
    changed.push(runningEntry(90));
    parser.parse(cloneJson(heartbeatBody(12, changed)));
    expect(parser.decodedTaskCount).toBe(42);
  });

  it('parses and rejects heartbeats with its cache exactly as without one', () => {
    const parser = new HeartbeatParser();
    let seed = 7;
    const drawBelow = (n: number): number => {
      seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
      return Math.floor(seed / 65_536) % n;
    };
    let tasks: TaskEntry[] = [];
    let rejectedCount = 0;
    for (let tick = 1; tick < 600; tick += 1) {
      if (drawBelow(2) === 0) tasks = [...tasks, runningEntry(tick)];
      if (drawBelow(3) === 0) tasks = tasks.filter((_, n) => n !== drawBelow(tasks.length + 1));
      if (drawBelow(3) === 0) {
        const changedIndex = drawBelow(tasks.length + 1);
        const status = (['pulling', 'running', 'saving', 'ended', 'odd'] as const)[drawBelow(5)]!;
        const cause = drawBelow(2) === 0 ? {} : { Cause: 'done', Stored: drawBelow(2) === 0 };
        tasks = tasks.map((t, n) => (n === changedIndex ? { ...t, Status: status, ...cause } : t));
      }
      if (drawBelow(9) === 0) tasks = [...tasks].reverse();
      const isMalformed = drawBelow(12) === 0;
      const body = heartbeatBody(
        tick,
        isMalformed ? [...tasks, { ...runningEntry(1), Try: -1 }] : tasks,
      );
      const expected: Heartbeat | null = parseHeartbeat(cloneJson(body));
      expect(parser.parse(cloneJson(body))).toEqual(expected);
      if (isMalformed) {
        expect(expected).toBeNull();
        rejectedCount += 1;
      }
    }
    expect(rejectedCount).toBeGreaterThan(20);
  });
});
