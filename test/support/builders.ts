/** Builders of core records with default fields; they throw on a field that a record lacks. */
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

/** A value as a test writes it: plain strings and numbers instead of branded ones. */
type Unbranded<V> =
  V extends Branded<string, string>
    ? string
    : V extends Branded<number, string>
      ? number
      : V extends readonly (infer E)[]
        ? readonly Unbranded<E>[]
        : V;

type Overrides<T> = { readonly [K in keyof T]?: Unbranded<T[K]> };

/** Fields of a job that a test sets. */
export type JobOverrides = Overrides<JobSpec>;

/** Returns `base` with some fields replaced; throws if `base` has no field of a name. */
const override = <T extends object>(base: T, overrides: Partial<Record<keyof T, unknown>>): T => {
  for (const name of Object.keys(overrides)) {
    if (!Object.hasOwn(base, name)) throw new Error(`no field named ${name}`);
  }
  return { ...base, ...overrides };
};

/** An array job of one task. */
export const job = (id: string, overrides: JobOverrides = {}): JobSpec =>
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
    overrides,
  );

/** A machine type with 8 CPUs in two zones. */
export const machineType = (name: string, overrides: Overrides<MachineType> = {}): MachineType =>
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
    overrides,
  );

/** A team whose guaranteed share is half of its quota. */
export const team = (name: string, cpusMax = 64, gpusMax = 0): Team => ({
  name: name as TeamName,
  cpus: cpusMax / 2,
  cpusMax,
  gpus: gpusMax / 2,
  gpusMax,
});

/** The state of a leader that has not recovered any state. */
export const core = (
  overrides: Partial<CoreConfig> = {},
  policy: Partial<Policy> = {},
): CoreState =>
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
        maxStateBytes: 1_000_000_000,
        wallClockOffsetMs: 0,
      },
      overrides,
    ),
  );

/** The status of a task in a heartbeat. */
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

/** A heartbeat, with the newest fencing token that the machine knows. */
export const heartbeatOf = (
  id: string,
  sequence: number,
  fencingToken: number,
  tasks: TaskStatus[] = [],
  overrides: Partial<Heartbeat> = {},
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
    overrides,
  );

/** An entry of a ledger segment. */
export const ledgerEntry = (index: number, attempt: number, id = 'job-1'): LedgerEntry => ({
  job: id as JobId,
  index: index as TaskIndex,
  attempt: attempt as AttemptId,
  team: 'blue' as TeamName,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
});
/** Attributes of a machine in a ledger segment. */
export const recordedAttributes: MachineAttributes = {
  type: 'c8' as MachineTypeName,
  zone: 'a' as ZoneName,
  spot: false,
};
