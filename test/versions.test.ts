/**
 * Compatibility with the production version: each version reads the other's records correctly, or
 * ignores them. The fixtures were recorded from the production version's own code.
 */
import { readFileSync } from 'node:fs';
import * as v from 'valibot';
import { describe, expect, it } from 'vitest';
import { encodeFrame, FrameDecoder } from '../src/adapters/peers/frames.js';
import { applyCommands } from '../src/core/apply-commands.js';
import { TASKS_PER_BLOCK } from '../src/core/lifecycle/job-tasks.js';
import { viewJob } from '../src/core/lifecycle/job-view.js';
import type { Command } from '../src/core/model/command.js';
import type { FencingToken, JobId, MachineId, SegmentKey } from '../src/core/model/ids.js';
import type { MachineType } from '../src/core/model/machine.js';
import type { Instant } from '../src/core/model/time.js';
import {
  decodeCompletion,
  decodeJob,
  decodeLeader,
  decodeMachineTypes,
  decodeSegment,
  encodeCompletion,
  encodeJob,
  encodeSegment,
  LEADER_KEY,
} from '../src/service/stored-records.js';
import {
  OLD_BLOCK_TASKS,
  oldFinal,
  oldHealth,
  oldJob,
  oldLeader,
  oldQuestion,
  oldSegment,
  oldTypes,
  oldView,
} from './fixtures/production-schemas.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  recordedAttributes,
  taskStatus,
} from './support/builders.js';

interface StoredRecord {
  key: string;
  value: unknown;
}
const productionRecords = JSON.parse(
  readFileSync(new URL('./fixtures/production-records.json', import.meta.url), 'utf8'),
) as {
  job: StoredRecord;
  finals: StoredRecord[];
  leader: StoredRecord;
  types: StoredRecord;
  ledger: StoredRecord[];
  frames: Record<'admit' | 'status' | 'view' | 'health', string>;
};
const recordedFrame = (name: keyof typeof productionRecords.frames): unknown =>
  new FrameDecoder().decode(Buffer.from(productionRecords.frames[name], 'base64'))[0];

/** A new leader that has recovered the records of the production version's leader. */
const recoverLeader = (valueBytes: number) => {
  const state = core({
    fencingToken: 50 as FencingToken,
    maxValueBytes: valueBytes,
    maxTransactionOperations: 3,
  });
  const commands: Command[] = [
    {
      kind: 'machine-types',
      types: decodeMachineTypes(productionRecords.types.value) as MachineType[],
    },
  ];
  const { spec } = decodeJob(productionRecords.job.value)!;
  for (const id of [spec.id, 'job-000413' as JobId])
    commands.push({ kind: 'job', spec: { ...spec, id }, submittedAt: 0 as Instant });
  const recoveredAttempts: Command[] = [];
  for (const { key, value } of productionRecords.ledger) {
    const record = decodeSegment(value)!;
    for (const row of record.progress)
      commands.push({ kind: 'recovered-progress', segment: key as SegmentKey, ...row });
    for (const row of record.machines)
      recoveredAttempts.push({ kind: 'recovered-attempts', segment: key as SegmentKey, ...row });
  }
  applyCommands(
    state,
    [...commands, ...recoveredAttempts, { kind: 'recovery-completed' }],
    0 as Instant,
    'lead',
  );
  return state;
};

describe('records of the production version', () => {
  it('are decoded in full: jobs, completions, the leader, machine types', () => {
    const record = decodeJob(productionRecords.job.value);
    expect(record).toMatchObject({
      acceptedAt: 1790000000123,
      spec: { shape: 'array', tasks: 9000, spreadZones: true },
    });
    expect(productionRecords.finals.map(({ value }) => decodeCompletion(value)?.outcome)).toEqual([
      'done',
      'cancelled',
    ]);
    expect(decodeLeader(productionRecords.leader.value)?.node).toBe('node-1');
    expect(productionRecords.leader.key).toBe(LEADER_KEY);
    expect(decodeMachineTypes(productionRecords.types.value)).toHaveLength(1);
  });

  it.each([16_384, 2048, 1024])(
    'are recovered, attempts and progress, then moved in parts (values of %i bytes)',
    (bytes) => {
      const state = recoverLeader(bytes);
      const recoveredJob = state.jobs.get('job-000412' as JobId)!;
      expect(recoveredJob.doneCount).toBe(5000);
      let entries = 0;
      for (const { value } of productionRecords.ledger)
        for (const { entries: e } of decodeSegment(value)!.machines) entries += e.length;
      let attemptCount = 0;
      for (const m of state.machines.values()) attemptCount += m.attemptCount;
      expect(entries).toBeGreaterThan(300);
      expect(attemptCount).toBe(entries);
      // Most attempts of one record end: the others move into records that fit, in small batches,
      // and then the record is deleted.
      const recordKey = productionRecords.ledger[0]!.key as SegmentKey;
      const placements = [...state.segments.get(recordKey)!.placements];
      const machines = [...new Set(placements.map((p) => p.machine.id))];
      const lostMachines = new Set(machines.slice(0, Math.ceil(machines.length * 0.75)));
      applyCommands(
        state,
        [{ kind: 'deletion-result', machines: [...lostMachines], ok: true }],
        0 as Instant,
        'lead',
      );
      const remaining = placements.filter((p) => !lostMachines.has(p.machine.id));
      expect(remaining.length).toBeGreaterThan(20);
      let isDeleted = false;
      for (let now = 500; now < 15_000; now += 500) {
        // An attempt to store in each step, as in normal operation.
        const reported = heartbeatOf('n-new', now, 50, [taskStatus('job-77', now, now)]);
        for (const e of applyCommands(
          state,
          [{ kind: 'heartbeat', heartbeat: reported, ticket: null }],
          now as Instant,
          'lead',
        )) {
          if (e.kind !== 'store-batch') continue;
          for (const op of e.operations) {
            isDeleted ||= op.kind === 'delete-segment' && op.key === recordKey;
            if (op.kind === 'write-segment')
              expect(JSON.stringify(encodeSegment(op)).length).toBeLessThanOrEqual(bytes);
          }
          applyCommands(state, [{ kind: 'batch-stored', batch: e.batch }], now as Instant, 'lead');
        }
      }
      expect(isDeleted).toBe(true);
      for (const p of remaining) expect(p.segment!.key).not.toBe(recordKey);
    },
  );

  it('are decoded from frames between controllers', () => {
    const admit = recordedFrame('admit') as { record: unknown };
    expect(decodeJob(admit.record)?.spec.id).toBe('job-000412');
    expect(recordedFrame('view')).toMatchObject({ is: { status: 'running', done: 5000 } });
  });
});

