/** One-way partitions: machines that receive no replies, and machines whose heartbeats are lost. */
import { describe, expect, it } from 'vitest';
import type { Effect } from '../src/core/model/effect.js';
import type { JobId, MachineId, ReplyTicket, TeamName } from '../src/core/model/ids.js';
import { core, heartbeatOf, team } from './support/builders.js';
import { CoreDriver, running } from './support/core-driver.js';

const hasRequestedDeletion = (effects: readonly Effect[], id: string) =>
  effects.some(
    (effect) => effect.kind === 'delete-machines' && effect.machines.includes(id as MachineId),
  );

describe('a machine whose heartbeats arrive while replies do not reach it', () => {
  /** The replies are lost: the machine goes on reporting that it has no tasks. */
  const loseReplies = (driver: CoreDriver, id: string, reports: number) => {
    const effects: Effect[] = [];
    for (let i = 0; i < reports; i += 1) {
      driver.sendHeartbeat(id);
      effects.push(...driver.advance(500));
    }
    return effects;
  };

  it('gets no more work, is replaced, and its tasks run elsewhere once it is deleted', () => {
    const driver = new CoreDriver();
    for (const id of ['n-1', 'n-2', 'n-3']) driver.bringUp(id);
    driver.submit('job-1', { tasks: 1 });
    const holder = ['n-1', 'n-2', 'n-3'].find(
      (id) => driver.startsIn(driver.sendHeartbeat(id)).length > 0,
    )!;
    const others = ['n-1', 'n-2', 'n-3'].filter((id) => id !== holder);
    const effects = loseReplies(driver, holder, 6);
    expect(hasRequestedDeletion(effects, holder)).toBe(true);
    driver.submit('job-2', { tasks: 1 });
    expect(driver.startsIn(driver.sendHeartbeat(holder))).toEqual([]);
    const meanwhile = others
      .flatMap((id) => driver.startsIn(driver.sendHeartbeat(id)))
      .map((command) => command.job);
    expect(meanwhile).toEqual(['job-2']);
    driver.send({ kind: 'deletion-result', machines: [holder as MachineId], ok: true });
    const after = others
      .flatMap((id) => driver.startsIn(driver.sendHeartbeat(id)))
      .map((command) => command.job);
    expect(after).toContain('job-1');
  });

  it('is detected by rising agent epochs, and gets no start of an ended epoch again', () => {
    const driver = new CoreDriver();
    for (const id of ['n-1', 'n-2', 'n-3', 'n-4', 'n-5']) driver.bringUp(id);
    driver.submit('job-1', { tasks: 40 });
    const first = driver.startsIn(driver.sendHeartbeat('n-1'));
    expect(first.length).toBeGreaterThan(0);
    const attempts = new Set(first.map((command) => command.attempt));
    // Its lease ran out though it was replied to: heartbeats of the new epoch list nothing.
    driver.sendHeartbeat('n-1', [], { agentEpoch: 2 });
    const again = driver.startsIn(driver.sendHeartbeat('n-1', [], { agentEpoch: 2 }));
    for (const command of again) expect(attempts.has(command.attempt)).toBe(false);
    for (const agentEpoch of [3, 4, 5, 6]) driver.sendHeartbeat('n-1', [], { agentEpoch });
    expect(driver.state.machines.get('n-1' as MachineId)?.isUnreachable).toBe(true);
  });

  it('gets work again a lease later when no more replies are lost', () => {
    const driver = new CoreDriver();
    driver.bringUp('n-1');
    driver.submit('job-1', { tasks: 1 });
    for (let i = 0; i < 3; i += 1) driver.sendHeartbeat('n-1');
    driver.send({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 5 as ReplyTicket });
    driver.submit('job-2', { tasks: 1 });
    expect(driver.startsIn(driver.sendHeartbeat('n-1'))).toEqual([]);
    for (let i = 0; i < 12; i += 1) {
      driver.advance(1500);
      const starts = driver.startsIn(driver.sendHeartbeat('n-1'));
      if (starts.length === 0) continue;
      driver.sendHeartbeat('n-1', starts.map(running));
      break;
    }
    expect(driver.state.jobs.get('job-2' as JobId)?.attemptsByTask.size).toBe(1);
    expect(driver.state.machines.get('n-1' as MachineId)).toMatchObject({
      unacknowledgedReplies: 0,
      isUnreachable: false,
    });
  });

  it('counts a cancelled task until a heartbeat proves it absent', () => {
    const driver = new CoreDriver();
    driver.bringUp('n-1');
    driver.submit('job-1', { tasks: 8 });
    const starts = driver.startsIn(driver.sendHeartbeat('n-1'));
    driver.sendHeartbeat('n-1', starts.map(running));
    driver.send({ kind: 'cancel-job', job: 'job-1' as JobId, ticket: 5 as ReplyTicket });
    for (let i = 0; i < 3; i += 1) driver.sendHeartbeat('n-1', starts.map(running));
    expect(driver.state.teamUsage.get('blue' as TeamName)?.cpus).toBe(8);
    driver.sendHeartbeat('n-1', []);
    expect(driver.state.teamUsage.get('blue' as TeamName)?.cpus).toBe(0);
  });

  it('is not replaced when many seem unreachable, since the leader is more likely at fault', () => {
    const driver = new CoreDriver();
    const ids = Array.from({ length: 10 }, (_, i) => `n-${i}`);
    for (const id of ids) driver.bringUp(id);
    driver.submit('job-1', { tasks: 80, team: 'blue' });
    const effects: Effect[] = [];
    for (let i = 0; i < 8; i += 1) {
      for (const id of ids) driver.sendHeartbeat(id);
      effects.push(...driver.advance(250));
    }
    expect(
      new Set(
        effects.flatMap((effect) => (effect.kind === 'delete-machines' ? effect.machines : [])),
      ).size,
    ).toBeLessThan(4);
  });
});

