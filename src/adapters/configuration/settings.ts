/**
 * Parses and validates the platform's settings file (JSON). The platform defines the file's field
 * names; only this module maps them to internal names. Unknown fields are ignored.
 */

import * as v from 'valibot';
import type { NodeId, TeamName, ZoneName } from '../../core/model/ids.js';
import type { Team } from '../../core/model/team.js';
import { readConfigurationFile, SettingsError } from './configuration-file.js';

const MAX_PORT = 65_535;
const BYTES_PER_KB = 1024;
/** Offset of the time of day where the settings omit it. */
const DEFAULT_CLOCK_OFFSET_MS = 1000;
/** Limits for a controller process where the settings omit them. */
const DEFAULT_QUOTA = { cores: 1, memoryMb: 178, maxConnections: 1000 };

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(1));
const address = v.pipe(
  v.string(),
  v.regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT'),
  v.check((text) => parseEndpoint(text).port <= MAX_PORT, 'must be HOST:PORT'),
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
        cores: v.nullish(positive, DEFAULT_QUOTA.cores),
        mem_mb: v.nullish(positive, DEFAULT_QUOTA.memoryMb),
        max_connections: v.nullish(whole, DEFAULT_QUOTA.maxConnections),
      }),
      {},
    ),
    clock_off_ms: v.nullish(amount, DEFAULT_CLOCK_OFFSET_MS),
  }),
});

/** A host and port to connect to or listen on. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Timing guarantees for workers, in seconds. */
export interface WorkerTimes {
  /** Interval between two heartbeats of a worker. */
  readonly heartbeatIntervalS: number;
  /** How long a worker keeps its tasks after the last answer to a heartbeat. */
  readonly leaseS: number;
  /** Time from a job's cancellation within which all its tasks must end. */
  readonly cancelS: number;
}

/** The key-value store's limits for all controllers together; see `RateShares` for a node's. */
export interface KeyValueStoreLimits {
  /** Requests per second. */
  readonly rps: number;
  /** Changed keys per second. */
  readonly writeRps: number;
  /** Announced rates, which apply from an unknown time on; never above the present ones. */
  readonly nextRps: number;
  readonly nextWriteRps: number;
  /** Size limits: the lower of present and announced value. */
  readonly maxValueBytes: number;
  readonly maxTransactionOperations: number;
}

/** The platform's settings for one controller. */
export interface Settings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** Listening address for users and workers. */
  readonly api: Endpoint;
  /** Listening address for the other controllers. */
  readonly peerAddress: Endpoint;
  readonly peers: readonly { readonly node: NodeId; readonly endpoint: Endpoint }[];
  readonly cloud: Endpoint;
  readonly keyValueStore: Endpoint;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly workers: WorkerTimes;
  readonly keyValueStoreLimits: KeyValueStoreLimits;
  /** Requests per second that the cloud accepts, and how stale its machine list may be, in s. */
  readonly cloudLimits: { readonly rps: number; readonly listLagS: number };
  /** How far this node's time of day may be from true time, in ms. */
  readonly maxClockOffsetMs: number;
  readonly quota: {
    readonly cores: number;
    readonly memoryMb: number;
    readonly maxConnections: number;
  };
}

/** Splits `HOST:PORT` at the last colon. The caller must have validated the format. */
export const parseEndpoint = (text: string): Endpoint => {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
};

const firstIssue = (issues: readonly v.BaseIssue<unknown>[]): string => {
  const issue = issues[0];
  if (!issue) return 'is invalid';
  const path = v.getDotPath(issue as never);
  return path ? `field ${path}: ${issue.message}` : issue.message;
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (error) {
    const { message } = error as Error;
    throw new SettingsError(`settings are not JSON: ${message}`, { cause: error });
  }
};

type SettingsFile = v.InferOutput<typeof settingsSchema>;
type Params = SettingsFile['params'];

const teamsOf = ({ teams }: Params): Settings['teams'] =>
  new Map(
    teams.map((team) => {
      const name = team.name as TeamName;
      const { cpus, gpus } = team;
      return [name, { name, cpus, cpusMax: team.cpus_max, gpus, gpusMax: team.gpus_max }];
    }),
  );

/** Announced lower size limits apply at once, lower rates only once the store enforces them. */
const storeLimitsOf = ({ state }: Params): Settings['keyValueStoreLimits'] => {
  const { next } = state;
  const valueKb = Math.min(state.value_kb, next.value_kb ?? state.value_kb);
  return {
    rps: state.rps,
    writeRps: state.write_rps,
    nextRps: Math.min(state.rps, next.rps ?? state.rps),
    nextWriteRps: Math.min(state.write_rps, next.write_rps ?? state.write_rps),
    maxValueBytes: Math.floor(valueKb * BYTES_PER_KB),
    maxTransactionOperations: Math.min(state.txn_ops, next.txn_ops ?? state.txn_ops),
  };
};

const quotaOf = ({ quota }: Params): Settings['quota'] => ({
  cores: quota.cores ?? DEFAULT_QUOTA.cores,
  memoryMb: quota.mem_mb ?? DEFAULT_QUOTA.memoryMb,
  maxConnections: quota.max_connections ?? DEFAULT_QUOTA.maxConnections,
});

/** Parses the settings. Throws a `SettingsError` that names the first invalid field. */
export const parseSettings = (text: string): Settings => {
  const result = v.safeParse(settingsSchema, parseJson(text));
  if (!result.success) throw new SettingsError(`settings: ${firstIssue(result.issues)}`);
  const file = result.output;
  const { params } = file;
  return {
    node: file.node as NodeId,
    zone: file.zone as ZoneName,
    api: parseEndpoint(file.api_addr),
    peerAddress: parseEndpoint(file.back),
    peers: file.seeds.map((seed) => ({
      node: seed.node as NodeId,
      endpoint: parseEndpoint(seed.endpoint),
    })),
    cloud: parseEndpoint(file.outside.cloud),
    keyValueStore: parseEndpoint(file.outside.state),
    teams: teamsOf(params),
    workers: {
      heartbeatIntervalS: params.workers.report_s,
      leaseS: params.workers.lease_s,
      cancelS: params.workers.cancel_s,
    },
    keyValueStoreLimits: storeLimitsOf(params),
    cloudLimits: { rps: params.cloud.rps, listLagS: params.cloud.list_lag_s },
    maxClockOffsetMs: params.clock_off_ms,
    quota: quotaOf(params),
  };
};

/** Reads and parses the settings file. Throws a `SettingsError` if it is unreadable or invalid. */
export const loadSettings = (path: string): Settings =>
  parseSettings(readConfigurationFile(path, 'settings'));
