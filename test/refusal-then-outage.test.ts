/**
 * The key-value store refuses the leader alone, another controller confirms cancellations, and then
 * the store is down for all: a controller that replies to heartbeats without a valid lease must not
 * keep a cancelled task alive.
 */
import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import { graceAfterLeaseLoss } from '../src/core/lifecycle/worker-leases.js';
import type { Command } from '../src/core/model/command.js';
import type { Authority, Effect } from '../src/core/model/effect.js';
import type { FencingToken, JobId, MachineId, ReplyTicket } from '../src/core/model/ids.js';
import { isService } from '../src/core/model/job.js';
import type { Instant, Millis } from '../src/core/model/time.js';
import { cleanUp, getJob, jobBody, startCluster, until } from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  machineType,
  recordedAttributes,
  taskStatus,
} from './support/builders.js';
import { CoreDriver, running } from './support/core-driver.js';

afterEach(cleanUp);

const cancelCommand: Command = {
  kind: 'cancel-job',
  job: 'job-1' as JobId,
  ticket: 77 as ReplyTicket,
};
const killCommand = (index: number, attempt: number) => ({
  op: 'kill',
  job: 'job-1',
  index,
  attempt,
  graceS: 0,
});

/**
 * A leader with fencing token 8 that has recovered the ledger of the leader with token 7: attempt
 * 7000001 of job-1 on n-1. That machine has sent no heartbeat yet.
 */
const recoverLeader = (isJobKnown: boolean, change: object = {}) => {
  const state = core({ fencingToken: 8 as FencingToken });
  const run = (now: number, authority: Authority, ...commands: Command[]): Effect[] =>
    applyCommands(state, commands, now as Instant, authority);
  const spec = job('job-1', { tasks: 2, ...change });
  run(
    0,
    'lead',
    { kind: 'machine-types', types: [machineType('c8')] },
    ...(isJobKnown ? [{ kind: 'job', spec, submittedAt: 0 as Instant } as const] : []),
    {
      kind: 'recovered-attempts',
      segment: segmentKey(7 as FencingToken, 1),
      machine: 'n-1' as MachineId,
      attributes: recordedAttributes,
      entries: [ledgerEntry(0, 7_000_001)],
    },
    { kind: 'recovery-completed' },
  );
  const sendHeartbeat = (now: number, authority: Authority, seq: number) => {
    const reported = heartbeatOf('n-1', seq, 7, [taskStatus('job-1', 0, 7_000_001)]);
    const effects = run(now, authority, {
      kind: 'heartbeat',
      heartbeat: reported,
      ticket: seq as ReplyTicket,
    });
    const answer = effects.find(
      (effect) => effect.kind === 'reply-to-heartbeat' && effect.ticket === seq,
    );
    return answer?.kind === 'reply-to-heartbeat' ? answer.commands : undefined;
  };
  return { state, run, sendHeartbeat };
};

