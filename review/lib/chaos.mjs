// Random disruptions against a deployment; prints the rules that broke. Not a case: the search that
// the report tells of. usage: node chaos.mjs SEED SECONDS [fast|site] [DIRECTORY] [hard]
import { mkdirSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { sleep } from './net.mjs';
import { jobOf, now, tileParams, World } from './world.mjs';

const [seed, secs, kind = 'fast', out = join(tmpdir(), 'review-chaos')] = process.argv.slice(2);
let s = Number(seed) * 2654435761 % 4294967296;
const rnd = () => {
  s |= 0; s = (s + 0x6d2b79f5) | 0;
  let t = Math.imul(s ^ (s >>> 15), 1 | s);
  t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
  return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
};
const pick = (a) => a[Math.floor(rnd() * a.length)];
const between = (a, b) => a + rnd() * (b - a);
const hard = process.argv[6] === 'hard';
const dir = `${out}/${seed}`;
mkdirSync(dir, { recursive: true });
const params = tileParams();
params.zones = ['a', 'b'];
if (kind === 'fast') params.workers = { ...params.workers, report_s: 0.8, lease_s: 5, cancel_s: 14 };
params.cloud.list_lag_s = 2;
params.teams[0].cpus_max = 14;
const types = [
  { Label: 'octa', Cpus: 8, Accelerators: 0, MemoryGb: 64, CacheGb: 70, FetchGbPerS: 0.5, Price: 0.63, SpotPrice: 0.2, StartupS: 2, Yards: ['a', 'b'] },
  { Label: 'quad', Cpus: 4, Accelerators: 0, MemoryGb: 32, CacheGb: 70, FetchGbPerS: 0.5, Price: 0.3, SpotPrice: 0.1, StartupS: 2, Yards: ['a', 'b'] },
];
const w = new World({ params, types, recordFile: `${dir}/record.txt`, logs: dir, names: ['n-a', 'n-b', 'n-c'], useStateProxy: true });
const lease = params.workers.lease_s;
const stop = Date.now() + Number(secs) * 1000;
const going = () => Date.now() < stop;
let n = 0;
const up = () => w.nodes.filter((x) => x.isRunning && !x.isStopped);
const anyNode = () => (rnd() < 0.9 && up().length ? pick(up()) : pick(w.nodes));
const stats = { jobs: 0, accepted: 0, done: 0, withdrawn: 0, faults: {}, unfinished: 0 };

const user = async () => {
  const ref = `job-${String(++n).padStart(6, '0')}`;
  const daemon = rnd() < 0.1;
  const job = jobOf(ref, {
    Crew: pick(['ingest-crew', 'ingest-crew', 'colour-desk']), Pieces: daemon ? 2 : pick([1, 1, 2, 3, 6, 12]), Shape: daemon ? 'daemon' : 'sweep',
    Rank: pick(['critical', 'urgent', 'standard', 'best_effort']), Cpus: pick([1, 1, 2]), Yard: pick([null, null, 'a']), OneZone: rnd() < 0.2,
    Scatter: false, Loaners: rnd() < 0.7, Bundle: pick(['i1', 'i2', 'i3']), ImageGb: 0.2, BookmarkS: pick([0, 0, 1]), StowS: 0.5, GuessS: daemon ? 0 : 4,
  });
  if (!job.OneZone && rnd() < 0.2) job.Scatter = true;
  if (job.Shape === 'daemon' && job.Yard) job.Scatter = false;
  w.jobs.set(ref, job);
  w.runOf.set(ref, daemon ? 1e9 : pick([0.3, 1, 3, 8]));
  stats.jobs += 1;
  w.record({ ev: 'job', job });
  let ok = false;
  for (let i = 0; i < 30 && !ok; i += 1) {
    const a = await w.ask(ref, anyNode(), 'submit');
    ok = a?.status === 200 || a?.status === 201;
    if (a && (a.status === 400 || a.status === 422)) return;
    if (!ok) await sleep(1000);
  }
  if (!ok) return;
  stats.accepted += 1;
  const cancelAt = daemon || rnd() < 0.35 ? now() + pick([0, 0.05, 0.5, 2, 6, 12, w.runOf.get(ref) + 1]) : Infinity;
  let askedCancel = false;
  for (;;) {
    if (now() > cancelAt || (!going() && daemon)) {
      const a = await w.ask(ref, anyNode(), 'cancel');
      askedCancel = true;
      if (a?.status === 200) break;
      await sleep(1000);
    } else {
      if (rnd() < 0.2) await Promise.all(w.nodes.map((x) => w.ask(ref, x, 'get')));
      else { const a = await w.ask(ref, anyNode(), 'get'); if (a?.status === 200) (w.lastBody ??= new Map()).set(ref, a.body); }
      if (w.judge.told.get(ref)?.end) break;
      await sleep(Math.min(1000, Math.max(20, (cancelAt - now()) * 1000)));
    }
    if (Date.now() > stop + 90_000) break;
  }
  const end = w.judge.told.get(ref)?.end;
  if (end) stats[end] += 1;
  else {
    stats.unfinished += 1;
    w.record({ ev: 'UNFINISHED', ref, askedCancel, job, left: [...Array(job.Pieces).keys()].filter((i) => !w.done.has(`${ref}/${i}`)).length, machines: [...w.cloud.machines.values()].filter((m) => !m.dead).map((m) => `${m.hull}/${m.yard}/${m.loaners}/${[...m.worker.pieces.values()].filter((t) => t.status !== 'ended').length}`), last: w.lastBody?.get(ref) });
  }
  for (let i = 0; i < 4; i += 1) {
    await Promise.all(w.nodes.map((x) => w.ask(ref, x, rnd() < 0.3 ? 'submit' : 'get')));
    await sleep(pick([3, 30, 500]));
  }
  if (rnd() < 0.2) await w.ask(ref, anyNode(), 'cancel');
};

const workers = () => [...w.cloud.machines.values()].filter((m) => !m.dead && m.status === 'running').map((m) => m.worker);
const some = (list, share) => list.filter(() => rnd() < share);
const faults = {
  kill: async () => { const x = pick(w.nodes); if (!x.isRunning) return; w.kill(x); await sleep(pick([50, 300, 3000, 8000])); w.run(x); },
  killLeader: async () => { const x = w.leader(); if (!x?.isRunning) return; w.kill(x); await sleep(pick([50, 300, 3000])); w.run(x); },
  killAll: async () => { const xs = w.nodes.filter((x) => x.isRunning); for (const x of xs) w.kill(x); await sleep(pick([100, 2000, (lease + 2) * 1000])); for (const x of xs) w.run(x); },
  freeze: async () => { const x = rnd() < 0.7 ? w.leader() : pick(w.nodes); if (!x?.isRunning || x.isStopped) return; const c = x.child; w.stop(x); await sleep(between(0.5, 15) * 1000); if (x.child === c) w.cont(x); else c.kill('SIGCONT'); },
  outage: async () => { w.store.setOutage(true); w.record({ ev: 'outage' }); await sleep(between(0.5, 20) * 1000); w.store.setOutage(false); w.record({ ev: 'outage over' }); },
  refuse: async () => { const x = rnd() < 0.7 ? w.leader() : pick(w.nodes); if (!x) return; w.store.refusedNodes.add(x.name); w.record({ ev: 'refuse', node: x.name }); await sleep(between(0.5, 20) * 1000); w.store.refusedNodes.delete(x.name); },
  refuseThenOut: async () => { const x = w.leader(); if (!x) return; w.store.refusedNodes.add(x.name); w.record({ ev: 'refuse', node: x.name }); await sleep(pick([300, 1000, 3500])); w.store.setOutage(true); w.record({ ev: 'outage' }); await sleep(between(1, 20) * 1000); w.store.setOutage(false); w.record({ ev: 'outage over' }); w.store.refusedNodes.delete(x.name); },
  slow: async () => { w.store.slowness = () => rnd() * 400; await sleep(between(2, 10) * 1000); w.store.slowness = () => 0; },
  lose: async () => { const share = between(0.1, 0.6); w.store.transactionFault = () => (rnd() < share ? 'lose-answer' : null); w.record({ ev: 'lose answers', share }); await sleep(between(2, 10) * 1000); w.store.transactionFault = () => null; },
  late: async () => { const share = between(0.1, 0.6); w.store.transactionFault = () => (rnd() < share ? 'late' : null); w.record({ ev: 'late writes', share }); await sleep(between(2, 10) * 1000); w.store.transactionFault = () => null; },
  peers: async () => { const x = rnd() < 0.6 ? w.leader() : pick(w.nodes); if (!x) return; w.peers(x, pick(['hold', 'reset'])); await sleep(between(1, 15) * 1000); w.peers(x, 'pass'); },
  fromWorkers: async () => { const x = rnd() < 0.7 ? w.leader() : pick(w.nodes); if (!x) return; w.record({ ev: 'cut from workers', node: x.name }); const ws = some(workers(), pick([0.5, 1])); for (const m of ws) m.cutFrom.add(x.name); await sleep(between(1, 15) * 1000); for (const m of ws) m.cutFrom.delete(x.name); },
  isolate: async () => { const x = w.leader(); if (!x) return; w.record({ ev: 'isolate', node: x.name }); w.store.refusedNodes.add(x.name); w.peers(x, 'hold'); await sleep(between(1, 18) * 1000); w.store.refusedNodes.delete(x.name); w.peers(x, 'pass'); },
  hang: async () => { for (const m of some(workers(), 0.4)) { m.hungUntil = now() + between(0.5, lease * 1.5); w.record({ ev: 'hang', machine: m.ref }); } },
  deaf: async () => { const ms = some(workers(), 0.3); for (const m of ms) { m.isDeaf = true; w.record({ ev: 'deaf', machine: m.ref }); } await sleep(between(1, lease * 2) * 1000); for (const m of ms) m.isDeaf = false; },
  mute: async () => { const ms = some(workers(), 0.3); for (const m of ms) { m.isMute = true; w.record({ ev: 'mute', machine: m.ref }); } await sleep(between(1, lease * 2) * 1000); for (const m of ms) m.isMute = false; },
  die: async () => { for (const m of some(workers(), 0.15)) w.cloud.die(m.ref); },
  taken: async () => { for (const m of some(workers(), 0.2)) if (m.loaners) { m.recallAt = now() + 4; m.changed = true; setTimeout(() => w.cloud.drop(m.ref, 'taken'), 4000); } },
  copies: async () => { w.onReport = (m, node, body) => { if (rnd() < 0.4) { const copy = JSON.stringify(body); setTimeout(() => { const x = anyNode(); import('./net.mjs').then(({ call }) => call(x.api, 'POST', '/checkin', JSON.parse(copy), 4000)); }, between(0.05, lease * 3) * 1000); } }; await sleep(10_000); w.onReport = null; },
  cloudOut: async () => { w.cloud.isOut = true; await sleep(between(1, 15) * 1000); w.cloud.isOut = false; },
  cloudLate: async () => { w.cloud.late = () => (rnd() < 0.5 ? between(1, 8) * 1000 : 0); await sleep(10_000); w.cloud.late = () => 0; },
  stateHold: async () => { const x = rnd() < 0.7 ? w.leader() : pick(w.nodes); if (!x) return; const p = w.proxies.get(`state ${x.name}`); w.record({ ev: 'state hold', node: x.name }); p.set('hold'); await sleep(between(0.3, 12) * 1000); p.set('pass'); },
  stateReset: async () => { const x = rnd() < 0.7 ? w.leader() : pick(w.nodes); if (!x) return; const p = w.proxies.get(`state ${x.name}`); w.record({ ev: 'state reset', node: x.name }); for (let i = 0; i < 10; i += 1) { p.set('reset'); await sleep(between(5, 200)); p.set('pass'); await sleep(between(50, 500)); } },
  isolateHold: async () => { const x = w.leader(); if (!x) return; w.record({ ev: 'isolate hold', node: x.name }); const p = w.proxies.get(`state ${x.name}`); p.set('hold'); w.peers(x, 'hold'); await sleep(between(2, 25) * 1000); p.set('pass'); w.peers(x, 'pass'); },
  lateOrders: async () => { w.orderDelay = () => (rnd() < 0.5 ? between(1, 8) * 1000 : 0); await sleep(10_000); w.orderDelay = null; },
};
await w.start();
try {
  await w.ready();
  const users = new Set();
  const submitting = (async () => {
    while (going()) {
      const u = user().catch((e) => console.log('user', e)).finally(() => users.delete(u));
      users.add(u);
      await sleep(pick([50, 300, 1000, 1500]));
      while (users.size > 40) await sleep(100);
    }
  })();
  const active = new Set();
  while (going()) {
    await sleep(between(0.2, hard ? 2.5 : 6) * 1000);
    if (active.size >= (hard ? 4 : 2)) continue;
    const k = pick(Object.keys(faults));
    if (active.has(k)) continue;
    stats.faults[k] = (stats.faults[k] ?? 0) + 1;
    active.add(k);
    w.record({ ev: 'FAULT', k });
    faults[k]().catch((e) => console.log(k, e)).finally(() => active.delete(k));
  }
  while (active.size) await sleep(100);
  for (const x of w.nodes) { if (!x.isRunning) w.run(x); }
  await submitting;
  await Promise.all([...users]);
} catch (e) {
  console.log('failed', e);
}
console.log(JSON.stringify({ seed, ...stats, starts: w.judge.starts, broken: w.judge.broken.slice(0, 10) }));
await w.end();
process.exit(0);
