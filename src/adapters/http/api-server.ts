/** The HTTP server of a controller, with its connection and request limits. */
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

/** Limit on users' requests in flight, to bound memory; others are answered with 503. */
export const MAX_REQUESTS_IN_FLIGHT = 400;
/** Share of all sockets; the rest is for the cloud, the store, peers and commands to workers. */
const API_SOCKET_SHARE = 0.85;
const MIN_API_SOCKETS = 10;
const REQUEST_TIMEOUT_MS = 20_000;
const MIN_IDLE_TIMEOUT_MS = 5000;

/** An HTTP server that passes plain heartbeats to a dedicated handler. */
class ApiServer extends Server {
  private readonly heartbeatSockets = new Set<Socket>();

  constructor(listener: RequestListener) {
    super(listener);
  }

  /** Handles a connection as a worker's until it carries anything but plain heartbeats. */
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

/** Forwards requests; answers users with 503 at `MAX_REQUESTS_IN_FLIGHT`. */
const limitInFlight = (listener: RequestListener): RequestListener => {
  let inFlight = 0;
  return (request, response) => {
    // Heartbeats are not counted: there are as many as machines, and an idle worker's stays open.
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

/** An application to serve, and its settings. */
export interface ServedApi {
  readonly settings: Pick<Settings, 'api' | 'workers' | 'quota'>;
  readonly app: NodeApplication;
  readonly log: Log;
  /** Answers plain heartbeats; if absent, `app` does. */
  readonly handleHeartbeat?: HeartbeatHandler;
}

/** Serves an application. Exits the process if the server cannot listen on its address. */
export const serveApi = ({ settings, app, log, handleHeartbeat }: ServedApi): Server => {
  const server = new ApiServer(limitInFlight(createRequestListener(app)));
  // A client that moved to another controller, or whose machine is gone, may never close its
  // connection. Closing those idle for one worker lease leaves free sockets for a whole fleet that
  // reconnects.
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
    log.error({ err: error }, 'cannot listen on the API address, exiting');
    process.exit(1);
  });
  server.listen(settings.api.port, settings.api.host);
  return server;
};

/** Starts the controller's HTTP API for users, operators and workers. */
export const startApi = (settings: Settings, controller: ControllerApi, log: Log): Server => {
  const handleHeartbeat = makeHeartbeatHandler(controller, log);
  const app = makeApi(controller, log, handleHeartbeat);
  return serveApi({ settings, app, log, handleHeartbeat });
};
