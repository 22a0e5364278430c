/**
 * The public interface between the core and optional packages. An extension sees what happens in
 * the fleet and may request a few things. It runs inside the command loop, as pure as the core
 * itself: no input or output, no clock, no randomness. It knows nothing of the core but these types.
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

/** Calls of operators, which are part of this interface. */
export type { OperatorAnswer, OperatorCall } from '../model/operator-call.js';

/** What is known of an attempt at running a task. */
export interface AttemptView {
  /** Its task, number and resources, as the ledger holds them. */
  readonly entry: LedgerEntry;
  readonly machine: MachineView;
  /** null when its job has ended or is unknown. */
  readonly job: JobView | null;
  readonly phase: AttemptPhase;
  /** When it was first reported as running; null before. */
  readonly startedAt: Instant | null;
  /** It has been told to stop, or will be, with that grace in seconds; null: it goes on. */
  readonly stopRequest: { readonly graceS: number } | null;
  /** Its task was done by another attempt. */
  readonly isSuperseded: boolean;
}

/** An unfinished job. */
export interface JobView {
  readonly spec: JobSpec;
  /** How many tasks wait for a machine. */
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
  /** It has reported and obeys this leader's fencing token. */
  readonly isReady: boolean;
  /** This leader has had a heartbeat of it. */
  readonly hasReported: boolean;
  readonly lastHeartbeatAt: Instant;
  /** Since when it counts as lost; null while it does not. */
  readonly lostAt: Instant | null;
  /** When the cloud takes it away, by its own notice; null without one. */
  readonly reclaimAt: Instant | null;
  /** It gets no more work and is deleted once it is empty. */
  readonly isDraining: boolean;
  /** Its deletion has been requested. */
  readonly isDeleting: boolean;
  /** An extension keeps it from new work. */
  readonly isCordoned: boolean;
  /** Since when no attempt may be on it. */
  readonly idleSince: Instant;
  /** Attempts that may be on it, and ended ones that it still holds. */
  readonly placements: ReadonlyMap<AttemptId, AttemptView>;
  /** Images that it has fetched, as far as is known. */
  readonly images: ReadonlySet<ImageName>;
}

/** A type of machine in one zone, spot or on demand, that the cloud provisions. */
export interface InstancePoolView {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Requests in a row that were not filled, up to a bound. */
  readonly refusals: number;
}

/** The fleet as the leader knows it. Extensions only read it, and keep no part of it. */
export interface FleetView {
  /** The leader's fencing token; a new one stands for a new term. */
  readonly fencingToken: FencingToken;
  /** The interval at which workers report. */
  readonly heartbeatIntervalMs: Millis;
  /** Size of the largest value that the key-value store takes, in bytes. */
  readonly maxValueBytes: number;
  /** Nominal boot times after which a machine that is not up is given up. */
  readonly bootTimeoutFactor: number;
  readonly machines: ReadonlyMap<MachineId, MachineView>;
  /** Unfinished jobs. */
  readonly jobs: ReadonlyMap<JobId, JobView>;
  /** Machine types of the cloud. */
  readonly types: ReadonlyMap<MachineTypeName, MachineType>;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly instancePools: ReadonlyMap<string, InstancePoolView>;
  /** The job at the head of the queue, for which capacity is reserved. */
  readonly queueHead: JobId | null;
  /** Every machine has had time to report to this leader, and the cloud's list has been read. */
  readonly isSettled: boolean;
  /** Whether a task of an unfinished job is done; false for an unknown job. */
  isTaskDone(job: JobId, index: TaskIndex): boolean;
}

/** The present, on the steady clock and by the time of day. */
export interface Moment {
  readonly now: Instant;
  /** Milliseconds since the epoch, within the platform's bound of clocks. */
  readonly wallClockMs: number;
}

/** What an extension is told. */
export type ExtensionEvent =
  /** An attempt is certainly not on its machine any more. Sent before the core forgets it. */
  | { readonly kind: 'released'; readonly attempt: AttemptView; readonly how: AttemptRelease }
  /** The answer to one of the extension's own provision requests. */
  | {
      readonly kind: 'provision-result';
      readonly request: ProvisionRequestId;
      readonly result: ProvisionOutcome;
      readonly machines: readonly MachineId[];
    }
  /** Writes of one request are stored, or refused by the key-value store in any size. */
  | { readonly kind: 'stored' | 'refused'; readonly writes: readonly RecordWrite[] };

/** What an extension requests of the core. */
export type ExtensionRequest =
  /** Keeps a machine from new work, also one that is not known yet, or ends that. */
  | { readonly kind: 'cordon' | 'uncordon'; readonly machine: MachineId }
  /** Stops an attempt; with grace enough, in seconds, a task with checkpoints writes one. */
  | {
      readonly kind: 'stop';
      readonly machine: MachineId;
      readonly attempt: AttemptId;
      readonly graceS: number;
    }
  /** Gives a machine back to the cloud once nothing is on it; cannot be taken back. */
  | { readonly kind: 'return-machine'; readonly machine: MachineId }
  /** Provisions machines; answered by a `provision-result` event. */
  | ({ readonly kind: 'provision' } & ProvisionRequest)
  /** Writes that are stored together or not at all; at most `MAX_WRITES_PER_REQUEST`. */
  | { readonly kind: 'write'; readonly writes: readonly RecordWrite[] }
  /** Answers a call whose answer had to wait. */
  | { readonly kind: 'answer'; readonly ticket: ReplyTicket; readonly answer: OperatorAnswer }
  | ({ readonly kind: 'log' } & LogRecord);

/** As many mutations as the smallest transaction of any known deployment takes. */
export const MAX_WRITES_PER_REQUEST = 3;

/** The decisions of an optional package, for one term of leadership. */
export interface Extension {
  /** Its name: that of its package, its routes and its records. */
  readonly name: string;
  /** Takes what the key-value store holds for it, when the term begins. */
  load(records: readonly ExtensionRecord[], moment: Moment): void;
  /** Takes notice of an event. */
  observe(event: ExtensionEvent, moment: Moment): void;
  /** Called about twice a second while this node leads, and once an answer or a call came in. */
  decide(fleet: FleetView, moment: Moment): readonly ExtensionRequest[];
  /** Answers a call at once, or, when it returns null, by an `answer` request later. */
  call(
    call: OperatorCall,
    ticket: ReplyTicket,
    fleet: FleetView,
    moment: Moment,
  ): OperatorAnswer | null;
  /** Whether a machine on which nothing runs may be deleted for lack of work. */
  mayScaleIn(machine: MachineView): boolean;
  /** Whether a replica may be stopped on a machine that leaves by the daemon's own decision. */
  mayEvictReplica(attempt: AttemptView): boolean;
}

/** An HTTP route that an extension serves. */
export interface ExtensionRoute {
  /** Names the route in calls. */
  readonly name: string;
  readonly method: 'GET' | 'POST';
  /** In Hono's form; at most one parameter, `:subject`. */
  readonly path: string;
}

/** What an enabled package gives the daemon. */
export interface ExtensionModule {
  /** The same as its extension's. */
  readonly name: string;
  readonly routes: readonly ExtensionRoute[];
  /** Makes a new extension for a term of leadership. */
  create(): Extension;
}
