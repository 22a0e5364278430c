/** Late copies and repeats of messages. */
import { describe, expect, it } from 'vitest';
import { step } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type {
  Command,
  Effect,
  Instant,
  JobId,
  MachineId,
  TeamName,
  Term,
  Ticket,
} from '../src/core/types.js';
import { core, entry, job, recordedAt, report, type } from './model/build.js';
import { CoreDriver, running } from './model/core-driver.js';

const asked = (effects: readonly Effect[], id: string) =>
  effects.some((e) => e.kind === 'delete' && e.machines.includes(id as MachineId));

describe('late copies', () => {
  it('of reports prove nothing and free nothing: from before, from ended sessions, from deleted machines', () => {
    const s = new CoreDriver();
    s.up('n-1');
    s.submit('job-1', { tasks: 3 });
    const starts = s.starts(s.checkIn('n-1'));
    s.checkIn('n-1', starts.map(running));
    const { usage } = s.state;
    for (const copy of [
      report('n-1', 1, 7, []),
      report('n-1', 2, 6, []),
      report('n-1', 99, 7, [], { session: 0 }),
    ]) {
      const lastSeen = s.state.machines.get('n-1' as MachineId)!.lastSeen;
      s.now += 3000;
      s.send({ kind: 'report', report: copy, ticket: 500 as Ticket });
      expect(usage.get('blue' as TeamName)?.cpus).toBe(3);
      expect(s.state.machines.get('n-1' as MachineId)!.lastSeen).toBe(lastSeen);
    }
    s.send({ kind: 'deleted', machines: ['n-1' as MachineId], ok: true });
    s.send({
      kind: 'report',
      report: report('n-1', 200, 7, starts.map(running)),
      ticket: 501 as Ticket,
    });
    expect(s.state.machines.size).toBe(0);
    expect(s.state.jobs.get('job-1' as JobId)?.pending).toBe(3);
  });

  it('that show a new leader a machine first, free nothing of its ledger, and it is replaced when dead', () => {
    const state = core();
    const send = (now: number, ...commands: Command[]) =>
      step(state, commands, now as Instant, 'lead');
    const segment = segmentKey(6 as Term, 1);
    send(
      0,
      { kind: 'types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      {
        kind: 'ledger',
        segment,
        machine: 'n-1' as MachineId,
        at: recordedAt,
        entries: [entry(0, 5), entry(1, 6)],
      },
      { kind: 'loaded' },
    );
    send(1000, { kind: 'report', report: report('n-1', 1, 6, []), ticket: 1 as Ticket });
    send(9000, { kind: 'report', report: report('n-1', 2, 6, []), ticket: 2 as Ticket });
    expect(state.usage.get('blue' as TeamName)?.cpus).toBe(2);
    let deleted = false;
    for (let now = 9500; now < 30_000; now += 500)
      deleted ||= asked(send(now, { kind: 'tick' }), 'n-1');
    expect(deleted).toBe(true);
  });

  it('of a rental’s answer, a deletion’s and a submission change nothing', () => {
    const s = new CoreDriver();
    s.submit('job-1');
    const rent = s.effects.find((e) => e.kind === 'rent');
    if (rent?.kind !== 'rent') throw new Error('nothing rented');
    const answer: Command = {
      kind: 'rented',
      request: rent.request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    };
    s.send(answer);
    s.send({ kind: 'deleted', machines: ['n-1' as MachineId], ok: true });
    s.send(answer, { kind: 'deleted', machines: ['n-1' as MachineId], ok: true });
    expect(s.state.machines.size).toBe(0);
    s.send({ kind: 'job', spec: job('job-1', { tasks: 9 }), submittedAt: 0 as Instant });
    expect(s.state.jobs.get('job-1' as JobId)?.spec.tasks).toBe(1);
  });
});
