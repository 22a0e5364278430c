/** What the state service holds, and under which keys. Every record read back is checked. */
import * as v from 'valibot';
import { EXTENSIONS } from '../core/extensions/extension-host.js';
import { SEGMENTS } from '../core/ledger/segments.js';
import { BLOCK_TASKS } from '../core/lifecycle/job-tasks.js';
import type {
  Attempt,
  JobId,
  JobSpec,
  LedgerEntry,
  LedgerRow,
  MachineId,
  MachineType,
  Outcome,
  ProgressRow,
  Shape,
  TaskIndex,
  TeamName,
  TypeName,
  ZoneName,
} from '../core/types.js';

export const LEADER_KEY = 'leader';
export const TYPES_KEY = 'c/types';
export const JOBS = 'j/';
export const FINALS = 'f/';
/** The placement ledger: see `Segment` in the core. */
export const LEDGER = SEGMENTS;
/** Where the first version kept its ledger, a key for each machine: what stands there is taken as unreadable. */
export const OLD_LEDGER = 'm/';

/** Each extension's records stand under a prefix of its own; versions without the extension never look there. */
export const extensionPrefix = (extension: string): string => `${EXTENSIONS}${extension}/`;
export const extensionKey = (extension: string, key: string): string =>
  extensionPrefix(extension) + key;

export const jobKey = (id: JobId): string => `${JOBS}${id}`;
export const finalKey = (id: JobId): string => `${FINALS}${id}`;

const leaderSchema = v.object({ node: v.string(), life: v.string() });
export type LeaderRecord = v.InferOutput<typeof leaderSchema>;

export const readLeader = (value: unknown): LeaderRecord | null => {
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
  readonly at: number;
  readonly spec: JobSpec;
}

export const writeJob = ({ at, spec }: JobRecord) => {
  const { shape, ...rest } = spec;
  return shape === 'service' ? { at, service: rest } : { at, spec: rest };
};

export const readJob = (value: unknown): JobRecord | null => {
  const array = v.safeParse(arraySchema, value);
  if (array.success) return jobRecord(array.output.at, 'array', array.output.spec);
  const service = v.safeParse(serviceSchema, value);
  return service.success ? jobRecord(service.output.at, 'service', service.output.service) : null;
};

const jobRecord = (at: number, shape: Shape, spec: object): JobRecord => ({
  at,
  spec: { ...spec, shape } as JobSpec,
});

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
export const readTypes = (value: unknown): MachineType[] | null => {
  const r = v.safeParse(typesSchema, value);
  return r.success ? (r.output as unknown as MachineType[]) : null;
};

const finalSchema = v.object({
  o: v.picklist(['done', 'cancelled']),
  n: v.number(),
  t: v.string(),
});

export interface FinalRecord {
  readonly outcome: Outcome;
  readonly tasks: number;
  readonly team: TeamName;
}

export const writeFinal = (f: FinalRecord) => ({ o: f.outcome, n: f.tasks, t: f.team });
export const readFinal = (value: unknown): FinalRecord | null => {
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

export const writeSegment = ({ machines, progress }: SegmentRecord): Segment => {
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
  const atBlock = (p: ProgressRow) => p.from % BLOCK_TASKS === 0;
  const parts = progress.filter((p) => !atBlock(p));
  return {
    j,
    m: machines.map(({ machine, at, entries }) => [
      machine,
      at.type,
      at.zone,
      at.spot,
      entries.map((e) => [rowOf(e), e.index, e.attempt]),
    ]),
    d: progress.filter(atBlock).map((p) => [p.job, p.from / BLOCK_TASKS, bits(p)]),
    ...(parts.length > 0 ? { e: parts.map((p) => [p.job, p.from, bits(p)]) } : {}),
  };
};

/** null for a record that is not wholly as written: what it spoke of may then be anywhere. */
export const readSegment = (value: unknown): SegmentRecord | null => {
  const r = v.safeParse(segmentSchema, value);
  if (!r.success) return null;
  const { j, m, d, e } = r.output;
  if (m.some(([, , , , entries]) => entries.some(([row]) => row >= j.length))) return null;
  const machines = m.map(([machine, type, zone, spot, entries]) => ({
    machine: machine as MachineId,
    at: { type: type as TypeName, zone: zone as ZoneName, spot },
    entries: entries.map(([row, index, attempt]): LedgerEntry => {
      const [job, team, cpus, gpus, memoryGb] = j[row]!;
      return {
        job: job as JobId,
        index: index as TaskIndex,
        attempt: attempt as Attempt,
        team: team as TeamName,
        cpus,
        gpus,
        memoryGb,
      };
    }),
  }));
  const row = (job: string, from: number, bits: string): ProgressRow => ({
    job: job as JobId,
    from,
    bits: new Uint8Array(Buffer.from(bits, 'base64')),
  });
  const progress = [
    ...d.map(([job, block, bits]) => row(job, block * BLOCK_TASKS, bits)),
    ...e.map(([job, from, bits]) => row(job, from, bits)),
  ];
  return { machines, progress };
};
