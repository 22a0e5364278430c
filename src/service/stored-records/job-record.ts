/** The record of an accepted job. */
import * as v from 'valibot';
import type {
  ImageName,
  JobId,
  MachineTypeName,
  TeamName,
  ZoneName,
} from '../../core/model/ids.js';
import type { JobShape, JobSpec } from '../../core/model/job.js';
import { brandedString, nonNegativeNumber } from './validators.js';

const specSchema = v.object({
  id: brandedString<JobId>(),
  lane: v.string(),
  team: brandedString<TeamName>(),
  priority: v.picklist(['critical', 'urgent', 'standard', 'best_effort']),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1)),
  cpus: nonNegativeNumber,
  gpus: nonNegativeNumber,
  memoryGb: nonNegativeNumber,
  types: v.nullable(v.array(brandedString<MachineTypeName>())),
  zone: v.nullable(brandedString<ZoneName>()),
  oneZone: v.boolean(),
  scatter: v.boolean(),
  spotOk: v.boolean(),
  image: brandedString<ImageName>(),
  imageGb: nonNegativeNumber,
  estimateS: nonNegativeNumber,
  checkpointS: nonNegativeNumber,
  saveS: nonNegativeNumber,
  deadlineS: v.nullable(nonNegativeNumber),
});
type StoredSpec = v.InferOutput<typeof specSchema>;

/**
 * A service's spec is stored under another name than an array's. Versions without services ignore
 * the record as invalid; otherwise they would run it as an array and report it as done.
 */
const arraySchema = v.object({ at: v.number(), spec: specSchema });
const serviceSchema = v.object({ at: v.number(), service: specSchema });
type StoredJob = v.InferInput<typeof arraySchema> | v.InferInput<typeof serviceSchema>;

/** An accepted job. */
export interface JobRecord {
  /** Wall-clock time of acceptance, in milliseconds since the epoch. */
  readonly acceptedAt: number;
  readonly spec: JobSpec;
}

/** Stored names are on the left. The order of fields is part of the stored format. */
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

/** Stored names are on the right. */
const decodeSpec = (stored: StoredSpec, shape: JobShape): JobSpec => ({
  id: stored.id,
  shape,
  jobClass: stored.lane,
  team: stored.team,
  priority: stored.priority,
  tasks: stored.tasks,
  cpus: stored.cpus,
  gpus: stored.gpus,
  memoryGb: stored.memoryGb,
  machineTypes: stored.types,
  zone: stored.zone,
  singleZone: stored.oneZone,
  spreadZones: stored.scatter,
  allowsSpot: stored.spotOk,
  image: stored.image,
  imageGb: stored.imageGb,
  estimateS: stored.estimateS,
  checkpointIntervalS: stored.checkpointS,
  checkpointWriteS: stored.saveS,
  deadlineS: stored.deadlineS,
});

/** Encodes a job's record: a service has the field `service`, an array has `spec`. */
export const encodeJob = ({ acceptedAt, spec }: JobRecord): StoredJob => {
  const stored = encodeSpec(spec);
  return spec.shape === 'service'
    ? { at: acceptedAt, service: stored }
    : { at: acceptedAt, spec: stored };
};

/** Returns null if the record is invalid. */
export const decodeJob = (value: unknown): JobRecord | null => {
  const array = v.safeParse(arraySchema, value);
  if (array.success) {
    const { at: acceptedAt, spec } = array.output;
    return { acceptedAt, spec: decodeSpec(spec, 'array') };
  }
  const service = v.safeParse(serviceSchema, value);
  if (!service.success) return null;
  const { at: acceptedAt, service: spec } = service.output;
  return { acceptedAt, spec: decodeSpec(spec, 'service') };
};
