/** An HTTP server that keeps what it is sent, the body byte for byte, and answers as it is told. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { cleanups } from './cluster.js';

/** A request as it came. */
export interface RecordedRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string | null;
  readonly body: string;
}

/** Starts the server; it ends with the test. */
export const startRecordingServer = async (
  answer: (sent: RecordedRequest) => readonly [number, unknown],
) => {
  const sent: RecordedRequest[] = [];
  const server = createServer(async (req, res) => {
    let body = '';
    for await (const part of req) body += part;
    const one = {
      method: req.method ?? '',
      path: req.url ?? '',
      contentType: req.headers['content-type'] ?? null,
      body,
    };
    sent.push(one);
    const [status, told] = answer(one);
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(told));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(
    () => server.close(),
    () => server.closeAllConnections(),
  );
  const { port } = server.address() as AddressInfo;
  return { sent, at: { host: '127.0.0.1', port } };
};