describe('a leader that has confirmed a cancellation and then lost its lease', () => {
  for (const shape of ['array', 'service'] as const) {
    it(`kills in its replies the tasks that workers of the former leader report (${shape})`, () => {
      const { state, run, sendHeartbeat } = recoverLeader(true, { shape });
      expect([...state.jobs.values()].map(isService)).toEqual([shape === 'service']);
      const cancelEffects = run(100, 'lead', cancelCommand);
      const storeBatch = cancelEffects.find((effect) => effect.kind === 'store-batch');
      if (storeBatch?.kind !== 'store-batch') throw new Error('not stored');
      const effects = run(150, 'lead', { kind: 'batch-stored', batch: storeBatch.batch });
      expect(effects).toContainEqual({
        kind: 'cancellation-settled',
        ticket: 77,
        outcome: 'cancelled',
      });
      // In the outage the worker turns to this leader once the former one no longer replies.
      expect(sendHeartbeat(20_000, 'keep-alive', 1)).toEqual([killCommand(0, 7_000_001)]);
      // In case the reply is lost, the kill is sent directly, and again in the next reply.
      const tickEffects = run(22_500, 'keep-alive', { kind: 'tick' });
      expect(tickEffects).toContainEqual(
        expect.objectContaining({
          kind: 'send-commands',
          machine: 'n-1',
          commands: [killCommand(0, 7_000_001)],
        }),
      );
      expect(sendHeartbeat(23_000, 'keep-alive', 2)).toEqual([killCommand(0, 7_000_001)]);
    });
  }

  it('kills a cancelled job’s tasks even if it never learns that the end is stored', () => {
    const { run, sendHeartbeat } = recoverLeader(true);
    run(100, 'lead', cancelCommand);
    expect(sendHeartbeat(4000, 'keep-alive', 1)).toEqual([killCommand(0, 7_000_001)]);
  });

  it('kills the remaining tasks of a job that a former leader cancelled', () => {
    const { sendHeartbeat } = recoverLeader(false);
    expect(sendHeartbeat(4000, 'keep-alive', 1)).toEqual([killCommand(0, 7_000_001)]);
  });

  it('sends no other commands: other tasks run on, and nothing starts or is reaped', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    driver.submit('job-2', { tasks: 3 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    const reported = starts.map((command) =>
      command.job === 'job-2' && command.index === 0
        ? taskStatus('job-2', 0, command.attempt, 'ended', 'done')
        : running(command),
    );
    driver.send(cancelCommand);
    const commands = driver.sendHeartbeat('n-1', reported, {}, 'keep-alive') ?? [];
    expect(commands.map((command) => [command.op, command.job])).toEqual([
      ['kill', 'job-1'],
      ['kill', 'job-1'],
    ]);
    const otherEffects = driver
      .run('keep-alive', [{ kind: 'tick' }])
      .filter((effect) => effect.kind !== 'log');
    expect(otherEffects.every((effect) => effect.kind === 'send-commands')).toBe(true);
    expect(driver.sendHeartbeat('n-1', reported, {}, 'none')).toBeNull();
  });
});

describe('three controllers whose store refuses the leader and then goes down', () => {
  it('kill the tasks of a job whose cancellation the next leader confirmed', async () => {
    // The lease outlasts delays on a busy machine, so that the confirming leader still leads
    // when the outage begins; the heartbeat interval is too long for silent workers to be replaced.
    const { nodes, state, storeEndpoints, cloud } = await startCluster(3, {
      leaderLeaseMs: 2000,
      heartbeatIntervalS: 4,
    });
    cloud.taskMs = 10_000_000;
    const tasksOf = (id: string) =>
      [...cloud.workers.values()]
        .flatMap((w) => w.running())
        .filter((task) => task.startsWith(`${id}/`));
    for (const id of ['job-1', 'job-2'])
      await requestJson(nodes[0]!.address, '/api/jobs', jobBody(id));
    await until(() => tasksOf('job-1').length === 3 && tasksOf('job-2').length === 3);
    const formerLeader = nodes.find((n) => n.controller.authority() === 'lead')!;
    // Workers send heartbeats to the former leader alone.
    cloud.controllerAddresses = [formerLeader.address];
    storeEndpoints[nodes.indexOf(formerLeader)]!.isDown = true;
    const newLeader = await until(() =>
      nodes.find((n) => n !== formerLeader && n.controller.authority() === 'lead'),
    );
    await until(async () => {
      const answer = await requestJson(newLeader.address, '/api/jobs/job-1/abort', {});
      return (answer?.body as { Status?: string } | null)?.Status === 'withdrawn';
    });
    state.isDown = true;
    await until(() => newLeader.controller.authority() === 'keep-alive');
    expect(tasksOf('job-1')).toHaveLength(3);
    cloud.controllerAddresses = nodes.map((n) => n.address);
    await until(() => tasksOf('job-1').length === 0);
    expect(newLeader.controller.authority()).toBe('keep-alive');
    expect(tasksOf('job-2')).toHaveLength(3);
    expect((await getJob(newLeader.address, 'job-1'))?.body.Status).toBe('withdrawn');
    // No task started in the outage, and those of job-2 run on after it.
    state.isDown = false;
    for (const endpoint of storeEndpoints) endpoint.isDown = false;
    await until(() => nodes.some((n) => n.controller.authority() === 'lead'));
    await until(async () => (await getJob(nodes[0]!.address, 'job-2'))?.body.running === 3);
    expect(cloud.starts).toHaveLength(6);
  });
});

describe('a leader that receives a cancellation', () => {
  it('kills the tasks and starts no more before the end is stored', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 3 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    driver.sendHeartbeat('n-1', starts.map(running));
    const effects = applyCommands(driver.state, [cancelCommand], driver.now as Instant, 'lead');
    const kinds = effects.map((effect) => effect.kind);
    expect(kinds.indexOf('send-commands')).toBeGreaterThanOrEqual(0);
    expect(kinds.indexOf('send-commands')).toBeLessThan(kinds.indexOf('store-batch'));
    expect(kinds).not.toContain('cancellation-settled');
    // All three tasks have ended: none is placed again while the end is being stored.
    const ended = starts.map((command) =>
      taskStatus('job-1', command.index, command.attempt, 'ended', 'stopped'),
    );
    for (let i = 0; i < 20; i += 1) {
      driver.now += 500;
      const reported = heartbeatOf('n-1', 100 + i, 7, i < 2 ? ended : []);
      const more = applyCommands(
        driver.state,
        [
          { kind: 'heartbeat', heartbeat: reported, ticket: (100 + i) as ReplyTicket },
          { kind: 'tick' },
        ],
        driver.now as Instant,
        'lead',
      );
      for (const effect of more)
        if (effect.kind === 'reply-to-heartbeat')
          expect(driver.startsIn(effect.commands)).toEqual([]);
    }
  });
});

