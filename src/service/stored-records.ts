/** What the state service holds, and under which keys. Every record read back is checked. */
import * as v from 'valibot';
import { EXTENSION_PREFIX } from '../core/extensions/extension-host.js';
import { SEGMENT_PREFIX } from '../core/ledger/segments.js';
import { TASKS_PER_BLOCK } from '../core/lifecycle/job-tasks.js';
import type {
  AttemptId,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  TaskIndex,
  TeamName,
  ZoneName,
} from '../core/model/ids.js';
import type { JobOutcome, JobShape, JobSpec } from '../core/model/job.js';
import type { LedgerEntry, LedgerRow, ProgressRow } from '../core/model/ledger-record.js';
import type { MachineType } from '../core/model/machine.js';

export const LEADER_KEY = 'leader';
export const MACHINE_TYPES_KEY = 'c/types';
export const JOB_PREFIX = 'j/';
export const COMPLETION_PREFIX = 'f/';
/** The placement ledger: see `Segment` in the core. */
export const LEDGER_PREFIX = SEGMENT_PREFIX;
/** Where the first version kept its ledger, a key for each machine: what stands there is taken as unreadable. */
export const FIRST_VERSION_LEDGER_PREFIX = 'm/';

/** Each extension's records stand under a prefix of its own; versions without the extension never look there. */
export const extensionPrefix = (extension: string): string => `${EXTENSION_PREFIX}${extension}/`;
export const extensionKey = (extension: string, key: string): string =>
  extensionPrefix(extension) + key;

export const jobKey = (id: JobId): string => `${JOB_PREFIX}${id}`;
export const completionKey = (id: JobId): string => `${COMPLETION_PREFIX}${id}`;

const leaderSchema = v.object({ node: v.string(), life: v.string() });
export type LeaderRecord = v.InferOutput<typeof leaderSchema>;

export const decodeLeader = (value: unknown): LeaderRecord | null => {
  const r = v.safeParse(leaderSchema, value);
  return r.success ? r.output : null;
};

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const specSchema = v.object({
  id: v.string(),
  lane: v.string(),
  team: v.string(),
  priority: v.picklist(['critical', 'urgent', 'standard', 'best_effort']),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1)),
  cpus: amount,
  gpus: amount,
  memoryGb: amount,
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  oneZone: v.boolean(),
  scatter: v.boolean(),
  spotOk: v.boolean(),
  image: v.string(),
  imageGb: amount,
  estimateS: amount,
  checkpointS: amount,
  saveS: amount,
  deadlineS: v.nullable(amount),
});
/**
 * A service stands under another name than an array: the version before this one, which would run it as an array and call it
 * done, finds the record unreadable, takes the job for known and leaves it alone.
 */
const arraySchema = v.object({ at: v.number(), spec: specSchema });
const serviceSchema = v.object({ at: v.number(), service: specSchema });

export interface JobRecord {
  /** Time of day at which it was accepted. */
  readonly acceptedAt: number;
  readonly spec: JobSpec;
}

type StoredSpec = v.InferOutput<typeof specSchema>;

/** The stored names of a job's fields; their order is that of the first version. */
const encodeSpec = (spec: JobSpec): StoredSpec => ({
  id: spec.id,
  lane: spec.jobClass,
  team: spec.team,
  priority: spec.priority,
  tasks: spec.tasks,
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  types: spec.machineTypes === null ? null : [...spec.machineTypes],
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
});

const decodeSpec = (stored: StoredSpec, shape: JobShape): JobSpec => ({
  id: stored.id as JobId,
  shape,
  jobClass: stored.lane,
  team: stored.team as TeamName,
  priority: stored.priority,
  tasks: stored.tasks,
  cpus: stored.cpus,
  gpus: stored.gpus,
  memoryGb: stored.memoryGb,
  machineTypes: stored.types as readonly MachineTypeName[] | null,
  zone: stored.zone as ZoneName | null,
  singleZone: stored.oneZone,
  spreadZones: stored.scatter,
  allowsSpot: stored.spotOk,
  image: stored.image as ImageName,
  imageGb: stored.imageGb,
  estimateS: stored.estimateS,
  checkpointIntervalS: stored.checkpointS,
  checkpointWriteS: stored.saveS,
  deadlineS: stored.deadlineS,
});

/** The stored form of an accepted job. */
export const encodeJob = ({ acceptedAt, spec }: JobRecord) => {
  const stored = encodeSpec(spec);
  return spec.shape === 'service'
    ? { at: acceptedAt, service: stored }
    : { at: acceptedAt, spec: stored };
};

/** null for a record that cannot be read. */
export const decodeJob = (value: unknown): JobRecord | null => {
  const array = v.safeParse(arraySchema, value);
  if (array.success) {
    return { acceptedAt: array.output.at, spec: decodeSpec(array.output.spec, 'array') };
  }
  const service = v.safeParse(serviceSchema, value);
  if (!service.success) return null;
  return { acceptedAt: service.output.at, spec: decodeSpec(service.output.service, 'service') };
};

