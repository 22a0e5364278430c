/** More work than can be done: who is served even so. */
import { describe, expect, it } from 'vitest';
import { OverloadedDay } from './model/overloaded-day.js';

describe('an overloaded day', () => {
  it.each([
    ['the machines', 60],
    ['the quotas of the teams', 34],
  ])(
    'of %s begins each largest job within four minutes and serves half of each class, team and the largest',
    (_, quota) => {
      const day = new OverloadedDay({}, quota);
      day.play();
      const { jobs } = day;
      const share = (of: typeof jobs) => of.filter((j) => j.doneAt !== null).length / of.length;
      for (const jobClass of ['small', 'large']) {
        const ofClass = jobs.filter((j) => j.spec.jobClass === jobClass);
        expect(share(ofClass), jobClass).toBeGreaterThanOrEqual(0.5);
        const largest = [...ofClass]
          .sort((a, b) => b.spec.tasks - a.spec.tasks)
          .slice(0, Math.ceil(ofClass.length / 5));
        expect(share(largest), `largest of ${jobClass}`).toBeGreaterThanOrEqual(0.5);
        for (const j of largest)
          expect(j.begunAt! - j.submittedAt, j.spec.id).toBeLessThan(240_000);
      }
      for (const name of ['blue', 'green']) {
        expect(share(jobs.filter((j) => j.spec.team === name)), name).toBeGreaterThanOrEqual(0.5);
      }
      // The day must have been one of more work than could be done at once.
      expect(Math.max(...jobs.map((j) => (j.begunAt ?? 0) - j.submittedAt))).toBeGreaterThan(
        60_000,
      );
    },
  );

  it('without the first task ahead of others, a largest job would not have begun in time', () => {
    const day = new OverloadedDay({ firstTaskAfterS: 1e6 });
    day.play();
    const late = day.jobs.filter((j) => j.begunAt === null || j.begunAt - j.submittedAt > 240_000);
    expect(late.length).toBeGreaterThan(0);
  });
});
