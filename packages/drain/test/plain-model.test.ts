/** The order of candidates and the budget ledger against plain models, on drawn inputs. */
import type {
  AttemptId,
  AttemptView,
  FleetView,
  Instant,
  JobId,
  JobSpec,
  JobView,
  MachineId,
  MachineView,
  Moment,
  TaskIndex,
} from '@robinspread/extension-api';
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { job, ledgerEntry } from '../../../test/support/builders.js';
import { BudgetLedger } from '../src/core/budget-ledger.js';
import { rankCandidates } from '../src/core/machine-selection.js';
import {
  hasRoom,
  isDrainedBefore,
  type ReferenceDisruption,
  type ReferenceLimits,
} from './support/plain-model.js';
import { settingsOf } from './support/settings.js';

const LET_END_S = 30;
const moment = (now: number): Moment => ({ now: now as Instant, wallClockMs: now });

/** What the planner reads of an attempt; typed, so that a renamed field does not go unnoticed. */
type DrawnAttempt = Pick<AttemptView, 'phase' | 'startedAt' | 'stopRequest' | 'isSuperseded'> & {
  readonly job:
    | (Pick<JobView, 'terminalState'> & {
        readonly spec: Pick<JobSpec, 'shape' | 'estimateS' | 'checkpointIntervalS'>;
      })
    | null;
};

const attempt: fc.Arbitrary<DrawnAttempt> = fc.record({
  phase: fc.constantFrom<AttemptView['phase'][]>(
    'dispatched',
    'fetching',
    'running',
    'checkpointing',
    'ended',
  ),
  startedAt: fc.option(fc.integer({ min: 0, max: 100_000 }).map((ms) => ms as Instant)),
  stopRequest: fc.option(fc.constant({ graceS: 5 }), { freq: 8 }),
  isSuperseded: fc.constant(false),
  job: fc.option(
    fc.record({
      terminalState: fc.constantFrom<JobView['terminalState'][]>('none', 'none', 'none', 'done'),
      spec: fc.record({
        shape: fc.constantFrom<JobSpec['shape'][]>('array', 'array', 'service'),
        estimateS: fc.integer({ min: 0, max: 300 }),
        checkpointIntervalS: fc.constantFrom(0, 5),
      }),
    }),
    { freq: 8 },
  ),
});

/** What the planner reads of a machine. */
const machineOf = (attempts: readonly DrawnAttempt[], i: number): MachineView => {
  const view: Pick<MachineView, 'id' | 'placements'> = {
    id: `n-${i}` as MachineId,
    placements: new Map(attempts.map((a, n) => [n as AttemptId, a as AttemptView])),
  };
  return view as MachineView;
};

const machines = fc
  .array(fc.array(attempt, { maxLength: 4 }), { minLength: 1, maxLength: 8 })
  .map((all) => all.map(machineOf));

describe('rankCandidates', () => {
  it('orders machines as the plain model does', () => {
    fc.assert(
      fc.property(machines, (drawn) => {
        const now = 100_000;
        const order = rankCandidates(drawn, LET_END_S, moment(now)).map(({ machine }) => machine);
        expect(order).toHaveLength(drawn.length);
        for (let i = 1; i < order.length; i += 1) {
          expect(isDrainedBefore(order[i - 1]!, order[i]!, LET_END_S, now)).toBe(true);
        }
      }),
      { numRuns: 500 },
    );
  });
});

/** A team's tasks: on a machine, stopped, or running again; enough of a fleet for the ledger. */
class Tasks {
  readonly jobs = new Map<JobId, JobView>();
  private readonly held = new Map<TaskIndex, AttemptView[]>();
  private attempts = 0;

  constructor(count: number) {
    const spec = job('job-1', { tasks: count, jobClass: 'settle' });
    const view: JobView = {
      spec,
      pendingTasks: 0,
      attemptsByTask: this.held,
      terminalState: 'none',
    };
    this.jobs.set('job-1' as JobId, view);
    for (let i = 0; i < count; i += 1) this.run(i);
  }

