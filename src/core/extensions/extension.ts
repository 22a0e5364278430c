/**
 * The public interface between the core and optional packages. An extension observes the fleet and
 * returns requests. It runs within the command loop and, like the core, uses no I/O, clock or
 * randomness. It depends on no part of the core but these types.
 */
import type { AttemptPhase, AttemptRelease } from '../model/attempt.js';
import type { ExtensionRecord, RecordWrite } from '../model/extension-record.js';
import type {
  AttemptId,
  FencingToken,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ReplyTicket,
  TaskIndex,
  TeamName,
  ZoneName,
} from '../model/ids.js';
import type { JobSpec, TerminalState } from '../model/job.js';
import type { LedgerEntry } from '../model/ledger-record.js';
import type { LogRecord } from '../model/log-record.js';
import type { MachineType, ProvisionOutcome, ProvisionRequest } from '../model/machine.js';
import type { OperatorAnswer, OperatorCall } from '../model/operator-call.js';
import type { Team } from '../model/team.js';
import type { Instant, Millis } from '../model/time.js';

/** Part of the extension interface; in its own module because the core's commands use it too. */
export type { OperatorAnswer, OperatorCall } from '../model/operator-call.js';

/** An attempt at running a task on a machine. */
export interface AttemptView {
  /** Its task, attempt id and resources, as stored in the ledger. */
  readonly entry: LedgerEntry;
  readonly machine: MachineView;
  /** null when the job has ended or is unknown. */
  readonly job: JobView | null;
  readonly phase: AttemptPhase;
  /** When it was first reported as running; null before. */
  readonly startedAt: Instant | null;
  /** The pending stop, with its grace period in seconds; null when none is requested. */
  readonly stopRequest: { readonly graceS: number } | null;
  /** Whether another attempt has completed the task. */
  readonly isSuperseded: boolean;
}

/** An unfinished job. */
export interface JobView {
  readonly spec: JobSpec;
  /** Number of tasks waiting for a machine. */
  readonly pendingTasks: number;
  /** Attempts that may be on a machine, by task. */
  readonly attemptsByTask: ReadonlyMap<TaskIndex, readonly AttemptView[]>;
  readonly terminalState: TerminalState;
}

/** A provisioned machine. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly provisionedAt: Instant;
  /** Whether its last heartbeat carried this leader's fencing token. */
  readonly isReady: boolean;
  /** Whether it has sent this leader a heartbeat. */
  readonly hasReported: boolean;
  readonly lastHeartbeatAt: Instant;
  /** Since when it has counted as lost; null while it does not. */
  readonly lostAt: Instant | null;
  /** When the cloud reclaims it, according to its notice; null without one. */
  readonly reclaimAt: Instant | null;
  /** Whether it gets no more tasks and is deleted once it is empty. */
  readonly isDraining: boolean;
  /** Whether its deletion has been requested. */
  readonly isDeleting: boolean;
  /** Whether an extension excludes it from new placements. */
  readonly isCordoned: boolean;
  /** Since when it has certainly had no attempt. */
  readonly idleSince: Instant;
  /** Attempts that may be on it, and ended ones not yet reaped. */
  readonly placements: ReadonlyMap<AttemptId, AttemptView>;
  /** Images that it is known to have fetched. */
  readonly images: ReadonlySet<ImageName>;
}

/** Machines of one type, in one zone, either spot or on-demand. */
export interface InstancePoolView {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Consecutive unfilled provision requests, up to a maximum. */
  readonly refusals: number;
}

/** The leader's view of the fleet. Extensions must not modify it or keep references. */
export interface FleetView {
  /** Identifies the term. */
  readonly fencingToken: FencingToken;
  /** The interval at which workers send heartbeats. */
  readonly heartbeatIntervalMs: Millis;
  /** Maximum size of a value in the key-value store, in bytes. */
  readonly maxValueBytes: number;
  /** A machine that is not up after this many times its nominal boot time is replaced. */
  readonly bootTimeoutFactor: number;
  readonly machines: ReadonlyMap<MachineId, MachineView>;
  /** Unfinished jobs. */
  readonly jobs: ReadonlyMap<JobId, JobView>;
  /** The cloud's machine types. */
  readonly types: ReadonlyMap<MachineTypeName, MachineType>;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly instancePools: ReadonlyMap<string, InstancePoolView>;
  /** The job at the head of the queue, for which capacity is reserved; null if there is none. */
  readonly queueHead: JobId | null;
  /** Whether all machines have had time to report and the cloud's machine list has been read. */
  readonly isSettled: boolean;
  /** Whether a task of an unfinished job is done; false for an unknown job. */
  isTaskDone(job: JobId, index: TaskIndex): boolean;
}

