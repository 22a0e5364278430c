/** Fairness under overload: no class, team or size of job starves. */
import { describe, expect, it } from 'vitest';
import { OverloadedDay } from './model/overloaded-day.js';

describe('the scheduler on an overloaded day', () => {
  it.each([
    ['limited by machines', 60],
    ['limited by team quotas', 34],
  ])(
    'starts the largest jobs in 240 s, and completes half of them, each class and team (%s)',
    (_, quota) => {
      const day = new OverloadedDay({}, quota);
      day.run();
      const { jobs } = day;
      const doneShare = (of: typeof jobs) => of.filter((j) => j.doneAt !== null).length / of.length;
      for (const jobClass of ['small', 'large']) {
        const ofClass = jobs.filter((j) => j.spec.jobClass === jobClass);
        expect(doneShare(ofClass), jobClass).toBeGreaterThanOrEqual(0.5);
        const largest = [...ofClass]
          .sort((a, b) => b.spec.tasks - a.spec.tasks)
          .slice(0, Math.ceil(ofClass.length / 5));
        expect(doneShare(largest), `largest of ${jobClass}`).toBeGreaterThanOrEqual(0.5);
        for (const j of largest)
          expect(j.startedAt! - j.submittedAt, j.spec.id).toBeLessThan(240_000);
      }
      for (const name of ['blue', 'green']) {
        expect(doneShare(jobs.filter((j) => j.spec.team === name)), name).toBeGreaterThanOrEqual(
          0.5,
        );
      }
      // The day was overloaded: some job waited for more than a minute.
      expect(Math.max(...jobs.map((j) => (j.startedAt ?? 0) - j.submittedAt))).toBeGreaterThan(
        60_000,
      );
    },
  );

  it('starts some largest job too late if first tasks get no precedence', () => {
    const day = new OverloadedDay({ firstTaskAfterS: 1e6 });
    day.run();
    const late = day.jobs.filter(
      (j) => j.startedAt === null || j.startedAt - j.submittedAt > 240_000,
    );
    expect(late.length).toBeGreaterThan(0);
  });
});