const typesSchema = v.array(
  v.object({
    name: v.string(),
    cpus: amount,
    gpus: amount,
    memoryGb: amount,
    fetchGbPerS: amount,
    price: amount,
    spotPrice: amount,
    bootS: amount,
    zones: v.array(v.string()),
  }),
);
export const decodeMachineTypes = (value: unknown): MachineType[] | null => {
  const r = v.safeParse(typesSchema, value);
  return r.success ? (r.output as unknown as MachineType[]) : null;
};

const finalSchema = v.object({
  o: v.picklist(['done', 'cancelled']),
  n: v.number(),
  t: v.string(),
});

export interface JobCompletion {
  readonly outcome: JobOutcome;
  readonly tasks: number;
  readonly team: TeamName;
}

export const encodeCompletion = (f: JobCompletion) => ({ o: f.outcome, n: f.tasks, t: f.team });
export const decodeCompletion = (value: unknown): JobCompletion | null => {
  const r = v.safeParse(finalSchema, value);
  return r.success
    ? { outcome: r.output.o, tasks: r.output.n, team: r.output.t as TeamName }
    : null;
};

// One record holds what a batch entered and finished: jobs are named once, and rows count from 0 in that list.
const whole = v.pipe(v.number(), v.integer(), v.minValue(0));
const segmentSchema = v.object({
  /** [job, team, cpus, gpus, memory] */
  j: v.array(v.tuple([v.string(), v.string(), amount, amount, amount])),
  /** [machine, type, zone, spot, [[job's row, task, attempt], ...]] */
  m: v.array(
    v.tuple([
      v.string(),
      v.string(),
      v.string(),
      v.boolean(),
      v.array(v.tuple([whole, whole, whole])),
    ]),
  ),
  /** [job, block, bits of done tasks in base64] */
  d: v.array(v.tuple([v.string(), whole, v.string()])),
  /**
   * [job, first task, bits], where a block does not fit a value. A version that does not know it runs these tasks again;
   * they end at once, since workers keep results.
   */
  e: v.optional(v.array(v.tuple([v.string(), whole, v.string()])), []),
});
type Segment = v.InferInput<typeof segmentSchema>;

export interface SegmentRecord {
  readonly machines: readonly LedgerRow[];
  readonly progress: readonly ProgressRow[];
}

export const encodeSegment = ({ machines, progress }: SegmentRecord): Segment => {
  const rows = new Map<JobId, number>();
  const j: Segment['j'] = [];
  const rowOf = (e: LedgerEntry): number => {
    let row = rows.get(e.job);
    if (row === undefined) {
      row = j.push([e.job, e.team, e.cpus, e.gpus, e.memoryGb]) - 1;
      rows.set(e.job, row);
    }
    return row;
  };
  const bits = (p: ProgressRow) => Buffer.from(p.bits).toString('base64');
  const atBlock = (p: ProgressRow) => p.firstTask % TASKS_PER_BLOCK === 0;
  const parts = progress.filter((p) => !atBlock(p));
  return {
    j,
    m: machines.map(({ machine, attributes, entries }) => [
      machine,
      attributes.type,
      attributes.zone,
      attributes.spot,
      entries.map((e) => [rowOf(e), e.index, e.attempt]),
    ]),
    d: progress.filter(atBlock).map((p) => [p.job, p.firstTask / TASKS_PER_BLOCK, bits(p)]),
    ...(parts.length > 0 ? { e: parts.map((p) => [p.job, p.firstTask, bits(p)]) } : {}),
  };
};

/** null for a record that is not wholly as written: what it spoke of may then be anywhere. */
export const decodeSegment = (value: unknown): SegmentRecord | null => {
  const r = v.safeParse(segmentSchema, value);
  if (!r.success) return null;
  const { j, m, d, e } = r.output;
  if (m.some(([, , , , entries]) => entries.some(([row]) => row >= j.length))) return null;
  const machines = m.map(([machine, type, zone, spot, entries]) => ({
    machine: machine as MachineId,
    attributes: { type: type as MachineTypeName, zone: zone as ZoneName, spot },
    entries: entries.map(([row, index, attempt]): LedgerEntry => {
      const [job, team, cpus, gpus, memoryGb] = j[row]!;
      return {
        job: job as JobId,
        index: index as TaskIndex,
        attempt: attempt as AttemptId,
        team: team as TeamName,
        cpus,
        gpus,
        memoryGb,
      };
    }),
  }));
  const row = (job: string, from: number, bits: string): ProgressRow => ({
    job: job as JobId,
    firstTask: from,
    bits: new Uint8Array(Buffer.from(bits, 'base64')),
  });
  const progress = [
    ...d.map(([job, block, bits]) => row(job, block * TASKS_PER_BLOCK, bits)),
    ...e.map(([job, from, bits]) => row(job, from, bits)),
  ];
  return { machines, progress };
};
