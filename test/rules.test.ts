import { describe, expect, it } from 'vitest';
import { SimulatedWorld } from './support/simulated-world/world.js';

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
    const meetings: Record<string, number> = {};
    const controllers = { freezes: 0, blackouts: 0, outages: 0, slowSpells: 0 };
    const seeds = [...Array.from({ length: 200 }, (_, i) => i + 1), 1192, 1370, 1410, 1670, 1729];
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
      for (const [kind, n] of Object.entries(world.services))
        services[kind] = (services[kind] ?? 0) + n;
      for (const [kind, n] of Object.entries(world.crowds)) crowds[kind] = (crowds[kind] ?? 0) + n;
      for (const [kind, n] of Object.entries(world.meetings))
        meetings[kind] = (meetings[kind] ?? 0) + n;
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
    expect(Object.keys(meetings)).toHaveLength(12);
    const counted = [crowds, controllers, meetings].flatMap((kinds) => Object.entries(kinds));
    for (const [kind, n] of counted) {
      expect(n, kind).toBeGreaterThan(15);
    }
  });

  it.each([false, true])(
    'leave no job behind once the troubles are over (rentals keep their zone: %s)',
    (keepZones) => {
      let standing = 0;
      let longest = 0;
      for (let seed = 101; seed <= 110; seed += 1) {
        const world = new SimulatedWorld(seed, { keepZones });
        world.play(60_000, false);
        world.heal();
        // None waits for 90 s beside room that it could have.
        const since = new Map<string, number>();
        for (let t = 0; t < 1_200_000; t += 5000) {
          world.play(5000, true);
          const waits = world.waitingBesideRoom();
          for (const id of since.keys()) if (!waits.includes(id)) since.delete(id);
          for (const id of waits) {
            const from = since.get(id) ?? t;
            since.set(id, from);
            longest = Math.max(longest, t - from);
            expect(t - from, `seed ${seed}: ${id} waits beside room at ${world.now}`).toBeLessThan(
              90_000,
            );
          }
        }
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
      expect(longest).toBeGreaterThan(0);
    },
  );
});
