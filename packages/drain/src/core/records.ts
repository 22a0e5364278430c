/**
 * The package's records in the key-value store: keys and codecs of drains and the machines in their
 * steps, and the decoding of all records. Stored names are fixed, since leaders of other versions
 * read them, and occur only in codecs.
 */
import type {
  ExtensionRecord,
  ImageName,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ZoneName,
} from '@robinspread/extension-api';
import * as v from 'valibot';
import type { Disruption } from './disruption.js';
import { DISRUPTIONS_PREFIX, decodeDisruptions } from './disruption-codec.js';
import type {
  Drain,
  DrainName,
  MachineDrain,
  ReplacementSlot,
  Selector,
  StepSize,
} from './drain.js';
import { countSchema, textSchema } from './record-schemas.js';

const DRAIN_PREFIX = 'd/';
const MACHINE_PREFIX = 'm/';

/** The key of a drain's record. */
export const drainKey = (name: DrainName): string => `${DRAIN_PREFIX}${name}`;

/** The key prefix of the records of a drain's machines. */
export const machineKeyPrefix = (name: DrainName): string => `${MACHINE_PREFIX}${name}/`;

/** The key of the record of a machine in a drain's current step. */
export const machineKey = (name: DrainName, machine: MachineId): string =>
  `${machineKeyPrefix(name)}${machine}`;

// ---- drains ----

const drainSchema = v.object({
  phase: v.picklist(['pending', 'running', 'paused', 'cancelled', 'done']),
  why: v.nullable(v.string()),
  at: v.number(),
  last: v.string(),
  /** The newest machine of the selector's age; older versions apply the age itself. */
  aged: v.optional(v.string()),
  total: countSchema,
  returned: countSchema,
  failed: countSchema,
  step: countSchema,
  until: v.nullable(v.number()),
  select: v.object({
    all: v.boolean(),
    machines: v.nullable(v.array(textSchema)),
    type: v.nullable(textSchema),
    zone: v.nullable(textSchema),
    spot: v.nullable(v.boolean()),
    age: v.nullable(v.number()),
    image: v.nullable(textSchema),
  }),
  size: v.union([
    v.object({ count: v.pipe(countSchema, v.minValue(1)) }),
    v.object({ share: v.number() }),
  ]),
  replace: v.boolean(),
  deadline: v.nullable(v.number()),
});

type DrainRecord = v.InferOutput<typeof drainSchema>;

const encodeSelector = (selector: Selector): DrainRecord['select'] => ({
  all: selector.all,
  type: selector.type,
  zone: selector.zone,
  spot: selector.spot,
  image: selector.image,
  machines: selector.machines ? [...selector.machines] : null,
  age: selector.minAgeS,
});

const decodeSelector = (record: DrainRecord['select']): Selector => ({
  all: record.all,
  type: record.type as MachineTypeName | null,
  zone: record.zone as ZoneName | null,
  spot: record.spot,
  machines: record.machines as MachineId[] | null,
  image: record.image as ImageName | null,
  minAgeS: record.age,
});

const encodeStepSize = (size: StepSize): DrainRecord['size'] =>
  size.kind === 'count' ? { count: size.count } : { share: size.share };

const decodeStepSize = (size: DrainRecord['size']): StepSize =>
  'count' in size ? { kind: 'count', count: size.count } : { kind: 'share', share: size.share };

/** Encodes a drain, without the machines in its step, which have their own records. */
export const encodeDrain = (drain: Drain): DrainRecord => ({
  phase: drain.phase,
  why: drain.pauseReason,
  at: drain.startedAt,
  last: drain.newestMachineAtStart,
  ...(drain.newestOfAge === undefined ? {} : { aged: drain.newestOfAge }),
  total: drain.total,
  returned: drain.returned,
  failed: drain.failed,
  step: drain.step,
  until: drain.deadlineAt,
  select: encodeSelector(drain.request.selector),
  size: encodeStepSize(drain.request.stepSize),
  replace: drain.request.replace,
  deadline: drain.request.deadlineS,
});

