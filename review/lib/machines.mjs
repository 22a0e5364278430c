// Stand-ins of the cloud and of its machines' workers: PROTOCOL, "Workers -> controller nodes",
// "Controller nodes -> workers" and "Controller nodes -> cloud".
import { createServer } from 'node:http';
import { Agent } from 'node:http';
import { call, listen, readJson, sendJson, sleep } from './net.mjs';

const now = () => performance.now() / 1000;

export class Worker {
  tenure = 1;
  tick = 0;
  baton = 0;
  pieces = new Map(); // `piece#try` -> task
  images = new Set();
  recallAt = null;
  isGone = false;
  /** Network faults of this machine. */
  isDeaf = false; // answers and commands to it are lost
  isMute = false; // reaches no controller
  cutFrom = new Set(); // controller names that it cannot reach
  hungUntil = 0;
  copies = 0;
  isReporting = false;
  lastSentAt = -1e9;
  changed = false;
  constructor(world, m) {
    this.world = world;
    Object.assign(this, m); // ref, hull, yard, loaners, type
    this.leaseFrom = now();
    this.at = Math.floor(Math.random() * world.nodes.length);
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }
  async boot() {
    this.server = createServer((req, res) => this.serve(req, res).catch(() => res.destroy()));
    this.endpoint = await listen(this.server);
    this.leaseFrom = now();
    this.timer = setInterval(() => this.step(), 20);
    this.step();
  }
  gone() {
    this.isGone = true;
    clearInterval(this.timer);
    for (const t of this.pieces.values()) this.leave(t, 'gone');
    this.pieces.clear();
    this.server?.closeAllConnections();
    this.server?.close();
    this.agent.destroy();
  }
  isHung() {
    return now() < this.hungUntil;
  }
  leave(t, why) {
    if (t.onMachine) {
      t.onMachine = false;
      this.world.judge.off(t, this, why);
    }
  }
  end(t, cause, stored) {
    this.leave(t, cause);
    t.status = 'ended';
    t.cause = cause;
    if (stored) t.stored = true;
    this.changed = true;
  }
  step() {
    if (this.isGone || this.isHung()) return;
    const { world } = this;
    if (now() - this.leaseFrom > world.params.workers.lease_s) {
      for (const t of this.pieces.values()) this.leave(t, 'lease');
      this.pieces.clear();
      this.tenure += 1;
      this.leaseFrom = now();
      this.changed = true;
      world.record({ ev: 'session', machine: this.ref, tenure: this.tenure });
    }
    for (const t of [...this.pieces.values()]) {
      const job = world.jobs.get(t.job);
      if (t.status === 'pulling' && now() >= t.pulledAt) {
        this.images.add(job.Bundle);
        t.status = 'running';
        t.onMachine = true;
        world.judge.on(t, this);
        this.changed = true;
        if (world.done.has(t.piece)) this.end(t, 'done');
        else {
          const left = world.runS(t.piece) - (world.saved.get(t.piece) ?? 0);
          t.startedAt = now();
          t.endsAt = now() + left;
        }
      }
      if (t.status === 'running' && now() >= t.endsAt) {
        if (job.failing) this.end(t, 'error');
        else {
          world.done.add(t.piece);
          this.end(t, 'done');
        }
      }
      if (t.status === 'saving' && now() >= t.savedAt) {
        world.saved.set(t.piece, (world.saved.get(t.piece) ?? 0) + (t.stoppedAt - t.startedAt));
        this.end(t, 'halted', true);
      }
    }
    const due = now() - this.lastSentAt > this.interval() || (this.changed && now() - this.lastSentAt > 0.5);
    if (due && !this.isReporting) this.report();
  }
  interval() {
    this.nextInterval ??= this.world.params.workers.report_s * (0.75 + Math.random() * 0.5);
    return this.nextInterval;
  }
  body() {
    this.tick += 1;
    return {
      Berth: this.ref, Endpoint: this.endpoint, Hull: this.hull, Yard: this.yard, Loaners: this.loaners,
      Tenure: this.tenure, Tick: this.tick, Baton: this.baton,
      RecallS: this.recallAt === null ? null : Math.max(0, this.recallAt - now()),
      Pieces: [...this.pieces.values()].map((t) => ({
        Piece: t.piece, Try: t.try, Status: t.status,
        ...(t.cause ? { Cause: t.cause } : {}), ...(t.stored ? { Stored: true } : {}),
      })),
    };
  }
  async report() {
    const { world } = this;
    this.isReporting = true;
    this.changed = false;
    this.nextInterval = undefined;
    const sentAt = now();
    this.lastSentAt = sentAt;
    const tenure = this.tenure;
    const body = this.body();
    const node = world.nodes[this.at];
    let answer = null;
    const reaches = !this.isMute && !this.cutFrom.has(node.name);
    if (reaches) {
      world.onReport?.(this, node, body);
      answer = await call(node.api, 'POST', '/checkin', body, 4000, this.agent);
    } else await sleep(4000);
    while (this.isHung() && !this.isGone) await sleep(20);
    this.isReporting = false;
    if (this.isGone) return;
    const inTime = now() - sentAt <= 4.1;
    if (this.isDeaf || !inTime) answer = null;
    // A lease that ran out while the machine hung ends before anything else happens.
    this.step0();
    if (answer?.status === 200) {
      if (this.tenure !== tenure) return;
      if (!(answer.body?.Baton >= this.baton)) return;
      this.baton = answer.body.Baton;
      this.leaseFrom = sentAt;
      this.execute(answer.body.Orders ?? []);
      return;
    }
    const foreman = answer?.status === 421 ? answer.body?.Foreman : undefined;
    const i = world.nodes.findIndex((n) => n.name === foreman);
    if (i >= 0 && i !== this.at) {
      this.agent.destroy();
      this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.at = i;
      this.lastSentAt = -1e9;
      return;
    }
    this.at = (this.at + 1) % world.nodes.length;
    this.agent.destroy();
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.isReporting = true;
    await sleep(1000);
    this.isReporting = false;
    this.lastSentAt = -1e9;
  }
  step0() {
    if (now() - this.leaseFrom > this.world.params.workers.lease_s) this.step();
  }
  execute(orders) {
    for (const o of orders) {
      const key = `${o.Piece}#${o.Try}`;
      const t = this.pieces.get(key);
      if (o.Verb === 'start' && !t) this.start(o, key);
      else if (o.Verb === 'reap' && t?.status === 'ended') this.pieces.delete(key);
      else if (o.Verb === 'kill' && t && t.status !== 'ended') this.kill(t, o.WindDownS ?? 0);
    }
  }
  start(o, key) {
    const { world } = this;
    const ref = o.Piece.split('/')[0];
    const job = world.jobs.get(ref);
    const t = { piece: o.Piece, job: ref, try: o.Try, status: 'pulling', onMachine: false, orderedAt: now() };
    const held = [...this.pieces.values()].filter((x) => x.status !== 'ended');
    const used = held.reduce((a, x) => a + world.jobs.get(x.job).Cpus, 0);
    const usedGb = held.reduce((a, x) => a + world.jobs.get(x.job).MemoryGb, 0);
    this.pieces.set(key, t);
    world.record({ ev: 'ordered', piece: o.Piece, try: o.Try, machine: this.ref });
    if (!job) return this.end(t, 'unknown');
    if (held.some((x) => x.piece === o.Piece)) return this.end(t, 'in_use');
    if (used + job.Cpus > this.type.Cpus + 1e-6 || usedGb + job.MemoryGb > this.type.MemoryGb + 1e-6)
      return this.end(t, 'no_room');
    t.pulledAt = now() + (this.images.has(job.Bundle) ? 0 : job.ImageGb / this.type.FetchGbPerS);
    this.changed = true;
  }
  kill(t, windDownS) {
    const job = this.world.jobs.get(t.job);
    if (t.status === 'running' && job.BookmarkS > 0 && windDownS >= job.StowS) {
      t.status = 'saving';
      t.stoppedAt = now();
      t.savedAt = now() + job.StowS;
      this.changed = true;
    } else if (!(t.status === 'saving' && windDownS > 0)) this.end(t, 'halted');
  }
  async serve(req, res) {
    const body = await readJson(req);
    if (this.world.orderDelay) await sleep(this.world.orderDelay(this));
    if (this.isDeaf) return;
    while (this.isHung() && !this.isGone) await sleep(20);
    if (this.isGone) return res.destroy();
    this.step0();
    if (req.url === '/inspect') return sendJson(res, 200, this.body());
    if (body?.Baton === undefined || body?.Tenure === undefined) return sendJson(res, 400, {});
    if (body.Baton < this.baton || body.Tenure !== this.tenure) return sendJson(res, 409, this.body());
    this.baton = body.Baton;
    this.execute(body.Orders ?? []);
    this.world.record({ ev: 'direct', machine: this.ref, orders: body.Orders });
    sendJson(res, 200, this.body());
  }
}

