import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import {
  encodeFrame,
  FrameReader,
  MAX_FRAME,
  Peer,
  servePeers,
} from '../src/adapters/peers/peer-link.js';
import { cleanUp, cleanups, freePort, until } from './stand-ins/cluster.js';

afterEach(cleanUp);

describe('the peer link', () => {
  it('puts frames together again however the stream is cut', () => {
    const frames = Buffer.concat([
      encodeFrame({ n: 1 }),
      encodeFrame({ n: 2, is: 'x'.repeat(500) }),
    ]);
    const reader = new FrameReader();
    const got: unknown[] = [];
    for (const byte of frames) got.push(...reader.push(Buffer.of(byte)));
    expect(got).toEqual([{ n: 1 }, { n: 2, is: 'x'.repeat(500) }]);
  });

  it('refuses a frame that is too large or of no known form, and goes on serving others', async () => {
    const port = await freePort();
    const bad: string[] = [];
    const server = servePeers(
      { host: '127.0.0.1', port },
      () => 'fine',
      (reason) => bad.push(reason),
    );
    cleanups.push(() => server.close());
    const huge = Buffer.alloc(8);
    huge.writeUInt32BE(MAX_FRAME + 1);
    for (const bytes of [
      huge,
      encodeFrame({ n: 'one' }),
      encodeFrame({ n: 1, ask: 'everything' }),
      Buffer.from([0, 0, 0, 1, 0xc1]),
    ]) {
      const before = bad.length;
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => {});
      socket.write(bytes);
      await until(() => bad.length > before);
      socket.destroy();
    }
    expect(bad).toHaveLength(4);
    const peer = new Peer('node-1' as never, { host: '127.0.0.1', port });
    cleanups.push(() => peer.close());
    expect(await peer.ask({ ask: 'health' }, 5000)).toBe('fine');
  });
});
