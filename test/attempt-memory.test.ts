/**
 * Memory that attempts take. Guards against controllers that end one after the other because all
 * tasks that fit on the machines do not fit into the leader's heap.
 */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import { viewJob } from '../src/core/lifecycle/job-view.js';
import type { Command } from '../src/core/model/command.js';
import type { FencingToken, JobId, MachineId } from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import { ATTEMPT_BYTES, JOB_BYTES, MACHINE_BYTES } from '../src/core/scheduling/attempt-room.js';
import { maxStateBytes } from '../src/service/memory-budget.js';
import { FullFleet, measureAttemptBytes, usedBytes } from './support/attempt-memory.js';
import { core, job, ledgerEntry, recordedAttributes, team } from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

const MACHINES = 4;
const TEAM = team('blue', 10_000);

/** The memory that the attempts and what they run on take, if as many attempts are to have room. */
const bytesFor = (attempts: number, jobs: number, machines = MACHINES): number =>
  attempts * ATTEMPT_BYTES + machines * MACHINE_BYTES + jobs * JOB_BYTES;

/** A leader of machines that hold 400 attempts each, with memory for `attempts` of them. */
const driverWithRoomFor = (attempts: number, jobs: number, machines = MACHINES): CoreDriver => {
  const driver = new CoreDriver(
    core({
      teams: new Map([[TEAM.name, TEAM]]),
      maxAttemptsPerMachine: 400,
      storeWritesPerSecond: 1000,
      maxStateBytes: bytesFor(attempts, jobs, machines),
    }),
  );
  for (let i = 0; i < machines; i += 1) driver.bringUp(`n-${i}`);
  return driver;
};

const heldBy = (driver: CoreDriver, id: string): number =>
  driver.state.jobs.get(id as JobId)?.attemptsByTask.size ?? 0;

describe('the memory of attempts', () => {
  it('is at most what the limit assumes, in a leader, its successor and a follower', async () => {
    const bytes = await measureAttemptBytes(25);
    expect(bytes.leader).toBeLessThanOrEqual(ATTEMPT_BYTES);
    expect(bytes.successor).toBeLessThanOrEqual(ATTEMPT_BYTES);
    expect(bytes.follower).toBeLessThanOrEqual(ATTEMPT_BYTES);
  });

  it('is counted apart from that of machines and jobs, which the limit assumes as well', () => {
    const before = usedBytes();
    const fleet = new FullFleet(500);
    const withMachines = usedBytes();
    expect((withMachines - before) / 500).toBeLessThanOrEqual(MACHINE_BYTES);
    for (let i = 0; i < 2000; i += 1) {
      const id = `job-${String(i).padStart(9, '0')}`;
      const spec = JSON.parse(JSON.stringify(job(id, { image: `img-${i}`, zone: 'nowhere' })));
      applyCommands(
        fleet.state,
        [{ kind: 'job', spec, submittedAt: 0.5 as Instant }],
        5000.5 as Instant,
        'keep-alive',
      );
    }
    expect((usedBytes() - withMachines) / 2000).toBeLessThanOrEqual(JOB_BYTES);
    expect(fleet.state.jobs.size).toBe(2000);
  });
});

