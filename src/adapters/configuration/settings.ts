/** The platform's settings file (JSON) and the operators' policy (S-expressions), both checked. */
import { readFileSync } from 'node:fs';
import parseExpression from 's-expression';
import * as v from 'valibot';
import type { NodeId, TeamName, ZoneName } from '../../core/model/ids.js';
import type { Policy } from '../../core/model/policy.js';
import type { Team } from '../../core/model/team.js';

/** A fault of the files handed over: one clear line, no stack. */
export class SettingsError extends Error {}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(1));
const address = v.pipe(
  v.string(),
  v.regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT'),
  v.check((text) => parseEndpoint(text).port <= 65_535, 'must be HOST:PORT'),
);
const optionalAmount = v.nullish(amount, 0);

const settingsSchema = v.object({
  node: v.pipe(v.string(), v.minLength(1)),
  zone: v.nullish(v.string(), ''),
  api_addr: address,
  back: address,
  seeds: v.nullish(
    v.array(v.object({ node: v.string(), zone: v.nullish(v.string(), ''), endpoint: address })),
    [],
  ),
  outside: v.object({ cloud: address, state: address }),
  params: v.object({
    teams: v.pipe(
      v.array(
        v.object({
          name: v.string(),
          cpus: optionalAmount,
          cpus_max: optionalAmount,
          gpus: optionalAmount,
          gpus_max: optionalAmount,
        }),
      ),
      v.minLength(1),
    ),
    workers: v.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: whole,
      next: v.nullish(
        v.object({
          rps: v.nullish(positive),
          write_rps: v.nullish(positive),
          value_kb: v.nullish(positive),
          txn_ops: v.nullish(whole),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    quota: v.nullish(
      v.object({
        cores: v.nullish(positive, 1),
        mem_mb: v.nullish(positive, 178),
        max_connections: v.nullish(whole, 1000),
      }),
      {},
    ),
    clock_off_ms: optionalAmount,
  }),
});

export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export interface Settings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly api: Endpoint;
  readonly peerAddress: Endpoint;
  readonly peers: readonly { readonly node: NodeId; readonly at: Endpoint }[];
  readonly cloud: Endpoint;
  readonly state: Endpoint;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly workers: { readonly reportS: number; readonly leaseS: number; readonly cancelS: number };
  readonly stateLimits: {
    readonly rps: number;
    readonly writeRps: number;
    /** The rates that it will have from some moment on; never above the present ones. */
    readonly nextRps: number;
    readonly nextWriteRps: number;
    /** Sizes: the smaller of what holds now and what will. */
    readonly valueBytes: number;
    readonly txnOps: number;
  };
  readonly cloudLimits: { readonly rps: number; readonly listLagS: number };
  readonly quota: {
    readonly cores: number;
    readonly memoryMb: number;
    readonly maxConnections: number;
  };
}

export const parseEndpoint = (text: string): Endpoint => {
  const at = text.lastIndexOf(':');
  return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
};

const firstIssue = (issues: readonly v.BaseIssue<unknown>[]): string => {
  const issue = issues[0];
  if (!issue) return 'is invalid';
  const path = v.getDotPath(issue as never);
  return path ? `field ${path}: ${issue.message}` : issue.message;
};

export const parseSettings = (text: string): Settings => {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`settings are not JSON: ${(error as Error).message}`);
  }
  const result = v.safeParse(settingsSchema, raw);
  if (!result.success) throw new SettingsError(`settings: ${firstIssue(result.issues)}`);
  const s = result.output;
  const { params } = s;
  const { state } = params;
  const { next } = state;
  return {
    node: s.node as NodeId,
    zone: s.zone as ZoneName,
    api: parseEndpoint(s.api_addr),
    peerAddress: parseEndpoint(s.back),
    peers: s.seeds.map((p) => ({ node: p.node as NodeId, at: parseEndpoint(p.endpoint) })),
    cloud: parseEndpoint(s.outside.cloud),
    state: parseEndpoint(s.outside.state),
    teams: new Map(
      params.teams.map((t) => {
        const name = t.name as TeamName;
        return [
          name,
          { name, cpus: t.cpus, cpusMax: t.cpus_max, gpus: t.gpus, gpusMax: t.gpus_max },
        ];
      }),
    ),
    workers: {
      reportS: params.workers.report_s,
      leaseS: params.workers.lease_s,
      cancelS: params.workers.cancel_s,
    },
    stateLimits: {
      rps: state.rps,
      writeRps: state.write_rps,
      nextRps: Math.min(state.rps, next.rps ?? state.rps),
      nextWriteRps: Math.min(state.write_rps, next.write_rps ?? state.write_rps),
      valueBytes: Math.floor(Math.min(state.value_kb, next.value_kb ?? state.value_kb) * 1024),
      txnOps: Math.min(state.txn_ops, next.txn_ops ?? state.txn_ops),
    },
    cloudLimits: { rps: params.cloud.rps, listLagS: params.cloud.list_lag_s },
    quota: {
      cores: params.quota.cores ?? 1,
      memoryMb: params.quota.mem_mb ?? 178,
      maxConnections: params.quota.max_connections ?? 1000,
    },
  };
};

