/** Sends requests to another controller, over one connection that is opened on demand. */
import { Socket } from 'node:net';
import type { NodeId } from '../../core/model/ids.js';
import type { Peer, PeerRequest } from '../../ports/peer.js';
import type { Endpoint } from '../configuration/settings.js';
import { steadyNow } from '../runtime/clock.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { encodeRequest, parseAnswer } from './request-codec.js';

const IDLE_TIMEOUT_MS = 30_000;
/** After a connection is lost, requests go unanswered for this long. */
const RECONNECT_DELAY_MS = 300;
/** Bounds the memory used at both ends. */
const MAX_PENDING_REQUESTS = 512;

/** Concurrent requests share the connection; those pending when it is lost go unanswered. */
export class PeerClient implements Peer {
  private socket: Socket | null = null;
  private connected = false;
  private nextSequenceNumber = 1;
  private readonly pendingRequests = new Map<number, (answer: unknown) => void>();
  private reconnectAt = 0;

  constructor(
    readonly node: NodeId,
    private readonly endpoint: Endpoint,
  ) {}

  request(request: PeerRequest, timeoutMs: number): Promise<unknown> {
    if (!this.socket && steadyNow() < this.reconnectAt) return Promise.resolve(undefined);
    if (this.pendingRequests.size >= MAX_PENDING_REQUESTS) return Promise.resolve(undefined);
    const socket = this.connect();
    const n = this.nextSequenceNumber++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.pendingRequests.delete(n);
        resolve(undefined);
        // A connection attempt that is still pending is aborted; the next request reconnects.
        if (!this.connected) socket.destroy();
      }, timeoutMs);
      this.pendingRequests.set(n, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      socket.write(encodeFrame(encodeRequest(n, request)));
    });
  }

  private connect(): Socket {
    if (this.socket) return this.socket;
    const socket = new Socket();
    const decoder = new FrameDecoder();
    const disconnect = () => this.disconnect(socket);
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_TIMEOUT_MS, disconnect);
    socket.on('connect', () => {
      this.connected = true;
    });
    socket.on('error', disconnect);
    socket.on('close', disconnect);
    socket.on('data', (bytes: Buffer) => {
      try {
        for (const message of decoder.decode(bytes)) this.handleAnswer(message);
      } catch {
        disconnect();
      }
    });
    socket.connect(this.endpoint.port, this.endpoint.host);
    this.socket = socket;
    return socket;
  }

  private handleAnswer(message: unknown): void {
    const answer = parseAnswer(message);
    if (!answer) return;
    const resolve = this.pendingRequests.get(answer.n);
    this.pendingRequests.delete(answer.n);
    resolve?.(answer.is);
  }

  /** Resolves pending requests as unanswered. Ignores events of earlier connections. */
  private disconnect(socket: Socket): void {
    if (this.socket !== socket) return;
    this.socket = null;
    this.connected = false;
    this.reconnectAt = steadyNow() + RECONNECT_DELAY_MS;
    for (const resolve of this.pendingRequests.values()) resolve(undefined);
    this.pendingRequests.clear();
    socket.destroy();
  }

  close(): void {
    this.socket?.destroy();
  }
}
