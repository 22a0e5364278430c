// Sockets and JSON over HTTP for the stand-ins.
import { request } from 'node:http';
import { createServer as createTcp, connect } from 'node:net';

export const sleep = (ms) => new Promise((r) => setTimeout(r, ms));
export const listen = async (server) => {
  await new Promise((r) => server.listen(0, '127.0.0.1', r));
  return `127.0.0.1:${server.address().port}`;
};
/** Ports below the ephemeral range, each bound once to see that it is free. */
let next = 12_000 + (process.pid % 150) * 100;
export const freePort = async () => {
  for (;;) {
    next = next > 29_000 ? 12_000 : next + 1;
    const port = next;
    const s = createTcp();
    const ok = await new Promise((r) => {
      s.once('error', () => r(false));
      s.listen(port, '127.0.0.1', () => r(true));
    });
    if (!ok) continue;
    await new Promise((r) => s.close(r));
    return port;
  }
};
export const readJson = async (req) => {
  let text = '';
  for await (const part of req) text += part;
  return text === '' ? null : JSON.parse(text);
};
export const sendJson = (res, status, body) => {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text);
};
/** Sends a request on a connection of its own, or by `agent`; null without an answer in time. */
export const call = (address, method, path, body, timeoutMs, agent = false) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers = text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const req = request({ host, port: Number(port), method, path, headers, agent }, (res) => {
      let got = '';
      res.on('data', (d) => (got += d));
      res.on('end', () => {
        clearTimeout(timer);
        let json = null;
        try {
          json = JSON.parse(got);
        } catch {}
        resolve({ status: res.statusCode, body: json });
      });
      res.on('error', () => resolve(null));
      res.on('close', () => resolve(null));
    });
    const timer = setTimeout(() => {
      resolve(null);
      req.destroy();
    }, timeoutMs);
    req.on('error', () => {
      clearTimeout(timer);
      resolve(null);
    });
    req.end(text);
  });

/**
 * A TCP proxy. mode: 'pass', 'hold' (bytes wait, delivered in order later), 'reset', 'refuse' (nothing
 * listens).
 */
export class Proxy {
  mode = 'pass';
  delayMs = 0;
  pairs = new Set();
  constructor(target) {
    this.target = target;
    this.server = createTcp((a) => this.accept(a));
  }
  /** A port below those that the system gives to connections: it must be free when it is asked back. */
  async open() {
    const port = await freePort();
    await new Promise((r) => this.server.listen(port, '127.0.0.1', r));
    this.address = `127.0.0.1:${port}`;
    return this.address;
  }
  accept(a) {
    if (this.mode === 'reset') {
      a.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const pair = { a, b: null, queues: [[], []] };
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      a.destroy();
      pair.b?.destroy();
    };
    a.on('error', end);
    a.on('close', end);
    const open = () => {
      const b = connect(Number(port), host);
      pair.b = b;
      b.on('error', end);
      b.on('close', end);
      b.on('data', (d) => this.forward(pair, 1, d));
      this.flush(pair);
    };
    pair.open = open;
    a.on('data', (d) => this.forward(pair, 0, d));
    if (this.mode === 'pass') open();
  }
  forward(pair, dir, d) {
    pair.queues[dir].push(d);
    if (this.mode === 'pass') this.flush(pair);
  }
  flush(pair) {
    if (!pair.b) return;
    for (const dir of [0, 1]) {
      const to = dir === 0 ? pair.b : pair.a;
      for (const d of pair.queues[dir].splice(0)) to.write(d);
    }
  }
  set(mode) {
    if (this.mode === 'refuse' && mode !== 'refuse') this.server.listen(Number(this.address.split(':')[1]), '127.0.0.1');
    if (this.mode !== 'refuse' && mode === 'refuse') this.server.close();
    this.mode = mode;
    if (mode === 'reset' || mode === 'refuse') for (const p of [...this.pairs]) {
      p.a.resetAndDestroy();
      p.b?.resetAndDestroy();
    }
    if (mode === 'pass') for (const p of this.pairs) {
      if (!p.b) p.open();
      else this.flush(p);
    }
  }
  close() {
    for (const p of [...this.pairs]) {
      p.a.destroy();
      p.b?.destroy();
    }
    this.server.close();
  }
}
