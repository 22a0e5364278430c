/** The HTTP server of one controller: its connections and their limits. */
import { type RequestListener, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { ControllerApi } from '../../ports/controller-api.js';
import type { Settings } from '../configuration/settings.js';
import type { Log } from '../logging/log.js';
import { RETRY_AFTER_S, UNAVAILABLE_STATUS } from './answers.js';
import { makeApi } from './api.js';
import {
  acceptHeartbeats,
  type HeartbeatHandler,
  type HeartbeatLimits,
} from './heartbeat-connections.js';
import { HEARTBEAT_PATH } from './heartbeat-framing.js';
import { makeHeartbeatHandler } from './heartbeat-handler.js';
import { createRequestListener, type NodeApplication } from './hono-listener.js';
import { MAX_HEARTBEAT_BYTES } from './request-body.js';

/** Users' requests under way beyond which new ones are turned away: memory is bounded by it. */
export const MAX_REQUESTS_IN_FLIGHT = 400;
/** Share of all sockets; the rest is for outside services, peers and commands sent to workers. */
const API_SOCKET_SHARE = 0.85;
const MIN_API_SOCKETS = 10;
const REQUEST_TIMEOUT_MS = 20_000;
const MIN_IDLE_TIMEOUT_MS = 5000;

/** An HTTP server that leaves plain heartbeats to a handler of their own. */
class ApiServer extends Server {
  private readonly heartbeatSockets = new Set<Socket>();

  constructor(listener: RequestListener) {
    super(listener);
  }

  /** Every connection is a worker's until it turns out not to be. */
  interceptHeartbeats(handleHeartbeat: HeartbeatHandler, limits: HeartbeatLimits): void {
    const [handleAsHttp] = this.listeners('connection');
    this.removeAllListeners('connection');
    this.on('connection', (socket: Socket) => {
      this.heartbeatSockets.add(socket);
      socket.once('close', () => this.heartbeatSockets.delete(socket));
      acceptHeartbeats(socket, handleHeartbeat, limits, (unread) => {
        this.heartbeatSockets.delete(socket);
        handleAsHttp?.call(this, socket);
        socket.emit('data', unread);
      });
    });
  }

  override closeAllConnections(): void {
    super.closeAllConnections();
    for (const socket of this.heartbeatSockets) socket.destroy();
  }
}

/** Passes requests on, but turns users away while too many of theirs are under way. */
const limitInFlight = (listener: RequestListener): RequestListener => {
  let inFlight = 0;
  return (request, response) => {
    // Heartbeats are as many as there are machines, and an idle worker's waits for its answer: they
    // do not count.
    if (request.url === HEARTBEAT_PATH) {
      void listener(request, response);
      return;
    }
    if (inFlight >= MAX_REQUESTS_IN_FLIGHT) {
      response
        .writeHead(UNAVAILABLE_STATUS, { 'Retry-After': RETRY_AFTER_S, 'content-length': '0' })
        .end();
      return;
    }
    inFlight += 1;
    response.once('close', () => {
      inFlight -= 1;
    });
    void listener(request, response);
  };
};

/** What `serveApi` serves, and where. */
export interface ServedApi {
  readonly settings: Pick<Settings, 'api' | 'workers' | 'quota'>;
  readonly app: NodeApplication;
  readonly log: Log;
  /** Answers plain heartbeats past the application; without it, they are requests like others. */
  readonly handleHeartbeat?: HeartbeatHandler;
}

/** Serves an application; a port that cannot be listened on ends the process. */
export const serveApi = ({ settings, app, log, handleHeartbeat }: ServedApi): Server => {
  const server = new ApiServer(limitInFlight(createRequestListener(app)));
  // A worker or user that has gone elsewhere, or whose machine is gone, may leave its connection
  // open for good. What has been silent for a lease is closed, so that a whole fleet that comes
  // back by new connections finds room.
  const idleMs = Math.max(MIN_IDLE_TIMEOUT_MS, settings.workers.leaseS * 1000);
  server.keepAliveTimeout = idleMs;
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const sockets = Math.floor(settings.quota.maxConnections * API_SOCKET_SHARE);
  server.maxConnections = Math.max(MIN_API_SOCKETS, sockets);
  if (handleHeartbeat) {
    server.interceptHeartbeats(handleHeartbeat, {
      maxBodyBytes: MAX_HEARTBEAT_BYTES,
      idleMs,
      requestMs: REQUEST_TIMEOUT_MS,
    });
  }
  server.on('error', (error) => {
    log.error({ err: error }, 'cannot listen');
    process.exit(1);
  });
  server.listen(settings.api.port, settings.api.host);
  return server;
};

/** Serves the whole interface of one controller. */
export const startApi = (settings: Settings, controller: ControllerApi, log: Log): Server => {
  const handleHeartbeat = makeHeartbeatHandler(controller, log);
  const app = makeApi(controller, log, handleHeartbeat);
  return serveApi({ settings, app, log, handleHeartbeat });
};
