/** Requests and responses in JSON, for the stand-ins and for tests that call controllers. */
import { type IncomingMessage, request, type ServerResponse } from 'node:http';

/** Reads the body of a request; returns null if it is empty. */
export const readJson = async (req: IncomingMessage): Promise<unknown> => {
  let text = '';
  for await (const part of req) text += part;
  return text === '' ? null : JSON.parse(text);
};

/** Sends a response. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
  const text = JSON.stringify(body);
  res
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
};

/** Sends a request; resolves to null on a connection error. A string body is sent unchanged. */
export const requestJson = (
  address: string,
  path: string,
  body: unknown,
  method = 'POST',
): Promise<{ status: number; body: unknown; headers: IncomingMessage['headers'] } | null> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const text = typeof body === 'string' ? body : body === undefined ? '' : JSON.stringify(body);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    const req = request(
      { host, port: Number(port), path, method, headers, agent: false },
      async (res) => {
        let responseText = '';
        for await (const part of res) responseText += part;
        let json: unknown = null;
        try {
          json = JSON.parse(responseText);
        } catch {
          json = responseText;
        }
        resolve({ status: res.statusCode ?? 0, body: json, headers: res.headers });
      },
    );
    req.on('error', () => resolve(null));
    req.end(text);
  });
