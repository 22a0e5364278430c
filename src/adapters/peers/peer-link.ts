/** Between controllers: length-prefixed msgpack frames over TCP; a question and its answer share a number. */
import { createServer, type Server, Socket } from 'node:net';
import { Packr } from 'msgpackr/pack';
import * as v from 'valibot';
import type { NodeId } from '../../core/model/ids.js';
import type { Endpoint } from '../configuration/settings.js';
import { steadyNow } from '../runtime/clock.js';

/** No frame between peers comes near this; a larger one is refused and its connection closed. */
export const MAX_FRAME = 64 * 1024;
const MAX_WAITING = 512;
const HEADER = 4;

const packr = new Packr({ useRecords: false });

export const encodeFrame = (message: unknown): Buffer => {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(HEADER + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER);
  return frame;
};

/** Cuts a byte stream into messages; throws on a frame that is too large or not msgpack. */
export class FrameReader {
  private parts: Buffer = Buffer.alloc(0);

  push(data: Buffer): unknown[] {
    this.parts = this.parts.length === 0 ? data : Buffer.concat([this.parts, data]);
    const messages: unknown[] = [];
    while (this.parts.length >= HEADER) {
      const size = this.parts.readUInt32BE(0);
      if (size > MAX_FRAME) throw new Error(`frame of ${size} bytes`);
      if (this.parts.length < HEADER + size) break;
      messages.push(packr.unpack(this.parts.subarray(HEADER, HEADER + size)));
      this.parts = this.parts.subarray(HEADER + size);
    }
    return messages;
  }
}

const jobId = v.pipe(v.string(), v.regex(/^job-\d{1,18}$/));
const questionSchema = v.object({
  n: v.pipe(v.number(), v.integer()),
  ask: v.picklist(['status', 'abort', 'list', 'explain', 'health', 'admit', 'look', 'operate']),
  job: v.optional(jobId),
  team: v.optional(v.pipe(v.string(), v.maxLength(200))),
  /** A job to admit, as its record holds it. */
  record: v.optional(v.unknown()),
  /** An operator's call to an extension. */
  extension: v.optional(v.pipe(v.string(), v.maxLength(40))),
  call: v.optional(
    v.object({
      route: v.pipe(v.string(), v.maxLength(40)),
      subject: v.pipe(v.string(), v.maxLength(200)),
      body: v.unknown(),
    }),
  ),
});
const answerSchema = v.object({ n: v.pipe(v.number(), v.integer()), is: v.unknown() });

export type Question = Omit<v.InferOutput<typeof questionSchema>, 'n'>;
export type Respond = (question: Question) => Promise<unknown> | unknown;

export const servePeers = (
  at: Endpoint,
  respond: Respond,
  onBad: (reason: string) => void,
): Server => {
  const server = createServer((socket) => {
    const reader = new FrameReader();
    socket.setNoDelay(true);
    socket.setTimeout(60_000, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    const answer = async (message: unknown) => {
      const q = v.safeParse(questionSchema, message);
      if (!q.success) {
        onBad('question of an unknown form');
        return;
      }
      const { n, ...question } = q.output;
      const is = await respond(question);
      if (!socket.destroyed) socket.write(encodeFrame({ n, is }));
    };
    socket.on('data', (data: Buffer) => {
      try {
        for (const message of reader.push(data)) {
          answer(message).catch((error: Error) => onBad(error.message));
        }
      } catch (error) {
        onBad((error as Error).message);
        socket.destroy();
      }
    });
  });
  server.maxConnections = 64;
  server.listen(at.port, at.host);
  return server;
};

export class Peer {
  private socket: Socket | null = null;
  private ready = false;
  private next = 1;
  private readonly waiting = new Map<number, (answer: unknown) => void>();
  private retryAt = 0;

  constructor(
    readonly node: NodeId,
    private readonly at: Endpoint,
  ) {}

  private connect(): Socket {
    if (this.socket) return this.socket;
    const socket = new Socket();
    const reader = new FrameReader();
    const drop = () => {
      if (this.socket !== socket) return;
      this.socket = null;
      this.ready = false;
      this.retryAt = steadyNow() + 300;
      for (const resolve of this.waiting.values()) resolve(undefined);
      this.waiting.clear();
      socket.destroy();
    };
    socket.setNoDelay(true);
    socket.setTimeout(30_000, drop);
    socket.on('connect', () => (this.ready = true));
    socket.on('error', drop);
    socket.on('close', drop);
    socket.on('data', (data: Buffer) => {
      try {
        for (const message of reader.push(data)) {
          const a = v.safeParse(answerSchema, message);
          if (!a.success) continue;
          const resolve = this.waiting.get(a.output.n);
          this.waiting.delete(a.output.n);
          resolve?.(a.output.is);
        }
      } catch {
        drop();
      }
    });
    socket.connect(this.at.port, this.at.host);
    this.socket = socket;
    return socket;
  }

  /** The answer, or undefined when none comes in time. */
  ask(question: Question, timeoutMs: number): Promise<unknown> {
    if (!this.socket && steadyNow() < this.retryAt) return Promise.resolve(undefined);
    if (this.waiting.size >= MAX_WAITING) return Promise.resolve(undefined);
    const socket = this.connect();
    const n = this.next++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.waiting.delete(n);
        resolve(undefined);
        // A peer that cannot even be connected to is cut off: the next question opens a new connection.
        if (!this.ready) socket.destroy();
      }, timeoutMs);
      this.waiting.set(n, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      socket.write(encodeFrame({ n, ...question }));
    });
  }

  close(): void {
    this.socket?.destroy();
  }
}
