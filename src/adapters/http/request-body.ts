/** Reads request bodies up to a size limit and parses them as JSON. */
import type { IncomingMessage } from 'node:http';

/** Size limit for requests of users and operators. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Larger, since a machine may report many small tasks. */
export const MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024;

/** A parsed body, or an error text for the client. */
export type JsonBody =
  | { readonly kind: 'json'; readonly json: unknown }
  | { readonly kind: 'malformed'; readonly reason: string };

const BODY_TOO_LARGE: JsonBody = { kind: 'malformed', reason: 'body too large' };
const NOT_JSON: JsonBody = { kind: 'malformed', reason: 'body is not JSON' };

/** Reads a body as text; null if it exceeds the limit. Rejects if the client disconnects. */
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
      if (!request.complete)
        reject(new Error('connection closed before the end of the request body'));
    });
  });

/** Parses JSON; never throws. */
export const parseJsonText = (text: string): JsonBody => {
  try {
    return { kind: 'json', json: JSON.parse(text) };
  } catch {
    return NOT_JSON;
  }
};

/** Reads a body of at most `MAX_BODY_BYTES` and parses it. Rejects if the client disconnects. */
export const readJsonBody = async (request: IncomingMessage): Promise<JsonBody> => {
  const text = await readText(request, MAX_BODY_BYTES);
  return text === null ? BODY_TOO_LARGE : parseJsonText(text);
};

/** As `readJsonBody`, but treats an empty body as an empty object. */
export const readOptionalJsonBody = async (request: IncomingMessage): Promise<JsonBody> => {
  const text = await readText(request, MAX_BODY_BYTES);
  if (text === null) return BODY_TOO_LARGE;
  return text.trim() === '' ? { kind: 'json', json: {} } : parseJsonText(text);
};
