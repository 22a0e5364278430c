/**
 * Stored records and their keys as pinned at commit 90313a6, byte for byte; the schemas of that
 * commit must accept what this version writes. Records are built from the pinned inputs or from
 * `modelValues`.
 */
import type { AttemptId, JobId, MachineId, TaskIndex } from '@robinspread/extension-api';
import * as v from 'valibot';
import { describe, expect, it } from 'vitest';
import { parseDrainRequest } from '../packages/drain/src/adapters/drain-request-parser.js';
import type { Disruption } from '../packages/drain/src/core/disruption.js';
import { disruptionsKey, encodeDisruptions } from '../packages/drain/src/core/disruption-codec.js';
import type { Drain, DrainName, MachineDrain } from '../packages/drain/src/core/drain.js';
import {
  decodeRecords,
  drainKey,
  encodeDrain,
  encodeMachineDrain,
  machineKey,
} from '../packages/drain/src/core/records.js';
import { parseMachineTypes } from '../src/adapters/wire/cloud.js';
import { parseJob } from '../src/adapters/wire/jobs.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type {
  FencingToken,
  MachineTypeName,
  NodeId,
  TeamName,
  ZoneName,
} from '../src/core/model/ids.js';
import type { JobSpec } from '../src/core/model/job.js';
import type { MachineLossPage } from '../src/core/model/machine-loss.js';
import {
  COMPLETION_PREFIX,
  completionKey,
  decodeCompletion,
  decodeJob,
  decodeLeader,
  decodeMachineLosses,
  decodeMachineTypes,
  decodeProgressPage,
  decodeProgressRequest,
  decodeSegment,
  encodeCompletion,
  encodeJob,
  encodeMachineLosses,
  encodeProgressRequest,
  encodeProgressSnapshot,
  encodeSegment,
  extensionKey,
  extensionPrefix,
  JOB_PREFIX,
  type JobCompletion,
  jobKey,
  LEADER_KEY,
  LEDGER_PREFIX,
  LEGACY_LEDGER_PREFIX,
  MACHINE_TYPES_KEY,
  machineLossKey,
  type ProgressSnapshot,
  progressRequestKey,
  progressSnapshotKey,
  type SegmentRecord,
} from '../src/service/stored-records.js';
import { loadPins } from './fixtures/pins.js';
import * as pinnedSchemas from './fixtures/schemas-90313a6.js';

const inputs = loadPins('inputs');
const pins = loadPins('records');

/** Values that cannot be parsed from a pinned input. */
const modelValues = (() => {
  const [blue, green] = ['blue' as TeamName, 'green' as TeamName];
  const first = { job: 'job-000412' as JobId, team: blue, cpus: 1.5, gpus: 2, memoryGb: 5.9 };
  const second = { job: 'job-413' as JobId, team: green, cpus: 2, gpus: 0, memoryGb: 8 };
  const taskIds = (index: number, attempt: number) => ({
    index: index as TaskIndex,
    attempt: attempt as AttemptId,
  });
  const ledger: SegmentRecord = {
    machines: [
      {
        machine: 'n-000001' as MachineId,
        attributes: { type: 'c8' as MachineTypeName, zone: 'a' as ZoneName, spot: false },
        entries: [
          { ...first, ...taskIds(0, 41000000) },
          { ...second, ...taskIds(3, 41000001) },
        ],
      },
      {
        machine: 'n-000002' as MachineId,
        attributes: { type: 'g4' as MachineTypeName, zone: 'b' as ZoneName, spot: true },
        entries: [{ ...first, ...taskIds(8999, 41000002) }],
      },
    ],
    progress: [{ job: first.job, firstTask: 8192, bits: new Uint8Array([255, 1, 0, 128]) }],
  };
  const completions: Record<string, JobCompletion> = {
    done: { outcome: 'done', tasks: 17, team: blue },
    cancelled: { outcome: 'cancelled', tasks: 3, team: green },
  };
  const machines: Record<string, MachineDrain> = {};
  for (const phase of ['waiting', 'cordoned', 'draining', 'returning'] as const) {
    machines[phase] = {
      machine: `n-${phase}` as MachineId,
      phase,
      replacementSlot:
        phase === 'waiting'
          ? null
          : ({ request: 'x-41-7', position: 1, requested: 4 } as MachineDrain['replacementSlot']),
      replacement: phase === 'draining' ? ('n-000009' as MachineId) : null,
      replacementsRequested: 2,
    };
  }
  const disruption = (voluntary: boolean): Disruption => ({
    ...taskIds(5, 41000003),
    job: second.job,
    team: green as Disruption['team'],
    jobClass: 'front',
    startedAt: 1790000000123,
    isVoluntary: voluntary,
    phase: voluntary ? 'granted' : 'stopped',
    recordKey: 'b/41-3',
    grantedAt: null,
    isInherited: true,
  });
  return {
    ledger,
    ledgerWithParts: {
      ...ledger,
      progress: [
        ...ledger.progress,
        { job: first.job, firstTask: 4096, bits: new Uint8Array([7]) },
        { job: second.job, firstTask: 8, bits: new Uint8Array([0, 255]) },
      ],
    } satisfies SegmentRecord,
    completions,
    machines,
    disruptions: [disruption(true), disruption(false)],
  };
})();

