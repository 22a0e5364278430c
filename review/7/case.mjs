// Jobs whose machines are taken back in a wave, and leaders that crash one after the other.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../lib-2/case.mjs';
import { jobBody, sleep, User } from '../lib-2/world.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const RULE_MS = 90_000;
const CRASH_EVERY_MS = 17_000;
const BACK_AFTER_MS = 3000;
const MACHINES = 10;
const TAKEN = 3;

const options = () => ({
  runMs: () => 300_000,
  // The cloud has no further machines: the jobs stay where they are.
  capacity: {},
  types: [
    {
      Label: 'quad-reader', Cpus: 4, Accelerators: 0, MemoryGb: 16, CacheGb: 70, FetchGbPerS: 0.5,
      Price: 0.25, SpotPrice: 0.07, StartupS: 15, Yards: ['fukuoka-east', 'kumamoto-south', 'kagoshima-bay'],
    },
  ],
  machines: Array.from({ length: MACHINES }, (_, i) => ({
    hull: 'quad-reader',
    // As many in each zone as the site file has room for: 5, 4 and 4.
    yard: i < 5 ? 'fukuoka-east' : i < 9 ? 'kumamoto-south' : 'kagoshima-bay',
    loaners: true,
  })),
  params: {
    zones: ['fukuoka-east', 'kumamoto-south'],
    teams: [
      { name: 'clearing-desk', cpus: 72, cpus_max: 232, gpus: 0, gpus_max: 0 },
      { name: 'tap-data', cpus: 152, cpus_max: 536, gpus: 0, gpus_max: 0 },
    ],
    workers: { report_s: 3, lease_s: 26, gang_wait_s: 50, gang_peer_s: 4, cancel_s: 46 },
    state: { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 12 },
    cloud: { rps: 6, list_lag_s: 4 },
    quota: { cores: 0.085, mem_mb: 178, max_connections: 1200 },
    clock_off_ms: 1000,
  },
});

await runCase(folder, options, async (world, isTrouble) => {
  await world.start(3);
  if (!world.leader()) return { ran: false, result: 'no leader at the start' };
  // One task of 4 CPUs fills a machine.
  const users = Array.from({ length: MACHINES }, (_, i) =>
    new User(world, jobBody(`job-0000${10 + i}`, {
      Lane: 'daily-settle', Crew: 'tap-data', Pieces: 1, GuessS: 300, Cpus: 4, ImageGb: 0.5, MemoryGb: 9,
    }), { pollMs: 2000 }));
  for (const user of users) user.run();
  const arePlaced = await world.until(() => world.on.size === MACHINES, 20_000);
  if (!arePlaced) return { ran: false, result: 'the jobs did not get their machines' };
  await world.until(() => users.every(({ answers }) => answers.at(-1)?.state === 'running'), 10_000);
  const from = Date.now();
  const hit = users.slice(0, TAKEN);
  const others = users.slice(TAKEN);
  if (isTrouble)
    for (const { id } of hit) world.cloud.end(world.on.get(`${id}/0`)[0].id, 'taken without notice');
  const crashes = (async () => {
    if (!isTrouble) return;
    await sleep(200);
    for (let i = 0; Date.now() - from < RULE_MS; i += 1) {
      await world.until(() => world.leader(), 10_000);
      world.crash(world.leader(), BACK_AFTER_MS);
      await sleep(Math.max(0, from + 200 + (i + 1) * CRASH_EVERY_MS - Date.now()));
    }
  })();
  const isOver = await world.until(() => Date.now() - from > RULE_MS + 7000, RULE_MS + 9000);
  const polls = (users) => users.flatMap(({ answers }) => answers.filter(({ what, at }) => what === 'poll' && at > from));
  const isAnswered = ({ status }) => status === 200 || status === 404;
  let longestMs = 0;
  for (const user of hit) {
    let failingSince = null;
    for (const poll of polls([user])) {
      if (isAnswered(poll)) failingSince = null;
      else {
        failingSince ??= poll.at;
        longestMs = Math.max(longestMs, poll.at - failingSince);
      }
    }
  }
  const other = polls(others);
  const share = other.filter(isAnswered).length / other.length;
  const seconds = (longestMs / 1000).toFixed(1);
  const result = `every poll for a job on a machine that was taken failed for up to ${seconds} s; of ${other.length} polls for the other jobs, ${(share * 100).toFixed(0)}% got answers`;
  return { ran: isOver, broken: longestMs >= RULE_MS && share > 0.5, result };
});
