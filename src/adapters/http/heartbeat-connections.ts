/**
 * Connections on which workers check in. Check-ins are nearly all of what a leader answers, and most of what Node's HTTP
 * server does for one request (streams, header objects, events) is of no use to them: plain ones are read from and
 * answered on the socket itself. A connection that brings anything else is handed to the HTTP server with all bytes that
 * have been read, and stays there.
 */
import type { Socket } from 'node:net';
import { steadyNow } from '../runtime/clock.js';
import { frameHeartbeat } from './plain-request.js';

/** What a worker is answered. */
export interface HeartbeatReply {
  readonly status: 200 | 400 | 421 | 503;
  readonly body: object;
}

/** Answers the body of a check-in; must not fail. */
export type HeartbeatHandler = (body: string) => Promise<HeartbeatReply>;

export interface HeartbeatLimits {
  readonly maxBodyBytes: number;
  /** A connection on which nothing has come for this long is closed. */
  readonly idleMs: number;
  /** A request that is not complete after this long is given up. */
  readonly requestMs: number;
}

const REASONS: Record<HeartbeatReply['status'], string> = {
  200: 'OK',
  400: 'Bad Request',
  421: 'Misdirected Request',
  503: 'Service Unavailable',
};

/** Seconds after which a client that was answered 503 may ask again. */
export const RETRY_AFTER_S = '1';

const encodeReply = ({ status, body }: HeartbeatReply, close: boolean): string => {
  const text = JSON.stringify(body);
  const retry = status === 503 ? `Retry-After: ${RETRY_AFTER_S}\r\n` : '';
  const connection = close ? 'close' : 'keep-alive';
  return (
    `HTTP/1.1 ${status} ${REASONS[status]}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${Buffer.byteLength(text)}\r\n${retry}Connection: ${connection}\r\n\r\n${text}`
  );
};

class HeartbeatConnection {
  /** Bytes that have come and are not answered yet. */
  private unread: Buffer | null = null;
  /** When the first of them came. */
  private unreadSince = 0;
  private answering = false;
  private ended = false;

  constructor(
    private readonly socket: Socket,
    private readonly handle: HeartbeatHandler,
    private readonly limits: HeartbeatLimits,
    private readonly handOver: (unread: Buffer) => void,
  ) {
    socket.setTimeout(limits.idleMs, this.onIdle);
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('error', this.onError);
  }

  private readonly onError = (): void => {
    this.socket.destroy();
  };

  private readonly onIdle = (): void => {
    if (!this.answering) this.socket.destroy();
  };

  /** The client sends no more, but may still wait for an answer. */
  private readonly onEnd = (): void => {
    if (this.answering) this.ended = true;
    else this.socket.end();
  };

  private readonly onData = (bytes: Buffer): void => {
    if (this.unread === null) {
      this.unread = bytes;
      this.unreadSince = steadyNow();
    } else this.unread = Buffer.concat([this.unread, bytes]);
    if (!this.answering) this.readNext();
    // Requests are not pipelined: a client that sends on and on while it waits is cut off.
    else if (this.unread.length > this.limits.maxBodyBytes) this.socket.destroy();
  };

  private readNext(): void {
    const { unread, limits } = this;
    if (unread === null) return;
    const framing = frameHeartbeat(unread, limits.maxBodyBytes);
    switch (framing.kind) {
      case 'incomplete':
        if (steadyNow() - this.unreadSince > limits.requestMs) this.socket.destroy();
        return;
      case 'unsupported':
        this.release();
        this.handOver(unread);
        return;
      case 'request': {
        const body = unread.toString('utf8', framing.bodyStart, framing.bodyEnd);
        this.unread = unread.length > framing.bodyEnd ? unread.subarray(framing.bodyEnd) : null;
        this.unreadSince = steadyNow();
        this.answering = true;
        void this.handle(body).then((reply) => this.answer(reply, framing.close));
      }
    }
  }

  private answer(reply: HeartbeatReply, close: boolean): void {
    this.answering = false;
    // The worker may have hung up meanwhile.
    if (this.socket.destroyed || !this.socket.writable) return;
    this.socket.write(encodeReply(reply, close));
    if (close || this.ended) this.socket.end();
    else this.readNext();
  }

  private release(): void {
    this.unread = null;
    this.socket.setTimeout(0);
    this.socket.off('timeout', this.onIdle);
    this.socket.off('data', this.onData);
    this.socket.off('end', this.onEnd);
    this.socket.off('error', this.onError);
  }
}

/** Takes a new connection; `handOver` gets its bytes once it turns out to be no worker's. */
export const acceptHeartbeats = (
  socket: Socket,
  handle: HeartbeatHandler,
  limits: HeartbeatLimits,
  handOver: (unread: Buffer) => void,
): void => {
  new HeartbeatConnection(socket, handle, limits, handOver);
};