/** A record as the key-value store returns it. */
const throughJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

const specOf = (name: string): JobSpec => {
  const parsed = parseJob(inputs.get(name));
  if ('error' in parsed) throw new Error(parsed.error);
  return parsed;
};

describe('the keys of stored records', () => {
  it('are as pinned', () => {
    const job = 'job-000412' as JobId;
    pins.check('keys', {
      leader: LEADER_KEY,
      types: MACHINE_TYPES_KEY,
      jobs: JOB_PREFIX,
      job: jobKey(job),
      finals: COMPLETION_PREFIX,
      final: completionKey(job),
      ledger: LEDGER_PREFIX,
      segment: segmentKey(41 as FencingToken, 3),
      oldLedger: LEGACY_LEDGER_PREFIX,
      extension: extensionPrefix('drain'),
      extensionRecord: extensionKey('drain', 'd/os-update'),
      drain: drainKey('os-update' as DrainName),
      drainMachine: machineKey('os-update' as DrainName, 'n-000001' as MachineId),
      disruptions: disruptionsKey(41, 3),
    });
  });
});

describe('a job record', () => {
  for (const name of ['array', 'service', 'shortest']) {
    it(`of the submission "${name}" is as pinned, and is read back as the same job`, () => {
      const spec = specOf(name);
      pins.check(`job ${name}`, encodeJob({ acceptedAt: 1790000000123, spec }));
      const record = decodeJob(pins.get(`job ${name}`))!;
      expect(record).toEqual({ acceptedAt: 1790000000123, spec });
      pins.check(`job ${name}`, encodeJob(record));
    });

    it(`of the submission "${name}" is accepted by the pinned schema with every field`, () => {
      const written = throughJson(encodeJob({ acceptedAt: 1, spec: specOf(name) }));
      const schema = name === 'service' ? pinnedSchemas.serviceRecord : pinnedSchemas.arrayRecord;
      expect(v.parse(schema, written)).toEqual(written);
      // The schema of the other kind rejects it.
      const other = name === 'service' ? pinnedSchemas.arrayRecord : pinnedSchemas.serviceRecord;
      expect(v.is(other, written)).toBe(false);
    });
  }
});

describe('the completion record', () => {
  for (const [name, completion] of Object.entries(modelValues.completions)) {
    it(`of a ${name} job is as pinned, is read back, and is accepted by the pinned schema`, () => {
      pins.check(`final ${name}`, encodeCompletion(completion));
      expect(decodeCompletion(pins.get(`final ${name}`))).toEqual(completion);
      expect(v.parse(pinnedSchemas.finalRecord, throughJson(encodeCompletion(completion)))).toEqual(
        encodeCompletion(completion),
      );
    });
  }
});

