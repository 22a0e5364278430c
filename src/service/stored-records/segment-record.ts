/**
 * The record of a ledger segment: the attempts and the progress that one batch stored. Each job has
 * one row; attempts refer to it by row index.
 */
import * as v from 'valibot';
import { TASKS_PER_BLOCK } from '../../core/lifecycle/job-tasks.js';
import type {
  AttemptId,
  JobId,
  MachineId,
  MachineTypeName,
  TaskIndex,
  TeamName,
  ZoneName,
} from '../../core/model/ids.js';
import type { LedgerEntry, LedgerRow, ProgressRow } from '../../core/model/ledger-record.js';
import { brandedString, nonNegativeInteger, nonNegativeNumber } from './validators.js';

/** [job, team, cpus, gpus, memory in GB] */
const jobRowSchema = v.tuple([
  brandedString<JobId>(),
  brandedString<TeamName>(),
  nonNegativeNumber,
  nonNegativeNumber,
  nonNegativeNumber,
]);
/** [job row index, task, attempt] */
const attemptRowSchema = v.tuple([
  nonNegativeInteger(),
  nonNegativeInteger<TaskIndex>(),
  nonNegativeInteger<AttemptId>(),
]);
/** [machine, type, zone, spot, attempts] */
const machineRowSchema = v.tuple([
  brandedString<MachineId>(),
  brandedString<MachineTypeName>(),
  brandedString<ZoneName>(),
  v.boolean(),
  v.array(attemptRowSchema),
]);
/** [job, block number or first task, bitmap of done tasks in base64] */
const progressRowSchema = v.tuple([brandedString<JobId>(), nonNegativeInteger(), v.string()]);

const segmentSchema = v.object({
  j: v.array(jobRowSchema),
  m: v.array(machineRowSchema),
  /** Progress of chunks that begin at a block boundary, by block number. */
  d: v.array(progressRowSchema),
  /**
   * Progress of all other chunks, by first task. These exist if a block does not fit in a value of
   * the store. Versions without this field rerun the tasks, which end at once because workers keep
   * results.
   */
  e: v.optional(v.array(progressRowSchema), []),
  /** Time of day of the write, in milliseconds since 1970; older versions omit it. */
  t: v.fallback(v.optional(nonNegativeInteger()), undefined),
});
type StoredSegment = v.InferInput<typeof segmentSchema>;
type StoredJobRow = v.InferInput<typeof jobRowSchema>;
type StoredAttemptRow = v.InferInput<typeof attemptRowSchema>;
type StoredMachineRow = v.InferInput<typeof machineRowSchema>;
type StoredProgressRow = v.InferInput<typeof progressRowSchema>;

/** Content of one ledger segment. */
export interface SegmentRecord {
  readonly machines: readonly LedgerRow[];
  readonly progress: readonly ProgressRow[];
  /** Time of day of the write, in milliseconds since 1970; absent if unknown. */
  readonly recordedAtTimeOfDayMs?: number;
}

/** Collects the job rows of a segment and assigns their indexes. */
class JobRows {
  readonly rows: StoredJobRow[] = [];
  private readonly indexes = new Map<JobId, number>();

  indexOf({ job, team, cpus, gpus, memoryGb }: LedgerEntry): number {
    let rowIndex = this.indexes.get(job);
    if (rowIndex === undefined) {
      rowIndex = this.rows.push([job, team, cpus, gpus, memoryGb]) - 1;
      this.indexes.set(job, rowIndex);
    }
    return rowIndex;
  }
}

const encodeMachine = (
  { machine, attributes, entries }: LedgerRow,
  jobs: JobRows,
): StoredMachineRow => [
  machine,
  attributes.type,
  attributes.zone,
  attributes.spot,
  entries.map((entry): StoredAttemptRow => [jobs.indexOf(entry), entry.index, entry.attempt]),
];

const encodeProgress = ({ job, bits }: ProgressRow, position: number): StoredProgressRow => [
  job,
  position,
  Buffer.from(bits).toString('base64'),
];

const beginsAtBlock = ({ firstTask }: ProgressRow): boolean => firstTask % TASKS_PER_BLOCK === 0;

/** Encodes a segment; `segmentSchema` explains the two fields that hold progress. */
export const encodeSegment = ({
  machines,
  progress,
  recordedAtTimeOfDayMs,
}: SegmentRecord): StoredSegment => {
  const jobs = new JobRows();
  const blocks = progress.filter(beginsAtBlock);
  const smallChunks = progress.filter((row) => !beginsAtBlock(row));
  return {
    j: jobs.rows,
    m: machines.map((row) => encodeMachine(row, jobs)),
    d: blocks.map((row) => encodeProgress(row, row.firstTask / TASKS_PER_BLOCK)),
    ...(smallChunks.length > 0
      ? { e: smallChunks.map((row) => encodeProgress(row, row.firstTask)) }
      : {}),
    ...(recordedAtTimeOfDayMs === undefined ? {} : { t: recordedAtTimeOfDayMs }),
  };
};

/** Returns null if an attempt refers to a missing job row. */
const decodeMachine = (
  [machine, type, zone, spot, attempts]: StoredMachineRow,
  jobRows: readonly StoredJobRow[],
): LedgerRow | null => {
  const entries: LedgerEntry[] = [];
  for (const [rowIndex, index, attempt] of attempts) {
    const jobRow = jobRows[rowIndex];
    if (!jobRow) return null;
    const [job, team, cpus, gpus, memoryGb] = jobRow;
    entries.push({ job, index, attempt, team, cpus, gpus, memoryGb });
  }
  return { machine, attributes: { type, zone, spot }, entries };
};

const decodeProgress = (job: JobId, firstTask: number, bits: string): ProgressRow => ({
  job,
  firstTask,
  bits: new Uint8Array(Buffer.from(bits, 'base64')),
});

/** Returns null if any part is invalid: the machines of its attempts are then unknown. */
export const decodeSegment = (value: unknown): SegmentRecord | null => {
  const parsed = v.safeParse(segmentSchema, value);
  if (!parsed.success) return null;
  const { j: jobRows, m: machineRows, d: blocks, e: smallChunks, t: recordedAt } = parsed.output;
  const machines: LedgerRow[] = [];
  for (const machineRow of machineRows) {
    const machine = decodeMachine(machineRow, jobRows);
    if (!machine) return null;
    machines.push(machine);
  }
  const progress: ProgressRow[] = [];
  for (const [job, block, bits] of blocks)
    progress.push(decodeProgress(job, block * TASKS_PER_BLOCK, bits));
  for (const [job, firstTask, bits] of smallChunks)
    progress.push(decodeProgress(job, firstTask, bits));
  return {
    machines,
    progress,
    ...(recordedAt === undefined ? {} : { recordedAtTimeOfDayMs: recordedAt }),
  };
};

const placedJobsSchema = v.object({ j: v.array(v.looseTuple([brandedString<JobId>()])) });

/**
 * The jobs to which a segment's attempts belong, without decoding the attempts; null if the segment
 * is unreadable.
 */
export const listPlacedJobs = (value: unknown): JobId[] | null => {
  const parsed = v.safeParse(placedJobsSchema, value);
  return parsed.success ? parsed.output.j.map(([job]) => job) : null;
};
