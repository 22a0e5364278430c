/** JSON over Node's own HTTP client, with keep-alive, a deadline for the whole exchange and bounded answers. */
import { Agent, type ClientRequest, request } from 'node:http';
import type { Endpoint } from '../configuration/settings.js';

export type Reply =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  /** No answer. `sent`: the request may have been, or may yet be, carried out. */
  | { readonly kind: 'none'; readonly sent: boolean; readonly reason: string };

export const NOT_JSON = 'answer is not JSON';
export const TOO_LARGE = 'answer too large';
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

export const exchange = (
  agent: Agent,
  at: Endpoint,
  method: string,
  path: string,
  body: unknown,
  timeoutMs: number,
): Promise<Reply> =>
  new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    let settled = false;
    let connected = false;
    const finish = (reply: Reply) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(reply);
    };
    const headers: Record<string, string | number> =
      text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const options = {
      host: at.host,
      port: at.port,
      method,
      path,
      headers,
      agent,
    };
    let req: ClientRequest;
    try {
      req = request(options);
    } catch (error) {
      // An address that cannot be one, say a port above 65535: refused, not a reason to end.
      resolve({ kind: 'none', sent: false, reason: (error as Error).message });
      return;
    }
    const fail = (reason: string) => {
      finish({ kind: 'none', sent: connected, reason });
      req.destroy();
    };
    const timer = setTimeout(() => fail('no answer in time'), timeoutMs);
    req.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => (connected = true));
      else connected = true;
    });
    req.on('error', (error) => fail(error.message));
    req.on('response', (res) => {
      const parts: Buffer[] = [];
      let size = 0;
      res.on('data', (part: Buffer) => {
        size += part.length;
        if (size > MAX_ANSWER_BYTES) fail(TOO_LARGE);
        else parts.push(part);
      });
      res.on('error', (error) => fail(error.message));
      res.on('close', () => fail('connection closed within the answer'));
      res.on('end', () => {
        const raw = Buffer.concat(parts).toString('utf8');
        try {
          finish({
            kind: 'answer',
            status: res.statusCode ?? 0,
            body: raw === '' ? null : JSON.parse(raw),
          });
        } catch {
          finish({ kind: 'none', sent: true, reason: NOT_JSON });
        }
      });
    });
    req.end(text);
  });

export class HttpClient {
  private readonly agent: Agent;

  constructor(
    private readonly at: Endpoint,
    maxSockets: number,
    idleMs = 15_000,
  ) {
    this.agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: 4, timeout: idleMs });
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<Reply> {
    return exchange(this.agent, this.at, method, path, body, timeoutMs);
  }

  close(): void {
    this.agent.destroy();
  }
}