describe('the leader record', () => {
  it('is read from its pinned form', () => {
    const written = { node: 'node-1', life: '1790000000123-42', lease: 7 };
    pins.check('leader', written);
    pins.check('leader as read', decodeLeader(pins.get('leader')));
    expect(v.parse(pinnedSchemas.leaderRecord, written)).toEqual(decodeLeader(written));
  });
});

describe('the machine types record', () => {
  it('is as pinned, is read back, and is accepted by the pinned schema', () => {
    const types = parseMachineTypes(inputs.get('types'));
    pins.check('types', types);
    const read = decodeMachineTypes(pins.get('types'));
    expect(read).toEqual(types);
    pins.check('types', read);
    expect(v.parse(pinnedSchemas.typesRecord, throughJson(types))).toEqual(throughJson(types));
  });
});

describe('a ledger segment', () => {
  for (const [name, record] of [
    ['ledger', modelValues.ledger],
    ['ledger with parts of blocks', modelValues.ledgerWithParts],
    ['empty ledger', { machines: [], progress: [] }],
  ] as const) {
    it(`(${name}) is as pinned, is read back, and is accepted by the pinned schema`, () => {
      const written = encodeSegment(record);
      pins.check(name, written);
      const read = decodeSegment(pins.get(name))!;
      expect(read).toEqual(record);
      pins.check(name, encodeSegment(read));
      expect(v.parse(pinnedSchemas.segmentRecord, throughJson(written))).toEqual({
        e: [],
        ...written,
      });
    });
  }
});

describe('a ledger segment with its time', () => {
  const record: SegmentRecord = { ...modelValues.ledger, recordedAtTimeOfDayMs: 1790000000123 };

  it('is as pinned, is read back, and older versions read it without the time', () => {
    const written = encodeSegment(record);
    pins.check('ledger with time', written);
    expect(decodeSegment(pins.get('ledger with time'))).toEqual(record);
    expect(v.parse(pinnedSchemas.segmentRecord, throughJson(written))).toEqual({
      e: [],
      ...encodeSegment(modelValues.ledger),
    });
  });

  it('is read without a time that is no number', () => {
    const written = { ...encodeSegment(record), t: 'soon' };
    expect(decodeSegment(written)).toEqual(modelValues.ledger);
  });
});

describe('the record of lost machines', () => {
  it('is as pinned, and is read back', () => {
    const page: MachineLossPage = {
      page: 1,
      writtenAtTimeOfDayMs: 1790000000123,
      unresponsive: [
        {
          machine: 'n-000001' as MachineId,
          sinceTimeOfDayMs: 1790000000000,
          listenedMs: 3000,
        },
      ],
      gone: [
        {
          machine: 'n-000002' as MachineId,
          attemptsBelow: 41000017,
          provenAtTimeOfDayMs: 1790000000001,
        },
        {
          machine: 'n-000003' as MachineId,
          attemptsBelow: null,
          provenAtTimeOfDayMs: 1790000000002,
        },
      ],
    };
    pins.check('lost machines', [machineLossKey(1), encodeMachineLosses(page)]);
    const [, value] = pins.get<[string, unknown]>('lost machines');
    expect(decodeMachineLosses(value)).toEqual(page);
    expect(decodeMachineLosses({ odd: true })).toBeNull();
  });
});

