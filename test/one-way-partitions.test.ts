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
  /** Sends heartbeats without tasks, as from a machine that receives no replies. */
  const sendEmptyHeartbeats = (driver: CoreDriver, id: string, count: number) => {
    const effects: Effect[] = [];
    for (let i = 0; i < count; i += 1) {
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
    const effects = sendEmptyHeartbeats(driver, holder, 6);
    expect(hasRequestedDeletion(effects, holder)).toBe(true);
    driver.submit('job-2', { tasks: 1 });
    expect(driver.startsIn(driver.sendHeartbeat(holder))).toEqual([]);
    const startedBeforeDeletion = others
      .flatMap((id) => driver.startsIn(driver.sendHeartbeat(id)))
      .map((command) => command.job);
    expect(startedBeforeDeletion).toEqual(['job-2']);
    driver.send({ kind: 'deletion-result', machines: [holder as MachineId], ok: true });
    const startedAfterDeletion = others
      .flatMap((id) => driver.startsIn(driver.sendHeartbeat(id)))
      .map((command) => command.job);
    expect(startedAfterDeletion).toContain('job-1');
  });

  it('is detected by its rising agent epoch, and is not sent an earlier attempt again', () => {
    const driver = new CoreDriver();
    for (const id of ['n-1', 'n-2', 'n-3', 'n-4', 'n-5']) driver.bringUp(id);
    driver.submit('job-1', { tasks: 40 });
    const firstStarts = driver.startsIn(driver.sendHeartbeat('n-1'));
    expect(firstStarts.length).toBeGreaterThan(0);
    const attempts = new Set(firstStarts.map((command) => command.attempt));
    // Its lease expired despite the replies: heartbeats of the new epoch list no tasks.
    driver.sendHeartbeat('n-1', [], { agentEpoch: 2 });
    const laterStarts = driver.startsIn(driver.sendHeartbeat('n-1', [], { agentEpoch: 2 }));
    for (const command of laterStarts) expect(attempts.has(command.attempt)).toBe(false);
    for (const agentEpoch of [3, 4, 5, 6]) driver.sendHeartbeat('n-1', [], { agentEpoch });
    expect(driver.state.machines.get('n-1' as MachineId)?.isUnreachable).toBe(true);
  });

  it('gets work again one lease after replies reach it again', () => {
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

  it('keeps a cancelled task in its team’s usage until a heartbeat lists it no more', () => {
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
  /** Runs fifty machines with a task each for `ms`; those in `silentIds` send no heartbeats. */
  const runFleet = (
    silentIds: readonly string[],
    ms: number,
    driver = new CoreDriver(coreWithLargeQuota()),
  ) => {
    const ids = Array.from({ length: 50 }, (_, i) => `n-${i}`);
    if (driver.state.machines.size === 0) {
      for (const [seq, token] of [
        [1, 6],
        [2, 7],
      ] as const) {
        for (const [i, id] of ids.entries())
          driver.send({
            kind: 'heartbeat',
            heartbeat: heartbeatOf(id, seq, token),
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
        if (silentIds.includes(id) || !driver.state.machines.has(id as MachineId)) continue;
        const placements = [...driver.state.machines.get(id as MachineId)!.placements.values()];
        const reported = placements
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
  const deletedMachines = (effects: readonly Effect[]) =>
    new Set(
      effects.flatMap((effect) => (effect.kind === 'delete-machines' ? effect.machines : [])),
    );

  it('are not replaced within two leases when many stop at once', () => {
    const { driver } = runFleet([], 4000);
    const silentIds = Array.from({ length: 15 }, (_, i) => `n-${i}`);
    const leaseMs = driver.state.config.workerLeaseMs;
    expect(driver.state.teamUsage.get('blue' as TeamName)?.cpus).toBeGreaterThan(0);
    const withinLease = runFleet(silentIds, leaseMs - 2000, driver);
    expect(deletedMachines(withinLease.effects).size).toBe(0);
    expect(
      [...driver.state.machines.values()].filter((machine) => machine.lostAt !== null),
    ).toEqual([]);
    const pastLease = runFleet(silentIds, leaseMs - 2000, driver);
    expect(deletedMachines(pastLease.effects).size).toBe(0);
    // Their leases have expired: they hold no attempts and are not ready.
    for (const id of silentIds)
      expect(driver.state.machines.get(id as MachineId)).toMatchObject({
        attemptCount: 0,
        isReady: false,
      });
    const pastTwoLeases = runFleet(silentIds, 8000, driver);
    expect(deletedMachines(pastTwoLeases.effects).size).toBe(15);
  });

  it('are replaced after four heartbeat intervals when few stop', () => {
    const silentIds = ['n-3', 'n-4', 'n-5', 'n-6', 'n-7'];
    const { driver } = runFleet([], 4000);
    const { heartbeatIntervalMs: intervalMs } = driver.state.config;
    expect(deletedMachines(runFleet(silentIds, 3 * intervalMs, driver).effects).size).toBe(0);
    expect([
      ...deletedMachines(runFleet(silentIds, 2 * intervalMs + 1000, driver).effects),
    ]).toEqual(silentIds);
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
