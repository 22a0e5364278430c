/**
 * Frames plain heartbeats: `POST /checkin` with a `Content-Length` and no special headers. Any
 * other request is `unsupported` and left to Node's HTTP parser, so that this module need not
 * interpret the rest of HTTP/1.1.
 */

/** The path to which workers post heartbeats. */
export const HEARTBEAT_PATH = '/checkin';
const REQUEST_LINE = `POST ${HEARTBEAT_PATH} HTTP/1.1\r\n`;
const HEAD_END = '\r\n\r\n';
/** Larger heads are left to Node's parser, which answers those over its own limit with 431. */
const MAX_HEAD_BYTES = 8 * 1024;
/** Headers that change how a message is framed or answered. */
const SPECIAL_HEADER = /\r\n(?:transfer-encoding|trailer|te|expect|upgrade)[ \t]*:/i;
const KEEP_ALIVE = 'keep-alive';
const CLOSE = 'close';
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)/gi;
const CONNECTION = /\r\nconnection:[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)/gi;

/** The first request in the bytes received on a connection. */
export type Framing =
  /** A prefix of what may be a plain heartbeat. */
  | { readonly kind: 'incomplete' }
  | { readonly kind: 'unsupported' }
  | {
      readonly kind: 'request';
      /** Byte offsets of the body: the first byte, and the one after the last. */
      readonly bodyStart: number;
      readonly bodyEnd: number;
      /** The client requested that the connection be closed after the answer. */
      readonly close: boolean;
    };

const INCOMPLETE: Framing = { kind: 'incomplete' };
const UNSUPPORTED: Framing = { kind: 'unsupported' };

/** Returns a header's value, `null` if it is absent, `undefined` if it occurs more than once. */
const onlyValue = (head: string, header: RegExp): string | null | undefined => {
  header.lastIndex = 0;
  const first = header.exec(head);
  if (first === null) return null;
  return header.exec(head) === null ? (first[1] ?? '') : undefined;
};

/** Locates the first request if it is a plain heartbeat with a body of up to `maxBodyBytes`. */
export const frameHeartbeat = (bytes: Buffer, maxBodyBytes: number): Framing => {
  const beginning = bytes.toString('latin1', 0, REQUEST_LINE.length);
  if (!REQUEST_LINE.startsWith(beginning)) return UNSUPPORTED;
  if (beginning.length < REQUEST_LINE.length) return INCOMPLETE;
  const headEnd = bytes.indexOf(HEAD_END, REQUEST_LINE.length - 2, 'latin1');
  if (headEnd < 0) return bytes.length > MAX_HEAD_BYTES ? UNSUPPORTED : INCOMPLETE;
  if (headEnd > MAX_HEAD_BYTES) return UNSUPPORTED;
  // Includes the line breaks on both sides, so that each header stands between two.
  const head = bytes.toString('latin1', REQUEST_LINE.length - 2, headEnd + 2);
  if (SPECIAL_HEADER.test(head)) return UNSUPPORTED;
  const length = onlyValue(head, CONTENT_LENGTH);
  const connection = onlyValue(head, CONNECTION);
  if (!length || Number(length) > maxBodyBytes || connection === undefined) return UNSUPPORTED;
  const option = connection?.toLowerCase() ?? KEEP_ALIVE;
  if (option !== CLOSE && option !== KEEP_ALIVE) return UNSUPPORTED;
  const bodyStart = headEnd + HEAD_END.length;
  const bodyEnd = bodyStart + Number(length);
  return bytes.length < bodyEnd
    ? INCOMPLETE
    : { kind: 'request', bodyStart, bodyEnd, close: option === CLOSE };
};
