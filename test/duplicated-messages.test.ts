/** Late and repeated messages to the core. */
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
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  machineType,
  recordedAttributes,
} from './support/builders.js';
import { CoreDriver, running } from './support/core-driver.js';

const hasRequestedDeletion = (effects: readonly Effect[], id: string) =>
  effects.some(
    (effect) => effect.kind === 'delete-machines' && effect.machines.includes(id as MachineId),
  );

describe('applyCommands', () => {
  it('releases no attempt on stale heartbeats, and ignores those of deleted machines', () => {
    const driver = new CoreDriver();
    driver.bringUp('n-1');
    driver.submit('job-1', { tasks: 3 });
    const starts = driver.startsIn(driver.sendHeartbeat('n-1'));
    driver.sendHeartbeat('n-1', starts.map(running));
    const { teamUsage: usage } = driver.state;
    for (const staleHeartbeat of [
      heartbeatOf('n-1', 1, 7, []),
      heartbeatOf('n-1', 2, 6, []),
      heartbeatOf('n-1', 99, 7, [], { agentEpoch: 0 }),
    ]) {
      const lastSeen = driver.state.machines.get('n-1' as MachineId)!.lastHeartbeatAt;
      driver.now += 3000;
      driver.send({ kind: 'heartbeat', heartbeat: staleHeartbeat, ticket: 500 as ReplyTicket });
      expect(usage.get('blue' as TeamName)?.cpus).toBe(3);
      expect(driver.state.machines.get('n-1' as MachineId)!.lastHeartbeatAt).toBe(lastSeen);
    }
    driver.send({ kind: 'deletion-result', machines: ['n-1' as MachineId], ok: true });
    driver.send({
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 200, 7, starts.map(running)),
      ticket: 501 as ReplyTicket,
    });
    expect(driver.state.machines.size).toBe(0);
    expect(driver.state.jobs.get('job-1' as JobId)?.pendingTasks).toBe(3);
  });

  it('releases no recovered attempt if a new leader first gets stale heartbeats', () => {
    const state = core();
    const send = (now: number, ...commands: Command[]) =>
      applyCommands(state, commands, now as Instant, 'lead');
    const segment = segmentKey(6 as FencingToken, 1);
    send(
      0,
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'job', spec: job('job-1', { tasks: 2 }), submittedAt: 0 as Instant },
      {
        kind: 'recovered-attempts',
        segment,
        machine: 'n-1' as MachineId,
        attributes: recordedAttributes,
        entries: [ledgerEntry(0, 5), ledgerEntry(1, 6)],
      },
      { kind: 'recovery-completed' },
    );
    send(1000, {
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 1, 6, []),
      ticket: 1 as ReplyTicket,
    });
    send(9000, {
      kind: 'heartbeat',
      heartbeat: heartbeatOf('n-1', 2, 6, []),
      ticket: 2 as ReplyTicket,
    });
    expect(state.teamUsage.get('blue' as TeamName)?.cpus).toBe(2);
    let deleted = false;
    for (let now = 9500; now < 30_000; now += 500)
      deleted ||= hasRequestedDeletion(send(now, { kind: 'tick' }), 'n-1');
    expect(deleted).toBe(true);
  });

  it('ignores a repeated provision result, deletion result or submission', () => {
    const driver = new CoreDriver();
    driver.submit('job-1');
    const provision = driver.effects.find((effect) => effect.kind === 'provision');
    if (provision?.kind !== 'provision') throw new Error('no provision effect after submission');
    const provisionResult: Command = {
      kind: 'provision-result',
      request: provision.request,
      result: 'ok',
      machines: ['n-1' as MachineId],
    };
    driver.send(provisionResult);
    driver.send({ kind: 'deletion-result', machines: ['n-1' as MachineId], ok: true });
    driver.send(provisionResult, {
      kind: 'deletion-result',
      machines: ['n-1' as MachineId],
      ok: true,
    });
    expect(driver.state.machines.size).toBe(0);
    driver.send({ kind: 'job', spec: job('job-1', { tasks: 9 }), submittedAt: 0 as Instant });
    expect(driver.state.jobs.get('job-1' as JobId)?.spec.tasks).toBe(1);
  });
});
