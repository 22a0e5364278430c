/**
 * Runs a Hono application on Node's HTTP server. Hono routes; handlers write to Node's response
 * with `sendAnswer`. The global `Request` and `Response` are avoided: the first use of either makes
 * Node load its fetch implementation, which costs more than the rest of the start-up.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Context } from 'hono';
import { type HttpAnswer, RETRY_AFTER_S, UNAVAILABLE_STATUS } from './answers.js';

/** Node's request and response, which handlers find in `c.env`. */
export interface NodeBindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** The environment of a Hono application that runs on Node's HTTP server. */
export type NodeEnv = { Bindings: NodeBindings };

/** Returned by handlers that have written to Node's response; Hono passes it through. */
const ANSWERED = Object.freeze({ answered: true }) as unknown as Response;

/** Sends an answer as JSON, with `Retry-After` if the status is 503. */
export const sendAnswer = (c: Context<NodeEnv>, { status, body }: HttpAnswer): Response => {
  const { outgoing } = c.env;
  // The client may have closed the connection meanwhile.
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

/** The part of a Hono application that this module uses. */
export interface NodeApplication {
  fetch(request: Request, env: NodeBindings): Response | Promise<Response>;
}

/**
 * Routing reads only a request's method and URL. HEAD is routed as GET: Node omits the body of the
 * response itself, while Hono would create a `Response` to do so.
 */
const toRoutableRequest = ({ url = '/', method }: IncomingMessage): Request => {
  const absolute = url.startsWith('/') ? `http://localhost${url}` : url;
  return { url: absolute, method: method === 'HEAD' ? 'GET' : method } as Request;
};

/** Sends the `Response` of a handler that created one. */
const sendResponse = async (response: Response, outgoing: ServerResponse): Promise<void> => {
  const text = await response.text();
  outgoing.writeHead(response.status, Object.fromEntries(response.headers));
  outgoing.end(text);
};

/** Creates the request listener for Node's HTTP server. Its promise never rejects. */
export const createRequestListener =
  (app: NodeApplication): RequestListener =>
  async (incoming, outgoing) => {
    try {
      const response = await app.fetch(toRoutableRequest(incoming), { incoming, outgoing });
      if (response !== ANSWERED) await sendResponse(response, outgoing);
    } catch {
      // The application answers handlers' errors; this error arose while writing the response.
      outgoing.destroy();
    }
  };
