// Stand-ins for the state service, the cloud, workers and users, and the start of controllers.
// They follow the protocol pages; where a page is silent, they behave like a sound server.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const listenAnywhere = (server) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });

let lastPort = 10_000 + (process.pid % 200) * 100;

/** A free port below those for outgoing connections; runs beside one another use other ranges. */
export const freePort = async () => {
  for (;;) {
    lastPort = lastPort < 29_999 ? lastPort + 1 : 10_000;
    const port = lastPort;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return `127.0.0.1:${port}`;
  }
};

/** A TCP link that can hold data back, or refuse connections. */
export class Link {
  constructor(target) {
    this.target = target;
    this.mode = 'open';
    this.held = [];
    this.sockets = new Set();
    this.server = net.createServer((socket) => this.accept(socket));
  }
  async open() {
    this.address = await listenAnywhere(this.server);
    return this;
  }
  accept(client) {
    if (this.mode === 'refuse') return client.destroy();
    const [host, port] = this.target.split(':');
    const server = net.connect({ host, port: Number(port) });
    for (const [from, to] of [[client, server], [server, client]]) {
      this.sockets.add(from);
      from.on('data', (bytes) => {
        if (this.mode === 'hold') this.held.push(() => to.write(bytes));
        else to.write(bytes);
      });
      from.on('error', () => {});
      from.on('close', () => {
        this.sockets.delete(from);
        if (this.mode === 'hold') this.held.push(() => to.destroy());
        else to.destroy();
      });
    }
  }
  setMode(mode) {
    this.mode = mode;
    if (mode === 'refuse') for (const socket of this.sockets) socket.destroy();
    if (mode !== 'hold') for (const deliver of this.held.splice(0)) deliver();
  }
  close() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

const readBody = async (req) => {
  let text = '';
  for await (const part of req) text += part;
  return text === '' ? null : JSON.parse(text);
};

const send = (res, status, body) => {
  if (res.destroyed || res.writableEnded) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
};

/** Sends one request; resolves to null without a response within `timeoutMs`. */
export const request = (address, method, path, body, { timeoutMs = 5000, agent } = {}) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers = text === '' ? {} : { 'content-type': 'application/json' };
    headers['content-length'] = Buffer.byteLength(text);
    const req = http.request({ host, port, method, path, headers, agent }, (res) => {
      let answer = '';
      res.setEncoding('utf8');
      res.on('data', (part) => (answer += part));
      res.on('error', () => finish(null));
      res.on('end', () => {
        let parsed = null;
        try {
          parsed = answer === '' ? null : JSON.parse(answer);
        } catch {}
        finish({ status: res.statusCode, body: parsed });
      });
    });
    const timer = setTimeout(() => {
      finish(null);
      req.destroy();
    }, timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on('error', () => finish(null));
    req.end(text);
  });

/** The record of a run: lines with the time since its start. */
export class Recorder {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = Date.now();
    writeFileSync(this.path, '');
  }
  get seconds() {
    return (Date.now() - this.startedAt) / 1000;
  }
  write(text) {
    appendFileSync(this.path, `${this.seconds.toFixed(2).padStart(7)} ${text}\n`);
  }
}

