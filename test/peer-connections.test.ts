import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from '../src/adapters/peers/frames.js';
import { PeerClient } from '../src/adapters/peers/peer-client.js';
import { servePeers } from '../src/adapters/peers/peer-server.js';
import type { NodeId } from '../src/core/model/ids.js';
import { cleanUp, cleanups, freePort, until } from './stand-ins/cluster.js';

afterEach(cleanUp);

describe('connections between controllers', () => {
  it('decode messages from a stream split at every byte', () => {
    const frames = Buffer.concat([
      encodeFrame({ n: 1 }),
      encodeFrame({ n: 2, is: 'x'.repeat(500) }),
    ]);
    const decoder = new FrameDecoder();
    const messages: unknown[] = [];
    for (const byte of frames) messages.push(...decoder.decode(Buffer.of(byte)));
    expect(messages).toEqual([{ n: 1 }, { n: 2, is: 'x'.repeat(500) }]);
  });

  it('drop messages that are too large or malformed, and answer the others', async () => {
    const port = await freePort();
    const dropped: string[] = [];
    const server = servePeers(
      { host: '127.0.0.1', port },
      () => 'fine',
      (reason) => dropped.push(reason),
    );
    cleanups.push(() => server.close());
    const huge = Buffer.alloc(8);
    huge.writeUInt32BE(MAX_FRAME_BYTES + 1);
    for (const bytes of [
      huge,
      encodeFrame({ n: 'one' }),
      encodeFrame({ n: 1, ask: 'everything' }),
      Buffer.from([0, 0, 0, 1, 0xc1]),
    ]) {
      const before = dropped.length;
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => {});
      socket.write(bytes);
      await until(() => dropped.length > before);
      socket.destroy();
    }
    expect(dropped).toHaveLength(4);
    const peer = new PeerClient('node-1' as NodeId, { host: '127.0.0.1', port });
    cleanups.push(() => peer.close());
    expect(await peer.request({ ask: 'health' }, 5000)).toBe('fine');
  });
});
