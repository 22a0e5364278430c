/**
 * Runs a Hono application on Node's HTTP server. Hono routes; handlers answer on Node's response by
 * `sendAnswer`. Nothing here touches the global `Request` and `Response`: the first use of either
 * makes Node load its fetch implementation, which costs more than the rest of this service's
 * start-up.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Context } from 'hono';
import { type HttpAnswer, RETRY_AFTER_S, UNAVAILABLE_STATUS } from './answers.js';

/** What handlers find in `c.env`. */
export interface NodeBindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** The environment of a Hono application that runs on Node's HTTP server. */
export type NodeEnv = { Bindings: NodeBindings };

/** What a handler returns that has answered on Node's response; Hono passes it through. */
const ANSWERED = Object.freeze({ answered: true }) as unknown as Response;

/** Answers a request with JSON, and tells when to ask again where it has to be asked again. */
export const sendAnswer = (c: Context<NodeEnv>, { status, body }: HttpAnswer): Response => {
  const { outgoing } = c.env;
  // Its client may have hung up meanwhile.
  if (outgoing.destroyed) return ANSWERED;
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(status === UNAVAILABLE_STATUS ? { 'Retry-After': RETRY_AFTER_S } : {}),
  });
  outgoing.end(text);
  return ANSWERED;
};

/** The parts of a Hono application that are used here. */
export interface NodeApplication {
  fetch(request: Request, env: NodeBindings): Response | Promise<Response>;
}

/**
 * Of a request, routing looks at the method and the address only. HEAD is routed as GET: Node
 * leaves the body out by itself, while Hono would make a `Response` for it.
 */
const toRoutableRequest = ({ url = '/', method }: IncomingMessage): Request => {
  const absolute = url.startsWith('/') ? `http://localhost${url}` : url;
  return { url: absolute, method: method === 'HEAD' ? 'GET' : method } as Request;
};

/** Serves a handler that makes a `Response` of its own. */
const sendResponse = async (response: Response, outgoing: ServerResponse): Promise<void> => {
  const text = await response.text();
  outgoing.writeHead(response.status, Object.fromEntries(response.headers));
  outgoing.end(text);
};

/** The listener for Node's HTTP server. It never rejects. */
export const createRequestListener =
  (app: NodeApplication): RequestListener =>
  async (incoming, outgoing) => {
    try {
      const response = await app.fetch(toRoutableRequest(incoming), { incoming, outgoing });
      if (response !== ANSWERED) await sendResponse(response, outgoing);
    } catch {
      // The application answers its handlers' errors; this answer could not even be written.
      outgoing.destroy();
    }
  };