/** The current time, on the steady and the wall clock. */
export interface Moment {
  readonly now: Instant;
  /** Milliseconds since the epoch; its error is within the platform's bound for clocks. */
  readonly wallClockMs: number;
}

/** An event that the core passes to an extension. */
export type ExtensionEvent =
  /** An attempt is certainly no longer on its machine; sent before the core removes it. */
  | { readonly kind: 'released'; readonly attempt: AttemptView; readonly release: AttemptRelease }
  /** The result of a provision request of the extension. */
  | {
      readonly kind: 'provision-result';
      readonly request: ProvisionRequestId;
      readonly result: ProvisionOutcome;
      readonly machines: readonly MachineId[];
    }
  /** Writes of one request are stored, or refused even in their own transaction. */
  | { readonly kind: 'stored' | 'refused'; readonly writes: readonly RecordWrite[] };

/** A request from an extension to the core. */
export type ExtensionRequest =
  /** Excludes a machine, even one not yet tracked, from placements, or allows them again. */
  | { readonly kind: 'cordon' | 'uncordon'; readonly machine: MachineId }
  /** Stops an attempt. A task with checkpoints writes one if the grace period allows it. */
  | {
      readonly kind: 'stop';
      readonly machine: MachineId;
      readonly attempt: AttemptId;
      readonly graceS: number;
    }
  /** Drains a machine and deletes it once it is empty; cannot be cancelled. */
  | { readonly kind: 'return-machine'; readonly machine: MachineId }
  /** Provisions machines; answered by a `provision-result` event. */
  | ({ readonly kind: 'provision' } & ProvisionRequest)
  /** Stores writes atomically; at most `MAX_WRITES_PER_REQUEST`. */
  | { readonly kind: 'write'; readonly writes: readonly RecordWrite[] }
  /** Answers a call for which `call` returned null. */
  | { readonly kind: 'answer'; readonly ticket: ReplyTicket; readonly answer: OperatorAnswer }
  | ({ readonly kind: 'log' } & LogRecord);

/** The number of mutations that fit the smallest transaction limit of any known deployment. */
export const MAX_WRITES_PER_REQUEST = 3;

/** The part of a package that runs in the core, for one term. */
export interface Extension {
  /** Also identifies its package, its routes and its records. */
  readonly name: string;
  /** Loads its records from the key-value store at the start of the term. */
  load(records: readonly ExtensionRecord[], moment: Moment): void;
  observe(event: ExtensionEvent, moment: Moment): void;
  /** Called about twice a second while this node leads, and after each result or call. */
  decide(fleet: FleetView, moment: Moment): readonly ExtensionRequest[];
  /** Answers a call, or returns null and sends an `answer` request later. */
  call(
    call: OperatorCall,
    ticket: ReplyTicket,
    fleet: FleetView,
    moment: Moment,
  ): OperatorAnswer | null;
  /** Whether an idle machine may be deleted by scale-in. */
  mayScaleIn(machine: MachineView): boolean;
  /** Whether a replica may be evicted from a machine that the daemon itself decided to remove. */
  mayEvictReplica(attempt: AttemptView): boolean;
}

/** An HTTP route that an extension serves. */
export interface ExtensionRoute {
  /** The route's name in `OperatorCall.route`. */
  readonly name: string;
  readonly method: 'GET' | 'POST';
  /** In Hono's path syntax; at most one parameter, `:subject`. */
  readonly path: string;
}

/** What an enabled package provides to the daemon. */
export interface ExtensionModule {
  /** The same as its extension's name. */
  readonly name: string;
  readonly routes: readonly ExtensionRoute[];
  /** Creates the extension for one term. */
  create(): Extension;
}
