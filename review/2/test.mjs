// While connections between controllers are refused, the followers call a job `queued` whose tasks
// have long been running.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase, TROUBLE } from '../lib/case.mjs';
import { sleep } from '../lib/net.mjs';
import { jobOf, now, World } from '../lib/world.mjs';

const RECORD = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');
const REF = 'job-000412';
/** The bound of the page: an answer's state may be this old. */
const LAG_S = 3;
/** As in kit/fleet/tilemosaic-nairobi-fleet.toml: peers_refuse, for_s = 30. */
const REFUSED_FOR_S = 30;
const POLL_EVERY_S = 1;

const makeWorld = () => {
  const world = new World({ recordFile: RECORD });
  world.cloud.bootS = () => 1.5;
  return world;
};

await runCase(makeWorld, async (w) => {
  const job = jobOf(REF, { Lane: 'mosaic-backfill', Crew: 'colour-desk', Rank: 'best_effort', MemoryGb: 5.9, GuessS: 90 });
  w.jobs.set(REF, job);
  w.runOf.set(REF, 100);
  await w.until(async () => (await w.ask(REF, w.nodes[0], 'submit'))?.status === 201, 20_000, 'accepted');
  await w.until(() => w.judge.onMachines.size === job.Pieces, 30_000, 'all tasks on machines');
  await w.until(
    async () => (await Promise.all(w.nodes.map((n) => w.ask(REF, n, 'get')))).every((a) => a?.body?.Status === 'running'),
    15_000, 'every node says running',
  );
  await sleep(5000);
  if (TROUBLE) for (const n of w.nodes) w.peers(n, 'refuse');
  const breaches = [];
  const end = now() + REFUSED_FOR_S;
  while (now() < end) {
    await Promise.all(w.nodes.map(async (n) => {
      const askedAt = now();
      const onForLong = [...w.judge.onMachines].filter((x) => x.t.job === REF && askedAt - x.since > LAG_S);
      const a = await w.ask(REF, n, 'get');
      // On its machine from more than LAG_S before the question until after the answer.
      const stillOn = onForLong.filter((x) => w.judge.onMachines.has(x));
      if (a?.status !== 200 || a.body.Status !== 'queued' || stillOn.length === 0) return;
      const onForS = Math.round(Math.max(...stillOn.map((x) => now() - x.since)));
      const text = `${n.name} said ${JSON.stringify(a.body)} while ${stillOn.length} tasks had been on machines for ${onForS} s`;
      w.record({ ev: 'BROKEN', text });
      breaches.push(text);
    }));
    await sleep(POLL_EVERY_S * 1000);
  }
  for (const n of w.nodes) w.peers(n, 'pass');
  return breaches;
});
