/** Limits that protect the HTTP API and the command loop from overload. */
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
import { requestJson } from './stand-ins/http.js';
import { settingsText } from './stand-ins/settings.js';
import { core } from './support/builders.js';

afterEach(cleanUp);

describe('POST /checkin', () => {
  it('rejects every malformed heartbeat, and logs each machine and reason once', async () => {
    const port = await freePort();
    const settings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
    const logLines: string[] = [];
    const capturingLog = pino({ level: 'info' }, { write: (line: string) => logLines.push(line) });
    const controller: Pick<ControllerApi, 'extensions'> = { extensions: [] };
    const app = makeApi(controller as ControllerApi, capturingLog);
    const server = serveApi({ settings, app, log: capturingLog });
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    for (let i = 0; i < 5; i += 1) {
      for (const malformed of [{ Berth: 'n-1' }, { Berth: 'n-2' }, 'not json', null]) {
        expect((await requestJson(`127.0.0.1:${port}`, '/checkin', malformed))?.status).toBe(400);
      }
    }
    expect(logLines).toHaveLength(4);
  });
});

describe('overload protection', () => {
  it('answers 503 with Retry-After above the in-flight limit, then serves again', async () => {
    const port = await freePort();
    const defaultSettings = parseSettings(settingsText({ api_addr: `127.0.0.1:${port}` }));
    const settings = {
      ...defaultSettings,
      quota: { ...defaultSettings.quota, maxConnections: 1000 },
    };
    const app = new Hono();
    const heldResponses: (() => void)[] = [];
    let respondsAtOnce = false;
    app.get('/slow', async (c) => {
      if (!respondsAtOnce) await new Promise<void>((resolve) => heldResponses.push(resolve));
      return c.json({});
    });
    const server = serveApi({ settings, app, log });
    cleanups.push(
      () => server.close(),
      () => server.closeAllConnections(),
    );
    const address = `127.0.0.1:${port}`;
    await until(() => server.listening);
    const pendingResponses = Array.from({ length: MAX_REQUESTS_IN_FLIGHT }, () =>
      requestJson(address, '/slow', undefined, 'GET'),
    );
    await until(() => heldResponses.length === MAX_REQUESTS_IN_FLIGHT);
    const rejected = await requestJson(address, '/slow', undefined, 'GET');
    expect([rejected?.status, rejected?.headers['retry-after']]).toEqual([503, '1']);
    respondsAtOnce = true;
    for (const respond of heldResponses) respond();
    for (const response of await Promise.all(pendingResponses)) expect(response?.status).toBe(200);
    expect((await requestJson(address, '/slow', undefined, 'GET'))?.status).toBe(200);
    expect(server.maxConnections).toBeLessThan(settings.quota.maxConnections);
  });

  it('applies commands within one long turn of the event loop, as after a failover', () => {
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
    // No timer fires during the turn.
    for (let i = 0; i < 500; i += 1) {
      commandLoop.submit({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 1 as ReplyTicket });
      clock += 8;
    }
    expect(settled).toBeGreaterThan(400);
    vi.advanceTimersByTime(1000);
    expect(settled).toBe(500);
  });

  it('batches commands submitted during the pause that follows a costly batch', () => {
    vi.useFakeTimers();
    cleanups.push(() => vi.useRealTimers());
    const settledPerInterval: number[] = [];
    const coreState = core();
    let decisionCostMs = 0;
    const commandLoop = new CommandLoop({
      core: coreState,
      authority: () => {
        // Simulates a costly decision: the clock advances while it is made.
        vi.setSystemTime(Date.now() + decisionCostMs);
        clock += decisionCostMs;
        return 'lead';
      },
      runEffect: (effect) => {
        if (effect.kind === 'cancellation-settled')
          settledPerInterval[settledPerInterval.length - 1]! += 1;
      },
      clock: () => clock as Instant,
    });
    let clock = 0;
    const cancelJob = () =>
      commandLoop.submit({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 1 as ReplyTicket });
    const largestBatch = (intervalMs: number, count: number) => {
      settledPerInterval.length = 0;
      for (let i = 0; i < count; i += 1) {
        cancelJob();
        clock += intervalMs;
        const tickBefore = coreState.lastTickAt;
        settledPerInterval.push(0);
        vi.advanceTimersByTime(intervalMs);
        expect(coreState.lastTickAt).toBe(tickBefore);
      }
      return Math.max(...settledPerInterval);
    };
    commandLoop.start([]);
    vi.advanceTimersByTime(1);
    const batchAtNoCost = largestBatch(2, 40);
    decisionCostMs = 40;
    const batchAtHighCost = largestBatch(2, 200);
    expect(batchAtNoCost).toBe(1);
    expect(batchAtHighCost).toBeGreaterThan(5);
  });
});
