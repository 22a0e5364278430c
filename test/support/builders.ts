/** Small builders of core records for the tests; a name that a record does not have is refused. */
import { DEFAULT_POLICY } from '../../src/adapters/configuration/policy.js';
import { type CoreConfig, type CoreState, createCore } from '../../src/core/core-state.js';
import type { Heartbeat, TaskStatus } from '../../src/core/model/heartbeat.js';
import type {
  AttemptId,
  Branded,
  FencingToken,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  TaskIndex,
  TeamName,
  ZoneName,
} from '../../src/core/model/ids.js';
import type { JobSpec } from '../../src/core/model/job.js';
import type { LedgerEntry } from '../../src/core/model/ledger-record.js';
import type { MachineAttributes, MachineType } from '../../src/core/model/machine.js';
import type { Policy } from '../../src/core/model/policy.js';
import type { Team } from '../../src/core/model/team.js';
import type { Instant, Millis } from '../../src/core/model/time.js';

/** As a test writes a value: plain strings and numbers stand for branded ones. */
type Plain<V> =
  V extends Branded<string, string>
    ? string
    : V extends Branded<number, string>
      ? number
      : V extends readonly (infer E)[]
        ? readonly Plain<E>[]
        : V;

type Change<T> = { readonly [K in keyof T]?: Plain<T[K]> };

/** Fields of a job that a test sets. */
export type JobOverrides = Change<JobSpec>;

/** The default with some fields replaced; a name that it does not have is a mistake in the test. */
const override = <T extends object>(base: T, change: Partial<Record<keyof T, unknown>>): T => {
  for (const name of Object.keys(change)) {
    if (!Object.hasOwn(base, name)) throw new Error(`no field named ${name}`);
  }
  return { ...base, ...change };
};

/** An array of one task, with the fields that a test sets. */
export const job = (id: string, change: JobOverrides = {}): JobSpec =>
  override<JobSpec>(
    {
      id: id as JobId,
      shape: 'array',
      jobClass: 'any',
      team: 'blue' as TeamName,
      priority: 'standard',
      tasks: 1,
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      machineTypes: null,
      zone: null,
      singleZone: false,
      spreadZones: false,
      allowsSpot: true,
      image: 'img' as ImageName,
      imageGb: 0,
      estimateS: 10,
      checkpointIntervalS: 0,
      checkpointWriteS: 0,
      deadlineS: null,
    },
    change,
  );

/** A machine type with 8 processors in two zones. */
export const machineType = (name: string, change: Change<MachineType> = {}): MachineType =>
  override<MachineType>(
    {
      name: name as MachineTypeName,
      cpus: 8,
      gpus: 0,
      memoryGb: 64,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 0.3,
      bootS: 20,
      zones: ['a', 'b'] as ZoneName[],
    },
    change,
  );

/** A team whose guaranteed share is half its quota. */
export const team = (name: string, cpusMax = 64, gpusMax = 0): Team => ({
  name: name as TeamName,
  cpus: cpusMax / 2,
  cpusMax,
  gpus: gpusMax / 2,
  gpusMax,
});

/** The state of a leader that has recovered nothing yet. */
export const core = (change: Partial<CoreConfig> = {}, policy: Partial<Policy> = {}): CoreState =>
  createCore(
    override<CoreConfig>(
      {
        fencingToken: 7 as FencingToken,
        acquiredAt: 0 as Instant,
        teams: new Map([team('blue'), team('green', 24, 4)].map((t) => [t.name, t])),
        policy: override(DEFAULT_POLICY, policy),
        heartbeatIntervalMs: 2000 as Millis,
        workerLeaseMs: 16_000 as Millis,
        graceAfterLeaseLossMs: 10_000 as Millis,
        listLagMs: 4000 as Millis,
        maxTransactionOperations: 16,
        storeWritesPerSecond: 100,
        maxValueBytes: 8192,
        maxAttemptsPerMachine: 64,
        wallClockOffsetMs: 0,
      },
      change,
    ),
  );

/** What a worker reports of a task. */
export const taskStatus = (
  jobId: string,
  index: number,
  attempt: number,
  phase: TaskStatus['phase'] = 'running',
  cause: TaskStatus['cause'] = null,
): TaskStatus => ({
  job: jobId as JobId,
  index: index as TaskIndex,
  attempt: attempt as AttemptId,
  phase,
  cause,
  checkpointSaved: false,
});

/** A heartbeat of a machine, with the fencing token that it knows. */
export const heartbeatOf = (
  id: string,
  sequence: number,
  fencingToken: number,
  tasks: TaskStatus[] = [],
  change: Partial<Heartbeat> = {},
): Heartbeat =>
  override<Heartbeat>(
    {
      machine: id as MachineId,
      endpoint: '127.0.0.1:9',
      type: 'c8' as MachineTypeName,
      zone: 'a' as ZoneName,
      spot: false,
      agentEpoch: 1,
      sequence,
      fencingToken: fencingToken as FencingToken,
      reclaimNoticeS: null,
      tasks,
    },
    change,
  );

/** A row of a ledger record. */
export const ledgerEntry = (index: number, attempt: number, id = 'job-1'): LedgerEntry => ({
  job: id as JobId,
  index: index as TaskIndex,
  attempt: attempt as AttemptId,
  team: 'blue' as TeamName,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
});
/** What a ledger record says of a machine. */
export const recordedAttributes: MachineAttributes = {
  type: 'c8' as MachineTypeName,
  zone: 'a' as ZoneName,
  spot: false,
};
