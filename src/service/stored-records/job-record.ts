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
 * A service's spec has another name than an array's. The version before services, which would run
 * one as an array and call it done, finds the record unreadable and leaves the job alone.
 */
const arraySchema = v.object({ at: v.number(), spec: specSchema });
const serviceSchema = v.object({ at: v.number(), service: specSchema });
type StoredJob = v.InferInput<typeof arraySchema> | v.InferInput<typeof serviceSchema>;

/** A job as it was accepted. */
export interface JobRecord {
  /** Time of day at which it was accepted, in milliseconds since the epoch. */
  readonly acceptedAt: number;
  readonly spec: JobSpec;
}

/** Stored names on the left. Their order is that of the first version, and part of the record. */
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

/** Stored names on the right. */
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

/** The stored form of an accepted job. */
export const encodeJob = ({ acceptedAt, spec }: JobRecord): StoredJob => {
  const stored = encodeSpec(spec);
  return spec.shape === 'service'
    ? { at: acceptedAt, service: stored }
    : { at: acceptedAt, spec: stored };
};

/** null for a record that cannot be read. */
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
