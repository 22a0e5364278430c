/** How a leader handles faulty machines, failing jobs and malformed messages. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import { explainJob, viewJob } from '../src/core/lifecycle/job-view.js';
import type { Effect } from '../src/core/model/effect.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  ReplyTicket,
  ZoneName,
} from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  machineType,
  recordedAttributes,
  taskStatus,
} from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

const SEGMENT = segmentKey(6 as FencingToken, 1);

describe('faulty machines', () => {
  it('are drained and deleted when they fail tasks of several jobs', () => {
    const driver = new CoreDriver();
    driver.submit('job-1');
    driver.submit('job-2');
    const starts = driver.startsIn(driver.bringUp('n-1'));
    expect(starts).toHaveLength(2);
    driver.sendHeartbeat(
      'n-1',
      starts.map((command) => ended(command, 'error')),
    );
    expect(driver.state.machines.get('n-1' as MachineId)?.isDraining).toBe(true);
    driver.sendHeartbeat('n-1');
    expect(
      driver
        .advance(1000)
        .some(
          (effect) =>
            effect.kind === 'delete-machines' && effect.machines.includes('n-1' as MachineId),
        ),
    ).toBe(true);
  });

  it('are not drained for a job that fails on all of them; that job backs off', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 1 });
    let startCount = 0;
    for (const id of ['n-1', 'n-2', 'n-3']) driver.bringUp(id);
    for (let round = 0; round < 40; round += 1) {
      for (const id of ['n-1', 'n-2', 'n-3']) {
        const starts = driver.startsIn(driver.sendHeartbeat(id));
        startCount += starts.length;
        if (starts.length > 0)
          driver.sendHeartbeat(
            id,
            starts.map((command) => ended(command, 'error')),
          );
      }
    }
    expect(startCount).toBeGreaterThan(3);
    expect(startCount).toBeLessThan(14);
    for (const machine of driver.state.machines.values()) expect(machine.isDraining).toBe(false);
    // The failing job does not block the queue: another gets the machines at once.
    driver.submit('job-2', { tasks: 8 });
    expect(driver.state.queueHead).not.toBe('job-1');
    expect(explainJob(driver.state, 'job-1' as JobId, driver.now as Instant)?.failsEverywhere).toBe(
      true,
    );
  });

  it('have their tasks started elsewhere only once the cloud has deleted them', () => {
    const driver = new CoreDriver();
    for (const id of ['n-1', 'n-2', 'n-3']) driver.bringUp(id);
    driver.submit('job-1');
    const holder = ['n-1', 'n-2', 'n-3'].find(
      (id) => driver.startsIn(driver.sendHeartbeat(id)).length > 0,
    )!;
    const others = ['n-1', 'n-2', 'n-3'].filter((id) => id !== holder);
    for (let i = 0; i < 3; i += 1) {
      driver.advance(2500);
      for (const id of others) expect(driver.startsIn(driver.sendHeartbeat(id))).toEqual([]);
    }
    const deletionRequests = driver.effects.flatMap((effect) =>
      effect.kind === 'delete-machines' ? effect.machines : [],
    );
    expect(deletionRequests).toContain(holder);
    driver.send({ kind: 'deletion-result', machines: [holder as MachineId], ok: true });
    const restarts = others.flatMap((id) => driver.startsIn(driver.sendHeartbeat(id)));
    expect(restarts).toHaveLength(1);
    // Late heartbeats of the deleted machine change nothing.
    expect(driver.sendHeartbeat(holder, [])).toBeNull();
    expect(driver.state.machines.has(holder as MachineId)).toBe(false);
  });

  it('are not deleted at once when most stop sending heartbeats together', () => {
    const driver = new CoreDriver();
    const ids = ['n-1', 'n-2', 'n-3', 'n-4'];
    for (const id of ids) driver.bringUp(id);
    // Their last heartbeats arrive 400 ms apart.
    for (const id of ids) {
      driver.send({
        kind: 'heartbeat',
        heartbeat: heartbeatOf(id, 50, 7),
        ticket: 800 as ReplyTicket,
      });
      driver.now += 400;
    }
    expect(driver.advance(20_000).filter((effect) => effect.kind === 'delete-machines')).toEqual(
      [],
    );
    expect(
      driver.advance(20_000).filter((effect) => effect.kind === 'delete-machines'),
    ).not.toEqual([]);
  });

  it('are drained on a reclaim notice: long tasks write a checkpoint or are killed', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', {
      tasks: 1,
      estimateS: 100,
      checkpointIntervalS: 10,
      checkpointWriteS: 3,
    });
    driver.submit('job-2', { tasks: 1, estimateS: 100 });
    driver.submit('job-3', { tasks: 1, estimateS: 2 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    expect(starts).toHaveLength(3);
    driver.sendHeartbeat('n-1', starts.map(running));
    driver.sendHeartbeat('n-1', starts.map(running), { reclaimNoticeS: 9 });
    driver.advance(500);
    const commands =
      driver.sendHeartbeat('n-1', starts.map(running), { reclaimNoticeS: 8.5 }) ?? [];
    const kills = new Map(
      commands
        .filter((command) => command.op === 'kill')
        .map((command) => [command.job as string, command]),
    );
    expect([...kills.keys()].sort()).toEqual(['job-1', 'job-2']);
    expect(kills.get('job-1')).toMatchObject({ graceS: expect.closeTo(8, 0) });
    expect(kills.get('job-2')).toMatchObject({ graceS: 0 });
  });

  it('are not deleted as failed boots when a new leader lists them long after boot', () => {
    const driver = new CoreDriver();
    const machines = [
      {
        id: 'n-7' as MachineId,
        endpoint: '127.0.0.1:9',
        type: 'c8' as MachineTypeName,
        zone: 'a' as ZoneName,
        spot: true,
        status: 'running' as const,
        ageS: 900,
      },
    ];
    driver.send({ kind: 'machines-listed', requestedAt: driver.now as Instant, machines });
    expect(driver.advance(10_000).filter((effect) => effect.kind === 'delete-machines')).toEqual(
      [],
    );
  });

  it('are deleted when they have not booted within the time limit', () => {
    const driver = new CoreDriver();
    driver.submit('job-1');
    const provision = driver.effects.find((effect) => effect.kind === 'provision');
    if (provision?.kind !== 'provision') throw new Error('no provision effect after submission');
    driver.send({
      kind: 'provision-result',
      request: provision.request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    });
    expect(driver.advance(60_000).filter((effect) => effect.kind === 'delete-machines')).toEqual(
      [],
    );
    expect(
      driver.advance(10_000).find((effect) => effect.kind === 'delete-machines'),
    ).toMatchObject({
      machines: ['n-1'],
    });
  });
});

describe('applyCommands on malformed input', () => {
  it('kills a reported task that its job does not have, and does not count it', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    const unknownTask = taskStatus('job-1', 999_999_999, 3);
    const commands = driver.sendHeartbeat('n-1', [...starts.map(running), unknownTask]);
    expect(commands).toMatchObject([{ op: 'kill', index: 999_999_999 }]);
    driver.sendHeartbeat('n-1', starts.map(running));
    expect(driver.state.jobs.get('job-1' as JobId)?.pendingTasks).toBe(0);
    expect(
      driver.startsIn(driver.sendHeartbeat('n-1', []) ?? []).every((command) => command.index < 2),
    ).toBe(true);
  });

  it('ignores recovered progress whose first task is invalid for the job', () => {
    const state = core();
    applyCommands(
      state,
      [{ kind: 'job', spec: job('job-1', { tasks: 3 }), submittedAt: 0 as Instant }],
      0 as Instant,
      'lead',
    );
    for (const firstTask of [-8, 8, 4, 8192, Number.NaN, 0.5]) {
      const bits = Uint8Array.of(255);
      applyCommands(
        state,
        [
          {
            kind: 'recovered-progress',
            segment: SEGMENT,
            job: 'job-1' as JobId,
            firstTask,
            bits,
          },
        ],
        0 as Instant,
        'lead',
      );
    }
    expect(state.jobs.get('job-1' as JobId)).toMatchObject({ doneCount: 0, pendingTasks: 3 });
  });
});

describe('a leader', () => {
  it('provisions nothing before it has read the machine list, and reuses no request id', () => {
    const state = core();
    const tick = (now: number) => applyCommands(state, [{ kind: 'tick' }], now as Instant, 'lead');
    applyCommands(
      state,
      [{ kind: 'machine-types', types: [machineType('c8')] }, { kind: 'recovery-completed' }],
      0 as Instant,
      'lead',
    );
    expect(
      [1000, 2000, 3000].flatMap(tick).filter((effect) => effect.kind === 'provision'),
    ).toEqual([]);
    applyCommands(
      state,
      [{ kind: 'machines-listed', requestedAt: 3000 as Instant, machines: [] }],
      3000 as Instant,
      'lead',
    );
    const requestIds: string[] = [];
    for (let now = 4000; now < 90_000; now += 500) {
      for (const effect of tick(now)) {
        if (effect.kind !== 'provision') continue;
        requestIds.push(effect.request);
        applyCommands(
          state,
          [{ kind: 'provision-result', request: effect.request, result: 'refused', machines: [] }],
          now as Instant,
          'lead',
        );
      }
    }
    expect(requestIds.length).toBeGreaterThan(5);
    expect(new Set(requestIds).size).toBe(requestIds.length);
    for (const requestId of requestIds) expect(requestId).toMatch(/^r-7-/);
  });

  it('sends empty replies while it may only keep workers alive, and none after that', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 4 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    expect(starts).toHaveLength(4);
    driver.submit('job-2', { tasks: 4 });
    expect(driver.sendHeartbeat('n-1', starts.map(running), {}, 'keep-alive')).toEqual([]);
    const tickEffects = driver.run('keep-alive', [{ kind: 'tick' }]);
    expect(tickEffects.filter((effect) => effect.kind !== 'log')).toEqual([]);
    expect(driver.sendHeartbeat('n-1', starts.map(running), {}, 'none')).toBeNull();
  });

  it('keeps a recovered attempt until an authoritative heartbeat proves it absent', () => {
    const state = core();
    applyCommands(
      state,
      [{ kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant }],
      0 as Instant,
      'lead',
    );
    applyCommands(
      state,
      [
        {
          kind: 'recovered-attempts',
          segment: SEGMENT,
          machine: 'n-1' as MachineId,
          attributes: recordedAttributes,
          entries: [ledgerEntry(0, 5)],
        },
      ],
      0 as Instant,
      'lead',
    );
    const driver = new CoreDriver(state);
    driver.bringUp('n-2');
    expect(driver.startsIn(driver.sendHeartbeat('n-2'))).toEqual([]);
    // Neither a heartbeat with an older fencing token nor a direct response proves absence.
    driver.send({
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 1, 6),
      ticket: 900 as ReplyTicket,
    });
    driver.send({ kind: 'heartbeat', heartbeat: heartbeatOf('n-1', 2, 7), ticket: null });
    expect(driver.startsIn(driver.sendHeartbeat('n-2'))).toEqual([]);
    driver.send({
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 3, 7),
      ticket: 901 as ReplyTicket,
    });
    const starts = [...driver.startsIn(driver.sendHeartbeat('n-2'))];
    for (const effect of driver.effects)
      if (effect.kind === 'reply-to-heartbeat' && effect.ticket === 901)
        starts.push(...driver.startsIn(effect.commands));
    expect(starts).toHaveLength(1);
    expect(starts[0]?.attempt).toBeGreaterThan(7_000_000 - 1);
  });

  it('commands the worker to reap a result only once its progress is stored', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    const reported = [ended(starts[0]!, 'done'), running(starts[1]!)];
    const effects: Effect[] = applyCommands(
      driver.state,
      [
        {
          kind: 'heartbeat',
          heartbeat: heartbeatOf('n-1', 50, 7, reported),
          ticket: 700 as ReplyTicket,
        },
      ],
      driver.now as Instant,
      'lead',
    );
    const reply = effects.find((effect) => effect.kind === 'reply-to-heartbeat');
    expect(reply).toMatchObject({ commands: [] });
    driver.advance(2000);
    const machine = driver.state.machines.get('n-1' as MachineId)!;
    machine.heartbeatSequence = 0;
    expect(driver.sendHeartbeat('n-1', reported)).toMatchObject([
      { op: 'reap', index: starts[0]!.index },
    ]);
  });

  it('kills a cancelled job, unconfirmed starts included, and confirms once it is stored', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    driver.sendHeartbeat('n-1', [running(starts[0]!)]);
    const effects = driver.send({
      kind: 'cancel-job',
      job: 'job-1' as JobId,
      ticket: 77 as ReplyTicket,
    });
    const kinds = effects.map((effect) => effect.kind);
    expect(kinds.indexOf('store-batch')).toBeLessThan(kinds.indexOf('cancellation-settled'));
    expect(effects.find((effect) => effect.kind === 'send-commands')).toMatchObject({
      commands: [{ op: 'kill' }, { op: 'kill' }],
    });
    // The worker received the second start: both kills are sent again.
    expect(driver.sendHeartbeat('n-1', starts.map(running))).toMatchObject([
      { op: 'kill' },
      { op: 'kill' },
    ]);
    expect(viewJob(driver.state, 'job-1' as JobId, driver.now as Instant)).toBeNull();
  });
});
