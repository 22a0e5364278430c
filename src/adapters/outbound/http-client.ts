/** JSON over HTTP with keep-alive connections, a deadline per exchange and bounded answers. */
import { Agent, type ClientRequest, type IncomingMessage, request as openRequest } from 'node:http';
import type { Endpoint } from '../configuration/settings.js';

/** A JSON request, without a body if `body` is undefined; `timeoutMs` covers the whole exchange. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** Why there is no valid answer. */
export type NoAnswerReason =
  /** Not sent: this node's share of the server's rate is used up. */
  | 'rate-limited'
  /** Not sent: the authorization ended while the request was queued. */
  | 'not-authorized'
  /** Not sent: the address is invalid, e.g. a port above 65535. */
  | 'invalid-address'
  | 'timeout'
  | 'connection-error'
  /** The connection closed before the end of the answer. */
  | 'truncated'
  | 'too-large'
  | 'not-json';

/** The request got no valid answer. */
export interface NoAnswer {
  readonly kind: 'none';
  /** True if the request may have been executed, or may still be. */
  readonly sent: boolean;
  readonly reason: NoAnswerReason;
  /** The reason as a text for logs and command output. */
  readonly message: string;
}

/** The answer to a request, or why there is none. `body` is parsed JSON, or null without a body. */
export type ExchangeResult =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | NoAnswer;

const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

const noAnswer = (sent: boolean, reason: NoAnswerReason, message: string): NoAnswer => ({
  kind: 'none',
  sent,
  reason,
  message,
});

const openClientRequest = (
  agent: Agent,
  { host, port }: Endpoint,
  { method, path }: HttpRequest,
  text: string | undefined,
): ClientRequest => {
  const headers: Record<string, string | number> =
    text === undefined
      ? {}
      : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
  return openRequest({ host, port, method, path, headers, agent });
};

const parseAnswer = (status: number, text: string): ExchangeResult => {
  try {
    return { kind: 'answer', status, body: text === '' ? null : JSON.parse(text) };
  } catch {
    return noAnswer(true, 'not-json', 'answer is not JSON');
  }
};

/** A request in flight. The first final event determines its result. */
class PendingExchange {
  private settled = false;
  private connected = false;
  private readonly deadline: NodeJS.Timeout;

  constructor(
    private readonly request: ClientRequest,
    timeoutMs: number,
    private readonly resolve: (result: ExchangeResult) => void,
  ) {
    this.deadline = setTimeout(() => this.fail('timeout', 'no answer in time'), timeoutMs);
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => (this.connected = true));
      else this.connected = true;
    });
    request.on('error', (error) => this.fail('connection-error', error.message));
    request.on('response', (response) => this.readAnswer(response));
  }

  private settle(result: ExchangeResult): void {
    if (this.settled) return;
    this.settled = true;
    clearTimeout(this.deadline);
    this.resolve(result);
  }

  private fail(reason: NoAnswerReason, message: string): void {
    this.settle(noAnswer(this.connected, reason, message));
    this.request.destroy();
  }

  private readAnswer(response: IncomingMessage): void {
    const chunks: Buffer[] = [];
    let size = 0;
    response.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) this.fail('too-large', 'answer too large');
      else chunks.push(chunk);
    });
    response.on('error', (error) => this.fail('connection-error', error.message));
    response.on('close', () => this.fail('truncated', 'connection closed within the answer'));
    response.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      this.settle(parseAnswer(response.statusCode ?? 0, text));
    });
  }
}

/** Sends a request through `agent`. Never rejects: failures are returned as a `NoAnswer`. */
export const exchange = (
  agent: Agent,
  endpoint: Endpoint,
  request: HttpRequest,
): Promise<ExchangeResult> =>
  new Promise((resolve) => {
    const text = request.body === undefined ? undefined : JSON.stringify(request.body);
    let clientRequest: ClientRequest;
    try {
      clientRequest = openClientRequest(agent, endpoint, request, text);
    } catch (error) {
      // An invalid address fails this request only; it must not end the process.
      resolve(noAnswer(false, 'invalid-address', (error as Error).message));
      return;
    }
    new PendingExchange(clientRequest, request.timeoutMs, resolve);
    clientRequest.end(text);
  });

/** A client of one endpoint, with at most `maxSockets` connections, kept open when idle. */
export class HttpClient {
  private readonly agent: Agent;

  constructor(
    private readonly endpoint: Endpoint,
    maxSockets: number,
    idleTimeoutMs = 15_000,
  ) {
    this.agent = new Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: 4,
      timeout: idleTimeoutMs,
    });
  }

  send(request: HttpRequest): Promise<ExchangeResult> {
    return exchange(this.agent, this.endpoint, request);
  }

  close(): void {
    this.agent.destroy();
  }
}
