/** Messages between controllers on a TCP stream: msgpack, each after its length as 4 bytes. */
import { Packr } from 'msgpackr/pack';

/** No message between peers comes near this; a larger one is refused, its connection closed. */
export const MAX_FRAME_BYTES = 64 * 1024;
const HEADER_BYTES = 4;
const NO_BYTES = Buffer.alloc(0);

const packr = new Packr({ useRecords: false });

/** A frame on the stream announces more than `MAX_FRAME_BYTES`. */
export class FrameTooLargeError extends Error {
  constructor(readonly size: number) {
    super(`frame of ${size} bytes`);
  }
}

/** The message as one frame. */
export const encodeFrame = (message: unknown): Buffer => {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
};

/** Cuts one byte stream into messages. */
export class FrameDecoder {
  private buffered: Buffer = NO_BYTES;

  /**
   * The messages that these bytes complete. Throws `FrameTooLargeError`, or what msgpack throws on
   * a message that is none: the stream cannot be read from there on.
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
