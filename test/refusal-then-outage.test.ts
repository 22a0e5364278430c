/**
 * The state service refuses the leader alone, another controller confirms cancellations, and then it is down for all while workers
 * go on reporting: whoever answers them without a valid lease must not keep a cancelled task alive.
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
import { core, entry, job, recordedAt, report, task, type } from './model/build.js';
import { CoreDriver, running } from './model/core-driver.js';
import { post } from './stand-ins/cloud.js';
import { body, cleanUp, cluster, status, until } from './stand-ins/cluster.js';

afterEach(cleanUp);

const abort: Command = { kind: 'cancel-job', job: 'job-1' as JobId, ticket: 77 as ReplyTicket };
const killOf = (index: number, attempt: number) => ({
  op: 'kill',
  job: 'job-1',
  index,
  attempt,
  graceS: 0,
});

/** A leader of term 8 that has read what the one of term 7 left: attempt 7000001 of job-1 on n-1, which it has not heard of. */
const successor = (jobKnown: boolean, change: object = {}) => {
  const state = core({ fencingToken: 8 as FencingToken });
  const run = (now: number, authority: Authority, ...commands: Command[]): Effect[] =>
    applyCommands(state, commands, now as Instant, authority);
  const spec = job('job-1', { tasks: 2, ...change });
  run(
    0,
    'lead',
    { kind: 'machine-types', types: [type('c8')] },
    ...(jobKnown ? [{ kind: 'job', spec, submittedAt: 0 as Instant } as const] : []),
    {
      kind: 'recovered-attempts',
      segment: segmentKey(7 as FencingToken, 1),
      machine: 'n-1' as MachineId,
      attributes: recordedAt,
      entries: [entry(0, 7_000_001)],
    },
    { kind: 'recovery-completed' },
  );
  const checkIn = (now: number, authority: Authority, seq: number) => {
    const told = report('n-1', seq, 7, [task('job-1', 0, 7_000_001)]);
    const effects = run(now, authority, {
      kind: 'heartbeat',
      heartbeat: told,
      ticket: seq as ReplyTicket,
    });
    const answer = effects.find((e) => e.kind === 'reply-to-heartbeat' && e.ticket === seq);
    return answer?.kind === 'reply-to-heartbeat' ? answer.commands : undefined;
  };
  return { state, run, checkIn };
};

describe('a leader that has confirmed a cancellation and then lost its lease', () => {
  for (const shape of ['array', 'service'] as const) {
    it(`kills in its answers what the former leader’s workers bring with them (${shape})`, () => {
      const { state, run, checkIn } = successor(true, { shape });
      expect([...state.jobs.values()].map(isService)).toEqual([shape === 'service']);
      const asked = run(100, 'lead', abort);
      const save = asked.find((e) => e.kind === 'store-batch');
      if (save?.kind !== 'store-batch') throw new Error('not stored');
      const told = run(150, 'lead', { kind: 'batch-stored', batch: save.batch });
      expect(told).toContainEqual({
        kind: 'cancellation-settled',
        ticket: 77,
        outcome: 'cancelled',
      });
      // The outage begins; the worker comes here when the former leader no longer answers it.
      expect(checkIn(20_000, 'keep-alive', 1)).toEqual([killOf(0, 7_000_001)]);
      // Should the answer be lost, it is told directly, and again at its next report.
      const direct = run(22_500, 'keep-alive', { kind: 'tick' });
      expect(direct).toContainEqual(
        expect.objectContaining({
          kind: 'send-commands',
          machine: 'n-1',
          commands: [killOf(0, 7_000_001)],
        }),
      );
      expect(checkIn(23_000, 'keep-alive', 2)).toEqual([killOf(0, 7_000_001)]);
    });
  }

  it('kills what it was asked to cancel also where it never learns that this was stored', () => {
    const { run, checkIn } = successor(true);
    run(100, 'lead', abort);
    expect(checkIn(4000, 'keep-alive', 1)).toEqual([killOf(0, 7_000_001)]);
  });

  it('kills what is left of a job that an earlier leader cancelled', () => {
    const { checkIn } = successor(false);
    expect(checkIn(4000, 'keep-alive', 1)).toEqual([killOf(0, 7_000_001)]);
  });

  it('orders nothing else: what is not cancelled lives on, and nothing starts or is dropped', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    s.submit('job-2', { tasks: 3 });
    const starts = s.starts(s.up('n-1'));
    const told = starts.map((o) =>
      o.job === 'job-2' && o.index === 0
        ? task('job-2', 0, o.attempt, 'ended', 'done')
        : running(o),
    );
    s.send(abort);
    const orders = s.checkIn('n-1', told, {}, 'keep-alive') ?? [];
    expect(orders.map((o) => [o.op, o.job])).toEqual([
      ['kill', 'job-1'],
      ['kill', 'job-1'],
    ]);
    const others = s.run('keep-alive', [{ kind: 'tick' }]).filter((e) => e.kind !== 'log');
    expect(others.every((e) => e.kind === 'send-commands')).toBe(true);
    expect(s.checkIn('n-1', told, {}, 'none')).toBeNull();
  });
});

