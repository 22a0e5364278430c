// A small deployment: controllers as processes with the `run` line of the deploy file, and
// stand-ins for the state service, the cloud, its machines and the users.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Judge } from './judge.mjs';
import { Cloud } from './machines.mjs';
import { call, freePort, Proxy, sleep } from './net.mjs';
import { Store } from './store.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const now = () => performance.now() / 1000;

/** The settings of the tile site, as its pages show them. */
export const tileParams = () => ({
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
});
export const tileTypes = () => [
  { Label: 'octa-tiler', Cpus: 8, Accelerators: 0, MemoryGb: 64, CacheGb: 70, FetchGbPerS: 0.5, Price: 0.63, SpotPrice: 0.2, StartupS: 50, Yards: ['westlands'] },
];

/** The settings and machine types of the fare site, as its pages show them. */
export const fareParams = () => ({
  initial_size: 3,
  zones: ['fukuoka-east', 'kumamoto-south'],
  teams: [
    { name: 'clearing-desk', cpus: 72, cpus_max: 232, gpus: 0, gpus_max: 0 },
    { name: 'tap-data', cpus: 152, cpus_max: 536, gpus: 0, gpus_max: 0 },
  ],
  objectives: [],
  workers: { report_s: 3, lease_s: 26, gang_wait_s: 50, gang_peer_s: 5, cancel_s: 46 },
  state: { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 12 },
  cloud: { rps: 6, list_lag_s: 4 },
  quota: { cores: 0.085, mem_mb: 178, max_connections: 1200 },
  clock_off_ms: 1000,
});
export const fareTypes = (yards = ['fukuoka-east', 'kumamoto-south']) => [
  { Label: 'quad-reader', Cpus: 4, Accelerators: 0, MemoryGb: 16, CacheGb: 35, FetchGbPerS: 0.3, Price: 0.25, SpotPrice: 0.07, StartupS: 15, Yards: yards },
  { Label: 'octa-ledger', Cpus: 8, Accelerators: 0, MemoryGb: 64, CacheGb: 60, FetchGbPerS: 1, Price: 0.6, SpotPrice: 0.18, StartupS: 15, Yards: ['fukuoka-east', 'kumamoto-south'] },
  { Label: 'wide-settler', Cpus: 32, Accelerators: 0, MemoryGb: 128, CacheGb: 60, FetchGbPerS: 0.4, Price: 2.2, SpotPrice: 0.63, StartupS: 35, Yards: ['fukuoka-east', 'kumamoto-south'] },
];

