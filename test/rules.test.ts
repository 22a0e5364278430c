import { describe, expect, it } from 'vitest';
import { SimulatedWorld } from './model/simulated-world.js';

describe('the rules', () => {
  it('hold over drawn histories of delays, repeats, lost answers, crashes and takeovers', () => {
    let starts = 0;
    let takeovers = 0;
    let lost = 0;
    let copies = 0;
    let deaf = 0;
    let quick = 0;
    const crowds: Record<string, number> = {};
    const services: Record<string, number> = {};
    let changes = 0;
    let splits = 0;
    const controllers = { freezes: 0, blackouts: 0, outages: 0, slowSpells: 0 };
    const seeds = [...Array.from({ length: 100 }, (_, i) => i + 1), 1192, 1370, 1410, 1670, 1729];
    for (const seed of seeds) {
      const world = new SimulatedWorld(seed);
      world.play(150_000, false);
      expect(world.problems, `seed ${seed}`).toEqual([]);
      starts += world.starts;
      takeovers += world.takeovers;
      lost += world.lostAnswers;
      copies += world.copies;
      deaf += world.deafSpells;
      quick += world.quickReturns;
      changes += world.changes;
      splits += world.splits;
      for (const [kind, n] of Object.entries(world.services)) services[kind] = (services[kind] ?? 0) + n;
      for (const [kind, n] of Object.entries(world.crowds)) crowds[kind] = (crowds[kind] ?? 0) + n;
      for (const kind of Object.keys(controllers) as (keyof typeof controllers)[])
        controllers[kind] += world[kind];
    }
    // What the histories must have contained for the check to mean something.
    expect(starts).toBeGreaterThan(5000);
    expect(takeovers).toBeGreaterThan(300);
    expect(lost).toBeGreaterThan(300);
    expect(copies).toBeGreaterThan(300);
    expect(deaf).toBeGreaterThan(100);
    expect(quick).toBeGreaterThan(50);
    expect(changes).toBeGreaterThan(50);
    expect(splits).toBeGreaterThan(50);
    expect(services.starts).toBeGreaterThan(800);
    expect(services.ends).toBeGreaterThan(150);
    expect(services.moves).toBeGreaterThan(15);
    expect(services.cancelled).toBeGreaterThan(100);
    expect(Object.keys(crowds)).toHaveLength(5);
    for (const [kind, n] of [...Object.entries(crowds), ...Object.entries(controllers)]) {
      expect(n, kind).toBeGreaterThan(15);
    }
  });

  it('leave no job behind once the troubles are over', () => {
    let standing = 0;
    for (let seed = 101; seed <= 110; seed += 1) {
      const world = new SimulatedWorld(seed);
      world.play(60_000, false);
      world.heal();
      world.play(700_000, true);
      expect(world.problems, `seed ${seed}`).toEqual([]);
      expect(world.unfinished(), `seed ${seed}`).toEqual([]);
      // Replicas end by themselves now and then, and are soon back.
      let missing = world.missing();
      for (let i = 0; i < 20 && missing.length > 0; i += 1) {
        world.play(2000, true);
        const now = world.missing();
        missing = missing.filter((id) => now.includes(id));
      }
      expect(missing, `seed ${seed}`).toEqual([]);
      standing += world.standing();
    }
    expect(standing).toBeGreaterThan(10);
  });
});
