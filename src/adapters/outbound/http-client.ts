/** JSON over Node's HTTP client: kept connections, a deadline per exchange, bounded answers. */
import { Agent, type ClientRequest, type IncomingMessage, request as openRequest } from 'node:http';
import type { Endpoint } from '../configuration/settings.js';

/** A JSON request. An `undefined` body sends none; `timeoutMs` bounds connecting to last byte. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** Why there is no answer. */
export type NoAnswerReason =
  /** Held back by this node: its share of the other side's rate is used up. */
  | 'rate-limited'
  /** Held back by this node: the right to make the request ended while it waited. */
  | 'not-authorized'
  /** The address cannot be one, e.g. a port above 65535. */
  | 'invalid-address'
  | 'timeout'
  | 'connection-error'
  /** The connection closed within the answer. */
  | 'truncated'
  | 'too-large'
  | 'not-json';

/** The request got no answer that can be read. */
export interface NoAnswer {
  readonly kind: 'none';
  /** The request may have been, or may yet be, carried out. */
  readonly sent: boolean;
  readonly reason: NoAnswerReason;
  /** The reason in words, for people. */
  readonly message: string;
}

/** How an exchange ended. The body is parsed JSON, or null when the answer has none. */
export type Reply =
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

const parseAnswer = (status: number, text: string): Reply => {
  try {
    return { kind: 'answer', status, body: text === '' ? null : JSON.parse(text) };
  } catch {
    return noAnswer(true, 'not-json', 'answer is not JSON');
  }
};

/** One request on its way: settles once, whichever of its events comes first. */
class PendingExchange {
  private settled = false;
  private connected = false;
  private readonly deadline: NodeJS.Timeout;

  constructor(
    private readonly request: ClientRequest,
    timeoutMs: number,
    private readonly resolve: (reply: Reply) => void,
  ) {
    this.deadline = setTimeout(() => this.fail('timeout', 'no answer in time'), timeoutMs);
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => (this.connected = true));
      else this.connected = true;
    });
    request.on('error', (error) => this.fail('connection-error', error.message));
    request.on('response', (response) => this.readAnswer(response));
  }

  private settle(reply: Reply): void {
    if (this.settled) return;
    this.settled = true;
    clearTimeout(this.deadline);
    this.resolve(reply);
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

/** Sends one request over the agent's connections. Never rejects: the reply says what failed. */
export const exchange = (agent: Agent, endpoint: Endpoint, request: HttpRequest): Promise<Reply> =>
  new Promise((resolve) => {
    const text = request.body === undefined ? undefined : JSON.stringify(request.body);
    let clientRequest: ClientRequest;
    try {
      clientRequest = openClientRequest(agent, endpoint, request, text);
    } catch (error) {
      // An address that cannot be one is a request refused, no reason for the process to end.
      resolve(noAnswer(false, 'invalid-address', (error as Error).message));
      return;
    }
    new PendingExchange(clientRequest, request.timeoutMs, resolve);
    clientRequest.end(text);
  });

/** A client of one endpoint, over at most `maxSockets` kept connections. */
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

  send(request: HttpRequest): Promise<Reply> {
    return exchange(this.agent, this.endpoint, request);
  }

  close(): void {
    this.agent.destroy();
  }
}
