/** Compares the drain order and the budget ledger with reference models, on random inputs. */
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

/** The attempt fields that the planner reads; typed, so that a renamed field fails to compile. */
type DrawnAttempt = Pick<AttemptView, 'phase' | 'startedAt' | 'stopRequest' | 'isSuperseded'> & {
  readonly job:
    | (Pick<JobView, 'terminalState'> & {
        readonly spec: Pick<JobSpec, 'shape' | 'estimateS' | 'checkpointIntervalS'>;
      })
    | null;
};

const drawnAttempt: fc.Arbitrary<DrawnAttempt> = fc.record({
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

/** A machine with only the fields that the planner reads. */
const machineOf = (attempts: readonly DrawnAttempt[], i: number): MachineView => {
  const view: Pick<MachineView, 'id' | 'placements'> = {
    id: `n-${i}` as MachineId,
    placements: new Map(attempts.map((a, n) => [n as AttemptId, a as AttemptView])),
  };
  return view as MachineView;
};

const drawnMachines = fc
  .array(fc.array(drawnAttempt, { maxLength: 4 }), { minLength: 1, maxLength: 8 })
  .map((all) => all.map(machineOf));

describe('rankCandidates', () => {
  it('orders machines as the reference model does', () => {
    fc.assert(
      fc.property(drawnMachines, (machines) => {
        const now = 100_000;
        const order = rankCandidates(machines, LET_END_S, moment(now)).map(
          ({ machine }) => machine,
        );
        expect(order).toHaveLength(machines.length);
        for (let i = 1; i < order.length; i += 1) {
          expect(isDrainedBefore(order[i - 1]!, order[i]!, LET_END_S, now)).toBe(true);
        }
      }),
      { numRuns: 500 },
    );
  });
});

/** A fleet with one job, whose tasks run or are stopped; it has only what the ledger reads. */
class TaskFleet {
  readonly jobs = new Map<JobId, JobView>();
  private readonly attemptsByTask = new Map<TaskIndex, AttemptView[]>();
  private lastAttempt = 0;

  constructor(count: number) {
    const spec = job('job-1', { tasks: count, jobClass: 'settle' });
    const view: JobView = {
      spec,
      pendingTasks: 0,
      attemptsByTask: this.attemptsByTask,
      terminalState: 'none',
    };
    this.jobs.set('job-1' as JobId, view);
    for (let i = 0; i < count; i += 1) this.runTask(i);
  }

  /** Starts a new attempt of the task. */
  runTask(index: number): void {
    this.lastAttempt += 1;
    const view: Omit<AttemptView, 'machine'> = {
      entry: ledgerEntry(index, this.lastAttempt),
      job: this.jobs.get('job-1' as JobId) ?? null,
      phase: 'running',
      startedAt: null,
      stopRequest: null,
      isSuperseded: false,
    };
    this.attemptsByTask.set(index as TaskIndex, [view as AttemptView]);
  }

  stopTask(index: number): void {
    this.attemptsByTask.delete(index as TaskIndex);
  }

  attemptOf(index: number): AttemptView | null {
    return this.attemptsByTask.get(index as TaskIndex)?.[0] ?? null;
  }

  get tasksOnMachines(): number {
    return this.attemptsByTask.size;
  }

  get view(): FleetView {
    const fleet: Pick<FleetView, 'jobs' | 'isTaskDone' | 'teams'> = {
      jobs: this.jobs,
      isTaskDone: () => false,
      teams: new Map(),
    };
    return fleet as FleetView;
  }
}

const TASK_COUNT = 12;
const drawnAction = fc.oneof(
  fc.record({
    kind: fc.constantFrom('disrupt', 'resume', 'lose'),
    index: fc.integer({ min: 0, max: TASK_COUNT - 1 }),
  }),
  fc.record({ kind: fc.constant('wait'), index: fc.integer({ min: 100, max: 40_000 }) }),
);
const drawnLimits = fc.record({
  count: fc.option(fc.integer({ min: 0, max: 6 })),
  share: fc.option(fc.constantFrom(0.1, 0.25, 0.5, 0.75, 1)),
  window: fc.option(
    fc.record({ seconds: fc.integer({ min: 5, max: 60 }), count: fc.integer({ min: 0, max: 6 }) }),
  ),
});

const limitsText = (l: ReferenceLimits): string =>
  [
    l.count === null ? '' : `(at-once ${l.count})`,
    l.share === null ? '' : `(at-once-share ${l.share})`,
    l.window === null ? '' : `(within ${l.window.seconds} ${l.window.count})`,
  ].join(' ');

describe('BudgetLedger', () => {
  it('grants a disruption exactly when the reference model has room, in random histories', () => {
    let granted = 0;
    let refused = 0;
    fc.assert(
      fc.property(
        drawnLimits,
        drawnLimits,
        fc.array(drawnAction, { minLength: 10, maxLength: 60, size: 'max' }),
        (team, jobClass, actions) => {
          const text = `(drain (budgets (team blue ${limitsText(team)} (class settle ${limitsText(jobClass)} ))))`;
          const settings =
            limitsText(jobClass).trim() === '' ? text.replace(/\(class.*\)\)\)\)$/, ')))') : text;
          const ledger = new BudgetLedger(settingsOf(settings));
          const fleet = new TaskFleet(TASK_COUNT);
          const disruptions: (ReferenceDisruption & { index: number })[] = [];
          let now = 1_000_000;
          for (const { kind, index } of actions) {
            if (kind === 'wait') now += index;
            ledger.update(fleet.view, moment(now));
            const attempt = fleet.attemptOf(index);
            const openDisruption = disruptions.find((d) => d.open && d.index === index);
            if (kind === 'resume' && openDisruption && !attempt) {
              fleet.runTask(index);
              openDisruption.open = false;
            } else if (kind === 'lose' && attempt) {
              ledger.recordInvoluntary(attempt, moment(now));
              fleet.stopTask(index);
              disruptions.push({ team: 'blue', jobClass: 'settle', at: now, open: true, index });
            } else if (kind === 'disrupt' && attempt) {
              const hasReferenceRoom = [team, jobClass].every((l) =>
                hasRoom(l, disruptions, fleet.tasksOnMachines, 0, now),
              );
              const result = ledger.requestDisruption(attempt, fleet.view, moment(now));
              const isGranted = result !== null && 'phase' in result;
              expect(isGranted, JSON.stringify({ team, jobClass, disruptions, result, now })).toBe(
                hasReferenceRoom,
              );
              if (isGranted) granted += 1;
              else refused += 1;
              if (!isGranted) continue;
              ledger.grant(result, moment(now));
              fleet.stopTask(index);
              disruptions.push({ team: 'blue', jobClass: 'settle', at: now, open: true, index });
            }
            ledger.update(fleet.view, moment(now));
          }
        },
      ),
      { numRuns: 1500 },
    );
    expect(granted).toBeGreaterThan(500);
    expect(refused).toBeGreaterThan(500);
  });
});
