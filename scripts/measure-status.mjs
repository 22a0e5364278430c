// Measures what share of users' questions about unfinished jobs gets a true answer, with and without
// a disruption. Real processes of the bundle in target/, with the stand-ins of review/lib.
// usage: node scripts/measure-status.mjs [none|refuse|hold|kill|store] [SECONDS] [CHECKOUT]
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';

const [disruption = 'none', seconds = '30', checkout = '.'] = process.argv.slice(2);
const load = (module) => import(pathToFileURL(resolve(checkout, 'review/lib', module)).href);
const { sleep } = await load('net.mjs');
const { jobOf, now, tileParams, World } = await load('world.mjs');

const POLL_INTERVAL_MS = 500;
const RESUBMIT_INTERVAL_MS = 2000;
const RESTART_DELAY_MS = 5000;
/** An answer's state may be this old. */
const MAX_LAG_S = 3;
const LONG_RUN_S = 300;
const RUNNING_JOBS = 4;
const WAITING_JOBS = 4;

const params = tileParams();
/** The first four jobs fill the team's limit, so that the others wait. */
params.teams[0].cpus_max = 4 * RUNNING_JOBS;
const world = new World({ params });
world.cloud.bootS = () => 1.5;
await world.start();
await world.ready();

/** When a task of each job was last seen to start or end on a machine, by job. */
const changedAt = new Map();
const { judge } = world;
for (const event of ['on', 'off']) {
  const original = judge[event].bind(judge);
  judge[event] = (task, ...rest) => {
    changedAt.set(task.job, now());
    return original(task, ...rest);
  };
}

const tasksSince = (ref, time) =>
  [...judge.onMachines].filter(({ t, since }) => t.job === ref && since < time);

/** Judges an answer by the tasks on machines from `MAX_LAG_S` before the question until now. */
const isFalse = (status, ref, askedAt, before) => {
  if (status === 'queued') return before.some((entry) => judge.onMachines.has(entry));
  const wasIdle = (changedAt.get(ref) ?? 0) < askedAt - MAX_LAG_S;
  return status === 'running' && wasIdle && tasksSince(ref, now()).length === 0;
};

const counts = {};
const countAnswer = (group, kind) => {
  counts[group] ??= { true: 0, false: 0, unanswered: 0 };
  counts[group][kind] += 1;
};

const ask = async (group, ref, node, what) => {
  const askedAt = now();
  const before = tasksSince(ref, askedAt - MAX_LAG_S);
  const answer = await world.ask(ref, node, what);
  const status = answer?.status === 200 ? answer.body?.Status : null;
  if (!node.isRunning) return;
  if (!status) countAnswer(group, 'unanswered');
  else countAnswer(group, isFalse(status, ref, askedAt, before) ? 'false' : 'true');
};

const groups = new Map();
const submit = async (i, group) => {
  const ref = `job-${String(i).padStart(6, '0')}`;
  world.jobs.set(ref, jobOf(ref, { GuessS: 90 }));
  world.runOf.set(ref, LONG_RUN_S);
  const accepted = async () => (await world.ask(ref, world.nodes[i % 3], 'submit'))?.status === 201;
  await world.until(accepted, 20_000, 'accepted');
  groups.set(ref, group);
};
for (let i = 1; i <= RUNNING_JOBS; i += 1) await submit(i, 'running');
await world.until(() => judge.onMachines.size === 4 * RUNNING_JOBS, 40_000, 'running');
for (let i = 1; i <= WAITING_JOBS; i += 1) await submit(RUNNING_JOBS + i, 'waiting');
await sleep(5000);

const disrupt = async () => {
  const leader = world.leader();
  if (disruption === 'refuse' || disruption === 'hold')
    for (const node of world.nodes) world.peers(node, disruption);
  if (disruption === 'store') world.store.refusedNodes.add(leader.name);
  if (disruption !== 'kill') return;
  world.kill(leader);
  await sleep(RESTART_DELAY_MS);
  world.run(leader);
};

const end = now() + Number(seconds);
const poll = async (ref, group, node, what, intervalMs) => {
  await sleep(Math.random() * intervalMs);
  while (now() < end) {
    const next = sleep(intervalMs);
    if (node.isRunning) await ask(group, ref, node, what);
    await next;
  }
};
const disrupted = disrupt();
const polls = [];
for (const [ref, group] of groups)
  for (const node of world.nodes) {
    polls.push(poll(ref, `${group} job, question`, node, 'get', POLL_INTERVAL_MS));
    polls.push(
      poll(ref, `${group} job, repeated submission`, node, 'submit', RESUBMIT_INTERVAL_MS),
    );
  }
await Promise.all([...polls, disrupted]);
console.log(JSON.stringify({ disruption, seconds: Number(seconds), counts, broken: judge.broken }));
await world.end();
process.exit(0);