  /** The task runs, under a new attempt. */
  run(index: number): void {
    this.attempts += 1;
    const view: Omit<AttemptView, 'machine'> = {
      entry: ledgerEntry(index, this.attempts),
      job: this.jobs.get('job-1' as JobId) ?? null,
      phase: 'running',
      startedAt: null,
      stopRequest: null,
      isSuperseded: false,
    };
    this.held.set(index as TaskIndex, [view as AttemptView]);
  }

  stop(index: number): void {
    this.held.delete(index as TaskIndex);
  }

  attemptOf(index: number): AttemptView | null {
    return this.held.get(index as TaskIndex)?.[0] ?? null;
  }

  get onMachines(): number {
    return this.held.size;
  }

  get fleet(): FleetView {
    const fleet: Pick<FleetView, 'jobs' | 'isTaskDone' | 'teams'> = {
      jobs: this.jobs,
      isTaskDone: () => false,
      teams: new Map(),
    };
    return fleet as FleetView;
  }
}

const TASKS = 12;
const action = fc.oneof(
  fc.record({
    kind: fc.constantFrom('disrupt', 'resume', 'lose'),
    index: fc.integer({ min: 0, max: TASKS - 1 }),
  }),
  fc.record({ kind: fc.constant('wait'), index: fc.integer({ min: 100, max: 40_000 }) }),
);
const limits = fc.record({
  count: fc.option(fc.integer({ min: 0, max: 6 })),
  share: fc.option(fc.constantFrom(0.1, 0.25, 0.5, 0.75, 1)),
  window: fc.option(
    fc.record({ seconds: fc.integer({ min: 5, max: 60 }), count: fc.integer({ min: 0, max: 6 }) }),
  ),
});

const written = (l: ReferenceLimits): string =>
  [
    l.count === null ? '' : `(at-once ${l.count})`,
    l.share === null ? '' : `(at-once-share ${l.share})`,
    l.window === null ? '' : `(within ${l.window.seconds} ${l.window.count})`,
  ].join(' ');

describe('BudgetLedger', () => {
  it('grants what the plain model has room for, and nothing else, over drawn histories', () => {
    let granted = 0;
    let refused = 0;
    fc.assert(
      fc.property(
        limits,
        limits,
        fc.array(action, { minLength: 10, maxLength: 60, size: 'max' }),
        (team, jobClass, actions) => {
          const file = `(drain (budgets (team blue ${written(team)} (class settle ${written(jobClass)} ))))`;
          const inner =
            written(jobClass).trim() === '' ? file.replace(/\(class.*\)\)\)\)$/, ')))') : file;
          const ledger = new BudgetLedger(settingsOf(inner));
          const tasks = new Tasks(TASKS);
          const list: (ReferenceDisruption & { index: number })[] = [];
          let now = 1_000_000;
          for (const { kind, index } of actions) {
            if (kind === 'wait') now += index;
            ledger.update(tasks.fleet, moment(now));
            const on = tasks.attemptOf(index);
            const openHere = list.find((d) => d.open && d.index === index);
            if (kind === 'resume' && openHere && !on) {
              tasks.run(index);
              openHere.open = false;
            } else if (kind === 'lose' && on) {
              ledger.recordInvoluntary(on, moment(now));
              tasks.stop(index);
              list.push({ team: 'blue', jobClass: 'settle', at: now, open: true, index });
            } else if (kind === 'disrupt' && on) {
              const room = [team, jobClass].every((l) =>
                hasRoom(l, list, tasks.onMachines, 0, now),
              );
              const result = ledger.requestDisruption(on, tasks.fleet, moment(now));
              const isGrant = result !== null && 'phase' in result;
              expect(isGrant, JSON.stringify({ team, jobClass, list, result, now })).toBe(room);
              if (isGrant) granted += 1;
              else refused += 1;
              if (!isGrant) continue;
              ledger.grant(result, moment(now));
              tasks.stop(index);
              list.push({ team: 'blue', jobClass: 'settle', at: now, open: true, index });
            }
            ledger.update(tasks.fleet, moment(now));
          }
        },
      ),
      { numRuns: 1500 },
    );
    expect(granted).toBeGreaterThan(500);
    expect(refused).toBeGreaterThan(500);
  });
});