describe('machines whose heartbeats stop', () => {
  const coreWithLargeQuota = () =>
    core({ teams: new Map([['blue' as TeamName, team('blue', 400)]]) });
  /** Fifty machines with a task each; of those named no heartbeat arrives, the others go on. */
  const playFleet = (
    names: readonly string[],
    ms: number,
    driver = new CoreDriver(coreWithLargeQuota()),
  ) => {
    const ids = Array.from({ length: 50 }, (_, i) => `n-${i}`);
    if (driver.state.machines.size === 0) {
      for (const [seq, term] of [
        [1, 6],
        [2, 7],
      ] as const) {
        for (const [i, id] of ids.entries())
          driver.send({
            kind: 'heartbeat',
            heartbeat: heartbeatOf(id, seq, term),
            ticket: (seq * 100 + i) as ReplyTicket,
          });
        driver.advance(1500);
      }
      driver.submit('job-1', { tasks: 50, cpus: 8, estimateS: 500 });
    }
    const effects: Effect[] = [];
    let seq = 1000 + driver.now;
    for (const end = driver.now + ms; driver.now < end; ) {
      for (const [i, id] of ids.entries()) {
        if (names.includes(id) || !driver.state.machines.has(id as MachineId)) continue;
        const held = [...driver.state.machines.get(id as MachineId)!.placements.values()];
        const reported = held
          .filter((placement) => placement.phase !== 'persisting')
          .map((placement) => running(placement.entry));
        seq += 1;
        const ticket = (seq * 100 + i) as ReplyTicket;
        effects.push(
          ...driver.send({
            kind: 'heartbeat',
            heartbeat: heartbeatOf(id, seq, 7, reported),
            ticket,
          }),
        );
      }
      effects.push(...driver.advance(1000));
    }
    return { driver, effects };
  };
  const deletedBy = (effects: readonly Effect[]) =>
    new Set(
      effects.flatMap((effect) => (effect.kind === 'delete-machines' ? effect.machines : [])),
    );

  it('are not replaced within two leases when many stop at once', () => {
    const { driver } = playFleet([], 4000);
    const many = Array.from({ length: 15 }, (_, i) => `n-${i}`);
    const leaseMs = driver.state.config.workerLeaseMs;
    expect(driver.state.teamUsage.get('blue' as TeamName)?.cpus).toBeGreaterThan(0);
    const hang = playFleet(many, leaseMs - 2000, driver);
    expect(deletedBy(hang.effects).size).toBe(0);
    expect(
      [...driver.state.machines.values()].filter((machine) => machine.lostAt !== null),
    ).toEqual([]);
    const longer = playFleet(many, leaseMs - 2000, driver);
    expect(deletedBy(longer.effects).size).toBe(0);
    // Their leases have expired: nothing is counted on them, and they are not ready.
    for (const id of many)
      expect(driver.state.machines.get(id as MachineId)).toMatchObject({
        attemptCount: 0,
        isReady: false,
      });
    const after = playFleet(many, 8000, driver);
    expect(deletedBy(after.effects).size).toBe(15);
  });

  it('are replaced after four heartbeat intervals when few stop', () => {
    const few = ['n-3', 'n-4', 'n-5', 'n-6', 'n-7'];
    const { driver } = playFleet([], 4000);
    const { heartbeatIntervalMs: reportMs } = driver.state.config;
    expect(deletedBy(playFleet(few, 3 * reportMs, driver).effects).size).toBe(0);
    expect([...deletedBy(playFleet(few, 2 * reportMs + 1000, driver).effects)]).toEqual(few);
  });

  it('get no more work until the next heartbeat, and then at once', () => {
    const driver = new CoreDriver();
    driver.bringUp('n-1');
    driver.advance(2 * driver.state.config.heartbeatIntervalMs + 500);
    driver.submit('job-1', { tasks: 1 });
    driver.advance(1000);
    expect(driver.state.jobs.get('job-1' as JobId)?.attemptsByTask.size).toBe(0);
    expect(driver.startsIn(driver.sendHeartbeat('n-1'))).toHaveLength(1);
  });
});
