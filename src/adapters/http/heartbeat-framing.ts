/**
 * Frames plain heartbeats: `POST /checkin` with a `Content-Length` and nothing out of the ordinary.
 * Whatever is not certain to be one of these is reported as `unsupported` and left to Node's HTTP
 * parser, so that this module never has to interpret the rest of HTTP/1.1.
 */

/** The path to which workers send their heartbeats. */
export const HEARTBEAT_PATH = '/checkin';
const REQUEST_LINE = `POST ${HEARTBEAT_PATH} HTTP/1.1\r\n`;
const HEAD_END = '\r\n\r\n';
/** Node's own parser answers larger heads with 431. */
const MAX_HEAD_BYTES = 8 * 1024;
/** Headers that change how a message is framed or answered. */
const SPECIAL_HEADER = /\r\n(?:transfer-encoding|trailer|te|expect|upgrade)[ \t]*:/i;
const KEEP_ALIVE = 'keep-alive';
const CLOSE = 'close';
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)/gi;
const CONNECTION = /\r\nconnection:[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)/gi;

/** What the bytes on a connection begin with. */
export type Framing =
  /** Part of what may become a plain heartbeat. */
  | { readonly kind: 'incomplete' }
  | { readonly kind: 'unsupported' }
  | {
      readonly kind: 'request';
      /** Offsets in the bytes, from the first byte of the body to the one after its last. */
      readonly bodyStart: number;
      readonly bodyEnd: number;
      /** The client asked for the connection to be closed after the answer. */
      readonly close: boolean;
    };

const INCOMPLETE: Framing = { kind: 'incomplete' };
const UNSUPPORTED: Framing = { kind: 'unsupported' };

/** The only value of a header; `null` where it is absent, `undefined` where it stands twice. */
const onlyValue = (head: string, header: RegExp): string | null | undefined => {
  header.lastIndex = 0;
  const first = header.exec(head);
  if (first === null) return null;
  return header.exec(head) === null ? (first[1] ?? '') : undefined;
};

/** Where the first request lies, if it is a plain heartbeat of at most `maxBodyBytes`. */
export const frameHeartbeat = (bytes: Buffer, maxBodyBytes: number): Framing => {
  const beginning = bytes.toString('latin1', 0, REQUEST_LINE.length);
  if (!REQUEST_LINE.startsWith(beginning)) return UNSUPPORTED;
  if (beginning.length < REQUEST_LINE.length) return INCOMPLETE;
  const headEnd = bytes.indexOf(HEAD_END, REQUEST_LINE.length - 2, 'latin1');
  if (headEnd < 0) return bytes.length > MAX_HEAD_BYTES ? UNSUPPORTED : INCOMPLETE;
  if (headEnd > MAX_HEAD_BYTES) return UNSUPPORTED;
  // With the line ends on both sides, so that every header stands between two of them.
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
