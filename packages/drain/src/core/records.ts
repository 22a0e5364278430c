/** The package's records in the state service, and their reading. */
import type { Attempt, ImageName, JobId, MachineId, TaskIndex } from '@robinspread/extension-api';
import * as v from 'valibot';
import type { Disruption } from './budget.js';
import type { Drain, DrainName, MachineDrain, RentalSlot, Selector, StepSize } from './types.js';

const DRAINS = 'd/';
const MACHINES = 'm/';
const DISRUPTIONS = 'b/';

export const drainKey = (name: DrainName): string => `${DRAINS}${name}`;
export const machineKey = (name: DrainName, machine: MachineId): string =>
  `${MACHINES}${name}/${machine}`;
export const disruptionsKey = (term: number, n: number): string => `${DISRUPTIONS}${term}-${n}`;

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1));

const drainSchema = v.object({
  phase: v.picklist(['pending', 'running', 'paused', 'cancelled', 'done']),
  why: v.nullable(v.string()),
  at: v.number(),
  last: v.string(),
  total: count,
  returned: count,
  failed: count,
  step: count,
  until: v.nullable(v.number()),
  select: v.object({
    all: v.boolean(),
    machines: v.nullable(v.array(text)),
    type: v.nullable(text),
    zone: v.nullable(text),
    spot: v.nullable(v.boolean()),
    age: v.nullable(v.number()),
    image: v.nullable(text),
  }),
  size: v.union([
    v.object({ count: v.pipe(count, v.minValue(1)) }),
    v.object({ share: v.number() }),
  ]),
  replace: v.boolean(),
  deadline: v.nullable(v.number()),
});

type DrainRecord = v.InferOutput<typeof drainSchema>;

const writeSelector = ({ minAgeS, machines, ...rest }: Selector): DrainRecord['select'] => ({
  ...rest,
  machines: machines ? [...machines] : null,
  age: minAgeS,
});

const readSelector = ({ age, machines, image, ...rest }: DrainRecord['select']): Selector => ({
  ...(rest as Pick<Selector, 'all' | 'type' | 'zone' | 'spot'>),
  machines: machines as MachineId[] | null,
  image: image as ImageName | null,
  minAgeS: age,
});

const writeSize = (size: StepSize): DrainRecord['size'] =>
  size.kind === 'count' ? { count: size.count } : { share: size.share };

const readSize = (size: DrainRecord['size']): StepSize =>
  'count' in size ? { kind: 'count', count: size.count } : { kind: 'share', share: size.share };

export const writeDrain = (drain: Drain): DrainRecord => ({
  phase: drain.phase,
  why: drain.pausedBecause,
  at: drain.startedAt,
  last: drain.lastMachine,
  total: drain.total,
  returned: drain.returned,
  failed: drain.failed,
  step: drain.step,
  until: drain.deadlineAt,
  select: writeSelector(drain.request.selector),
  size: writeSize(drain.request.stepSize),
  replace: drain.request.replace,
  deadline: drain.request.deadlineS,
});

const readDrain = (name: DrainName, value: unknown): Drain | null => {
  const result = v.safeParse(drainSchema, value);
  if (!result.success) return null;
  const r = result.output;
  return {
    request: {
      name,
      selector: readSelector(r.select),
      stepSize: readSize(r.size),
      replace: r.replace,
      deadlineS: r.deadline,
    },
    phase: r.phase,
    pausedBecause: r.why,
    startedAt: r.at,
    lastMachine: r.last as MachineId,
    total: r.total,
    returned: r.returned,
    failed: r.failed,
    step: r.step,
    deadlineAt: r.until,
    current: new Map(),
  };
};

const machineSchema = v.object({
  phase: v.picklist(['waiting', 'cordoned', 'draining', 'returning']),
  /** [name of the request, place, how many] */
  rental: v.nullable(v.tuple([text, count, count])),
  by: v.nullable(text),
  tries: count,
});

export const writeMachine = ({ phase, rental, replacement, tries }: MachineDrain) => ({
  phase,
  rental: rental === null ? null : ([rental.request, rental.slot, rental.of] as const),
  by: replacement,
  tries,
});

const readMachine = (machine: MachineId, value: unknown): MachineDrain | null => {
  const result = v.safeParse(machineSchema, value);
  if (!result.success) return null;
  const { phase, rental, by, tries } = result.output;
  const [request, slot, of] = rental ?? [];
  return {
    machine,
    phase,
    rental: rental === null ? null : ({ request, slot, of } as RentalSlot),
    replacement: by as MachineId | null,
    tries,
  };
};

/** [job, task, attempt, team, class, time of day, voluntary] */
const rowSchema = v.tuple([text, count, count, v.string(), v.string(), v.number(), v.boolean()]);
const disruptionsSchema = v.array(rowSchema);

export const writeDisruptions = (
  rows: readonly Disruption[],
): v.InferOutput<typeof disruptionsSchema> =>
  rows.map((d) => [d.job, d.index, d.attempt, d.team, d.jobClass, d.at, d.voluntary]);

const readDisruptions = (key: string, value: unknown): Disruption[] | null => {
  const result = v.safeParse(disruptionsSchema, value);
  if (!result.success) return null;
  return result.output.map(([job, index, attempt, team, jobClass, at, voluntary]) => ({
    job: job as JobId,
    index: index as TaskIndex,
    attempt: attempt as Attempt,
    team: team as Disruption['team'],
    jobClass,
    at,
    voluntary,
    phase: voluntary ? 'granted' : 'stopped',
    record: key,
    grantedAt: null,
    inherited: true,
  }));
};

/** All that was stored, as far as it can be read. */
export interface StoredState {
  readonly drains: Map<DrainName, Drain>;
  readonly disruptions: Disruption[];
  /** Drains of which something cannot be read. */
  readonly unreadable: Set<DrainName>;
  /** Records that cannot be read and belong to no drain. */
  readonly lost: string[];
}

/** Reads the records in two passes: drains before their machines. */
export const readState = (records: readonly { key: string; value: unknown }[]): StoredState => {
  const drains = new Map<DrainName, Drain>();
  const disruptions: Disruption[] = [];
  const unreadable = new Set<DrainName>();
  const lost: string[] = [];
  for (const { key, value } of records) {
    if (!key.startsWith(DRAINS)) continue;
    const name = key.slice(DRAINS.length) as DrainName;
    const drain = readDrain(name, value);
    if (drain) drains.set(name, drain);
    else unreadable.add(name);
  }
  for (const { key, value } of records) {
    if (key.startsWith(DRAINS)) continue;
    if (key.startsWith(DISRUPTIONS)) {
      const rows = readDisruptions(key, value);
      if (rows) disruptions.push(...rows);
      else lost.push(key);
      continue;
    }
    const [name = '', id = ''] = key.slice(MACHINES.length).split('/');
    const drain = drains.get(name as DrainName);
    const machine = readMachine(id as MachineId, value);
    if (!key.startsWith(MACHINES) || !drain) lost.push(key);
    else if (machine) drain.current.set(machine.machine, machine);
    else unreadable.add(drain.request.name);
  }
  return { drains, disruptions, unreadable, lost };
};