export class Cloud {
  machines = new Map();
  hires = new Map();
  next = 1;
  isOut = false;
  isHung = false;
  latencyMs = 50;
  /** Machines that there are of a type, zone and kind. */
  capacityOf = (_hull, _yard, loaners) => (loaners ? 4 : 2);
  bootS = () => 1 + Math.random() * 2;
  /** Nodes whose request is carried out late, unanswered: (path) -> ms or 0 */
  late = () => 0;
  constructor(world, types) {
    this.world = world;
    this.types = types;
  }
  async open() {
    this.server = createServer((req, res) => this.serve(req, res).catch(() => res.destroy()));
    this.server.keepAliveTimeout = 0;
    this.address = await listen(this.server);
  }
  close() {
    for (const m of this.machines.values()) m.worker.gone();
    this.server.closeAllConnections();
    this.server.close();
  }
  rent(hull, yard, loaners, boots = true) {
    const ref = `n-${String(this.next++).padStart(6, '0')}`;
    const type = this.types.find((t) => t.Label === hull);
    const worker = new Worker(this.world, { ref, hull, yard, loaners, type });
    const m = { ref, hull, yard, loaners, worker, rentedAt: now(), status: 'starting', listedAt: now() + this.world.params.cloud.list_lag_s * (1 + Math.random()) };
    this.machines.set(ref, m);
    const up = async () => {
      if (!this.machines.has(ref)) return;
      m.status = 'running';
      await worker.boot();
    };
    if (boots) setTimeout(up, this.bootS() * 1000);
    return m;
  }
  drop(ref, why) {
    const m = this.machines.get(ref);
    if (!m) return;
    m.worker.gone();
    this.machines.delete(ref);
    m.goneAt = now();
    this.recentlyGone = [...(this.recentlyGone ?? []).filter((x) => now() - x.goneAt < 30), m];
    this.world.record({ ev: 'machine gone', machine: ref, why });
  }
  die(ref) {
    const m = this.machines.get(ref);
    if (!m || m.dead) return;
    m.dead = true;
    m.worker.gone();
    this.world.record({ ev: 'machine died', machine: ref });
    setTimeout(() => (m.status = 'failed'), 30_000);
  }
  carryOut(path, body) {
    if (path === '/machines/delete') {
      for (const ref of body.Berths) this.drop(ref, 'deleted');
      return [200, {}];
    }
    if (this.hires.has(body.Hire)) return [200, { Berths: this.hires.get(body.Hire) }];
    const isSame = (m) => m.hull === body.Hull && m.yard === body.Yard && m.loaners === body.Loaners;
    const held = [...this.machines.values()].filter(isSame).length;
    const n = Math.min(body.HowMany, this.capacityOf(body.Hull, body.Yard, body.Loaners) - held);
    if (n <= 0) return [503, { error: 'no capacity' }];
    const refs = [];
    for (let i = 0; i < n; i += 1) refs.push(this.rent(body.Hull, body.Yard, body.Loaners).ref);
    this.hires.set(body.Hire, refs);
    this.world.record({ ev: 'hire', hire: body.Hire, refs });
    return [200, { Berths: refs }];
  }
  async serve(req, res) {
    const body = await readJson(req);
    const url = new URL(req.url, 'http://x');
    await sleep(this.latencyMs);
    if (this.isHung) return;
    if (this.isOut) return sendJson(res, 503, { error: 'trouble' });
    if (url.pathname === '/machine_types') return sendJson(res, 200, { Hulls: this.types });
    if (req.method === 'POST') {
      const late = this.late(url.pathname);
      if (late > 0) {
        setTimeout(() => this.carryOut(url.pathname, body), late);
        return;
      }
      const [status, answer] = this.carryOut(url.pathname, body);
      return sendJson(res, status, answer);
    }
    const since = url.searchParams.get('Since') ?? '';
    const lag = this.world.params.cloud.list_lag_s * (1 + Math.random());
    const shown = [...this.machines.values()].filter((m) => m.listedAt <= now());
    for (const m of this.recentlyGone ?? []) if (now() - m.goneAt < lag && m.listedAt <= m.goneAt) shown.push(m);
    const all = shown.filter((m) => m.ref > since).sort((a, b) => (a.ref < b.ref ? -1 : 1));
    const Berths = all.slice(0, 500).map((m) => ({
      Ref: m.ref, Endpoint: m.worker.endpoint ?? '127.0.0.1:1', Hull: m.hull, Yard: m.yard, Loaners: m.loaners,
      Status: m.status, HeldS: Math.max(0, now() - lag - m.rentedAt),
    }));
    sendJson(res, 200, { Berths, More: all.length > 500 });
  }
}
