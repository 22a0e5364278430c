/**
 * Drawn histories of drains, faults and failovers in the simulated world, which knows what really
 * happens on its machines.
 */
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SimulatedWorld } from '../../../test/support/simulated-world/world.js';
import { drainModule } from '../src/index.js';
import { settingsOf, TIGHT_BUDGETS } from './support/settings.js';

/** What operators are told of a drain. */
interface DrainAnswer {
  status: string;
  why: string | null;
  blocked: { text: string } | null;
  machines: { blocked: { text: string } | null }[];
}

/** At most this many of a team's tasks may be stopped by decision and not run again. */
const MAX_STOPPED: Readonly<Record<string, number>> = { blue: 2, green: 1 };
const WINDOW = { team: 'green', ms: 60_000, count: 3 };
/** Stops of one window by the machines' clock may be decided within a slightly longer one. */
const WINDOW_SLACK_MS = 20_000;

/** Counts over all histories: checks of histories in which nothing happens would mean nothing. */
const observed = { stops: 0, drains: 0, failovers: 0, done: 0 };

/** A world whose budgets are checked all the time. */
class ObservedWorld {
  readonly world: SimulatedWorld;
  readonly names = new Set<string>();
  private readonly stops: { team: string; at: number }[] = [];

  constructor(seed: number) {
    this.world = new SimulatedWorld(seed, {
      module: drainModule(settingsOf(TIGHT_BUDGETS)),
      bothVersions: false,
      preemption: false,
      mostMachines: 9,
    });
    this.world.interruptions.onVoluntaryStop = (name) => {
      observed.stops += 1;
      const { team } = this.world.interruptions.byTask.get(name)!;
      this.stops.push({ team, at: this.world.now });
    };
  }

  /** The slow, plain check: counted anew from what the machines know. */
  check(): void {
    expect(this.world.problems).toEqual([]);
    for (const [team, most] of Object.entries(MAX_STOPPED)) {
      const open = this.world.interruptedByDecision().filter((i) => i.team === team);
      expect(open.length, `${team} at ${this.world.now}`).toBeLessThanOrEqual(most);
    }
    const from = this.world.now - (WINDOW.ms - WINDOW_SLACK_MS);
    const recent = this.stops.filter(({ team, at }) => team === WINDOW.team && at > from);
    expect(recent.length, `window at ${this.world.now}`).toBeLessThanOrEqual(WINDOW.count);
  }

  /** Plays in small pieces, so that no excess goes unseen. */
  play(ms: number, calm: boolean): void {
    for (let played = 0; played < ms; played += 500) {
      this.world.play(500, calm);
      this.check();
    }
  }

  call(route: string, subject: string, body: object = {}): { status: number; body: object } | null {
    for (let tries = 0; tries < 40; tries += 1) {
      const pending = this.world.operate({ route, subject, body });
      for (let waited = 0; pending && !pending.answer && waited < 4000; waited += 250)
        this.play(250, true);
      if (pending?.answer && pending.answer.status !== 503) return pending.answer;
      this.play(1000, true);
    }
    return null;
  }
}

type Model = Record<string, never>;
type Step = fc.Command<Model, ObservedWorld>;

class Play implements Step {
  constructor(readonly ms: number) {}
  check = () => true;
  run(_: Model, real: ObservedWorld): void {
    real.play(this.ms, false);
  }
  toString = () => `play ${this.ms}`;
}

class Start implements Step {
  constructor(
    readonly name: string,
    readonly body: object,
  ) {}
  check = () => true;
  run(_: Model, real: ObservedWorld): void {
    const answer = real.call('start', '', { name: this.name, ...this.body });
    if (answer?.status === 201) {
      observed.drains += 1;
      real.names.add(this.name);
    }
  }
  toString = () => `start ${this.name} ${JSON.stringify(this.body)}`;
}

