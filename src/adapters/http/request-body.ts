/** Bodies of requests: read whole within a limit, and parsed as JSON. */
import type { IncomingMessage } from 'node:http';

/** The longest body that users and operators may send. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Heartbeats of a machine full of small tasks are longer than what users may send. */
export const MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024;

/** A body as JSON, or what is wrong with it, in words for the client. */
export type JsonBody =
  | { readonly kind: 'json'; readonly json: unknown }
  | { readonly kind: 'malformed'; readonly reason: string };

const BODY_TOO_LARGE: JsonBody = { kind: 'malformed', reason: 'body too large' };
const NOT_JSON: JsonBody = { kind: 'malformed', reason: 'body is not JSON' };

/** The whole body as text, null when it is longer than allowed; rejects if the client hangs up. */
export const readText = (request: IncomingMessage, maxBytes: number): Promise<string | null> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
    });
    request.on('end', () =>
      resolve(size > maxBytes ? null : Buffer.concat(chunks).toString('utf8')),
    );
    request.on('error', reject);
    request.on('close', () => {
      if (!request.complete) reject(new Error('connection closed within the body'));
    });
  });

/** Parses a body that has been read. */
export const parseJsonText = (text: string): JsonBody => {
  try {
    return { kind: 'json', json: JSON.parse(text) };
  } catch {
    return NOT_JSON;
  }
};

/** The body of a user's request. */
export const readJsonBody = async (request: IncomingMessage): Promise<JsonBody> => {
  const text = await readText(request, MAX_BODY_BYTES);
  return text === null ? BODY_TOO_LARGE : parseJsonText(text);
};

/** As `readJsonBody`; no body at all is as good as an empty object. */
export const readOptionalJsonBody = async (request: IncomingMessage): Promise<JsonBody> => {
  const text = await readText(request, MAX_BODY_BYTES);
  if (text === null) return BODY_TOO_LARGE;
  return text.trim() === '' ? { kind: 'json', json: {} } : parseJsonText(text);
};
