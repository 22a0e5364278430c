/** The rules that users rely on, checked in simulations with random faults. */
import { describe, expect, it } from 'vitest';
import { addCounters, createCounters } from './support/simulated-world/counters.js';
import { SimulatedWorld } from './support/simulated-world/world.js';

describe("the users' rules", () => {
  it('hold over random histories of delays, repeats, lost answers, crashes and failovers', () => {
    const total = createCounters();
    const seeds = [...Array.from({ length: 200 }, (_, i) => i + 1), 1192, 1370, 1410, 1670, 1729];
    for (const seed of seeds) {
      const world = new SimulatedWorld(seed);
      world.advance(150_000, false);
      expect(world.problems, `seed ${seed}`).toEqual([]);
      addCounters(total, world.counters);
    }
    // Least counts for the histories to be a meaningful check.
    expect(total.starts).toBeGreaterThan(5000);
    expect(total.failovers).toBeGreaterThan(300);
    expect(total.lostReplies).toBeGreaterThan(300);
    expect(total.delayedCopies).toBeGreaterThan(300);
    expect(total.copiedCommands).toBeGreaterThan(300);
    expect(total.inboundBlocks).toBeGreaterThan(100);
    expect(total.quickRestarts).toBeGreaterThan(50);
    expect(total.versionChanges).toBeGreaterThan(50);
    expect(total.splitBatches).toBeGreaterThan(50);
    expect(total.services.starts).toBeGreaterThan(800);
    expect(total.services.ends).toBeGreaterThan(150);
    expect(total.services.moves).toBeGreaterThan(15);
    expect(total.services.cancelled).toBeGreaterThan(100);
    expect(Object.keys(total.massFaults)).toHaveLength(5);
    expect(Object.keys(total.compoundFaults)).toHaveLength(12);
    const { freezes, blackouts, outages, slowPeriods } = total;
    const faultCounts = { ...total.massFaults, freezes, blackouts, outages, slowPeriods };
    for (const [kind, n] of [
      ...Object.entries(faultCounts),
      ...Object.entries(total.compoundFaults),
    ])
      expect(n, kind).toBeGreaterThan(15);
  });

  it.each([false, true])(
    'let every job run once the faults are over (provisioned machines keep their zone: %s)',
    (keepZones) => {
      let services = 0;
      let longestMs = 0;
      for (let seed = 101; seed <= 110; seed += 1) {
        const world = new SimulatedWorld(seed, { keepZones });
        world.advance(60_000, false);
        world.heal();
        // When each job began to wait beside free capacity; no wait may reach 90 s.
        const waitsSince = new Map<string, number>();
        for (let t = 0; t < 1_200_000; t += 5000) {
          world.advance(5000, true);
          const waiting = world.jobsWaitingDespiteCapacity();
          for (const id of waitsSince.keys()) if (!waiting.includes(id)) waitsSince.delete(id);
          for (const id of waiting) {
            const waitingSince = waitsSince.get(id) ?? t;
            waitsSince.set(id, waitingSince);
            longestMs = Math.max(longestMs, t - waitingSince);
            expect(
              t - waitingSince,
              `seed ${seed}: ${id} waits beside room at ${world.now}`,
            ).toBeLessThan(90_000);
          }
        }
        expect(world.problems, `seed ${seed}`).toEqual([]);
        expect(world.unfinishedArrays(), `seed ${seed}`).toEqual([]);
        // Replicas also end by themselves, and must soon run again.
        let missing = world.servicesShortOfReplicas();
        for (let i = 0; i < 20 && missing.length > 0; i += 1) {
          world.advance(2000, true);
          const stillMissing = world.servicesShortOfReplicas();
          missing = missing.filter((id) => stillMissing.includes(id));
        }
        expect(missing, `seed ${seed}`).toEqual([]);
        services += world.serviceCount();
      }
      expect(services).toBeGreaterThan(10);
      expect(longestMs).toBeGreaterThan(0);
    },
  );
});
