/**
 * Random histories of drains, faults and failovers in the simulated world. Budgets are checked
 * against the stops that the machines recorded, not the leader's ledger.
 */
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SimulatedWorld } from '../../../test/support/simulated-world/world.js';
import { drainModule } from '../src/index.js';
import { settingsOf, TIGHT_BUDGETS } from './support/settings.js';

/** The status of a drain in the operator API. */
interface StatusAnswer {
  status: string;
  why: string | null;
  blocked: { text: string } | null;
  machines: { blocked: { text: string } | null }[];
}

/** Maximum of a team's tasks stopped voluntarily and not yet running again. */
const MAX_STOPPED: Readonly<Record<string, number>> = { blue: 2, green: 1 };
const WINDOW = { team: 'green', ms: 60_000, count: 3 };
/** Shortens the checked window: machines execute stops some time after these are granted. */
const WINDOW_SLACK_MS = 20_000;

/** Totals over all histories, to check that they exercise drains and failovers. */
const totals = { stops: 0, drains: 0, failovers: 0, done: 0 };

/** A simulated world that checks the budgets regularly. */
class BudgetCheckedWorld {
  readonly world: SimulatedWorld;
  readonly startedDrains = new Set<string>();
  private readonly stops: { team: string; at: number }[] = [];

  constructor(seed: number) {
    this.world = new SimulatedWorld(seed, {
      module: drainModule(settingsOf(TIGHT_BUDGETS)),
      bothVersions: false,
      preemption: false,
      maxMachines: 9,
    });
    this.world.interruptions.onVoluntaryStop = (name) => {
      totals.stops += 1;
      const { team } = this.world.interruptions.byTask.get(name)!;
      this.stops.push({ team, at: this.world.now });
    };
  }

  /** Compares the stops that the machines recorded with the budgets. */
  check(): void {
    expect(this.world.problems).toEqual([]);
    for (const [team, most] of Object.entries(MAX_STOPPED)) {
      const open = this.world.voluntaryInterruptions().filter((i) => i.team === team);
      expect(open.length, `${team} at ${this.world.now}`).toBeLessThanOrEqual(most);
    }
    const from = this.world.now - (WINDOW.ms - WINDOW_SLACK_MS);
    const recent = this.stops.filter(({ team, at }) => team === WINDOW.team && at > from);
    expect(recent.length, `window at ${this.world.now}`).toBeLessThanOrEqual(WINDOW.count);
  }

  /** Advances in small steps, so that no brief excess is missed. */
  advance(ms: number, withoutEvents: boolean): void {
    for (let advancedMs = 0; advancedMs < ms; advancedMs += 500) {
      this.world.advance(500, withoutEvents);
      this.check();
    }
  }

  callOperatorApi(
    route: string,
    subject: string,
    body: object = {},
  ): { status: number; body: object } | null {
    for (let attempts = 0; attempts < 40; attempts += 1) {
      const pending = this.world.operate({ route, subject, body });
      for (let waitedMs = 0; pending && !pending.answer && waitedMs < 4000; waitedMs += 250)
        this.advance(250, true);
      if (pending?.answer && pending.answer.status !== 503) return pending.answer;
      this.advance(1000, true);
    }
    return null;
  }
}

type Model = Record<string, never>;
type HistoryCommand = fc.Command<Model, BudgetCheckedWorld>;

class Advance implements HistoryCommand {
  constructor(readonly ms: number) {}
  check = () => true;
  run(_: Model, real: BudgetCheckedWorld): void {
    real.advance(this.ms, false);
  }
  toString = () => `advance ${this.ms}`;
}

class StartDrain implements HistoryCommand {
  constructor(
    readonly name: string,
    readonly body: object,
  ) {}
  check = () => true;
  run(_: Model, real: BudgetCheckedWorld): void {
    const answer = real.callOperatorApi('start', '', { name: this.name, ...this.body });
    if (answer?.status === 201) {
      totals.drains += 1;
      real.startedDrains.add(this.name);
    }
  }
  toString = () => `start ${this.name} ${JSON.stringify(this.body)}`;
}

