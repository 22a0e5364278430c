/** Asks another controller, over one connection that is opened when there is a question. */
import { Socket } from 'node:net';
import type { NodeId } from '../../core/model/ids.js';
import type { Peer, PeerRequest } from '../../ports/peer.js';
import type { Endpoint } from '../configuration/settings.js';
import { steadyNow } from '../runtime/clock.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { encodeQuestion, parseAnswer } from './question-codec.js';

const IDLE_TIMEOUT_MS = 30_000;
/** After a connection is lost, none is opened for this long, and questions go unanswered. */
const RECONNECT_DELAY_MS = 300;
/** Questions without an answer at a time; more would only fill the memory of both sides. */
const MAX_UNANSWERED = 512;

/** The connection to one peer. */
export class PeerClient implements Peer {
  private socket: Socket | null = null;
  private connected = false;
  private nextNumber = 1;
  private readonly unanswered = new Map<number, (answer: unknown) => void>();
  private reconnectAt = 0;

  constructor(
    readonly node: NodeId,
    private readonly endpoint: Endpoint,
  ) {}

  request(question: PeerRequest, timeoutMs: number): Promise<unknown> {
    if (!this.socket && steadyNow() < this.reconnectAt) return Promise.resolve(undefined);
    if (this.unanswered.size >= MAX_UNANSWERED) return Promise.resolve(undefined);
    const socket = this.connect();
    const n = this.nextNumber++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.unanswered.delete(n);
        resolve(undefined);
        // One that cannot even be connected to is cut off: the next question connects anew.
        if (!this.connected) socket.destroy();
      }, timeoutMs);
      this.unanswered.set(n, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      socket.write(encodeFrame(encodeQuestion(n, question)));
    });
  }

  private connect(): Socket {
    if (this.socket) return this.socket;
    const socket = new Socket();
    const decoder = new FrameDecoder();
    const drop = () => this.drop(socket);
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_TIMEOUT_MS, drop);
    socket.on('connect', () => {
      this.connected = true;
    });
    socket.on('error', drop);
    socket.on('close', drop);
    socket.on('data', (bytes: Buffer) => {
      try {
        for (const message of decoder.decode(bytes)) this.handleAnswer(message);
      } catch {
        drop();
      }
    });
    socket.connect(this.endpoint.port, this.endpoint.host);
    this.socket = socket;
    return socket;
  }

  private handleAnswer(message: unknown): void {
    const answer = parseAnswer(message);
    if (!answer) return;
    const resolve = this.unanswered.get(answer.n);
    this.unanswered.delete(answer.n);
    resolve?.(answer.is);
  }

  /** All questions that wait get no answer. Events of a connection dropped before do nothing. */
  private drop(socket: Socket): void {
    if (this.socket !== socket) return;
    this.socket = null;
    this.connected = false;
    this.reconnectAt = steadyNow() + RECONNECT_DELAY_MS;
    for (const resolve of this.unanswered.values()) resolve(undefined);
    this.unanswered.clear();
    socket.destroy();
  }

  close(): void {
    this.socket?.destroy();
  }
}
