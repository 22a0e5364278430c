/** Limits of the HTTP interface and of the command loop behind it, under floods and overload. */
import { Hono } from 'hono';
import pino from 'pino';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import { makeApi } from '../src/adapters/http/api.js';
import { MAX_REQUESTS_IN_FLIGHT, serveApi } from '../src/adapters/http/api-server.js';
import type { JobId, ReplyTicket } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import type { ControllerApi } from '../src/ports/controller-api.js';
import { CommandLoop } from '../src/service/command-loop.js';
import { cleanUp, cleanups, freePort, log, until } from './stand-ins/cluster.js';
import { post } from './stand-ins/http.js';
import { settingsText } from './stand-ins/settings.js';
import { core } from './support/builders.js';

afterEach(cleanUp);

describe('malformed heartbeats', () => {
  it('are refused each time, and logged once for each machine', async () => {
    const port = await freePort();
    const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
    const lines: string[] = [];
    const captured = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
    const controller: Pick<ControllerApi, 'extensions'> = { extensions: [] };
    const app = makeApi(controller as ControllerApi, captured);
    const server = serveApi({ settings, app, log: captured });
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    for (let i = 0; i < 5; i += 1) {
      for (const malformed of [{ Berth: 'n-1' }, { Berth: 'n-2' }, 'not json', null]) {
        expect((await post(`127.0.0.1:${port}`, '/checkin', malformed))?.status).toBe(400);
      }
    }
    expect(lines).toHaveLength(4);
  });
});

describe('overload', () => {
  it('turns users away beyond a bound with Retry-After, and serves again once there is room', async () => {
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
    const server = serveApi({ settings, app, log });
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const at = `127.0.0.1:${port}`;
    await until(() => server.listening);
    const waiting = Array.from({ length: MAX_REQUESTS_IN_FLIGHT }, () =>
      post(at, '/slow', undefined, 'GET'),
    );
    await until(() => held.length === MAX_REQUESTS_IN_FLIGHT);
    const refused = await post(at, '/slow', undefined, 'GET');
    expect([refused?.status, refused?.headers['retry-after']]).toEqual([503, '1']);
    fast = true;
    for (const release of held) release();
    for (const answer of await Promise.all(waiting)) expect(answer?.status).toBe(200);
    expect((await post(at, '/slow', undefined, 'GET'))?.status).toBe(200);
    expect(server.maxConnections).toBeLessThan(settings.quota.maxConnections);
  });

  it('settles commands within one long turn of the event loop, as after a failover', () => {
    vi.useFakeTimers();
    cleanups.push(() => vi.useRealTimers());
    let clock = 0;
    let settled = 0;
    const commandLoop = new CommandLoop({
      core: core(),
      authority: () => 'lead',
      runEffect: (effect) => {
        if (effect.kind === 'cancellation-settled') settled += 1;
      },
      clock: () => clock as Instant,
    });
    commandLoop.start([]);
    vi.advanceTimersByTime(1);
    // No timer fires while the turn lasts.
    for (let i = 0; i < 500; i += 1) {
      commandLoop.submit({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 1 as ReplyTicket });
      clock += 8;
    }
    expect(settled).toBeGreaterThan(400);
    vi.advanceTimersByTime(1000);
    expect(settled).toBe(500);
  });

  it('decides together what comes in while the processor time of a round is paid off', () => {
    vi.useFakeTimers();
    cleanups.push(() => vi.useRealTimers());
    const steps: number[] = [];
    const state = core();
    let cost = 0;
    const commandLoop = new CommandLoop({
      core: state,
      authority: () => {
        // Stands for a costly decision: the clock moves on while it is made.
        vi.setSystemTime(Date.now() + cost);
        clock += cost;
        return 'lead';
      },
      runEffect: (effect) => {
        if (effect.kind === 'cancellation-settled') steps[steps.length - 1]! += 1;
      },
      clock: () => clock as Instant,
    });
    let clock = 0;
    const cancelJob = () =>
      commandLoop.submit({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 1 as ReplyTicket });
    const load = (every: number, count: number) => {
      steps.length = 0;
      for (let i = 0; i < count; i += 1) {
        cancelJob();
        clock += every;
        const before = state.lastTickAt;
        steps.push(0);
        vi.advanceTimersByTime(every);
        expect(state.lastTickAt).toBe(before);
      }
      return Math.max(...steps);
    };
    commandLoop.start([]);
    vi.advanceTimersByTime(1);
    const light = load(2, 40);
    cost = 40;
    const heavy = load(2, 200);
    expect(light).toBe(1);
    expect(heavy).toBeGreaterThan(5);
  });
});