class ChangeDrain implements HistoryCommand {
  constructor(
    readonly name: string,
    readonly action: 'pause' | 'resume' | 'cancel',
  ) {}
  check = () => true;
  run(_: Model, real: BudgetCheckedWorld): void {
    const answer = real.callOperatorApi(this.action, this.name);
    expect([200, 404, 409, undefined]).toContain(answer?.status);
  }
  toString = () => `${this.action} ${this.name}`;
}

class InjectFault implements HistoryCommand {
  constructor(
    readonly kind: 'cloudDownUntil' | 'noCapacityUntil' | 'bootFaultsUntil' | 'storeDownUntil',
    readonly durationMs: number,
  ) {}
  check = () => true;
  run(_: Model, real: BudgetCheckedWorld): void {
    real.world.faultTimes[this.kind] = real.world.now + this.durationMs;
    real.advance(2000, false);
  }
  toString = () => `${this.kind} ${this.durationMs}`;
}

const drainNames = fc.constantFrom('a', 'b', 'c');
const drainSelectors = fc.constantFrom<object>(
  { all: true },
  { zone: 'a' },
  { spot: true },
  { spot: false, zone: 'b' },
);
const drainBodies = fc.record({
  select: drainSelectors,
  atOnce: fc.integer({ min: 1, max: 3 }),
  replace: fc.boolean(),
});
const commands = [
  fc.integer({ min: 2000, max: 30_000 }).map((ms) => new Advance(ms)),
  fc.integer({ min: 2000, max: 30_000 }).map((ms) => new Advance(ms)),
  fc.tuple(drainNames, drainBodies).map(([name, body]) => new StartDrain(name, body)),
  fc.tuple(drainNames, drainBodies).map(([name, body]) => new StartDrain(name, body)),
  fc
    .tuple(drainNames, fc.constantFrom('pause' as const, 'resume' as const, 'cancel' as const))
    .map(([name, change]) => new ChangeDrain(name, change)),
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
    .map(([kind, ms]) => new InjectFault(kind, ms)),
];

/** Whether a drain has ended, or its status gives a reason why not. */
const isExplained = (answer: StatusAnswer | undefined): boolean => {
  if (answer?.status === 'done' || answer?.status === 'cancelled') return true;
  const reasons = [
    answer?.why,
    answer?.blocked?.text,
    ...(answer?.machines ?? []).map((m) => m.blocked?.text),
  ];
  return reasons.some(Boolean);
};

/** Ends all faults; then every job must end, and every drain must end or report its blocker. */
const endHistory = (real: BudgetCheckedWorld): void => {
  real.world.heal();
  // A team at its limit finishes its backlog one task at a time.
  for (let i = 0; i < 400 && real.world.unfinishedArrays().length > 0; i += 1)
    real.advance(30_000, true);
  expect(real.world.unfinishedArrays()).toEqual([]);
  for (const name of real.startedDrains) {
    let answer: StatusAnswer | undefined;
    // A drain that changes state may briefly report no reason.
    for (let i = 0; i < 20 && !isExplained(answer); i += 1) {
      real.advance(1000, true);
      answer = real.callOperatorApi('status', name)?.body as StatusAnswer | undefined;
    }
    expect(isExplained(answer), `${name}: ${JSON.stringify(answer)}`).toBe(true);
    if (answer?.status === 'done') totals.done += 1;
  }
  totals.failovers += real.world.counters.failovers;
};

describe('drains in random histories', () => {
  it('keep budgets, lose no job, run no task twice, return no busy machine, end or say why', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1e6 }),
        fc.commands(commands, { maxCommands: 14, size: 'max' }),
        (seed, history) => {
          const real = new BudgetCheckedWorld(seed);
          real.advance(8000, false);
          fc.modelRun(() => ({ model: {}, real }), history);
          endHistory(real);
        },
      ),
      { numRuns: 60, seed: 20_261_202 },
    );
    expect(totals.stops).toBeGreaterThan(40);
    expect(totals.drains).toBeGreaterThan(40);
    expect(totals.failovers).toBeGreaterThan(100);
    expect(totals.done).toBeGreaterThan(15);
  }, 120_000);
});
