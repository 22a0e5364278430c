/**
 * Connections on which workers send heartbeats. Heartbeats are nearly all of a leader's load, and
 * do not need most of what Node's HTTP server does per request (streams, header objects, events):
 * plain ones (see `frameHeartbeat`) are parsed and answered directly on the socket. A connection
 * that carries anything else is handed over to the HTTP server for good, with all unread bytes.
 */
import type { Socket } from 'node:net';
import { steadyNow } from '../runtime/clock.js';
import { type HeartbeatAnswer, RETRY_AFTER_S, UNAVAILABLE_STATUS } from './answers.js';
import { frameHeartbeat } from './heartbeat-framing.js';

/** Handles the body of a heartbeat. The promise must not reject. */
export type HeartbeatHandler = (body: string) => Promise<HeartbeatAnswer>;

/** Limits of a worker's connection, which is closed when a time limit is exceeded. */
export interface HeartbeatLimits {
  readonly maxBodyBytes: number;
  /** Time without data. */
  readonly idleMs: number;
  /** Time for a request to arrive in full. */
  readonly requestMs: number;
}

const REASON_PHRASES: Record<HeartbeatAnswer['status'], string> = {
  200: 'OK',
  400: 'Bad Request',
  421: 'Misdirected Request',
  503: 'Service Unavailable',
};

const encodeAnswer = ({ status, body }: HeartbeatAnswer, close: boolean): string => {
  const text = JSON.stringify(body);
  const retry = status === UNAVAILABLE_STATUS ? `Retry-After: ${RETRY_AFTER_S}\r\n` : '';
  const connection = close ? 'close' : 'keep-alive';
  return (
    `HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${Buffer.byteLength(text)}\r\n${retry}Connection: ${connection}\r\n\r\n${text}`
  );
};

/** A connection until it closes or is handed over. Answers one request at a time. */
class HeartbeatConnection {
  /** Received bytes that are not yet parsed as a request. */
  private unread: Buffer | null = null;
  /** When the first of `unread` was received, or the previous request was parsed. */
  private unreadSince = 0;
  private isAnswering = false;
  private hasClientEnded = false;

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
    if (!this.isAnswering) this.socket.destroy();
  };

  /** The client has ended its side, but may still wait for an answer. */
  private readonly onEnd = (): void => {
    if (this.isAnswering) this.hasClientEnded = true;
    else this.socket.end();
  };

  private readonly onData = (bytes: Buffer): void => {
    if (this.unread === null) {
      this.unread = bytes;
      this.unreadSince = steadyNow();
    } else this.unread = Buffer.concat([this.unread, bytes]);
    if (!this.isAnswering) this.readNext();
    // Workers do not pipeline requests: a client that sends this much while it waits is
    // disconnected.
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
        this.detach();
        this.handOver(unread);
        return;
      case 'request': {
        const body = unread.toString('utf8', framing.bodyStart, framing.bodyEnd);
        this.unread = unread.length > framing.bodyEnd ? unread.subarray(framing.bodyEnd) : null;
        this.unreadSince = steadyNow();
        this.isAnswering = true;
        void this.handle(body).then((answer) => this.sendAnswer(answer, framing.close));
      }
    }
  }

  private sendAnswer(answer: HeartbeatAnswer, close: boolean): void {
    this.isAnswering = false;
    // The worker may have closed the connection meanwhile.
    if (this.socket.destroyed || !this.socket.writable) return;
    this.socket.write(encodeAnswer(answer, close));
    if (close || this.hasClientEnded) this.socket.end();
    else this.readNext();
  }

  /** Removes the listeners and the timeout from the socket. */
  private detach(): void {
    this.unread = null;
    this.socket.setTimeout(0);
    this.socket.off('timeout', this.onIdle);
    this.socket.off('data', this.onData);
    this.socket.off('end', this.onEnd);
    this.socket.off('error', this.onError);
  }
}

/** Answers heartbeats on a new connection until other data arrives, which goes to `handOver`. */
export const acceptHeartbeats = (
  socket: Socket,
  handle: HeartbeatHandler,
  limits: HeartbeatLimits,
  handOver: (unread: Buffer) => void,
): void => {
  new HeartbeatConnection(socket, handle, limits, handOver);
};
