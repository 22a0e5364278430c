/** Wire format of submitted jobs and of job views: field names and validation. */
import * as v from 'valibot';
import type {
  ImageName,
  JobId,
  MachineTypeName,
  TeamName,
  ZoneName,
} from '../../core/model/ids.js';
import type { JobShape, JobSpec } from '../../core/model/job.js';
import type { JobView } from '../../ports/user-api.js';
import { amount, label } from './schemas.js';

/** The wire's name of each field of a job. */
const JOB_FIELDS = {
  id: 'Ref',
  shape: 'Shape',
  jobClass: 'Lane',
  team: 'Crew',
  priority: 'Rank',
  tasks: 'Pieces',
  cpus: 'Cpus',
  gpus: 'Accelerators',
  memoryGb: 'MemoryGb',
  machineTypes: 'Hulls',
  zone: 'Yard',
  singleZone: 'OneZone',
  spreadZones: 'Scatter',
  allowsSpot: 'Loaners',
  image: 'Bundle',
  imageGb: 'ImageGb',
  estimateS: 'GuessS',
  checkpointIntervalS: 'BookmarkS',
  checkpointWriteS: 'StowS',
  deadlineS: 'DueS',
} as const satisfies Record<keyof JobSpec, string>;

/** The wire's name of each job shape. */
const WIRE_SHAPES = {
  array: 'sweep',
  service: 'daemon',
} as const satisfies Record<JobShape, string>;

const SHAPES = { sweep: 'array', daemon: 'service' } as const;

const JOB_ID = /^job-\d{1,18}$/;
const MAX_TASKS = 100_000;
const MAX_MACHINE_TYPES = 100;

/** Fields are validated in this order; only the first invalid one is reported. */
const jobSchema = v.object({
  [JOB_FIELDS.id]: v.pipe(v.string(), v.regex(JOB_ID)),
  [JOB_FIELDS.jobClass]: label,
  [JOB_FIELDS.team]: label,
  [JOB_FIELDS.shape]: v.picklist(['sweep', 'daemon']),
  [JOB_FIELDS.priority]: v.picklist(['critical', 'urgent', 'standard', 'best_effort']),
  [JOB_FIELDS.tasks]: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  [JOB_FIELDS.cpus]: amount,
  [JOB_FIELDS.gpus]: amount,
  [JOB_FIELDS.memoryGb]: amount,
  [JOB_FIELDS.image]: label,
  [JOB_FIELDS.imageGb]: amount,
  [JOB_FIELDS.machineTypes]: v.nullish(
    v.pipe(v.array(label), v.maxLength(MAX_MACHINE_TYPES)),
    null,
  ),
  [JOB_FIELDS.zone]: v.nullish(label, null),
  [JOB_FIELDS.singleZone]: v.boolean(),
  [JOB_FIELDS.spreadZones]: v.boolean(),
  [JOB_FIELDS.allowsSpot]: v.boolean(),
  [JOB_FIELDS.estimateS]: amount,
  [JOB_FIELDS.checkpointIntervalS]: amount,
  [JOB_FIELDS.checkpointWriteS]: amount,
  [JOB_FIELDS.deadlineS]: v.nullish(amount, null),
});

/** Validates a job id; null if malformed. */
export const parseJobId = (text: unknown): JobId | null =>
  typeof text === 'string' && JOB_ID.test(text) ? (text as JobId) : null;

/** Parses a job, or returns an error text that names the first invalid field. */
export const parseJob = (body: unknown): JobSpec | { readonly error: string } => {
  const result = v.safeParse(jobSchema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const job = result.output;
  return {
    id: job[JOB_FIELDS.id] as JobId,
    shape: SHAPES[job[JOB_FIELDS.shape]],
    jobClass: job[JOB_FIELDS.jobClass],
    team: job[JOB_FIELDS.team] as TeamName,
    priority: job[JOB_FIELDS.priority],
    tasks: job[JOB_FIELDS.tasks],
    cpus: job[JOB_FIELDS.cpus],
    gpus: job[JOB_FIELDS.gpus],
    memoryGb: job[JOB_FIELDS.memoryGb],
    machineTypes: job[JOB_FIELDS.machineTypes] as MachineTypeName[] | null,
    zone: job[JOB_FIELDS.zone] as ZoneName | null,
    singleZone: job[JOB_FIELDS.singleZone],
    spreadZones: job[JOB_FIELDS.spreadZones],
    allowsSpot: job[JOB_FIELDS.allowsSpot],
    image: job[JOB_FIELDS.image] as ImageName,
    imageGb: job[JOB_FIELDS.imageGb],
    estimateS: job[JOB_FIELDS.estimateS],
    checkpointIntervalS: job[JOB_FIELDS.checkpointIntervalS],
    checkpointWriteS: job[JOB_FIELDS.checkpointWriteS],
    deadlineS: job[JOB_FIELDS.deadlineS],
  };
};

/** The wire's name of each status of a job. */
const WIRE_STATUS = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
} as const satisfies Record<JobView['status'], string>;

/** Encodes a job for users, without the fields that are absent from the view. */
export const encodeJobView = (view: JobView) => ({
  Ref: view.id,
  Status: WIRE_STATUS[view.status],
  done: view.done,
  running: view.running,
  ...(view.shape ? { Shape: WIRE_SHAPES[view.shape] } : {}),
  ...(view.tasks === undefined ? {} : { Pieces: view.tasks }),
  ...(view.waiting ? { waiting: view.waiting } : {}),
});
