/** Framing of peer messages on TCP: a length of 4 bytes (big endian), then a msgpack body. */
import { Packr } from 'msgpackr/pack';

/** Far above any valid message. A larger frame closes the connection. */
export const MAX_FRAME_BYTES = 64 * 1024;
const HEADER_BYTES = 4;
const NO_BYTES = Buffer.alloc(0);

const packr = new Packr({ useRecords: false });

/** A frame header announces more than `MAX_FRAME_BYTES`. */
export class FrameTooLargeError extends Error {
  constructor(readonly size: number) {
    super(`frame of ${size} bytes exceeds MAX_FRAME_BYTES`);
  }
}

/** Encodes a message as a frame, without a check of its size. */
export const encodeFrame = (message: unknown): Buffer => {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
};

/** Splits the byte stream of one connection into messages. */
export class FrameDecoder {
  private buffered: Buffer = NO_BYTES;

  /**
   * Returns the messages completed by `bytes`. Throws `FrameTooLargeError`, or msgpack's error for
   * an invalid body; the rest of the stream is then lost.
   */
  decode(bytes: Buffer): unknown[] {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const messages: unknown[] = [];
    while (this.buffered.length >= HEADER_BYTES) {
      const size = this.buffered.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) throw new FrameTooLargeError(size);
      const end = HEADER_BYTES + size;
      if (this.buffered.length < end) break;
      messages.push(packr.unpack(this.buffered.subarray(HEADER_BYTES, end)));
      this.buffered = this.buffered.subarray(end);
    }
    return messages;
  }
}
