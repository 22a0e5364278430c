/** HTTP for users, workers and health checks, by hono on Node's own server. */
import { type IncomingMessage, type RequestListener, Server } from 'node:http';
import type { Socket } from 'node:net';
import { type Context, Hono } from 'hono';
import type { ExtensionModule, ExtensionRoute } from '../../core/extensions/extension.js';
import type { JobId, TeamName } from '../../core/model/ids.js';
import type { Controller } from '../../service/controller.js';
import type { LookupResult } from '../../service/user-requests.js';
import type { Settings } from '../configuration/settings.js';
import type { Log } from '../logging/log.js';
import { steadyNow } from '../runtime/clock.js';
import { encodeJobView, parseJob, parseJobId } from '../wire.js';
import {
  acceptHeartbeats,
  type HeartbeatHandler,
  type HeartbeatLimits,
  RETRY_AFTER_S,
} from './heartbeat-connections.js';
import { makeHeartbeatHandler } from './heartbeat-handler.js';
import { listenerOf, type NodeApplication, type NodeEnv, sendJson } from './hono-listener.js';

const MAX_BODY = 64 * 1024;
/** Reports of a machine full of small tasks are longer than what users may send. */
const MAX_REPORT = 4 * 1024 * 1024;
/** Users' requests under way beyond which new work is turned away: memory is bounded by it. */
export const MAX_IN_FLIGHT = 400;

const later = (c: Context<NodeEnv>, reason: string) =>
  sendJson(c, { error: reason }, 503, { 'Retry-After': RETRY_AFTER_S });

type Body = { readonly json: unknown } | { readonly fault: string };

/** The whole body as text, or null when it is longer than allowed. */
const readText = (req: IncomingMessage, limit: number): Promise<string | null> =>
  new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= limit) parts.push(part);
    });
    req.on('end', () => resolve(size > limit ? null : Buffer.concat(parts).toString('utf8')));
    req.on('error', reject);
    req.on('close', () => {
      if (!req.complete) reject(new Error('connection closed within the body'));
    });
  });

const parseText = (text: string): Body => {
  try {
    return { json: JSON.parse(text) };
  } catch {
    return { fault: 'body is not JSON' };
  }
};

const readBody = async (c: Context<NodeEnv>, limit: number): Promise<Body> => {
  const text = await readText(c.env.incoming, limit);
  return text === null ? { fault: 'body too large' } : parseText(text);
};

/** As `readBody`; no body at all is as good as an empty object. */
const readOptionalBody = async (c: Context<NodeEnv>): Promise<Body> => {
  const text = await readText(c.env.incoming, MAX_BODY);
  if (text === null) return { fault: 'body too large' };
  return text.trim() === '' ? { json: {} } : parseText(text);
};

/** A check-in that did not come as a plain request; see `CheckInConnection` for those that did. */
const answerCheckIn = async (c: Context<NodeEnv>, checkIn: HeartbeatHandler): Promise<Response> => {
  const text = await readText(c.env.incoming, MAX_REPORT);
  // No longer a report once cut: what is left of it is no JSON either.
  const { status, body } = await checkIn(text ?? '');
  return sendJson(c, body, status, status === 503 ? { 'Retry-After': RETRY_AFTER_S } : {});
};

type OperatorHandler = (
  extension: string,
  route: ExtensionRoute,
) => (c: Context<NodeEnv>) => Promise<Response>;

/** Serves operators' calls to extensions. */
const makeOperatorHandler =
  (controller: Controller): OperatorHandler =>
  (extension, route) =>
  async (c) => {
    const subject = c.req.param('subject') ?? '';
    const body = route.method === 'POST' ? await readOptionalBody(c) : { json: null };
    if ('fault' in body) return sendJson(c, { error: body.fault }, 400);
    const answer = await controller.handleOperatorCall(extension, {
      route: route.name,
      subject,
      body: body.json,
    });
    if (!answer) return later(c, 'no leader to ask');
    const headers = answer.status === 503 ? { 'Retry-After': RETRY_AFTER_S } : {};
    return sendJson(c, answer.body, answer.status, headers);
  };