describe('a leader whose memory is full', () => {
  it('places as many attempts as there is memory for, and says why the others wait', () => {
    const driver = driverWithRoomFor(900, 1);
    driver.submit('job-1', { tasks: 1600, cpus: 0.01, memoryGb: 0.01 });
    driver.advance(3000);
    expect(heldBy(driver, 'job-1')).toBe(750);
    const view = viewJob(driver.state, 'job-1' as JobId, driver.now as Instant);
    expect(view?.waiting).toContain('controllers cannot track more tasks');
  });

  it('keeps room for further arrays and services, however many ask', () => {
    const driver = driverWithRoomFor(900, 40);
    const small = { tasks: 1600, cpus: 0.01, memoryGb: 0.01 };
    const specs = Array.from({ length: 39 }, (_, i) =>
      job(`job-${i}`, { ...small, shape: i % 3 === 2 ? 'service' : 'array' }),
    );
    const submittedAt = driver.now as Instant;
    driver.send(...specs.map((spec): Command => ({ kind: 'job', spec, submittedAt })));
    driver.advance(1000);
    expect(driver.state.trackedAttempts).toBeGreaterThan(800);
    expect(driver.state.trackedAttempts).toBeLessThan(900);
    for (let i = 0; i < 39; i += 1) expect(heldBy(driver, `job-${i}`)).toBeGreaterThan(0);
    driver.submit('job-99', { tasks: 1, cpus: 0.01, memoryGb: 0.01, priority: 'urgent' });
    driver.advance(1000);
    expect(heldBy(driver, 'job-99')).toBe(1);
  });

  it('places tasks again once others have ended and are reaped', () => {
    const driver = driverWithRoomFor(90, 1, 1);
    driver.submit('job-1', { tasks: 200, cpus: 0.01, memoryGb: 0.01 });
    const starts = driver.startsIn(driver.sendHeartbeat('n-0'));
    expect(starts).toHaveLength(75);
    // Ended tasks take memory until a heartbeat shows that the worker has reaped them.
    const tasks = starts.map((start, i) => (i < 30 ? running(start) : ended(start, 'done')));
    driver.sendHeartbeat('n-0', tasks);
    driver.advance(1000);
    expect(heldBy(driver, 'job-1')).toBeLessThan(40);
    expect(driver.state.trackedAttempts).toBeLessThanOrEqual(90);
    const further = driver.startsIn(driver.sendHeartbeat('n-0', tasks));
    driver.sendHeartbeat('n-0', [...tasks.slice(0, 30), ...further.map(running)]);
    driver.advance(1000);
    expect(heldBy(driver, 'job-1')).toBe(75);
    expect(driver.state.trackedAttempts).toBe(75);
  });

  it('takes over all attempts of a former leader, and places none beyond its own limit', () => {
    const state = core({
      teams: new Map([[TEAM.name, TEAM]]),
      maxAttemptsPerMachine: 400,
      maxStateBytes: bytesFor(100, 2),
    });
    const entries = Array.from({ length: 300 }, (_, i) => ledgerEntry(i, i + 1));
    const commands: Command[] = [
      { kind: 'job', spec: job('job-1', { tasks: 400 }), submittedAt: 0 as Instant },
      { kind: 'job', spec: job('job-2', { tasks: 4 }), submittedAt: 0 as Instant },
      {
        kind: 'recovered-attempts',
        segment: segmentKey(6 as FencingToken, 1),
        machine: 'n-1' as MachineId,
        attributes: recordedAttributes,
        entries,
      },
    ];
    applyCommands(state, commands, 0 as Instant, 'lead');
    const driver = new CoreDriver(state);
    driver.bringUp('n-2');
    driver.advance(3000);
    expect(state.trackedAttempts).toBe(300);
    expect(heldBy(driver, 'job-1')).toBe(300);
    expect(heldBy(driver, 'job-2')).toBe(0);
  });

  it('still runs tasks if machines and jobs alone would take all of it', () => {
    const driver = driverWithRoomFor(0, 50);
    for (let i = 0; i < 400; i += 1) driver.submit(`job-${i}`, { cpus: 0.01, memoryGb: 0.01 });
    driver.advance(1000);
    const bytes = driver.state.config.maxStateBytes;
    expect(driver.state.trackedAttempts).toBeGreaterThan(100);
    expect(driver.state.trackedAttempts).toBeLessThanOrEqual(bytes / 2 / ATTEMPT_BYTES);
  });

  it('provisions no machines that would stay empty', () => {
    const driver = new CoreDriver(core({ maxStateBytes: 0 }));
    driver.effects = [];
    driver.submit('job-1', { tasks: 400, cpus: 8 });
    driver.advance(5000);
    expect(driver.effects.filter(({ kind }) => kind === 'provision')).toEqual([]);
  });
});

describe('maxStateBytes', () => {
  const MB = 1_000_000;
  /** What one job alone may hold of all attempts. */
  const SINGLE_JOB_SHARE = (15 / 16) * (8 / 9);
  const attemptsBesideMachines = (bytes: number, machines: number): number =>
    Math.floor((bytes - machines * MACHINE_BYTES) / ATTEMPT_BYTES);

  it('follows the smaller of the memory quota and the heap, and grows with both', () => {
    expect(maxStateBytes(127, 120 * MB)).toBeLessThan(maxStateBytes(178, 120 * MB));
    expect(maxStateBytes(178, 120 * MB)).toBe(maxStateBytes(1000, 120 * MB));
    expect(maxStateBytes(1000, 900 * MB)).toBeGreaterThan(10 * maxStateBytes(178, 120 * MB));
  });

  it('has room for an array of 100,000 tasks on the machine of the deploy file', () => {
    const attempts = attemptsBesideMachines(maxStateBytes(178, 120 * 1024 * 1024), 300);
    expect(attempts * SINGLE_JOB_SHARE).toBeGreaterThan(100_000);
  });

  it('has room for eight tasks on each of 4,000 machines, on the smallest controller too', () => {
    const attempts = attemptsBesideMachines(maxStateBytes(127, 120 * 1024 * 1024), 4000);
    expect(attempts * SINGLE_JOB_SHARE).toBeGreaterThan(8 * 4000);
  });
});
