/** Between the platform's names on the wire and the names used inside. */
import * as v from 'valibot';
import type {
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  TeamName,
  ZoneName,
} from '../core/model/ids.js';
import type { JobSpec } from '../core/model/job.js';
import type { ListedMachine, MachineType } from '../core/model/machine.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import type { JobView } from '../service/ports/user-api.js';

const JOB_ID = /^job-\d{1,18}$/;
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e12));
export const label = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
/** Names that become part of a key of the state service, which would refuse others for good. */
export const keyLabel = v.pipe(v.string(), v.regex(/^[\w.-]{1,120}$/));
export const count = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);

export const parseJobId = (text: unknown): JobId | null =>
  typeof text === 'string' && JOB_ID.test(text) ? (text as JobId) : null;

const jobSchema = v.object({
  Ref: v.pipe(v.string(), v.regex(JOB_ID)),
  Lane: label,
  Crew: label,
  Shape: v.picklist(['sweep', 'daemon']),
  Rank: v.picklist(['critical', 'urgent', 'standard', 'best_effort']),
  Pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  Cpus: amount,
  Accelerators: amount,
  MemoryGb: amount,
  Bundle: label,
  ImageGb: amount,
  Hulls: v.nullish(v.pipe(v.array(label), v.maxLength(100)), null),
  Yard: v.nullish(label, null),
  OneZone: v.boolean(),
  Scatter: v.boolean(),
  Loaners: v.boolean(),
  GuessS: amount,
  BookmarkS: amount,
  StowS: amount,
  DueS: v.nullish(amount, null),
});

const SHAPES = { sweep: 'array', daemon: 'service' } as const;
const WIRE_SHAPES = { array: 'sweep', service: 'daemon' } as const;

/** The job, or the field that is wrong. */
export const parseJob = (body: unknown): JobSpec | { readonly fault: string } => {
  const result = v.safeParse(jobSchema, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { fault: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const b = result.output;
  return {
    id: b.Ref as JobId,
    shape: SHAPES[b.Shape],
    jobClass: b.Lane,
    team: b.Crew as TeamName,
    priority: b.Rank,
    tasks: b.Pieces,
    cpus: b.Cpus,
    gpus: b.Accelerators,
    memoryGb: b.MemoryGb,
    machineTypes: b.Hulls as MachineTypeName[] | null,
    zone: b.Yard as ZoneName | null,
    singleZone: b.OneZone,
    spreadZones: b.Scatter,
    allowsSpot: b.Loaners,
    image: b.Bundle as ImageName,
    imageGb: b.ImageGb,
    estimateS: b.GuessS,
    checkpointIntervalS: b.BookmarkS,
    checkpointWriteS: b.StowS,
    deadlineS: b.DueS,
  };
};

const STATUS = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
} as const;

export const encodeJobView = (view: JobView) => ({
  Ref: view.id,
  Status: STATUS[view.status],
  done: view.done,
  running: view.running,
  ...(view.shape ? { Shape: WIRE_SHAPES[view.shape] } : {}),
  ...(view.tasks === undefined ? {} : { Pieces: view.tasks }),
  ...(view.waiting ? { waiting: view.waiting } : {}),
});

// ---- workers -------------------------------------------------------------------------------------

export const encodeWorkerCommands = (commands: readonly WorkerCommand[]) =>
  commands.map((command) => ({
    Verb: command.op,
    Piece: `${command.job}/${command.index}`,
    Try: command.attempt,
    ...(command.op === 'kill' ? { WindDownS: command.graceS } : {}),
  }));

// ---- cloud ---------------------------------------------------------------------------------------

const typesSchema = v.object({
  Hulls: v.array(
    v.object({
      Label: label,
      Cpus: amount,
      Accelerators: v.nullish(amount, 0),
      MemoryGb: amount,
      FetchGbPerS: v.nullish(amount, 0),
      Price: amount,
      SpotPrice: v.nullish(amount, null),
      StartupS: v.nullish(amount, 60),
      Yards: v.array(label),
    }),
  ),
});

export const parseMachineTypes = (body: unknown): MachineType[] | null => {
  const result = v.safeParse(typesSchema, body);
  if (!result.success) return null;
  return result.output.Hulls.map((h) => ({
    name: h.Label as MachineTypeName,
    cpus: h.Cpus,
    gpus: h.Accelerators ?? 0,
    memoryGb: h.MemoryGb,
    fetchGbPerS: h.FetchGbPerS ?? 0,
    price: h.Price,
    spotPrice: h.SpotPrice ?? h.Price,
    bootS: h.StartupS ?? 60,
    zones: h.Yards as ZoneName[],
  }));
};

const namesSchema = v.object({ Berths: v.array(keyLabel) });

export const parseMachineIds = (body: unknown): MachineId[] | null => {
  const result = v.safeParse(namesSchema, body);
  return result.success ? (result.output.Berths as MachineId[]) : null;
};

const listSchema = v.object({
  Berths: v.array(
    v.object({
      Ref: keyLabel,
      Endpoint: v.nullish(v.string(), ''),
      Hull: label,
      Yard: label,
      Loaners: v.nullish(v.boolean(), false),
      Status: v.string(),
      HeldS: v.nullish(amount, 0),
    }),
  ),
  More: v.nullish(v.boolean(), false),
});

export const parseMachines = (
  body: unknown,
): { machines: ListedMachine[]; more: boolean } | null => {
  const result = v.safeParse(listSchema, body);
  if (!result.success) return null;
  const machines = result.output.Berths.map(
    (b): ListedMachine => ({
      id: b.Ref as MachineId,
      endpoint: b.Endpoint ?? '',
      type: b.Hull as MachineTypeName,
      zone: b.Yard as ZoneName,
      spot: b.Loaners ?? false,
      status: b.Status === 'failed' ? 'failed' : b.Status === 'running' ? 'running' : 'booting',
      ageS: b.HeldS ?? 0,
    }),
  );
  return { machines, more: result.output.More ?? false };
};