export const makeApi = (
  controller: Controller,
  log: Log,
  checkIn: HeartbeatHandler = makeHeartbeatHandler(controller, log),
  extensions: readonly ExtensionModule[] = [],
): Hono<NodeEnv> => {
  const app = new Hono<NodeEnv>();
  const operatorHandler = makeOperatorHandler(controller);

  app.get('/up', (c) => (controller.isReady() ? sendJson(c, { ok: true }) : later(c, 'starting')));

  app.post('/checkin', (c) => answerCheckIn(c, checkIn));

  app.post('/api/jobs', async (c) => {
    const body = await readBody(c, MAX_BODY);
    if ('fault' in body) return sendJson(c, { error: body.fault }, 400);
    const { json } = body;
    if (typeof json !== 'object' || json === null || Array.isArray(json)) {
      return sendJson(c, { error: 'body is not an object' }, 400);
    }
    const id = parseJobId((json as { Ref?: unknown }).Ref);
    if (!id) return sendJson(c, { error: 'Ref: missing or malformed' }, 400);
    const from = steadyNow();
    const result = await controller.users.submit(id, parseJob(json));
    log.debug({ job: id, result: result.kind, ms: Math.round(steadyNow() - from) }, 'submission');
    if (result.kind === 'accepted') return sendJson(c, encodeJobView(result.view), 201);
    if (result.kind === 'later') return later(c, result.reason);
    if (!('reason' in result)) return sendJson(c, encodeJobView(result.view));
    log.info({ job: id, reason: result.reason }, 'refused');
    return sendJson(c, { error: result.reason }, result.kind === 'malformed' ? 400 : 422);
  });

  const say = (c: Context<NodeEnv>, view: LookupResult) => {
    if (view === 'absent') return sendJson(c, { error: 'no such job' }, 404);
    if (view === 'later') return later(c, 'state service away');
    return sendJson(c, encodeJobView(view));
  };

  app.get('/api/jobs', async (c) => {
    const team = c.req.query('team');
    if (!team) return sendJson(c, { error: 'name a team: ?team=NAME' }, 400);
    const jobs = await controller.users.list(team as TeamName);
    return jobs ? sendJson(c, { jobs: jobs.map(encodeJobView) }) : later(c, 'no leader to ask');
  });

  /** Scoping, not authentication: with ?team=NAME, another team's job is as good as absent. */
  const visible = async (c: Context<NodeEnv>, id: JobId): Promise<LookupResult> => {
    const view = await controller.users.lookUp(id);
    const team = c.req.query('team');
    return typeof view === 'object' && team !== undefined && view.team !== team ? 'absent' : view;
  };

  app.get('/api/jobs/:id', async (c) => {
    const id = parseJobId(c.req.param('id'));
    return id ? say(c, await visible(c, id)) : sendJson(c, { error: 'no such job' }, 404);
  });

  app.get('/api/jobs/:id/explain', async (c) => {
    const id = parseJobId(c.req.param('id'));
    if (!id) return sendJson(c, { error: 'no such job' }, 404);
    if (c.req.query('team') !== undefined) {
      const view = await visible(c, id);
      if (typeof view !== 'object') return say(c, view);
    }
    const told = await controller.users.explain(id);
    return told ? sendJson(c, told) : say(c, await visible(c, id));
  });

  app.post('/api/jobs/:id/abort', async (c) => {
    const id = parseJobId(c.req.param('id'));
    if (!id) return sendJson(c, { error: 'no such job' }, 404);
    if (c.req.query('team') !== undefined) {
      const view = await visible(c, id);
      if (typeof view !== 'object') return say(c, view);
    }
    return say(c, await controller.users.cancel(id));
  });

  for (const extension of extensions) {
    for (const route of extension.routes)
      app.on(route.method, route.path, operatorHandler(extension.name, route));
  }

  app.notFound((c) => sendJson(c, { error: 'no such path' }, 404));
  app.onError((error, c) => {
    log.error({ err: error, path: c.req.path }, 'request failed');
    return later(c, 'fault');
  });
  return app;
};

/** An HTTP server that leaves plain check-ins to a handler of their own. */
class ApiServer extends Server {
  private readonly checkIns = new Set<Socket>();

  constructor(listener: RequestListener) {
    super(listener);
  }

  /** Every connection is a worker's until it turns out not to be. */
  readCheckInsFirst(handle: HeartbeatHandler, limits: HeartbeatLimits): void {
    const [asHttp] = this.listeners('connection');
    this.removeAllListeners('connection');
    this.on('connection', (socket: Socket) => {
      this.checkIns.add(socket);
      socket.once('close', () => this.checkIns.delete(socket));
      acceptHeartbeats(socket, handle, limits, (unread) => {
        this.checkIns.delete(socket);
        asHttp?.call(this, socket);
        socket.emit('data', unread);
      });
    });
  }

  override closeAllConnections(): void {
    super.closeAllConnections();
    for (const socket of this.checkIns) socket.destroy();
  }
}

/** Of all sockets; the rest is for the state service, the cloud, the peers and direct orders. */
const API_SOCKETS = 0.85;
const REQUEST_MS = 20_000;
const LEAST_IDLE_MS = 5000;

/** Serves an application; with `checkIn`, plain check-ins pass it by. */
export const serveApi = (
  settings: Settings,
  app: NodeApplication,
  log: Log,
  checkIn: HeartbeatHandler | null = null,
): Server => {
  const listener = listenerOf(app);
  let inFlight = 0;
  const server = new ApiServer((req, res) => {
    // Workers' check-ins are as many as there are machines, and an idle one's waits for its answer: not counted.
    if (req.url === '/checkin') {
      void listener(req, res);
      return;
    }
    if (inFlight >= MAX_IN_FLIGHT) {
      res.writeHead(503, { 'Retry-After': RETRY_AFTER_S, 'content-length': '0' }).end();
      return;
    }
    inFlight += 1;
    res.once('close', () => (inFlight -= 1));
    void listener(req, res);
  });
  // A worker or user that has gone elsewhere, or whose machine is gone, may leave its connection open for good. What has
  // been silent for a lease is closed, so that a whole fleet that comes back by new connections finds room.
  const idleMs = Math.max(LEAST_IDLE_MS, settings.workers.leaseS * 1000);
  server.keepAliveTimeout = idleMs;
  server.headersTimeout = REQUEST_MS;
  server.requestTimeout = REQUEST_MS;
  server.maxConnections = Math.max(10, Math.floor(settings.quota.maxConnections * API_SOCKETS));
  if (checkIn) {
    server.readCheckInsFirst(checkIn, { maxBodyBytes: MAX_REPORT, idleMs, requestMs: REQUEST_MS });
  }
  server.on('error', (error) => {
    log.error({ err: error }, 'cannot listen');
    process.exit(1);
  });
  server.listen(settings.api.port, settings.api.host);
  return server;
};

/** The whole interface of one controller. */
export const startApi = (settings: Settings, controller: Controller, log: Log): Server => {
  const checkIn = makeHeartbeatHandler(controller, log);
  return serveApi(settings, makeApi(controller, log, checkIn, controller.extensions), log, checkIn);
};
