/** What a leader says of an unfinished job, and when it does not know. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import {
  explainJob,
  listJobProgress,
  viewJob,
  viewRecordedJob,
} from '../src/core/lifecycle/job-view.js';
import type { Command } from '../src/core/model/command.js';
import type { TaskStatus } from '../src/core/model/heartbeat.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ReplyTicket,
  TeamName,
} from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import { JobQueryService } from '../src/service/jobs/job-query-service.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  recordedAttributes,
  taskStatus,
} from './support/builders.js';
import { CoreDriver, running } from './support/core-driver.js';

const first = 'job-1' as JobId;
const second = 'job-2' as JobId;
const segment = segmentKey(7 as FencingToken, 1);

/** A new leader that has recovered two jobs, the first with an attempt that nobody has confirmed. */
const recoverLeader = (...more: Command[]) => {
  const state = core({ fencingToken: 8 as FencingToken });
  const run = (now: number, ...commands: Command[]) =>
    applyCommands(state, commands, now as Instant, 'lead');
  const recover = () =>
    run(
      0,
      { kind: 'job', spec: job(first), submittedAt: 0 as Instant },
      { kind: 'job', spec: job(second), submittedAt: 0 as Instant },
      {
        kind: 'recovered-attempts',
        segment,
        machine: 'n-1' as MachineId,
        attributes: recordedAttributes,
        entries: [ledgerEntry(0, 7_000_001)],
      },
      ...more,
      { kind: 'recovery-completed' },
    );
  const report = (now: number, sequence: number, token: number, tasks: TaskStatus[]) => {
    const heartbeat = heartbeatOf('n-1', sequence, token, tasks);
    run(now, { kind: 'heartbeat', heartbeat, ticket: sequence as ReplyTicket }, { kind: 'tick' });
  };
  const statuses = (now: number) =>
    [first, second].map((id) => viewJob(state, id, now as Instant)?.status ?? null);
  return { state, run, recover, report, statuses };
};

/** The queries of a node that leads with this state. */
const queriesOf = (state: ReturnType<typeof core>): JobQueryService =>
  new JobQueryService(
    {} as never,
    { view: () => null } as never,
    {} as never,
    () => ({ authority: () => 'lead', commandLoop: { core: state } }) as never,
    {} as never,
  );

describe('a new leader', () => {
  // Guards against: running jobs called queued until their workers have reported to a new leader.
  it('does not say whether a job runs before its machine has reported, and says it of others', () => {
    const { state, recover, report, statuses } = recoverLeader();
    recover();
    expect(statuses(100)).toEqual([null, 'queued']);
    expect(viewRecordedJob(state, first, 100 as Instant)).toBe('unknown');
    expect(listJobProgress(state, 100 as Instant)).toMatchObject([{ id: first, status: null }]);
    report(200, 1, 7, [taskStatus(first, 0, 7_000_001)]);
    expect(statuses(200)).toEqual(['running', 'queued']);
    expect(listJobProgress(state, 200 as Instant)).toMatchObject([{ id: first, running: 1 }]);
  });

  it('says that a job is queued once its machine is proven to be without its task', () => {
    const { recover, report, statuses } = recoverLeader();
    recover();
    // Under the former leader's token, the start may still be on its way.
    report(200, 1, 7, []);
    expect(statuses(200)).toEqual([null, 'queued']);
    report(700, 2, 8, []);
    expect(statuses(700)).toEqual(['queued', 'queued']);
  });

  it('does not say that any job is queued while a ledger segment is unreadable', () => {
    const unreadable = segmentKey(7 as FencingToken, 2);
    const { state, run, recover, statuses } = recoverLeader({
      kind: 'unreadable-segment',
      segment: unreadable,
    });
    recover();
    expect(statuses(100)).toEqual([null, null]);
    expect(viewRecordedJob(state, 'job-3' as JobId, 100 as Instant)).toBe('unknown');
    const end = state.schedulingStartsAt + 1;
    run(end, { kind: 'tick' });
    expect(statuses(end)[1]).toBe('queued');
  });

  // Guards against: lists that omit jobs which the new leader has not read yet, or does not know.
  it('lists a team only once it has read its jobs, and knows whether each of them runs', () => {
    const { state, recover, report } = recoverLeader();
    const list = () => queriesOf(state).listLocally('blue' as TeamName);
    expect(list()).toBeNull();
    recover();
    expect(list()).toBeNull();
    report(200, 1, 7, [taskStatus(first, 0, 7_000_001)]);
    expect(list()?.map(({ status }) => status)).toEqual(['running', 'queued']);
  });

  it('knows of a job that it does not list whether a task of it was ever placed', () => {
    const { state, recover } = recoverLeader();
    expect(viewRecordedJob(state, 'job-3' as JobId, 0 as Instant)).toBeNull();
    recover();
    expect(viewRecordedJob(state, 'job-3' as JobId, 100 as Instant)).toBe('never-placed');
  });
});

describe('a leader', () => {
  /** A leader with a machine that was sent the start of a task. */
  const startTask = (phase: TaskStatus['phase'] | 'unreported') => {
    const driver = new CoreDriver();
    driver.submit(first);
    const [start] = driver.startsIn(driver.bringUp('n-1'));
    if (!start) throw new Error('not started');
    if (phase !== 'unreported')
      driver.sendHeartbeat('n-1', [taskStatus(first, 0, start.attempt, phase)]);
    return { driver, start, view: () => viewJob(driver.state, first, driver.now as Instant) };
  };

  // Guards against: a job called queued whose tasks began on a machine that is no longer heard.
  it.each(['unreported', 'fetching'] as const)(
    'does not say that a job is queued while its machine is silent (%s)',
    (phase) => {
      const { driver, start, view } = startTask(phase);
      driver.advance(2000);
      expect(view()?.status).toBe('queued');
      driver.advance(4000);
      expect(view()).toBeNull();
      driver.sendHeartbeat('n-1', [running(start)]);
      expect(view()?.status).toBe('running');
    },
  );

  it('describes a job whose end is not stored to a node that has read its record', () => {
    const { driver } = startTask('running');
    const cancel = { kind: 'cancel-job', job: first, ticket: 9 as ReplyTicket } as const;
    applyCommands(driver.state, [cancel], driver.now as Instant, 'lead');
    const now = driver.now as Instant;
    expect(viewJob(driver.state, first, now)).toBeNull();
    expect(viewRecordedJob(driver.state, first, now)).toMatchObject({ status: 'running' });
    // Guards against: explanations of jobs that have ended.
    expect(explainJob(driver.state, first, now)).toBeNull();
  });
});
