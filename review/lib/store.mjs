// Stand-in of the state service: PROTOCOL, "Controller nodes -> state service". One store, one
// HTTP address a node, so that a disruption can meet one node alone.
import { createServer } from 'node:http';
import { listen, readJson, sendJson, sleep } from './net.mjs';

export class Store {
  epoch = 0;
  keys = new Map();
  leases = new Map();
  nextHold = 1;
  changes = [];
  waiters = new Set();
  /** 503 for everybody, and leases do not run out meanwhile. */
  isOut = false;
  servers = [];
  latencyMs = 2;
  /** (node, request kind) -> extra delay in ms; called for each request. */
  slowness = () => 0;
  /** (node, body) -> null, or 'lose-answer', 'late' (carried out later, unanswered). */
  transactionFault = () => null;
  lateMs = () => 2000 + Math.random() * 10_000;
  limits = { rps: 150, writeRps: 40, valueKb: 8, txnOps: 32 };
  buckets = { rps: { left: 150, at: Date.now() }, writes: { left: 40, at: Date.now() } };
  refusedNodes = new Set();
  constructor(record = () => {}) {
    this.record = record;
    this.timer = setInterval(() => this.expire(), 10);
  }
  async open(node) {
    const server = createServer((req, res) => {
      this.serve(node, req, res).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 0;
    server.requestTimeout = 0;
    this.servers.push(server);
    return listen(server);
  }
  close() {
    clearInterval(this.timer);
    for (const s of this.servers) {
      s.closeAllConnections();
      s.close();
    }
  }
  setOutage(on) {
    if (on === this.isOut) return;
    this.isOut = on;
    if (!on) for (const l of this.leases.values()) l.endsAt = performance.now() + l.lifeMs;
    this.wake();
  }
  wake() {
    for (const w of [...this.waiters]) w();
  }
  expire() {
    if (this.isOut) return;
    const now = performance.now();
    for (const [id, l] of this.leases) if (now >= l.endsAt + 10) this.endLease(id);
  }
  endLease(id) {
    this.leases.delete(id);
    const gone = [...this.keys].filter(([, e]) => e.hold === id).map(([k]) => k);
    if (gone.length === 0) return;
    this.epoch += 1;
    for (const key of gone) {
      this.keys.delete(key);
      this.changes.push({ key, stamp: this.epoch, deleted: true });
    }
    this.wake();
  }
  take(bucket, rate, count) {
    const now = Date.now();
    bucket.left = Math.min(rate, bucket.left + ((now - bucket.at) / 1000) * rate);
    bucket.at = now;
    if (bucket.left < count) return false;
    bucket.left -= count;
    return true;
  }
  commit(body) {
    const apply = body.Apply ?? [];
    if (apply.length > this.limits.txnOps) return [400, { error: 'too many changes' }];
    for (const a of apply)
      if (a.Write && Buffer.byteLength(JSON.stringify(a.Data)) > this.limits.valueKb * 1024)
        return [400, { error: 'value too large' }];
    if (Buffer.byteLength(JSON.stringify(body)) > 65536) return [400, { error: 'too large' }];
    const failed = (body.Guards ?? []).filter((g) => (this.keys.get(g.Path)?.stamp ?? 0) !== g.Stamp);
    if (failed.length) return [409, { failed: failed.map((g) => g.Path), Epoch: this.epoch }];
    if (apply.some((a) => a.Hold !== undefined && !this.leases.has(a.Hold)))
      return [400, { error: 'no such lease' }];
    if (apply.length) this.epoch += 1;
    for (const a of apply) {
      if (a.Write !== undefined) {
        this.keys.set(a.Write, { data: a.Data, stamp: this.epoch, hold: a.Hold });
        this.changes.push({ key: a.Write, stamp: this.epoch, data: a.Data });
      } else if (this.keys.delete(a.Delete))
        this.changes.push({ key: a.Delete, stamp: this.epoch, deleted: true });
    }
    if (this.changes.length > 10_000) this.changes.splice(0, this.changes.length - 10_000);
    this.wake();
    return [200, { Epoch: this.epoch }];
  }
  isRefused(node) {
    return this.isOut || this.refusedNodes.has(node);
  }
  async serve(node, req, res) {
    const url = new URL(req.url, 'http://x');
    const body = await readJson(req);
    const path = decodeURIComponent(url.pathname);
    const kind = path === '/multi' ? 'multi' : path.split('/')[1];
    await sleep(this.latencyMs + this.slowness(node, kind));
    if (this.isRefused(node)) return sendJson(res, 503, { error: 'trouble' });
    if (!this.take(this.buckets.rps, this.limits.rps, 1)) return sendJson(res, 429, { error: 'rate' });
    if (kind === 'multi') {
      if (!this.take(this.buckets.writes, this.limits.writeRps, (body.Apply ?? []).length))
        return sendJson(res, 429, { error: 'rate' });
      const fault = this.transactionFault(node, body);
      if (fault === 'late') {
        setTimeout(() => this.commit(body), this.lateMs());
        return;
      }
      const [status, answer] = this.commit(body);
      if (fault === 'lose-answer') return;
      return sendJson(res, status, answer);
    }
    if (kind === 'kv' && path !== '/kv') {
      const key = path.slice(4);
      const e = this.keys.get(key);
      if (!e) return sendJson(res, 404, { Epoch: this.epoch });
      return sendJson(res, 200, { Path: key, Data: e.data, Stamp: e.stamp, ...(e.hold ? { Hold: e.hold } : {}) });
    }
    if (kind === 'kv') {
      const under = url.searchParams.get('Under') ?? '';
      const since = url.searchParams.get('Since') ?? '';
      const limit = Math.min(1000, Number(url.searchParams.get('Limit') ?? 1000));
      const all = [...this.keys].filter(([k]) => k.startsWith(under) && k > since).sort((a, b) => (a[0] < b[0] ? -1 : 1));
      const Items = all.slice(0, limit).map(([k, e]) => ({ Path: k, Data: e.data, Stamp: e.stamp }));
      return sendJson(res, 200, { Items, More: all.length > limit, Epoch: this.epoch });
    }
    if (kind === 'holds') {
      const id = path.split('/')[2];
      if (id === undefined) {
        const hold = this.nextHold++;
        this.leases.set(hold, { lifeMs: body.LifeMs, endsAt: performance.now() + body.LifeMs });
        return sendJson(res, 200, { Hold: hold });
      }
      const l = this.leases.get(Number(id));
      if (!l) return sendJson(res, 404, { error: 'no such lease' });
      if (req.method === 'DELETE') this.endLease(Number(id));
      else l.endsAt = performance.now() + l.lifeMs;
      return sendJson(res, 200, { Hold: Number(id) });
    }
    if (kind === 'follow') {
      const under = url.searchParams.get('Under') ?? '';
      const since = Number(url.searchParams.get('Since') ?? 0);
      const until = Date.now() + Math.min(60_000, Number(url.searchParams.get('HoldMs') ?? 0));
      if (this.changes.length >= 10_000 && since < this.changes[0].stamp - 1) return sendJson(res, 410, {});
      for (;;) {
        if (res.destroyed) return;
        if (!this.isRefused(node)) {
          const news = this.changes.filter((c) => c.stamp > since && c.key.startsWith(under));
          if (news.length || Date.now() >= until)
            return sendJson(res, 200, {
              Epoch: this.epoch,
              News: news.map((c) => (c.deleted ? { Delete: c.key, Stamp: c.stamp } : { Write: c.key, Data: c.data, Stamp: c.stamp })),
            });
        }
        await new Promise((resolve) => {
          const done = () => {
            clearTimeout(t);
            this.waiters.delete(done);
            resolve();
          };
          const t = setTimeout(done, 500);
          this.waiters.add(done);
        });
        await sleep(this.latencyMs);
      }
    }
    sendJson(res, 404, {});
  }
}