/** One endpoint of a service for each node, with troubles of its own. */
class Gate {
  constructor(handle) {
    this.handle = handle;
    /** `open`; `refuse`: 503; `hold`: requests wait, in order, until the gate opens. */
    this.mode = 'open';
    this.held = [];
    this.server = http.createServer((req, res) => this.serve(req, res).catch(() => res.destroy()));
    this.server.keepAliveTimeout = 60_000;
  }
  async open() {
    this.address = await listenAnywhere(this.server);
    return this;
  }
  async serve(req, res) {
    const body = await readBody(req);
    if (this.mode === 'hold') await new Promise((resolve) => this.held.push(resolve));
    if (this.mode === 'refuse') return send(res, 503, { error: 'trouble' });
    return this.handle(req, res, body, this);
  }
  setMode(mode) {
    this.mode = mode;
    if (mode === 'hold') return;
    for (const resolve of this.held.splice(0)) resolve();
  }
  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

const KEPT_CHANGES = 10_000;

/** The state service. */
export class StateService {
  constructor({ rps = 150, write_rps = 40, value_kb = 8, txn_ops = 32, epoch = 0 } = {}) {
    Object.assign(this, { rps, write_rps, value_kb, txn_ops, epoch });
    this.keys = new Map();
    this.holds = new Map();
    this.nextHold = 1;
    this.changes = [];
    this.droppedUpTo = epoch;
    this.waiting = new Set();
    this.isDown = false;
    this.gates = [];
    this.buckets = { requests: { left: rps, at: Date.now() }, writes: { left: write_rps, at: Date.now() } };
    this.latencyMs = 3;
    this.counts = {};
    this.onChange = () => {};
  }
  async gate() {
    const gate = await new Gate((req, res, body, self) => this.serve(req, res, body, self)).open();
    this.gates.push(gate);
    return gate;
  }
  take(name, rate, count) {
    const bucket = this.buckets[name];
    const now = Date.now();
    bucket.left = Math.min(rate, bucket.left + ((now - bucket.at) / 1000) * rate);
    bucket.at = now;
    if (bucket.left < count) return false;
    bucket.left -= count;
    return true;
  }
  record(change) {
    this.changes.push(change);
    if (this.changes.length > KEPT_CHANGES) this.droppedUpTo = this.changes.shift().Stamp;
    this.onChange(change);
  }
  wake() {
    for (const wake of [...this.waiting]) wake();
  }
  remove(key) {
    this.keys.delete(key);
    this.record({ Delete: key, Stamp: this.epoch });
  }
  endHold(id) {
    const hold = this.holds.get(id);
    if (!hold) return;
    clearTimeout(hold.timer);
    this.holds.delete(id);
    const attached = [...this.keys].filter(([, entry]) => entry.hold === id);
    if (attached.length > 0) this.epoch += 1;
    for (const [key] of attached) this.remove(key);
    this.wake();
  }
  renew(id, lifeMs) {
    const hold = this.holds.get(id);
    if (hold) clearTimeout(hold.timer);
    const timer = setTimeout(() => (this.isDown ? null : this.endHold(id)), lifeMs + 20);
    this.holds.set(id, { lifeMs, timer });
  }
  setDown(isDown) {
    this.isDown = isDown;
    if (!isDown) for (const [id, { lifeMs }] of this.holds) this.renew(id, lifeMs);
  }
  async serve(req, res, body, gate) {
    const url = new URL(req.url, 'http://x');
    const path = url.pathname;
    await sleep(this.latencyMs);
    if (this.isDown) return send(res, 503, { error: 'trouble' });
    const name = path.split('/')[1];
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    if (!this.take('requests', this.rps, 1)) {
      this.counts.refused = (this.counts.refused ?? 0) + 1;
      return send(res, 429, { error: 'too many' });
    }
    if (path === '/multi') {
      if (this.loseAnswer?.()) {
        this.multi({ destroyed: true }, body);
        return res.destroy();
      }
      this.onTransaction?.(body);
      return this.multi(res, body);
    }
    if (path === '/kv') return this.list(url, res);
    if (path.startsWith('/kv/')) {
      const key = path.slice(4);
      const entry = this.keys.get(key);
      if (!entry) return send(res, 404, { Epoch: this.epoch });
      return send(res, 200, { Path: key, Data: entry.data, Stamp: entry.stamp, Hold: entry.hold ?? null });
    }
    if (path === '/follow') return this.follow(url, res, gate);
    if (name === 'holds') {
      const id = Number(path.split('/')[2]);
      if (path === '/holds') {
        const id = this.nextHold++;
        this.renew(id, body.LifeMs);
        return send(res, 200, { Hold: id });
      }
      if (!this.holds.has(id)) return send(res, 404, {});
      if (req.method === 'DELETE') this.endHold(id);
      else this.renew(id, this.holds.get(id).lifeMs);
      return send(res, 200, {});
    }
    return send(res, 404, {});
  }
  multi(res, { Guards = [], Apply = [] }) {
    const bytes = Buffer.byteLength(JSON.stringify({ Guards, Apply }));
    const large = Apply.some(
      (a) => a.Write !== undefined && Buffer.byteLength(JSON.stringify(a.Data)) > this.value_kb * 1024,
    );
    if (Apply.length > this.txn_ops || Guards.length > 4 * this.txn_ops || bytes > 65_536 || large)
      return send(res, 400, { error: 'too large' });
    if (!this.take('writes', this.write_rps, Apply.length)) return send(res, 429, { error: 'too many' });
    const failed = Guards.filter(({ Path, Stamp }) => (this.keys.get(Path)?.stamp ?? 0) !== Stamp);
    if (failed.length > 0)
      return send(res, 409, { failed: failed.map(({ Path }) => Path), Epoch: this.epoch });
    if (Apply.some((a) => a.Hold != null && !this.holds.has(a.Hold)))
      return send(res, 400, { error: 'no such lease' });
    if (Apply.length > 0) this.epoch += 1;
    for (const a of Apply) {
      if (a.Write !== undefined) {
        this.keys.set(a.Write, { data: a.Data, stamp: this.epoch, hold: a.Hold ?? undefined });
        this.record({ Write: a.Write, Data: a.Data, Stamp: this.epoch });
      } else if (this.keys.has(a.Delete)) this.remove(a.Delete);
    }
    this.wake();
    return send(res, 200, { Epoch: this.epoch });
  }
  list(url, res) {
    const under = url.searchParams.get('Under') ?? '';
    const since = url.searchParams.get('Since') ?? '';
    const limit = Math.min(1000, Number(url.searchParams.get('Limit') ?? 1000));
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(under) && k > since).sort();
    const Items = [];
    let bytes = 0;
    for (const Path of keys.slice(0, limit)) {
      const { data, stamp } = this.keys.get(Path);
      const item = { Path, Data: data, Stamp: stamp };
      bytes += JSON.stringify(item).length;
      if (bytes > 512 * 1024 && Items.length > 0) break;
      Items.push(item);
    }
    send(res, 200, { Items, More: keys.length > Items.length, Epoch: this.epoch });
  }
  async follow(url, res, gate) {
    const under = url.searchParams.get('Under') ?? '';
    const since = Number(url.searchParams.get('Since') ?? 0);
    const until = Date.now() + Math.min(60_000, Number(url.searchParams.get('HoldMs') ?? 0));
    for (;;) {
      if (res.destroyed) return;
      const waits = this.isDown || gate.mode !== 'open';
      if (!waits) {
        if (since < this.droppedUpTo) return send(res, 410, { error: 'too old' });
        const News = this.changes.filter(
          (c) => c.Stamp > since && (c.Write ?? c.Delete).startsWith(under),
        );
        if (News.length > 0 || Date.now() >= until) return send(res, 200, { Epoch: this.epoch, News });
      }
      await new Promise((resolve) => {
        const done = () => {
          this.waiting.delete(done);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(done, waits ? 100 : Math.max(1, until - Date.now()));
        this.waiting.add(done);
      });
    }
  }
  close() {
    for (const gate of this.gates) gate.close();
    for (const { timer } of this.holds.values()) clearTimeout(timer);
  }
}

/** One machine's worker. */
export class Worker {
  constructor(world, { id, hull, yard, loaners, speed = 1 }) {
    Object.assign(this, { world, id, hull, yard, loaners, speed });
    this.type = world.types.find(({ Label }) => Label === hull);
    this.tenure = 1;
    this.tick = 0;
    this.baton = 0;
    this.recallAt = null;
    this.pieces = new Map();
    this.images = new Set();
    this.fetching = new Map();
    this.node = Math.floor(Math.random() * world.nodes.length);
    this.answeredSentAt = Date.now();
    this.lastSentAt = 0;
    this.isGone = false;
    this.isHung = false;
    this.isSick = false;
    this.cutFrom = new Set();
    this.inFlight = false;
    this.baseBatonChange = 0;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.deferred = [];
    this.server = http.createServer((req, res) => this.serve(req, res).catch(() => res.destroy()));
  }
  async boot() {
    this.endpoint = await listenAnywhere(this.server);
    this.lease = setInterval(() => this.checkLease(), 50);
    this.answeredSentAt = Date.now();
    this.schedule(20);
  }
  log(text) {
    if (!this.world.options.isLight) this.world.recorder.write(`${this.id} ${text}`);
  }
  now(action) {
    if (this.isGone) return;
    if (this.isHung) this.deferred.push(action);
    else action();
  }
  hang(isHung) {
    this.log(isHung ? 'hangs' : 'goes on');
    this.isHung = isHung;
    if (isHung) return;
    this.checkLease();
    for (const action of this.deferred.splice(0)) action();
  }
  checkLease() {
    // The tasks of a hanging machine are over with its lease too: it goes on without them.
    if (this.isGone) return;
    if (Date.now() - this.answeredSentAt <= this.world.params.workers.lease_s * 1000) return;
    this.log(`lease ended, session ${this.tenure + 1}`);
    for (const piece of [...this.pieces.values()]) this.drop(piece);
    this.pieces.clear();
    this.tenure += 1;
    this.answeredSentAt = Date.now();
    this.changed();
  }
  drop(piece) {
    clearTimeout(piece.timer);
    if (piece.isOn) this.world.leave(piece, this);
    piece.isOn = false;
  }
  report() {
    this.tick += 1;
    return {
      Berth: this.id,
      Endpoint: this.endpoint,
      Hull: this.hull,
      Yard: this.yard,
      Loaners: this.loaners,
      Tenure: this.tenure,
      Tick: this.tick,
      Baton: this.baton,
      RecallS: this.recallAt === null ? null : Math.max(0, (this.recallAt - Date.now()) / 1000),
      Pieces: [...this.pieces.values()].map(({ Piece, Try, Status, Cause, Stored }) => ({
        Piece,
        Try,
        Status,
        ...(Cause ? { Cause } : {}),
        ...(Stored ? { Stored } : {}),
      })),
    };
  }
  schedule(ms) {
    clearTimeout(this.timer);
    this.dueAt = Date.now() + ms;
    this.timer = setTimeout(() => this.now(() => this.sendReport()), ms);
  }
  changed() {
    if (this.inFlight) {
      this.isChanged = true;
      return;
    }
    const ms = Math.max(0, this.lastSentAt + 500 - Date.now());
    if (this.dueAt === undefined || Date.now() + ms < this.dueAt) this.schedule(ms);
  }
  async sendReport() {
    if (this.isGone || this.inFlight) return;
    this.inFlight = true;
    this.isChanged = false;
    const sentAt = Date.now();
    this.lastSentAt = sentAt;
    const { tenure } = this;
    const node = this.world.nodes[this.node % this.world.nodes.length];
    const body = this.report();
    const isCut = this.cutFrom.has(node.name) || node.cutWorkers;
    if (isCut && node.heldReports) node.heldReports.push(body);
    this.world.onReport?.(body);
    const answer = isCut
      ? await sleep(4000).then(() => null)
      : await request(node.api, 'POST', '/checkin', body, { timeoutMs: 4000, agent: this.agent });
    this.now(() => this.handleAnswer(answer, node, tenure, sentAt));
  }
  handleAnswer(answer, node, tenure, sentAt) {
    this.inFlight = false;
    const { report_s } = this.world.params.workers;
    if (answer?.status === 200 && Date.now() - sentAt <= 4000) {
      const { Baton, Orders = [] } = answer.body ?? {};
      if (tenure === this.tenure && Baton !== undefined && Baton >= this.baton) {
        this.answeredSentAt = Math.max(this.answeredSentAt, sentAt);
        this.seeBaton(Baton);
        for (const order of Orders) this.execute(order);
      }
      const ms = report_s * 1000 * (0.75 + Math.random() * 0.5);
      this.schedule(Math.max(500, ms - (Date.now() - sentAt)));
      if (this.isChanged) this.changed();
      return;
    }
    const foreman = answer?.status === 421 ? answer.body?.Foreman : undefined;
    const named = this.world.nodes.findIndex(({ name }) => name === foreman);
    if (named >= 0 && named !== this.node % this.world.nodes.length) {
      this.node = named;
      this.schedule(Math.random() * 500);
      return;
    }
    if (answer?.status === 400) this.world.refusedReports += 1;
    if (answer && answer.status !== 421) this.log(`report answered ${answer.status}`);
    this.node = (this.node + 1) % this.world.nodes.length;
    this.schedule(1000);
  }
  seeBaton(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    const half = this.world.params.workers.lease_s * 500;
    if (Date.now() - this.baseBatonChange < half) return;
    this.baseBatonChange = Date.now();
    this.changed();
  }
  async serve(req, res) {
    const body = await readBody(req);
    this.now(() => {
      if (req.url === '/inspect') return send(res, 200, this.report());
      if (body?.Baton === undefined || body?.Tenure === undefined) return send(res, 400, {});
      if (body.Baton < this.baton || body.Tenure !== this.tenure) return send(res, 409, this.report());
      this.seeBaton(body.Baton);
      for (const order of body.Orders ?? []) this.execute(order);
      return send(res, 200, this.report());
    });
  }
  execute({ Verb, Piece, Try, WindDownS = 0 }) {
    const key = `${Piece}#${Try}`;
    const known = this.pieces.get(key);
    if (Verb === 'start') {
      if (!known) this.start(Piece, Try, key);
    } else if (Verb === 'kill') {
      if (known && known.Status !== 'ended') this.kill(known, WindDownS);
    } else if (Verb === 'reap') {
      if (known?.Status === 'ended') this.pieces.delete(key);
    }
  }
  end(piece, Cause, Stored = false) {
    clearTimeout(piece.timer);
    Object.assign(piece, { Status: 'ended', Cause, Stored });
    if (piece.isOn) this.world.leave(piece, this);
    piece.isOn = false;
    this.log(`${piece.Piece}#${piece.Try} ended ${Cause}`);
    this.changed();
  }
  start(Piece, Try, key) {
    const job = this.world.jobs.get(Piece.split('/')[0]);
    const piece = { Piece, Try, Status: 'pulling', isOn: false, job };
    const others = [...this.pieces.values()].filter(({ Status }) => Status !== 'ended');
    this.pieces.set(key, piece);
    this.log(`start ${key}`);
    const sum = (field) => others.reduce((total, other) => total + other.job[field], 0);
    if (!job || Number(Piece.split('/')[1]) >= job.Pieces) return this.end(piece, 'unknown');
    if (others.some((other) => other.Piece === Piece)) return this.end(piece, 'in_use');
    if (
      sum('Cpus') + job.Cpus > this.type.Cpus + 1e-6 ||
      sum('MemoryGb') + job.MemoryGb > this.type.MemoryGb + 1e-6
    )
      return this.end(piece, 'no_room');
    const fetchMs = this.images.has(job.Bundle) ? 0 : (job.ImageGb / this.type.FetchGbPerS) * 1000;
    piece.timer = setTimeout(() => this.now(() => this.run(piece)), fetchMs);
    this.changed();
  }
  run(piece) {
    if (piece.Status !== 'pulling' || !this.pieces.has(`${piece.Piece}#${piece.Try}`)) return;
    this.images.add(piece.job.Bundle);
    piece.Status = 'running';
    piece.isOn = true;
    this.world.enter(piece, this);
    this.changed();
    if (this.isSick) {
      piece.timer = setTimeout(() => this.now(() => this.end(piece, 'error')), 300);
      return;
    }
    if (this.world.results.has(piece.Piece)) return this.end(piece, 'done');
    if (piece.job.Shape === 'daemon') return;
    piece.timer = setTimeout(
      () =>
        this.now(() => {
          if (piece.Status !== 'running' || !piece.isOn) return;
          this.world.results.add(piece.Piece);
          this.end(piece, 'done');
        }),
      this.world.runMs(piece) * this.speed,
    );
  }
  kill(piece, windDownS) {
    const { job } = piece;
    if (piece.Status === 'saving') {
      if (windDownS === 0) this.end(piece, 'halted');
      return;
    }
    if (piece.Status === 'running' && job.BookmarkS > 0 && windDownS >= job.StowS) {
      clearTimeout(piece.timer);
      piece.Status = 'saving';
      piece.timer = setTimeout(() => this.now(() => this.end(piece, 'halted', true)), job.StowS * 1000);
      this.changed();
    } else this.end(piece, 'halted');
  }
  /** The machine is gone, with everything on it. */
  vanish(why) {
    if (this.isGone) return;
    this.log(why);
    for (const piece of this.pieces.values()) this.drop(piece);
    this.isGone = true;
    clearTimeout(this.timer);
    clearInterval(this.lease);
    this.agent.destroy();
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** The cloud: rents machines, whose workers run in this process. */
export class Cloud {
  constructor(world, { capacity, boot = () => 2000 }) {
    Object.assign(this, { world, capacity, boot });
    this.machines = new Map();
    this.hires = new Map();
    this.next = 1;
    this.history = [];
    this.isDown = false;
    this.gates = [];
    this.log = [];
    this.timer = setInterval(() => this.snapshot(), 500);
    this.delayMs = 50;
  }
  async gate() {
    const gate = await new Gate((req, res, body, self) => this.serve(req, res, body, self)).open();
    this.gates.push(gate);
    return gate;
  }
  snapshot() {
    const rows = [...this.machines.values()].map(({ id, hull, yard, loaners, status, at, worker }) => ({
      Ref: id,
      Endpoint: worker.endpoint ?? '127.0.0.1:9',
      Hull: hull,
      Yard: yard,
      Loaners: loaners,
      Status: status,
      HeldS: (Date.now() - at) / 1000,
    }));
    this.history.push({ at: Date.now(), rows });
    if (this.history.length > 200) this.history.shift();
  }
  free(hull, yard, loaners) {
    const limit = this.capacity[`${hull}/${yard}/${loaners ? 'spot' : 'ordinary'}`] ?? 0;
    const used = [...this.machines.values()].filter(
      (m) => m.hull === hull && m.yard === yard && m.loaners === loaners && m.status !== 'failed',
    ).length;
    return limit - used;
  }
  rent(hull, yard, loaners, bootMs = this.boot()) {
    const id = `n-${String(this.next++).padStart(6, '0')}`;
    const worker = new Worker(this.world, { id, hull, yard, loaners });
    const machine = { id, hull, yard, loaners, status: 'starting', at: Date.now(), worker };
    this.machines.set(id, machine);
    if (bootMs !== null)
      setTimeout(() => {
        if (!this.machines.has(id)) return;
        machine.status = 'running';
        worker.boot();
      }, bootMs);
    return id;
  }
  async serve(req, res, body, gate) {
    await sleep(this.delayMs);
    if (this.isDown) return send(res, 503, { error: 'trouble' });
    const url = new URL(req.url, 'http://x');
    if (url.pathname === '/machine_types') return send(res, 200, { Hulls: this.world.types });
    if (url.pathname === '/machines/delete') {
      this.world.recorder.write(`cloud: ${gate.name ?? ''} deletes ${body.Berths}`);
      for (const id of body.Berths) this.end(id, 'deleted');
      return send(res, 200, {});
    }
    if (req.method === 'POST') {
      const known = this.hires.get(body.Hire);
      if (known) return send(res, 200, { Berths: known });
      const count = Math.min(body.HowMany, this.free(body.Hull, body.Yard, body.Loaners));
      if (count <= 0) return send(res, 503, { error: 'no capacity' });
      const ids = [];
      for (let i = 0; i < count; i += 1) ids.push(this.rent(body.Hull, body.Yard, body.Loaners));
      this.hires.set(body.Hire, ids);
      this.world.recorder.write(`cloud: ${gate.name ?? ''} rents ${ids} by ${body.Hire}`);
      return send(res, 200, { Berths: ids });
    }
    const lagMs = this.world.params.cloud.list_lag_s * 1000 * (this.lagFactor ?? 1);
    const seen = this.history.filter(({ at }) => at <= Date.now() - lagMs).at(-1)?.rows ?? [];
    const since = url.searchParams.get('Since') ?? '';
    const limit = Number(url.searchParams.get('Limit') ?? 500);
    const rows = seen.filter(({ Ref }) => Ref > since).sort((a, b) => (a.Ref < b.Ref ? -1 : 1));
    return send(res, 200, { Berths: rows.slice(0, limit), More: rows.length > limit });
  }
  /** Removes a machine: deleted, or taken back. */
  end(id, why) {
    const machine = this.machines.get(id);
    if (!machine) return;
    machine.worker.vanish(why);
    this.machines.delete(id);
  }
  /** The machine dies: it is listed as running for about 30 s, then as failed. */
  die(id) {
    const machine = this.machines.get(id);
    machine.worker.vanish('dies');
    setTimeout(() => (machine.status = 'failed'), 30_000);
  }
  close() {
    clearInterval(this.timer);
    for (const { worker } of this.machines.values()) worker.vanish('end of the run');
    for (const gate of this.gates) gate.close();
  }
}

const runLine = () => {
  const text = readFileSync(join(repository, 'deploy', 'service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
};

/** A small deployment: controllers as processes, everything else in this process. */
export class World {
  constructor(folder, options = {}) {
    this.recorder = new Recorder(folder);
    this.options = options;
    this.types = options.types ?? [
      {
        Label: 'octa-tiler', Cpus: 8, Accelerators: 0, MemoryGb: 64, CacheGb: 70, FetchGbPerS: 0.5,
        Price: 0.63, SpotPrice: 0.2, StartupS: 50, Yards: ['westlands'],
      },
    ];
    this.params = {
      initial_size: 3,
      zones: ['westlands'],
      teams: [
        { name: 'ingest-crew', cpus: 40, cpus_max: 88, gpus: 0, gpus_max: 0 },
        { name: 'colour-desk', cpus: 80, cpus_max: 152, gpus: 0, gpus_max: 0 },
        { name: 'delivery-ops', cpus: 88, cpus_max: 264, gpus: 0, gpus_max: 0 },
      ],
      objectives: [],
      workers: { report_s: 2.5, lease_s: 16, gang_wait_s: 50, gang_peer_s: 4, cancel_s: 41 },
      state: { rps: 150, write_rps: 40, value_kb: 8, txn_ops: 32 },
      cloud: { rps: 6, list_lag_s: 6 },
      quota: { cores: 0.425, mem_mb: 178, max_connections: 1800 },
      clock_off_ms: 25,
      ...options.params,
    };
    this.jobs = new Map();
    this.results = new Set();
    this.on = new Map();
    this.violations = [];
    this.cancelledAt = new Map();
    this.runMs = options.runMs ?? (() => 5000);
    this.nodes = [];
    this.children = new Set();
    this.settingsFolder = mkdtempSync(join(tmpdir(), 'robinspread-review-'));
    this.starts = [];
    this.startCount = 0;
    this.refusedReports = 0;
  }
  async start(count = 3) {
    const names = Array.from({ length: count }, (_, i) => `berth-${i}`);
    for (const name of names)
      this.nodes.push({ name, api: await freePort(), back: await freePort(), cutWorkers: false });
    this.state = new StateService({ ...this.params.state, epoch: this.options.epoch ?? 0 });
    this.cloud = new Cloud(this, {
      capacity: this.options.capacity ?? { 'octa-tiler/westlands/spot': 26, 'octa-tiler/westlands/ordinary': 2 },
      boot: this.options.boot,
    });
    for (const node of this.nodes) {
      node.links = new Map();
      for (const peer of this.nodes)
        if (peer !== node) node.links.set(peer.name, await new Link(peer.back).open());
    }
    for (const node of this.nodes) {
      node.state = await this.state.gate();
      node.cloud = await this.cloud.gate();
      node.cloud.name = node.name;
      this.launch(node);
    }
    for (const machine of this.options.machines ?? [])
      this.cloud.rent(machine.hull, machine.yard, machine.loaners, 1);
    // A case whose controllers do not come up could not run: it says nothing about the rule.
    for (const node of this.nodes)
      if (!(await this.until(() => this.isUp(node), 30_000)) || node.child.exitCode !== null)
        throw new Error(`${node.name} did not come up: ${node.logs.slice(-300)}`);
    if (!(await this.until(() => this.leader(), 20_000))) throw new Error('no leader at the start');
    this.recorder.write(`controllers are up, leader ${this.leader().name}`);
  }
  isUp(node) {
    return request(node.api, 'GET', '/up', undefined, { timeoutMs: 1000 }).then((a) => a?.status === 200);
  }
  launch(node) {
    const file = join(this.settingsFolder, `${node.name}.json`);
    const seeds = this.nodes
      .filter(({ name }) => name !== node.name)
      .map((peer) => ({ node: peer.name, zone: this.params.zones[0], endpoint: node.links.get(peer.name).address }));
    writeFileSync(
      file,
      JSON.stringify({
        node: node.name,
        zone: this.params.zones[0],
        api_addr: node.api,
        back: node.back,
        seeds,
        outside: { cloud: node.cloud.address, state: node.state.address },
        params: this.params,
      }),
    );
    const [program, ...args] = runLine();
    node.child = spawn(program === 'node' ? process.execPath : program, [...args, file, ...(this.options.args ?? [])], {
      cwd: repository,
      stdio: ['ignore', 'ignore', this.options.logs ? 'inherit' : 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    const { child } = node;
    node.logs = '';
    child.stderr?.on('data', (bytes) => (node.logs = (node.logs + bytes).slice(-4000)));
    this.children.add(child);
    child.on('exit', (code, signal) => {
      this.children.delete(child);
      this.recorder.write(`${node.name} ended: ${code ?? signal}`);
      if (!child.isEndExpected) {
        this.violate('crash', `${node.name} ended by itself: ${code ?? signal} ${node.logs.slice(-600)}`);
      }
    });
  }
  kill(node) {
    this.recorder.write(`${node.name} is killed`);
    node.child.isEndExpected = true;
    node.child.kill('SIGKILL');
  }
  async crash(node, downMs = 5000) {
    this.kill(node);
    await sleep(downMs);
    this.recorder.write(`${node.name} is started again`);
    this.launch(node);
  }
  leader() {
    const name = this.state.keys.get('leader')?.data?.node;
    return this.nodes.find((node) => node.name === name) ?? null;
  }
  async until(check, timeoutMs) {
    const deadline = Date.now() + timeoutMs;
    while (Date.now() < deadline) {
      if (await check()) return true;
      await sleep(50);
    }
    return false;
  }
  violate(rule, text) {
    this.violations.push({ rule, text });
    this.recorder.write(`BROKEN ${rule}: ${text}`);
  }
  enter(piece, worker) {
    const { Piece, job } = piece;
    const others = this.on.get(Piece) ?? [];
    for (const other of others)
      this.violate('ran_twice', `${Piece} starts on ${worker.id} while on ${other.id}`);
    this.on.set(Piece, [...others, worker]);
    this.startCount += 1;
    if (this.options.isLight) return;
    this.starts.push({ piece: Piece, attempt: piece.Try, machine: worker.id, at: Date.now() });
    this.log(`${worker.id} runs ${Piece}#${piece.Try}`);
    const sameJob = [...this.on].filter(([name, w]) => name !== Piece && name.split('/')[0] === job.Ref && w.length > 0);
    if (job.Hulls && !job.Hulls.includes(worker.hull)) this.violate('wrong_place', `${Piece} type`);
    if (job.Yard && job.Yard !== worker.yard) this.violate('wrong_place', `${Piece} zone`);
    if (worker.loaners && !job.Loaners) this.violate('wrong_place', `${Piece} kind`);
    const zones = sameJob.map(([, workers]) => workers[0].yard);
    if (job.OneZone && zones.some((zone) => zone !== worker.yard)) this.violate('wrong_place', `${Piece} one zone`);
    if (job.Scatter && zones.filter((z) => z === worker.yard).length + 1 > Math.ceil(job.Pieces / 2))
      this.violate('wrong_place', `${Piece} scatter`);
    const used = [...this.on].reduce((sum, [name, workers]) => {
      const other = this.jobs.get(name.split('/')[0]);
      return other.Crew === job.Crew ? sum + other.Cpus * workers.length : sum;
    }, 0);
    const limit = this.params.teams.find(({ name }) => name === job.Crew).cpus_max;
    if (used > limit + 1e-6) this.violate('quota', `${job.Crew} uses ${used} of ${limit}`);
    const cancelledAt = this.cancelledAt.get(job.Ref);
    if (cancelledAt && Date.now() - cancelledAt > this.params.workers.cancel_s * 1000)
      this.violate('ran_cancelled', `${Piece} starts`);
  }
  leave(piece, worker) {
    const others = (this.on.get(piece.Piece) ?? []).filter((other) => other !== worker);
    if (others.length > 0) this.on.set(piece.Piece, others);
    else this.on.delete(piece.Piece);
    const cancelledAt = this.cancelledAt.get(piece.job.Ref);
    if (cancelledAt && Date.now() - cancelledAt > this.params.workers.cancel_s * 1000)
      this.violate('ran_cancelled', `${piece.Piece} leaves late`);
  }
  log(text) {
    this.recorder.write(text);
  }
  async close() {
    for (const child of this.children) {
      child.isEndExpected = true;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    for (const { links } of this.nodes) for (const link of links?.values() ?? []) link.close();
    this.cloud?.close();
    this.state?.close();
    await sleep(200);
    rmSync(this.settingsFolder, { recursive: true, force: true });
  }
}

export const jobBody = (Ref, overrides = {}) => ({
  Ref,
  Lane: 'fresh-scene',
  Crew: 'ingest-crew',
  Shape: 'sweep',
  Rank: 'urgent',
  Pieces: 5,
  Cpus: 1,
  Accelerators: 0,
  MemoryGb: 6.6,
  Bundle: 'img-07',
  ImageGb: 0.8,
  Hulls: null,
  Yard: null,
  OneZone: false,
  Scatter: false,
  Loaners: true,
  GuessS: 18,
  BookmarkS: 0,
  StowS: 0,
  DueS: null,
  ...overrides,
});

const RANK = { queued: 1, running: 1, done: 2, withdrawn: 2 };

/** A user with one job: submits, polls about every 5 s, may cancel. Checks the answers. */
export class User {
  constructor(world, body, { pollMs = 5000 } = {}) {
    Object.assign(this, { world, body, pollMs });
    this.id = body.Ref;
    this.accepted = false;
    this.final = null;
    this.aborted = false;
    this.answers = [];
    world.jobs.set(body.Ref, body);
  }
  pick() {
    const { nodes } = this.world;
    return nodes[Math.floor(Math.random() * nodes.length)];
  }
  note(node, what, answer, before) {
    const status = answer?.body?.Status;
    const text = answer ? `${answer.status} ${status ?? ''}` : 'no answer';
    this.world.log(`user ${this.id}: ${what} at ${node.name}: ${text}`);
    this.answers.push({ at: Date.now(), what, status: answer?.status ?? null, state: status ?? null });
    if (!answer) return;
    if (before.accepted && (answer.status === 404 || (what === 'submit' && [400, 422].includes(answer.status))))
      this.world.violate('forgotten', `${this.id}: ${what} got ${answer.status}`);
    if (answer.status !== 200 && answer.status !== 201) return;
    if (RANK[status] === undefined) this.world.violate('foreign', `${this.id}: ${JSON.stringify(answer.body)}`);
    if (answer.body.Ref !== this.id) this.world.violate('foreign', `${this.id}: ${answer.body.Ref}`);
    if (before.final && status !== before.final)
      this.world.violate('went_back', `${this.id}: ${status} after ${before.final}`);
    if (status === 'withdrawn' && !this.aborted) this.world.violate('went_back', `${this.id}: cancelled by nobody`);
    if (status === 'done') {
      for (let i = 0; i < this.body.Pieces; i += 1)
        if (!this.world.results.has(`${this.id}/${i}`)) this.world.violate('not_done', `${this.id}/${i}`);
    }
    this.accepted = true;
    if (RANK[status] === 2) {
      this.final ??= status;
      if (status === 'withdrawn' && !this.world.cancelledAt.has(this.id)) this.world.cancelledAt.set(this.id, Date.now());
    }
  }
  async call(what, method, path, body, timeoutMs, node = this.pick()) {
    const before = { accepted: this.accepted, final: this.final };
    const answer = await request(node.api, method, path, body, { timeoutMs });
    this.note(node, what, answer, before);
    return answer;
  }
  async submit(node) {
    for (let i = 0; i < 40; i += 1) {
      const answer = await this.call('submit', 'POST', '/api/jobs', this.body, 5000, node);
      if (answer && [200, 201, 400, 422].includes(answer.status)) return answer;
      await sleep(1000);
    }
    return null;
  }
  poll(node) {
    return this.call('poll', 'GET', `/api/jobs/${this.id}`, undefined, 2000, node);
  }
  async abort(node) {
    this.aborted = true;
    for (let i = 0; i < 60; i += 1) {
      const answer = await this.call('abort', 'POST', `/api/jobs/${this.id}/abort`, {}, 5000, node);
      if (answer?.status === 200) return answer;
      await sleep(1000);
    }
    return null;
  }
  async run({ abortAfterMs = null } = {}) {
    await this.submit();
    if (!this.accepted) return;
    if (abortAfterMs !== null) setTimeout(() => this.abort(), abortAfterMs);
    while (!this.isStopped) {
      await sleep(this.pollMs * (0.8 + Math.random() * 0.4));
      if (!this.isStopped) await this.poll();
    }
  }
}
