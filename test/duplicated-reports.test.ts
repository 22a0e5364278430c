/** Late copies and repeats of messages. */
import { describe, expect, it } from 'vitest';
import { applyCommands } from '../src/core/apply-commands.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { Command } from '../src/core/model/command.js';
import type { Effect } from '../src/core/model/effect.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ReplyTicket,
  TeamName,
} from '../src/core/model/ids.js';
import type { Instant } from '../src/core/model/time.js';
import { core, entry, job, recordedAt, report, type } from './model/build.js';
import { CoreDriver, running } from './model/core-driver.js';

const asked = (effects: readonly Effect[], id: string) =>
  effects.some((e) => e.kind === 'delete-machines' && e.machines.includes(id as MachineId));

describe('late copies', () => {
  it('of reports prove nothing and free nothing: from before, from ended sessions, from deleted machines', () => {
    const s = new CoreDriver();
    s.up('n-1');
    s.submit('job-1', { tasks: 3 });
    const starts = s.starts(s.checkIn('n-1'));
    s.checkIn('n-1', starts.map(running));
    const { teamUsage: usage } = s.state;
    for (const copy of [
      report('n-1', 1, 7, []),
      report('n-1', 2, 6, []),
      report('n-1', 99, 7, [], { agentEpoch: 0 }),
    ]) {
      const lastSeen = s.state.machines.get('n-1' as MachineId)!.lastHeartbeatAt;
      s.now += 3000;
      s.send({ kind: 'heartbeat', heartbeat: copy, ticket: 500 as ReplyTicket });
      expect(usage.get('blue' as TeamName)?.cpus).toBe(3);
      expect(s.state.machines.get('n-1' as MachineId)!.lastHeartbeatAt).toBe(lastSeen);
    }
    s.send({ kind: 'deletion-result', machines: ['n-1' as MachineId], ok: true });
    s.send({
      kind: 'heartbeat',
      heartbeat: report('n-1', 200, 7, starts.map(running)),
      ticket: 501 as ReplyTicket,
    });
    expect(s.state.machines.size).toBe(0);
    expect(s.state.jobs.get('job-1' as JobId)?.pendingTasks).toBe(3);
  });

  it('that show a new leader a machine first, free nothing of its ledger, and it is replaced when dead', () => {
    const state = core();
    const send = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    const segment = segmentKey(6 as FencingToken, 1);
    send(
      0,
      { kind: 'machine-types', types: [type('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      {
        kind: 'recovered-attempts',
        segment,
        machine: 'n-1' as MachineId,
        attributes: recordedAt,
        entries: [entry(0, 5), entry(1, 6)],
      },
      { kind: 'recovery-completed' },
    );
    send(1000, { kind: 'heartbeat', heartbeat: report('n-1', 1, 6, []), ticket: 1 as ReplyTicket });
    send(9000, { kind: 'heartbeat', heartbeat: report('n-1', 2, 6, []), ticket: 2 as ReplyTicket });
    expect(state.teamUsage.get('blue' as TeamName)?.cpus).toBe(2);
    let deleted = false;
    for (let now = 9500; now < 30_000; now += 500)
      deleted ||= asked(send(now, { kind: 'tick' }), 'n-1');
    expect(deleted).toBe(true);
  });

  it('of a rental’s answer, a deletion’s and a submission change nothing', () => {
    const s = new CoreDriver();
    s.submit('job-1');
    const rent = s.effects.find((e) => e.kind === 'provision');
    if (rent?.kind !== 'provision') throw new Error('nothing rented');
    const answer: Command = {
      kind: 'provision-result',
      request: rent.request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    };
    s.send(answer);
    s.send({ kind: 'deletion-result', machines: ['n-1' as MachineId], ok: true });
    s.send(answer, { kind: 'deletion-result', machines: ['n-1' as MachineId], ok: true });
    expect(s.state.machines.size).toBe(0);
    s.send({ kind: 'job', spec: job('job-1', { tasks: 9 }), submittedAt: 0 as Instant });
    expect(s.state.jobs.get('job-1' as JobId)?.spec.tasks).toBe(1);
  });
});
