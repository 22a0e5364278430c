import { expect, it } from 'vitest';
import { SimulatedWorld } from './model/simulated-world.js';

it('many', () => {
  const bad: string[] = [];
  for (let seed = 1000; seed <= 1800; seed += 1) {
    const w = new SimulatedWorld(seed);
    w.play(150_000, false);
    if (w.problems.length) bad.push(`${seed} ${w.problems[0]}`);
  }
  console.log(bad.length, bad.slice(0, 10).join('\n'));
  expect(bad.length).toBe(0);
}, 300000);
