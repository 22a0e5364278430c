// One array of as many tasks as the pages allow, and the controllers' memory.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../lib-2/case.mjs';
import { jobBody, sleep, User } from '../lib-2/world.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const RESTART_MS = 5000;

const options = () => ({
  // Too many tasks for a line each in the record.
  isLight: true,
  boot: () => 1500,
  runMs: () => 40_000,
  capacity: { 'octa-tiler/westlands/spot': 263, 'octa-tiler/westlands/ordinary': 37 },
  machines: Array.from({ length: 31 }, () => ({ hull: 'octa-tiler', yard: 'westlands', loaners: false })),
  params: {
    teams: [
      { name: 'ingest-crew', cpus: 1000, cpus_max: 2000, gpus: 0, gpus_max: 0 },
      { name: 'colour-desk', cpus: 1800, cpus_max: 3500, gpus: 0, gpus_max: 0 },
      { name: 'delivery-ops', cpus: 2000, cpus_max: 6000, gpus: 0, gpus_max: 0 },
    ],
  },
});

await runCase(folder, options, async (world, isTrouble) => {
  await world.start(3);
  if (!world.leader()) return { ran: false, result: 'no leader at the start' };
  const Pieces = isTrouble ? 100_000 : 500;
  const user = new User(world, jobBody('job-000001', {
    Lane: 'mosaic-backfill', Crew: 'delivery-ops', Rank: 'best_effort', Pieces,
    Cpus: 0.02, MemoryGb: 0.15, ImageGb: 1.5, GuessS: 40,
  }));
  user.run();
  const ends = [];
  const endAt = Date.now() + 80_000;
  const watched = new Map();
  while (Date.now() < endAt && ends.length < 6) {
    await sleep(200);
    for (const node of world.nodes) {
      const { child } = node;
      if (child.exitCode === null && child.signalCode === null) continue;
      if (watched.get(node) === child) continue;
      watched.set(node, child);
      ends.push(node.name);
      // As the platform does, about 5 s after an end.
      setTimeout(() => {
        if (Date.now() >= endAt) return;
        world.recorder.write(`${node.name} is started again`);
        world.launch(node);
      }, RESTART_MS);
    }
    if (Math.floor(world.recorder.seconds * 5) % 25 === 0) {
      const held = [...world.cloud.machines.values()].reduce((sum, { worker }) => sum + worker.pieces.size, 0);
      world.recorder.write(`${world.cloud.machines.size} machines hold ${held} tasks, leader ${world.leader()?.name}`);
    }
  }
  if (!user.accepted) return { ran: false, result: 'the array was not accepted' };
  const result = `array of ${Pieces} tasks; controllers that ended by themselves: ${ends.join(' ') || 'none'}`;
  return { ran: true, broken: ends.length > 0, result };
});