describe('graceAfterLeaseLoss', () => {
  /** Largest relative error of a clock's rate. */
  const DRIFT = 0.0005;

  it('lets cancellations take effect in time, for any settings and clock drift', () => {
    const seconds = fc.double({ min: 0.1, max: 3600, noNaN: true });
    fc.assert(
      fc.property(
        seconds,
        seconds,
        fc.double({ min: 0, max: 1, noNaN: true }),
        (cancelS, leaseS, delayShare) => {
          const graceMs = graceAfterLeaseLoss(
            (cancelS * 1000) as Millis,
            (leaseS * 1000) as Millis,
          );
          // Without grace, the last reply was sent under a valid lease.
          if (graceMs === 0) return cancelS * 1000 < leaseS * 1000 * (1 + DRIFT) + 3100 + cancelS;
          // Both clocks are slow; the heartbeat was sent `delayShare` of 4 s before its reply.
          const lastReplyMs = graceMs * (1 + DRIFT);
          const endedMs = lastReplyMs - delayShare * 4000 + leaseS * 1000 * (1 + DRIFT);
          return endedMs <= cancelS * 1000 - 2900;
        },
      ),
      { numRuns: 2000 },
    );
  });

  it('is 0 if the settings leave no time for it, and at most 60 s', () => {
    expect(graceAfterLeaseLoss(16_000 as Millis, 16_000 as Millis)).toBe(0);
    expect(graceAfterLeaseLoss(19_000 as Millis, 16_000 as Millis)).toBe(0);
    expect(graceAfterLeaseLoss(10_000 as Millis, 26_000 as Millis)).toBe(0);
    expect(graceAfterLeaseLoss(3_600_000 as Millis, 16_000 as Millis)).toBe(60_000);
  });
});

describe('late messages about an ended job', () => {
  it('do not admit it again, whether from an admission, a watch or a read', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 2 });
    const starts = driver.startsIn(driver.bringUp('n-1'));
    driver.send(cancelCommand);
    expect(driver.state.jobs.size).toBe(0);
    driver.submit('job-1', { tasks: 2 });
    driver.advance(3000);
    expect(driver.state.jobs.size).toBe(0);
    const ended = starts.map((command) =>
      taskStatus('job-1', command.index, command.attempt, 'ended', 'stopped'),
    );
    for (let i = 0; i < 4; i += 1)
      expect(driver.startsIn(driver.sendHeartbeat('n-1', i === 0 ? ended : []))).toEqual([]);
    // Ids recur in no other way, so ended jobs are remembered for a limited time.
    for (let i = 2; i < 60; i += 1) {
      driver.submit(`job-${i}`);
      driver.send({
        kind: 'cancel-job',
        job: `job-${i}` as JobId,
        ticket: (200 + i) as ReplyTicket,
      });
      driver.advance(5000);
    }
    expect(driver.state.recentlyEndedJobs.size).toBeLessThan(30);
  });
});
