/** What the state service holds, and under which keys. Every record read back is checked. */
import * as v from 'valibot';
import type {
  Attempt,
  JobId,
  JobSpec,
  LedgerEntry,
  LedgerMachine,
  MachineId,
  MachineType,
  Outcome,
  TaskIndex,
  TeamName,
  TypeName,
  ZoneName,
} from '../core/types.js';

export const LEADER_KEY = 'leader';
export const TYPES_KEY = 'c/types';
export const JOBS = 'j/';
export const FINALS = 'f/';
export const PROGRESS = 'd/';
export const LEDGER = 'm/';

export const jobKey = (id: JobId): string => `${JOBS}${id}`;
export const finalKey = (id: JobId): string => `${FINALS}${id}`;
export const progressKey = (id: JobId, chunk: number): string => `${PROGRESS}${id}/${chunk}`;
export const ledgerKey = (id: MachineId): string => `${LEDGER}${id}`;

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
const jobSchema = v.object({ at: v.number(), spec: specSchema });

export interface JobRecord {
  /** Time of day at which it was accepted. */
  readonly at: number;
  readonly spec: JobSpec;
}

export const readJob = (value: unknown): JobRecord | null => {
  const r = v.safeParse(jobSchema, value);
  return r.success ? (r.output as unknown as JobRecord) : null;
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
export const readTypes = (value: unknown): MachineType[] | null => {
  const r = v.safeParse(typesSchema, value);
  return r.success ? (r.output as unknown as MachineType[]) : null;
};

const finalSchema = v.object({ o: v.picklist(['done', 'cancelled']), n: v.number(), t: v.string() });

export interface FinalRecord {
  readonly outcome: Outcome;
  readonly tasks: number;
  readonly team: TeamName;
}

export const writeFinal = (f: FinalRecord) => ({ o: f.outcome, n: f.tasks, t: f.team });
export const readFinal = (value: unknown): FinalRecord | null => {
  const r = v.safeParse(finalSchema, value);
  return r.success ? { outcome: r.output.o, tasks: r.output.n, team: r.output.t as TeamName } : null;
};

const progressSchema = v.object({ b: v.string() });
export const writeProgress = (bits: Uint8Array) => ({ b: Buffer.from(bits).toString('base64') });
export const readProgress = (value: unknown): Uint8Array | null => {
  const r = v.safeParse(progressSchema, value);
  return r.success ? new Uint8Array(Buffer.from(r.output.b, 'base64')) : null;
};

// [job, team, cpus, gpus, memory, [[index, attempt], ...]], one row for each job on the machine.
const rowSchema = v.tuple([
  v.string(),
  v.string(),
  amount,
  amount,
  amount,
  v.array(v.tuple([v.pipe(v.number(), v.integer()), v.pipe(v.number(), v.integer())])),
]);
const ledgerSchema = v.object({ t: v.string(), z: v.string(), s: v.boolean(), e: v.array(rowSchema) });

export const writeLedger = (at: LedgerMachine, entries: readonly LedgerEntry[]) => {
  const rows = new Map<string, v.InferOutput<typeof rowSchema>>();
  for (const e of entries) {
    const row = rows.get(e.job) ?? [e.job, e.team, e.cpus, e.gpus, e.memoryGb, []];
    row[5].push([e.index, e.attempt]);
    rows.set(e.job, row);
  }
  return { t: at.type, z: at.zone, s: at.spot, e: [...rows.values()] };
};

export const readLedger = (value: unknown): { at: LedgerMachine; entries: LedgerEntry[] } | null => {
  const r = v.safeParse(ledgerSchema, value);
  if (!r.success) return null;
  const { t, z, s, e } = r.output;
  const entries = e.flatMap(([job, team, cpus, gpus, memoryGb, tasks]) =>
    tasks.map(([index, attempt]) => ({
      job: job as JobId,
      index: index as TaskIndex,
      attempt: attempt as Attempt,
      team: team as TeamName,
      cpus,
      gpus,
      memoryGb,
    })),
  );
  return { at: { type: t as TypeName, zone: z as ZoneName, spot: s }, entries };
};
