/** The HTTP API of a controller: its routes, and the answers to unknown paths and errors. */
import { Hono } from 'hono';
import type { ControllerApi } from '../../ports/controller-api.js';
import type { Log } from '../logging/log.js';
import { answerHealthCheck, NO_SUCH_PATH, UNEXPECTED_ERROR } from './answers.js';
import type { HeartbeatHandler } from './heartbeat-connections.js';
import { HEARTBEAT_PATH } from './heartbeat-framing.js';
import { makeHeartbeatHandler } from './heartbeat-handler.js';
import { type NodeEnv, sendAnswer } from './hono-listener.js';
import { addJobRoutes } from './job-routes.js';
import { addOperatorRoutes } from './operator-routes.js';
import { MAX_HEARTBEAT_BYTES, readText } from './request-body.js';

/** Creates all routes. `HeartbeatConnection` answers plain heartbeats before they get here. */
export const makeApi = (
  controller: ControllerApi,
  log: Log,
  handleHeartbeat: HeartbeatHandler = makeHeartbeatHandler(controller, log),
): Hono<NodeEnv> => {
  const app = new Hono<NodeEnv>();
  app.get('/up', (c) => sendAnswer(c, answerHealthCheck(controller.isReady())));
  app.post(HEARTBEAT_PATH, async (c) => {
    const text = await readText(c.env.incoming, MAX_HEARTBEAT_BYTES);
    // A body over the limit is answered as malformed, like an empty one.
    return sendAnswer(c, await handleHeartbeat(text ?? ''));
  });
  addJobRoutes(app, controller.users, log);
  addOperatorRoutes(app, controller, controller.extensions);
  app.notFound((c) => sendAnswer(c, NO_SUCH_PATH));
  app.onError((error, c) => {
    log.error({ err: error, path: c.req.path }, 'request handler failed, answering 503');
    return sendAnswer(c, UNEXPECTED_ERROR);
  });
  return app;
};
