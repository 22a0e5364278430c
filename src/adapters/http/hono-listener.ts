/**
 * Runs a Hono application on Node's HTTP server. Hono routes; handlers answer on Node's response by `sendJson`. Nothing
 * here touches the global `Request` and `Response`: the first use of either makes Node load its fetch implementation,
 * which was the largest part of this service's start-up.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Context } from 'hono';

/** What handlers find in `c.env`. */
export interface NodeBindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

export type NodeEnv = { Bindings: NodeBindings };

/** What a handler returns that has answered on Node's response; Hono passes it through. */
const ANSWERED = Object.freeze({ answered: true }) as unknown as Response;

/** Answers a request with JSON. */
export const sendJson = (
  c: Context<NodeEnv>,
  body: unknown,
  status = 200,
  headers: Readonly<Record<string, string>> = {},
): Response => {
  const { outgoing } = c.env;
  // Its client may have hung up meanwhile.
  if (outgoing.destroyed) return ANSWERED;
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  outgoing.end(text);
  return ANSWERED;
};

/** The parts of a Hono application that are used here. */
export interface NodeApplication {
  fetch(request: Request, env: NodeBindings): Response | Promise<Response>;
}

/**
 * Of a request, routing looks at the method and the address only. HEAD is routed as GET: Node leaves the body out by
 * itself, while Hono would make a `Response` for it.
 */
const routable = ({ url = '/', method }: IncomingMessage): Request => {
  const absolute = url.startsWith('/') ? `http://localhost${url}` : url;
  return { url: absolute, method: method === 'HEAD' ? 'GET' : method } as Request;
};

/** A handler that makes a `Response` of its own is served as well. */
const send = async (response: Response, outgoing: ServerResponse): Promise<void> => {
  const text = await response.text();
  outgoing.writeHead(response.status, Object.fromEntries(response.headers));
  outgoing.end(text);
};

/** The listener for Node's HTTP server. */
export const listenerOf =
  (app: NodeApplication): RequestListener =>
  async (incoming, outgoing) => {
    try {
      const response = await app.fetch(routable(incoming), { incoming, outgoing });
      if (response !== ANSWERED) await send(response, outgoing);
    } catch {
      // Handlers' own faults are answered by the application; this one could not even be written.
      outgoing.destroy();
    }
  };