describe('records of this version', () => {
  const service = job('job-9', { shape: 'service', tasks: 4, estimateS: 0 });

  it('of arrays are readable to the production version; those of services are ignored', () => {
    const spec = job('job-8', { tasks: 7, deadlineS: 60 });
    expect(spec.shape).toBe('array');
    const record = encodeJob({ acceptedAt: 5, spec });
    const expectedSpec = {
      id: spec.id,
      lane: spec.jobClass,
      team: spec.team,
      priority: spec.priority,
      tasks: spec.tasks,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      types: spec.machineTypes,
      zone: spec.zone,
      oneZone: spec.singleZone,
      scatter: spec.spreadZones,
      spotOk: spec.allowsSpot,
      image: spec.image,
      imageGb: spec.imageGb,
      estimateS: spec.estimateS,
      checkpointS: spec.checkpointIntervalS,
      saveS: spec.checkpointWriteS,
      deadlineS: spec.deadlineS,
    };
    expect(record).toEqual({ at: 5, spec: expectedSpec });
    expect(v.parse(oldJob, record)).toEqual({ at: 5, spec: expectedSpec });
    // The production version must reject services: it would run them as arrays and call them done.
    expect(v.safeParse(oldJob, encodeJob({ acceptedAt: 5, spec: service })).success).toBe(false);
    for (const s of [spec, service]) {
      const stored = JSON.parse(JSON.stringify(encodeJob({ acceptedAt: 5, spec: s }))) as unknown;
      expect(decodeJob(stored)).toEqual({ acceptedAt: 5, spec: s });
    }
    for (const outcome of ['done', 'cancelled'] as const)
      expect(v.is(oldFinal, encodeCompletion({ outcome, tasks: 4, team: service.team }))).toBe(
        true,
      );
    expect(v.is(oldLeader, { node: 'node-0', life: 'x', lease: 4 })).toBe(true);
    expect(v.is(oldTypes, decodeMachineTypes(productionRecords.types.value))).toBe(true);
  });

  it('of the ledger let the production version read service attempts as of an unknown job', () => {
    const bits = Uint8Array.of(255, 7);
    const written = encodeSegment({
      machines: [
        {
          machine: 'n-1' as MachineId,
          attributes: recordedAttributes,
          entries: [ledgerEntry(0, 41_000_001, 'job-9')],
        },
      ],
      progress: [
        { job: 'job-8' as JobId, firstTask: TASKS_PER_BLOCK, bits },
        { job: 'job-8' as JobId, firstTask: 1024, bits },
      ],
    });
    const read = v.parse(oldSegment, JSON.parse(JSON.stringify(written)));
    expect(read.j[0]![0]).toBe('job-9');
    expect(read.m).toEqual([['n-1', 'c8', 'a', false, [[0, 0, 41_000_001]]]]);
    // The production version reads rows of whole blocks only; smaller parts are written only if no
    // block fits.
    expect(TASKS_PER_BLOCK).toBe(OLD_BLOCK_TASKS);
    expect(read.d).toEqual([['job-8', 1, Buffer.from(bits).toString('base64')]]);
    expect(
      decodeSegment(JSON.parse(JSON.stringify(written)))?.progress.map((p) => p.firstTask),
    ).toEqual([8192, 1024]);
  });

  it('in requests are understood by the production version or stay unanswered', () => {
    const requests = [
      { n: 1, ask: 'admit', record: encodeJob({ acceptedAt: 5, spec: service }) },
      { n: 2, ask: 'status', job: 'job-9' },
      { n: 3, ask: 'health' },
    ];
    for (const request of requests) {
      const [sent] = new FrameDecoder().decode(encodeFrame(request));
      expect(v.is(oldQuestion, sent)).toBe(true);
    }
    // It does not answer calls to unknown packages, so that the requester answers 503.
    const call = { route: 'list', subject: '', body: {} };
    const [decodedCall] = new FrameDecoder().decode(
      encodeFrame({ n: 4, ask: 'operate', extension: 'drain', call }),
    );
    expect(v.is(oldQuestion, decodedCall)).toBe(false);
    // It cannot read a service and does not answer, so that no 201 is sent.
    expect(v.is(oldJob, requests[0]!.record)).toBe(false);
    const state = core();
    applyCommands(
      state,
      [{ kind: 'job', spec: service, submittedAt: 0 as Instant }],
      0 as Instant,
      'lead',
    );
    const view = viewJob(state, service.id, 0 as Instant);
    expect(v.parse(oldView, view)).toMatchObject({
      id: 'job-9',
      status: 'queued',
      done: 0,
      running: 0,
    });
    expect(v.is(oldHealth, { leader: null, term: 7, workers: 0, state: true })).toBe(true);
  });
});
