/** Small builders of core records for the tests. */
import { DEFAULT_POLICY } from '../../src/adapters/configuration/settings.js';
import { type CoreConfig, type CoreState, createCore } from '../../src/core/state.js';
import type {
  Attempt,
  Instant,
  JobId,
  JobSpec,
  LedgerEntry,
  LedgerMachine,
  MachineId,
  MachineType,
  Millis,
  Policy,
  Report,
  ReportedTask,
  TaskIndex,
  Team,
  TeamName,
  Term,
  TypeName,
  ZoneName,
} from '../../src/core/types.js';

export const job = (id: string, change: Partial<Record<keyof JobSpec, unknown>> = {}): JobSpec =>
  ({
    id: id as JobId,
    shape: 'array',
    lane: 'any',
    team: 'blue' as TeamName,
    priority: 'standard',
    tasks: 1,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    scatter: false,
    spotOk: true,
    image: 'img',
    imageGb: 0,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...change,
  }) as JobSpec;

export const type = (
  name: string,
  change: Partial<Record<keyof MachineType, unknown>> = {},
): MachineType =>
  ({
    name: name as TypeName,
    cpus: 8,
    gpus: 0,
    memoryGb: 64,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 20,
    zones: ['a', 'b'] as ZoneName[],
    ...change,
  }) as MachineType;

export const team = (name: string, cpusMax = 64, gpusMax = 0): Team => ({
  name: name as TeamName,
  cpus: cpusMax / 2,
  cpusMax,
  gpus: gpusMax / 2,
  gpusMax,
});

export const core = (change: Partial<CoreConfig> = {}, policy: Partial<Policy> = {}): CoreState =>
  createCore({
    term: 7 as Term,
    acquiredAt: 0 as Instant,
    teams: new Map([team('blue'), team('green', 24, 4)].map((t) => [t.name, t])),
    policy: { ...DEFAULT_POLICY, ...policy },
    reportMs: 2000 as Millis,
    leaseMs: 16_000 as Millis,
    keepAliveMs: 10_000 as Millis,
    listLagMs: 4000 as Millis,
    txnOps: 16,
    writeRps: 100,
    valueBytes: 8192,
    maxPerMachine: 64,
    timeOfDayOffsetMs: 0,
    ...change,
  });

export const task = (
  jobId: string,
  index: number,
  attempt: number,
  phase: ReportedTask['phase'] = 'running',
  cause: ReportedTask['cause'] = null,
): ReportedTask => ({
  job: jobId as JobId,
  index: index as TaskIndex,
  attempt: attempt as Attempt,
  phase,
  cause,
  saved: false,
});

export const report = (
  id: string,
  seq: number,
  term: number,
  tasks: ReportedTask[] = [],
  change: Partial<Report> = {},
): Report => ({
  machine: id as MachineId,
  endpoint: '127.0.0.1:9',
  type: 'c8' as TypeName,
  zone: 'a' as ZoneName,
  spot: false,
  session: 1,
  seq,
  term: term as Term,
  noticeS: null,
  tasks,
  ...change,
});

/** A row of a ledger record. */
export const entry = (index: number, attempt: number, id = 'job-1') =>
  ({
    job: id,
    index,
    attempt,
    team: 'blue',
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
  }) as unknown as LedgerEntry;
/** What a ledger record says of a machine. */
export const recordedAt = { type: 'c8', zone: 'a', spot: false } as unknown as LedgerMachine;
