/** Once the troubles are over, no job waits for 90 s while a machine that fits has room and its team is under its limit. */
import { describe, expect, it } from 'vitest';
import { core, type task } from './model/build.js';
import { CoreDriver, ended, running } from './model/core-driver.js';

/** Plays check-ins of these machines, whose tasks go on running, until a task of the job starts; how long that took. */
const startedAfter = (
  s: CoreDriver,
  ids: readonly string[],
  job: string,
  told: Map<string, ReturnType<typeof task>[]>,
) => {
  const from = s.now;
  while (s.now - from < 240_000) {
    for (const id of ids) {
      const tasks = told.get(id) ?? [];
      for (const o of s.starts(s.checkIn(id, tasks))) {
        if (o.job === job) return s.now - from;
        tasks.push(running(o));
      }
      told.set(id, tasks);
    }
    s.now += 1000;
  }
  return Number.POSITIVE_INFINITY;
};

describe('a job that waits beside room', () => {
  it('reserved for a head that has to wait for long gets a task of it before 90 s, not sooner', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 1, cpus: 4, estimateS: 1000 });
    const first = s.starts(s.up('n-1'));
    const told = new Map([['n-1', first.map(running)]]);
    s.submit('job-2', { tasks: 1, cpus: 8, estimateS: 10, priority: 'critical' });
    s.checkIn('n-1', told.get('n-1')!);
    s.submit('job-3', { tasks: 3, cpus: 1, estimateS: 5000, priority: 'best_effort' });
    const after = startedAfter(s, ['n-1'], 'job-3', told);
    expect(s.state.queueHead).toBe('job-2');
    expect(after).toBeGreaterThan(60_000);
    expect(after).toBeLessThan(90_000);
  });

  it('again after it lost all that it had, though some of it is done', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 1, cpus: 4, estimateS: 1000 });
    const first = s.starts(s.up('n-1'));
    s.submit('job-3', { tasks: 3, cpus: 1, estimateS: 5000, priority: 'best_effort' });
    s.checkIn('n-1', first.map(running));
    const three = s.starts(s.checkIn('n-1', first.map(running)));
    s.submit('job-2', { tasks: 1, cpus: 8, estimateS: 10, priority: 'critical' });
    const parts = three.map((o, i) => ended(o, i === 0 ? 'done' : 'stopped'));
    s.checkIn('n-1', [...first.map(running), ...parts]);
    const after = startedAfter(s, ['n-1'], 'job-3', new Map([['n-1', first.map(running)]]));
    expect(after).toBeLessThan(90_000);
  });

  it('kept for services gets a task of it before 90 s, where there is no other room', () => {
    const s = new CoreDriver(core());
    const ordinary = { spot: false };
    s.up('n-1', ordinary);
    s.submit('job-9', { shape: 'service', tasks: 1, cpus: 1, estimateS: 0, allowsSpot: false });
    const replica = s.starts(s.checkIn('n-1', [], ordinary));
    const told = new Map([['n-1', replica.map(running)]]);
    s.checkIn('n-1', told.get('n-1')!, ordinary);
    s.submit('job-1', { tasks: 2, cpus: 1, estimateS: 50 });
    const after = startedAfter(s, ['n-1'], 'job-1', told);
    expect(after).toBeGreaterThan(60_000);
    expect(after).toBeLessThan(90_000);
  });

  it('on the only machine that suits it, which failed it and is sound again, does not shun it for good', () => {
    const s = new CoreDriver();
    s.submit('job-1', { tasks: 1 });
    const first = s.starts(s.up('n-1'));
    s.checkIn(
      'n-1',
      first.map((o) => ended(o, 'error')),
    );
    expect(startedAfter(s, ['n-1'], 'job-1', new Map())).toBeLessThan(90_000);
  });
});