describe('three controllers, of which the leader alone is refused before the state service is out', () => {
  it('end the tasks of what the next leader has called cancelled, and keep the others alive', async () => {
    // A lease long enough not to be lost to a busy machine, so that the leader that confirms is the one that the outage meets; and
    // a report period so long that it does not replace the workers that it cannot hear.
    const { nodes, state, fronts, cloud } = await cluster(3, 3, 2000, -1, 4);
    cloud.taskMs = 10_000_000;
    const of = (id: string) =>
      [...cloud.workers.values()]
        .flatMap((w) => w.running())
        .filter((piece) => piece.startsWith(`${id}/`));
    for (const id of ['job-1', 'job-2']) await post(nodes[0]!.at, '/api/jobs', body(id));
    await until(() => of('job-1').length === 3 && of('job-2').length === 3);
    const old = nodes.find((n) => n.controller.authority() === 'lead')!;
    // The workers know only the old leader for now.
    cloud.nodes = [old.at];
    fronts[nodes.indexOf(old)]!.refuse = true;
    const next = await until(() =>
      nodes.find((n) => n !== old && n.controller.authority() === 'lead'),
    );
    await until(async () => {
      const answer = await post(next.at, '/api/jobs/job-1/abort', {});
      return (answer?.body as { Status?: string } | null)?.Status === 'withdrawn';
    });
    state.down = true;
    await until(() => next.controller.authority() === 'keep-alive');
    expect(of('job-1')).toHaveLength(3);
    cloud.nodes = nodes.map((n) => n.at);
    await until(() => of('job-1').length === 0);
    expect(next.controller.authority()).toBe('keep-alive');
    expect(of('job-2')).toHaveLength(3);
    expect((await status(next.at, 'job-1'))?.body.Status).toBe('withdrawn');
    // Nothing was started for it meanwhile, and afterwards the others go on where they are.
    state.down = false;
    for (const front of fronts) front.refuse = false;
    await until(() => nodes.some((n) => n.controller.authority() === 'lead'));
    await until(async () => (await status(nodes[0]!.at, 'job-2'))?.body.running === 3);
    expect(cloud.starts).toHaveLength(6);
  });
});

describe('a leader that is asked to cancel', () => {
  it('kills at once and starts no more of it, before the end is stored and any node can tell of it', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 3 });
    const starts = s.starts(s.up('n-1'));
    s.checkIn('n-1', starts.map(running));
    const effects = applyCommands(s.state, [abort], s.now as Instant, 'lead');
    const kinds = effects.map((e) => e.kind);
    expect(kinds.indexOf('send-commands')).toBeGreaterThanOrEqual(0);
    expect(kinds.indexOf('send-commands')).toBeLessThan(kinds.indexOf('store-batch'));
    expect(kinds).not.toContain('cancellation-settled');
    // All three have ended, and wait for nothing: the job is not placed again while its end is being stored.
    const ended = starts.map((o) => task('job-1', o.index, o.attempt, 'ended', 'stopped'));
    for (let i = 0; i < 20; i += 1) {
      s.now += 500;
      const told = report('n-1', 100 + i, 7, i < 2 ? ended : []);
      const more = applyCommands(
        s.state,
        [
          { kind: 'heartbeat', heartbeat: told, ticket: (100 + i) as ReplyTicket },
          { kind: 'tick' },
        ],
        s.now as Instant,
        'lead',
      );
      for (const e of more)
        if (e.kind === 'reply-to-heartbeat') expect(s.starts(e.commands)).toEqual([]);
    }
  });
});

describe('the time for which a leader without a lease keeps workers alive', () => {
  /** Clocks differ from true time by this at most. */
  const DRIFT = 0.0005;

  it('and a lease after it leave a cancellation its time, whatever the settings, clocks and reports under way', () => {
    const lengths = fc.double({ min: 0.1, max: 3600, noNaN: true });
    fc.assert(
      fc.property(
        lengths,
        lengths,
        fc.double({ min: 0, max: 1, noNaN: true }),
        (cancelS, leaseS, late) => {
          const keep = graceAfterLeaseLoss((cancelS * 1000) as Millis, (leaseS * 1000) as Millis);
          // Where nothing is kept alive, the last answer was given while the lease was valid: as for any leader.
          if (keep === 0) return cancelS * 1000 < leaseS * 1000 * (1 + DRIFT) + 3100 + cancelS;
          // A slow clock here, the answered report sent `late` of 4 s before its answer, and a slow clock there.
          const lastAnswer = keep * (1 + DRIFT);
          const gone = lastAnswer - late * 4000 + leaseS * 1000 * (1 + DRIFT);
          return gone <= cancelS * 1000 - 2900;
        },
      ),
      { numRuns: 2000 },
    );
  });

  it('is nothing where the settings leave no room, and bounded where they leave much', () => {
    expect(graceAfterLeaseLoss(16_000 as Millis, 16_000 as Millis)).toBe(0);
    expect(graceAfterLeaseLoss(19_000 as Millis, 16_000 as Millis)).toBe(0);
    expect(graceAfterLeaseLoss(10_000 as Millis, 26_000 as Millis)).toBe(0);
    expect(graceAfterLeaseLoss(3_600_000 as Millis, 16_000 as Millis)).toBe(60_000);
  });
});

describe('what tells of a job after its end', () => {
  it('does not take it up again: a late answer to its admission, a watch or a read', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 2 });
    const starts = s.starts(s.up('n-1'));
    s.send(abort);
    expect(s.state.jobs.size).toBe(0);
    s.submit('job-1', { tasks: 2 });
    s.pass(3000);
    expect(s.state.jobs.size).toBe(0);
    const ended = starts.map((o) => task('job-1', o.index, o.attempt, 'ended', 'stopped'));
    for (let i = 0; i < 4; i += 1)
      expect(s.starts(s.checkIn('n-1', i === 0 ? ended : []))).toEqual([]);
    // Names come back in no other way, so that they need not be kept for good.
    for (let i = 2; i < 60; i += 1) {
      s.submit(`job-${i}`);
      s.send({ kind: 'cancel-job', job: `job-${i}` as JobId, ticket: (200 + i) as ReplyTicket });
      s.pass(5000);
    }
    expect(s.state.recentlyEndedJobs.size).toBeLessThan(30);
  });
});