/** Decodes a drain, without the machines in its step; null if malformed. */
const decodeDrain = (name: DrainName, value: unknown): Drain | null => {
  const result = v.safeParse(drainSchema, value);
  if (!result.success) return null;
  const record = result.output;
  return {
    request: {
      name,
      selector: decodeSelector(record.select),
      stepSize: decodeStepSize(record.size),
      replace: record.replace,
      deadlineS: record.deadline,
    },
    phase: record.phase,
    pauseReason: record.why,
    startedAt: record.at,
    newestMachineAtStart: record.last as MachineId,
    ...(record.aged === undefined ? {} : { newestOfAge: record.aged as MachineId }),
    total: record.total,
    returned: record.returned,
    failed: record.failed,
    step: record.step,
    deadlineAt: record.until,
    machinesInStep: new Map(),
  };
};

// ---- machines in a step ----

const machineSchema = v.object({
  phase: v.picklist(['waiting', 'cordoned', 'draining', 'returning']),
  rental: v.nullable(v.tuple([textSchema, countSchema, countSchema])),
  by: v.nullable(textSchema),
  tries: countSchema,
});

type MachineRecord = v.InferOutput<typeof machineSchema>;
type SlotRecord = readonly [request: string, position: number, requested: number];

const encodeSlot = (slot: ReplacementSlot): SlotRecord => [
  slot.request,
  slot.position,
  slot.requested,
];

const decodeSlot = ([request, position, requested]: SlotRecord): ReplacementSlot => ({
  request: request as ProvisionRequestId,
  position,
  requested,
});

/** Encodes a machine in a drain's current step. */
export const encodeMachineDrain = (machineDrain: MachineDrain) => ({
  phase: machineDrain.phase,
  rental: machineDrain.replacementSlot === null ? null : encodeSlot(machineDrain.replacementSlot),
  by: machineDrain.replacement,
  tries: machineDrain.replacementsRequested,
});

const decodeMachineDrain = (machine: MachineId, value: unknown): MachineDrain | null => {
  const result = v.safeParse(machineSchema, value);
  if (!result.success) return null;
  const record: MachineRecord = result.output;
  return {
    machine,
    phase: record.phase,
    replacementSlot: record.rental === null ? null : decodeSlot(record.rental),
    replacement: record.by as MachineId | null,
    replacementsRequested: record.tries,
  };
};

// ---- all records ----

/** The decoded records of the package. */
export interface StoredState {
  readonly drains: Map<DrainName, Drain>;
  readonly disruptions: Disruption[];
  /** Drains with a record that cannot be read. */
  readonly unreadable: Set<DrainName>;
  /** Keys of other unreadable records, and of machines whose drain was not read. */
  readonly orphaned: string[];
}

const decodeMachineRecord = ({ key, value }: ExtensionRecord, state: StoredState): void => {
  const [name = '', id = ''] = key.slice(MACHINE_PREFIX.length).split('/');
  const drain = state.drains.get(name as DrainName);
  const machineDrain = decodeMachineDrain(id as MachineId, value);
  if (!key.startsWith(MACHINE_PREFIX) || !drain) state.orphaned.push(key);
  else if (machineDrain) drain.machinesInStep.set(machineDrain.machine, machineDrain);
  else state.unreadable.add(drain.request.name);
};

const decodeDisruptionsRecord = ({ key, value }: ExtensionRecord, state: StoredState): void => {
  const disruptions = decodeDisruptions(key, value);
  if (disruptions) state.disruptions.push(...disruptions);
  else state.orphaned.push(key);
};

/** Decodes all records, in two passes: drains before the machines in their steps. */
export const decodeRecords = (records: readonly ExtensionRecord[]): StoredState => {
  const state: StoredState = {
    drains: new Map(),
    disruptions: [],
    unreadable: new Set(),
    orphaned: [],
  };
  for (const { key, value } of records) {
    if (!key.startsWith(DRAIN_PREFIX)) continue;
    const name = key.slice(DRAIN_PREFIX.length) as DrainName;
    const drain = decodeDrain(name, value);
    if (drain) state.drains.set(name, drain);
    else state.unreadable.add(name);
  }
  for (const record of records) {
    if (record.key.startsWith(DRAIN_PREFIX)) continue;
    if (record.key.startsWith(DISRUPTIONS_PREFIX)) decodeDisruptionsRecord(record, state);
    else decodeMachineRecord(record, state);
  }
  return state;
};
