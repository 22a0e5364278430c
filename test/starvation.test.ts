/** No job starves: none waits 90 s beside capacity that fits while its team is within quota. */
import { describe, expect, it } from 'vitest';
import { core, type taskStatus } from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

/** Sends heartbeats of running tasks until one of the job starts; returns the wait in ms. */
const waitForStart = (
  driver: CoreDriver,
  ids: readonly string[],
  job: string,
  reported: Map<string, ReturnType<typeof taskStatus>[]>,
) => {
  const from = driver.now;
  while (driver.now - from < 240_000) {
    for (const id of ids) {
      const tasks = reported.get(id) ?? [];
      for (const command of driver.startsIn(driver.sendHeartbeat(id, tasks))) {
        if (command.job === job) return driver.now - from;
        tasks.push(running(command));
      }
      reported.set(id, tasks);
    }
    driver.now += 1000;
  }
  return Number.POSITIVE_INFINITY;
};

describe('a job that waits beside free capacity', () => {
  it('gets capacity that is reserved for the queue head before 90 s, but not at once', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 1, cpus: 4, estimateS: 1000 });
    const first = driver.startsIn(driver.bringUp('n-1'));
    const reported = new Map([['n-1', first.map(running)]]);
    driver.submit('job-2', { tasks: 1, cpus: 8, estimateS: 10, priority: 'critical' });
    driver.sendHeartbeat('n-1', reported.get('n-1')!);
    driver.submit('job-3', { tasks: 3, cpus: 1, estimateS: 5000, priority: 'best_effort' });
    const waitMs = waitForStart(driver, ['n-1'], 'job-3', reported);
    expect(driver.state.queueHead).toBe('job-2');
    expect(waitMs).toBeGreaterThan(60_000);
    expect(waitMs).toBeLessThan(90_000);
  });

  it('gets capacity again within 90 s of losing all its attempts, with some tasks done', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 1, cpus: 4, estimateS: 1000 });
    const first = driver.startsIn(driver.bringUp('n-1'));
    driver.submit('job-3', { tasks: 3, cpus: 1, estimateS: 5000, priority: 'best_effort' });
    driver.sendHeartbeat('n-1', first.map(running));
    const jobStarts = driver.startsIn(driver.sendHeartbeat('n-1', first.map(running)));
    driver.submit('job-2', { tasks: 1, cpus: 8, estimateS: 10, priority: 'critical' });
    const endedTasks = jobStarts.map((command, i) => ended(command, i === 0 ? 'done' : 'stopped'));
    driver.sendHeartbeat('n-1', [...first.map(running), ...endedTasks]);
    const waitMs = waitForStart(driver, ['n-1'], 'job-3', new Map([['n-1', first.map(running)]]));
    expect(waitMs).toBeLessThan(90_000);
  });

  it('gets capacity that is kept for services before 90 s if there is no other', () => {
    const driver = new CoreDriver(core());
    const onDemand = { spot: false };
    driver.bringUp('n-1', onDemand);
    driver.submit('job-9', {
      shape: 'service',
      tasks: 1,
      cpus: 1,
      estimateS: 0,
      allowsSpot: false,
    });
    const replica = driver.startsIn(driver.sendHeartbeat('n-1', [], onDemand));
    const reported = new Map([['n-1', replica.map(running)]]);
    driver.sendHeartbeat('n-1', reported.get('n-1')!, onDemand);
    driver.submit('job-1', { tasks: 2, cpus: 1, estimateS: 50 });
    const waitMs = waitForStart(driver, ['n-1'], 'job-1', reported);
    expect(waitMs).toBeGreaterThan(60_000);
    expect(waitMs).toBeLessThan(90_000);
  });

  it('is placed again on the only feasible machine after one failure there', () => {
    const driver = new CoreDriver();
    driver.submit('job-1', { tasks: 1 });
    const first = driver.startsIn(driver.bringUp('n-1'));
    driver.sendHeartbeat(
      'n-1',
      first.map((command) => ended(command, 'error')),
    );
    expect(waitForStart(driver, ['n-1'], 'job-1', new Map())).toBeLessThan(90_000);
  });
});
