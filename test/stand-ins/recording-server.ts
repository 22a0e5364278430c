/** An HTTP server that records requests, bodies byte for byte, and sends the given answers. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { cleanups } from './cluster.js';

/** A request as it was received. */
export interface RecordedRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string | null;
  readonly body: string;
}

/** Starts the server, which `cleanUp` stops; `answer` returns status and body. */
export const startRecordingServer = async (
  answer: (received: RecordedRequest) => readonly [number, unknown],
) => {
  const sent: RecordedRequest[] = [];
  const server = createServer(async (req, res) => {
    let body = '';
    for await (const part of req) body += part;
    const received = {
      method: req.method ?? '',
      path: req.url ?? '',
      contentType: req.headers['content-type'] ?? null,
      body,
    };
    sent.push(received);
    const [status, responseBody] = answer(received);
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(responseBody));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(
    () => server.close(),
    () => server.closeAllConnections(),
  );
  const { port } = server.address() as AddressInfo;
  return { sent, at: { host: '127.0.0.1', port } };
};