const read = (path: string, what: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${what}: cannot read ${path}: ${(error as Error).message}`);
  }
};

export const loadSettings = (path: string): Settings => parseSettings(read(path, 'settings'));

// ---- policy --------------------------------------------------------------------------------------

export const DEFAULT_POLICY: Policy = {
  ageFactor: 1,
  deadlineWeight: 1,
  scarcityWeight: 1,
  shortnessWeight: 20,
  priorityWeight: 5,
  deadlineEstimateFactor: 2,
  deadlineScoreMin: 1,
  deadlineScoreMax: 10,
  firstTaskAfterS: 120,
  preemptionMinPriority: 2,
  preemptionDelayS: 2,
  baselineCapacityShare: 1,
  capacityHeadroom: 1.2,
  scaleInAfterIdleS: 240,
  bootTimeoutFactor: 2.5,
  missedHeartbeatLimit: 4,
  leaderLeaseMs: 3000,
};

/** Names in the policy file, and the bounds of each. */
const POLICY_FIELDS: Record<string, { key: keyof Policy; min: number; max: number }> = {
  'age-factor': { key: 'ageFactor', min: 0, max: 1e6 },
  'deadline-weight': { key: 'deadlineWeight', min: 0, max: 1e6 },
  'scarcity-weight': { key: 'scarcityWeight', min: 0, max: 1e6 },
  'priority-boost': { key: 'shortnessWeight', min: 0, max: 1e6 },
  'level-weight': { key: 'priorityWeight', min: 0, max: 1e6 },
  'deadline-k': { key: 'deadlineEstimateFactor', min: 1.000001, max: 1000 },
  'deadline-min': { key: 'deadlineScoreMin', min: 0, max: 1e6 },
  'deadline-max': { key: 'deadlineScoreMax', min: 0, max: 1e6 },
  'first-task-s': { key: 'firstTaskAfterS', min: 1, max: 1e6 },
  'make-room-level': { key: 'preemptionMinPriority', min: 0, max: 99 },
  'make-room-s': { key: 'preemptionDelayS', min: 0, max: 1e6 },
  'standing-share': { key: 'baselineCapacityShare', min: 0, max: 10 },
  headroom: { key: 'capacityHeadroom', min: 1, max: 10 },
  'idle-return-s': { key: 'scaleInAfterIdleS', min: 5, max: 86_400 },
  'boot-give-up': { key: 'bootTimeoutFactor', min: 1, max: 100 },
  'silent-reports': { key: 'missedHeartbeatLimit', min: 2, max: 1000 },
  'leader-lease-ms': { key: 'leaderLeaseMs', min: 500, max: 60_000 },
};

/** `(policy (deadline-k 2) (age-factor 1) ...)`; what is not named keeps its default. */
export const parsePolicy = (text: string): Policy => {
  const form: unknown = parseExpression(text.replace(/;[^\n]*/g, '').trim());
  if (form instanceof Error) throw new SettingsError(`policy: ${form.message.split('\n')[0]}`);
  if (!Array.isArray(form) || form[0] !== 'policy') {
    throw new SettingsError('policy: expected (policy (NAME VALUE) ...)');
  }
  const policy: { -readonly [K in keyof Policy]: Policy[K] } = { ...DEFAULT_POLICY };
  for (const entry of form.slice(1) as unknown[]) {
    const name = Array.isArray(entry) ? String(entry[0]) : String(entry);
    const field = Object.hasOwn(POLICY_FIELDS, name) ? POLICY_FIELDS[name] : undefined;
    if (!field) throw new SettingsError(`policy: unknown field ${name}`);
    const list = entry as unknown[];
    const value = Array.isArray(entry) && list.length === 2 ? Number(String(list[1])) : Number.NaN;
    if (!Number.isFinite(value) || value < field.min || value > field.max) {
      throw new SettingsError(
        `policy: field ${name} must be one number from ${field.min} to ${field.max}`,
      );
    }
    policy[field.key] = value;
  }
  if (policy.deadlineScoreMax < policy.deadlineScoreMin)
    throw new SettingsError('policy: field deadline-max is below deadline-min');
  return policy;
};

export const loadPolicy = (path: string): Policy => parsePolicy(read(path, 'policy'));
