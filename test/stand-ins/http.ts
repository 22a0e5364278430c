/** Requests and answers in JSON, for the stand-ins and for tests that ask controllers. */
import { type IncomingMessage, request, type ServerResponse } from 'node:http';

/** The body of a request; null where it is empty. */
export const readJson = async (req: IncomingMessage): Promise<unknown> => {
  let text = '';
  for await (const part of req) text += part;
  return text === '' ? null : JSON.parse(text);
};

/** Answers a request. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
  const text = JSON.stringify(body);
  res
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
};

/** Sends a request; null when no answer came. A body that is text goes as it is. */
export const requestJson = (
  at: string,
  path: string,
  body: unknown,
  method = 'POST',
): Promise<{ status: number; body: unknown; headers: IncomingMessage['headers'] } | null> =>
  new Promise((resolve) => {
    const [host, port] = at.split(':');
    const text = typeof body === 'string' ? body : body === undefined ? '' : JSON.stringify(body);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    const req = request(
      { host, port: Number(port), path, method, headers, agent: false },
      async (res) => {
        let answer = '';
        for await (const part of res) answer += part;
        let json: unknown = null;
        try {
          json = JSON.parse(answer);
        } catch {
          json = answer;
        }
        resolve({ status: res.statusCode ?? 0, body: json, headers: res.headers });
      },
    );
    req.on('error', () => resolve(null));
    req.end(text);
  });