describe('progress records', () => {
  const node = 'node-1' as NodeId;
  const request = { life: '1790000000123-42', n: 3 };
  const snapshot: ProgressSnapshot = {
    requests: new Map([[node, request]]),
    jobs: [
      { id: 'job-000412' as JobId, status: 'running', done: 17, running: 4 },
      { id: 'job-413' as JobId, status: 'queued', done: 2, running: 0 },
      { id: 'job-414' as JobId, status: null, done: 0, running: 0 },
    ],
  };

  it('of a request are as pinned, and are read back', () => {
    pins.check('progress request', [progressRequestKey(node), encodeProgressRequest(request)]);
    const [, value] = pins.get<[string, unknown]>('progress request');
    expect(decodeProgressRequest(value)).toEqual(request);
    expect(decodeProgressRequest({ ...request, n: -1 })).toBeNull();
  });

  it('of a snapshot are as pinned, and are read back', () => {
    const limits = { maxPageBytes: 4000, maxPages: 2 };
    const pages = encodeProgressSnapshot(snapshot, limits);
    pins.check('progress snapshot', [progressSnapshotKey(0), ...pages]);
    const [, value] = pins.get<[string, unknown]>('progress snapshot');
    const expected = { ...snapshot, page: 0, pages: 1, isWhole: true };
    expect(decodeProgressPage(value)).toEqual(expected);
    expect(decodeProgressPage({ odd: true })).toBeNull();
  });
});

describe('drain records', () => {
  const drainOf = (name: string, change: Partial<Drain> = {}): Drain => {
    const read = parseDrainRequest(inputs.get(name));
    if (read.kind === 'invalid') throw new Error(read.message);
    return {
      request: read.request,
      phase: 'running',
      pauseReason: null,
      startedAt: 1790000000123,
      newestMachineAtStart: 'n-000031' as MachineId,
      total: 30,
      returned: 12,
      failed: 1,
      step: 4,
      deadlineAt: null,
      machinesInStep: new Map(),
      ...change,
    };
  };

  const drains: Record<string, Drain> = {
    'drain pending': drainOf('drain', { phase: 'pending', deadlineAt: 1790007200123 }),
    'drain running': drainOf('drain of all'),
    'drain paused': drainOf('drain', { phase: 'paused', pauseReason: 'an operator paused it' }),
    'drain cancelled': drainOf('drain of all', { phase: 'cancelled' }),
    'drain done': drainOf('drain', { phase: 'done' }),
  };
  for (const [name, drain] of Object.entries(drains)) {
    it(`(${name}) are as pinned, are read back, and are accepted by the pinned schema`, () => {
      pins.check(name, encodeDrain(drain));
      const read = decodeRecords([{ key: drainKey(drain.request.name), value: pins.get(name) }]);
      expect(read.drains.get(drain.request.name)).toEqual(drain);
      expect([read.unreadable.size, read.orphaned]).toEqual([0, []]);
      pins.check(name, encodeDrain(read.drains.get(drain.request.name)!));
      const written = throughJson(encodeDrain(drain));
      expect(v.parse(pinnedSchemas.drainRecord, written)).toEqual(written);
    });
  }

  it('of machines are as pinned, are read back, and are accepted by the pinned schema', () => {
    const drain = drains['drain running']!;
    const { name } = drain.request;
    for (const [phase, machine] of Object.entries(modelValues.machines)) {
      pins.check(`drain machine ${phase}`, encodeMachineDrain(machine));
      const read = decodeRecords([
        { key: drainKey(name), value: encodeDrain(drain) },
        { key: machineKey(name, machine.machine), value: pins.get(`drain machine ${phase}`) },
      ]);
      expect(read.drains.get(name)?.machinesInStep.get(machine.machine)).toEqual(machine);
      const written = throughJson(encodeMachineDrain(machine));
      expect(v.parse(pinnedSchemas.drainMachineRecord, written)).toEqual(written);
    }
  });

  it('of disruptions are as pinned, are read back, and are accepted by the pinned schema', () => {
    const written = encodeDisruptions(modelValues.disruptions);
    pins.check('disruptions', written);
    const read = decodeRecords([{ key: disruptionsKey(41, 3), value: pins.get('disruptions') }]);
    expect(read.disruptions).toEqual(modelValues.disruptions);
    expect(v.parse(pinnedSchemas.disruptionsRecord, throughJson(written))).toEqual(written);
  });
});

describe('the pinned records', () => {
  it('are all compared', () => expect(pins.unusedNames()).toEqual([]));
});