export class World {
  jobs = new Map();
  submitted = new Set();
  cancelAsked = new Set();
  done = new Set();
  saved = new Map();
  nodes = [];
  proxies = new Map();
  runOf = new Map();
  runS(piece) {
    return this.runOf.get(piece.split('/')[0]) ?? 5;
  }
  constructor({ params = tileParams(), types = tileTypes(), names = ['berth-0', 'berth-1', 'berth-2'], zone = 'westlands', recordFile, logs, logLevel = 'info', useStateProxy = false, useApiProxy = false } = {}) {
    Object.assign(this, { params, types, names, zone, logs, logLevel, useStateProxy, useApiProxy });
    this.t0 = Date.now();
    this.out = recordFile ? createWriteStream(recordFile) : null;
    this.record = (o) => this.out?.write(`${((Date.now() - this.t0) / 1000).toFixed(3)} ${JSON.stringify(o)}\n`);
    this.judge = new Judge(this);
    this.store = new Store(this.record);
    this.store.limits = { rps: params.state.rps, writeRps: params.state.write_rps, valueKb: params.state.value_kb, txnOps: params.state.txn_ops };
    this.cloud = new Cloud(this, types);
    this.sweeper = setInterval(() => this.judge.sweep(), 100);
  }
  async start() {
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    await this.cloud.open();
    for (const name of this.names)
      this.nodes.push({ name, api: `127.0.0.1:${await freePort()}`, back: `127.0.0.1:${await freePort()}`, state: await this.stateAddress(name) });
    for (const a of this.nodes)
      for (const b of this.nodes) {
        if (a === b) continue;
        const p = new Proxy(b.back);
        await p.open();
        this.proxies.set(`${a.name}>${b.name}`, p);
      }
    // The address that users and workers know; the process listens on `listens`.
    for (const n of this.nodes) {
      n.listens = n.api;
      if (!this.useApiProxy) continue;
      const p = new Proxy(n.api);
      this.proxies.set(`api ${n.name}`, p);
      n.api = await p.open();
    }
    const line = /^run\s*=\s*"(.*)"/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'))[1];
    this.command = line.split(/\s+/);
    for (const n of this.nodes) {
      n.settings = join(this.dir, `${n.name}.json`);
      writeFileSync(n.settings, JSON.stringify({
        node: n.name, zone: this.zone, api_addr: n.listens, back: n.back,
        seeds: this.nodes.filter((o) => o !== n).map((o) => ({ node: o.name, zone: this.zone, endpoint: this.proxies.get(`${n.name}>${o.name}`).address })),
        outside: { cloud: this.cloud.address, state: n.state },
        params: this.params,
      }));
      this.run(n);
    }
  }
  async stateAddress(name) {
    const address = await this.store.open(name);
    if (!this.useStateProxy) return address;
    const p = new Proxy(address);
    this.proxies.set(`state ${name}`, p);
    return p.open();
  }
  run(n) {
    const [program, ...args] = this.command;
    const err = this.logs ? openSync(`${this.logs}/${n.name}.log`, 'a') : 'ignore';
    n.child = spawn(program, [...args, n.settings], { cwd: ROOT, stdio: ['ignore', 'ignore', err], env: { ...process.env, LOG_LEVEL: this.logLevel } });
    n.isRunning = true;
    n.isStopped = false;
    const child = n.child;
    this.record({ ev: 'node started', node: n.name });
    child.on('exit', (code, signal) => {
      if (n.child === child) n.isRunning = false;
      if (!child.killedByTest && !this.ending) {
        this.record({ ev: 'node ended by itself', node: n.name, code, signal });
        this.judge.broken.push({ rule: 'crash', node: n.name, code, signal });
      }
    });
  }
  kill(n) {
    n.child.killedByTest = true;
    this.record({ ev: 'kill', node: n.name });
    n.child.kill('SIGKILL');
  }
  stop(n) {
    n.isStopped = true;
    this.record({ ev: 'stop', node: n.name });
    n.child.kill('SIGSTOP');
  }
  cont(n) {
    n.isStopped = false;
    this.record({ ev: 'cont', node: n.name });
    n.child.kill('SIGCONT');
  }
  /** Cuts a node from the other controllers: mode 'hold' or 'reset'; 'pass' heals. */
  peers(n, mode) {
    this.record({ ev: 'peers', node: n.name, mode });
    for (const [k, p] of this.proxies) if (k.includes('>') && k.split('>').includes(n.name)) p.set(mode);
  }
  /** Cuts a node from everything: mode 'refuse' resets its connections and refuses new ones. */
  cut(n, mode) {
    this.record({ ev: 'cut from the network', node: n.name, mode });
    for (const [k, p] of this.proxies) if (k === `api ${n.name}` || k === `state ${n.name}` || (k.includes('>') && k.split('>').includes(n.name))) p.set(mode);
  }
  leader() {
    const d = this.store.keys.get('leader')?.data;
    return this.nodes.find((n) => n.name === d?.node) ?? null;
  }
  async until(test, ms = 30_000, what = 'condition') {
    const end = Date.now() + ms;
    while (Date.now() < end) {
      const v = await test();
      if (v) return v;
      await sleep(20);
    }
    throw new Error(`not in time: ${what}`);
  }
  async ready(ms = 40_000) {
    for (const n of this.nodes) await this.until(async () => (await call(n.api, 'GET', '/up', undefined, 1000))?.status === 200, ms, `${n.name} up`);
    await this.until(() => this.leader(), ms, 'leader');
  }
  async ask(ref, node, what, timeoutMs) {
    const floor = this.judge.floor(ref);
    let a;
    if (what === 'submit') {
      this.submitted.add(ref);
      a = await call(node.api, 'POST', '/api/jobs', this.jobs.get(ref), timeoutMs ?? 5000);
    } else if (what === 'cancel') {
      this.cancelAsked.add(ref);
      a = await call(node.api, 'POST', `/api/jobs/${ref}/abort`, {}, timeoutMs ?? 5000);
    } else a = await call(node.api, 'GET', `/api/jobs/${ref}`, undefined, timeoutMs ?? 2000);
    if (a) this.judge.answer(ref, floor, what, node.name, a);
    else this.record({ ev: 'no answer', ref, what, node: node.name });
    return a;
  }
  async end() {
    this.ending = true;
    clearInterval(this.sweeper);
    const started = this.nodes.filter((n) => n.child);
    for (const n of started) {
      n.child.killedByTest = true;
      n.child.kill('SIGKILL');
    }
    await Promise.all(started.map((n) => this.until(() => n.child.exitCode !== null || n.child.signalCode !== null, 5000, 'exit').catch(() => {})));
    this.cloud.close();
    this.store.close();
    for (const p of this.proxies.values()) p.close();
    rmSync(this.dir, { recursive: true, force: true });
    await new Promise((r) => (this.out ? this.out.end(r) : r()));
  }
}

export const jobOf = (ref, more = {}) => ({
  Ref: ref, Lane: 'fresh-scene', Crew: 'ingest-crew', Shape: 'sweep', Rank: 'urgent', Pieces: 4, Cpus: 1, Accelerators: 0,
  MemoryGb: 6.6, Bundle: 'img-01', ImageGb: 0.2, Hulls: null, Yard: null, OneZone: false, Scatter: false, Loaners: true,
  GuessS: 6, BookmarkS: 0, StowS: 0, DueS: null, ...more,
});