class Change implements Step {
  constructor(
    readonly name: string,
    readonly change: 'pause' | 'resume' | 'cancel',
  ) {}
  check = () => true;
  run(_: Model, real: ObservedWorld): void {
    const answer = real.call(this.change, this.name);
    expect([200, 404, 409, undefined]).toContain(answer?.status);
  }
  toString = () => `${this.change} ${this.name}`;
}

class Fault implements Step {
  constructor(
    readonly kind: 'cloudDownUntil' | 'noCapacityUntil' | 'bootFaultsUntil' | 'storeDownUntil',
    readonly ms: number,
  ) {}
  check = () => true;
  run(_: Model, real: ObservedWorld): void {
    real.world.faultTimes[this.kind] = real.world.now + this.ms;
    real.play(2000, false);
  }
  toString = () => `${this.kind} ${this.ms}`;
}

const names = fc.constantFrom('a', 'b', 'c');
const selectors = fc.constantFrom<object>(
  { all: true },
  { zone: 'a' },
  { spot: true },
  { spot: false, zone: 'b' },
);
const bodies = fc.record({
  select: selectors,
  atOnce: fc.integer({ min: 1, max: 3 }),
  replace: fc.boolean(),
});
const commands = [
  fc.integer({ min: 2000, max: 30_000 }).map((ms) => new Play(ms)),
  fc.integer({ min: 2000, max: 30_000 }).map((ms) => new Play(ms)),
  fc.tuple(names, bodies).map(([name, body]) => new Start(name, body)),
  fc.tuple(names, bodies).map(([name, body]) => new Start(name, body)),
  fc
    .tuple(names, fc.constantFrom('pause' as const, 'resume' as const, 'cancel' as const))
    .map(([name, change]) => new Change(name, change)),
  fc
    .tuple(
      fc.constantFrom(
        'cloudDownUntil' as const,
        'noCapacityUntil' as const,
        'bootFaultsUntil' as const,
        'storeDownUntil' as const,
      ),
      fc.integer({ min: 1000, max: 20_000 }),
    )
    .map(([kind, ms]) => new Fault(kind, ms)),
];

/** It has ended, or gives a reason why not. */
const isExplained = (answer: DrainAnswer | undefined): boolean => {
  if (answer?.status === 'done' || answer?.status === 'cancelled') return true;
  const reasons = [
    answer?.why,
    answer?.blocked?.text,
    ...(answer?.machines ?? []).map((m) => m.blocked?.text),
  ];
  return reasons.some(Boolean);
};

/** Once the faults are over every job ends, and every drain ends or says what holds it up. */
const finish = (real: ObservedWorld): void => {
  real.world.heal();
  // Much work of a team at its limit goes on task by task.
  for (let i = 0; i < 400 && real.world.unfinished().length > 0; i += 1) real.play(30_000, true);
  expect(real.world.unfinished()).toEqual([]);
  for (const name of real.names) {
    let answer: DrainAnswer | undefined;
    // One that is just moving on has nothing to say for a moment.
    for (let i = 0; i < 20 && !isExplained(answer); i += 1) {
      real.play(1000, true);
      answer = real.call('status', name)?.body as DrainAnswer | undefined;
    }
    expect(isExplained(answer), `${name}: ${JSON.stringify(answer)}`).toBe(true);
    if (answer?.status === 'done') observed.done += 1;
  }
  observed.failovers += real.world.reached.failovers;
};

describe('drains in drawn histories', () => {
  it('keep budgets, lose no job, run nothing twice, return no machine with work, and end or say why', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1e6 }),
        fc.commands(commands, { maxCommands: 14, size: 'max' }),
        (seed, steps) => {
          const real = new ObservedWorld(seed);
          real.play(8000, false);
          fc.modelRun(() => ({ model: {}, real }), steps);
          finish(real);
        },
      ),
      { numRuns: 60, seed: 20_261_202 },
    );
    expect(observed.stops).toBeGreaterThan(40);
    expect(observed.drains).toBeGreaterThan(40);
    expect(observed.failovers).toBeGreaterThan(100);
    expect(observed.done).toBeGreaterThan(15);
  }, 120_000);
});
