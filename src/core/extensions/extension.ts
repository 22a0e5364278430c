/**
 * The interface between the core and optional packages. An extension sees what happens in the fleet and may ask for a
 * few things; it runs inside the owner's queue, as pure as the core itself. It knows nothing of the core but these types.
 */
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
import type { JobSpec } from '../model/job.js';
import type { LedgerEntry } from '../model/ledger-record.js';
import type { MachineType, ProvisionRequest } from '../model/machine.js';
import type { Team } from '../model/team.js';
import type { Instant, Millis } from '../model/time.js';

/** What is known of an attempt; phases as in the core's placements. */
export interface AttemptView {
  readonly entry: LedgerEntry;
  readonly machine: MachineView;
  /** null when its job is over or unknown. */
  readonly job: JobView | null;
  readonly phase:
    | 'unconfirmed'
    | 'persisting'
    | 'dispatched'
    | 'fetching'
    | 'running'
    | 'checkpointing'
    | 'ended';
  readonly startedAt: Instant | null;
  /** It has been told to stop, or will be. */
  readonly stopRequest: { readonly graceS: number } | null;
  /** Its task was done by another attempt. */
  readonly isSuperseded: boolean;
}

/** An unfinished job. */
export interface JobView {
  readonly spec: JobSpec;
  /** Tasks that wait for a machine. */
  readonly pendingTasks: number;
  /** Attempts that may be on a machine, by task. */
  readonly attemptsByTask: ReadonlyMap<TaskIndex, readonly AttemptView[]>;
  readonly terminalState: 'none' | 'done' | 'cancelled';
}

/** A rented machine. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly provisionedAt: Instant;
  /** It has reported and obeys this leader's term. */
  readonly isReady: boolean;
  readonly hasReported: boolean;
  readonly lastHeartbeatAt: Instant;
  /** Since when it counts as lost. */
  readonly lostAt: Instant | null;
  /** When the cloud takes it away. */
  readonly reclaimAt: Instant | null;
  /** It gets no more work and is returned once it is empty. */
  readonly isDraining: boolean;
  /** Its return has been asked for. */
  readonly isDeleting: boolean;
  /** An extension keeps it from new work. */
  readonly isCordoned: boolean;
  readonly idleSince: Instant;
  /** Attempts that may be on it, and ended ones that it still holds. */
  readonly placements: ReadonlyMap<AttemptId, AttemptView>;
  readonly images: ReadonlySet<ImageName>;
}

/** A kind of machine that the cloud rents out. */
export interface InstancePoolView {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Refusals since the cloud last filled a request. */
  readonly refusals: number;
}

/** The fleet as the leader knows it. Extensions only read it. */
export interface FleetView {
  readonly fencingToken: FencingToken;
  readonly heartbeatIntervalMs: Millis;
  /** What a value of the state service may hold. */
  readonly maxValueBytes: number;
  /** Boot times after which a machine that is not up is given up. */
  readonly bootTimeoutFactor: number;
  readonly machines: ReadonlyMap<MachineId, MachineView>;
  readonly jobs: ReadonlyMap<JobId, JobView>;
  readonly types: ReadonlyMap<MachineTypeName, MachineType>;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly instancePools: ReadonlyMap<string, InstancePoolView>;
  /** The job at the head of the queue, for which room is reserved. */
  readonly queueHead: JobId | null;
  /** Every machine has had the time to report to this leader, and the cloud's list has been read. */
  readonly isSettled: boolean;
  isTaskDone(job: JobId, index: TaskIndex): boolean;
}

/** This moment, on the steady clock and by the time of day. */
export interface Moment {
  readonly now: Instant;
  /** Milliseconds since the epoch, within the platform's bound of clocks. */
  readonly timeOfDay: number;
}

/** What an extension is told. */
export type ExtensionEvent =
  /**
   * An attempt is certainly not on its machine any more. `gone`: its machine, session or lease ended, and not the task by
   * itself. Sent before the core forgets it.
   */
  | { readonly kind: 'released'; readonly attempt: AttemptView; readonly how: 'reported' | 'gone' }
  | {
      readonly kind: 'provision-result';
      readonly request: ProvisionRequestId;
      readonly result: 'ok' | 'refused' | 'unknown';
      readonly machines: readonly MachineId[];
    }
  /** Writes of one request are stored, or refused by the state service in any size. */
  | { readonly kind: 'stored' | 'refused'; readonly writes: readonly RecordWrite[] };

/** What an extension asks of the core. */
export type ExtensionRequest =
  | { readonly kind: 'cordon' | 'uncordon'; readonly machine: MachineId }
  /** Stops an attempt; with grace enough for saving, a task that saves does so. */
  | {
      readonly kind: 'stop';
      readonly machine: MachineId;
      readonly attempt: AttemptId;
      readonly graceS: number;
    }
  /** Returns a machine to the cloud once nothing is on it; cannot be taken back. */
  | { readonly kind: 'return-machine'; readonly machine: MachineId }
  | ({ readonly kind: 'provision' } & ProvisionRequest)
  /** Changes that are stored together or not at all; no more than `MOST_WRITES_TOGETHER`. */
  | { readonly kind: 'write'; readonly writes: readonly RecordWrite[] }
  | { readonly kind: 'answer'; readonly ticket: ReplyTicket; readonly answer: OperatorAnswer }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly text: string;
      readonly fields: Record<string, unknown>;
    };

/** As many changes as the smallest transaction of any known deployment holds. */
export const MAX_WRITES_PER_REQUEST = 3;

/** A call of an operator: which of the extension's routes, its parameter and its body. */
export interface OperatorCall {
  readonly route: string;
  readonly subject: string;
  readonly body: unknown;
}

/** The answer to a call, as HTTP carries it. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: object;
}

/** The decisions of an optional package, for one term of leadership. */
export interface Extension {
  readonly name: string;
  /** What the state service holds under its prefix, read when the term begins; null for what cannot be read. */
  load(records: readonly ExtensionRecord[], moment: Moment): void;
  observe(event: ExtensionEvent, moment: Moment): void;
  /** Called about twice a second while this node leads, and whenever something came in for the extension. */
  decide(fleet: FleetView, moment: Moment): readonly ExtensionRequest[];
  /** Answers a call: at once, or by an `answer` request later when it returns null. */
  call(
    call: OperatorCall,
    ticket: ReplyTicket,
    fleet: FleetView,
    moment: Moment,
  ): OperatorAnswer | null;
  /** Whether a machine on which nothing runs may be returned for lack of work. */
  mayScaleIn(machine: MachineView): boolean;
  /** Whether a replica may be stopped on a machine that leaves by the daemon's own decision. */
  mayEvictReplica(attempt: AttemptView): boolean;
}

/** An HTTP route that an extension serves. */
export interface ExtensionRoute {
  readonly name: string;
  readonly method: 'GET' | 'POST';
  /** In Hono's form; at most one parameter, `:subject`. */
  readonly path: string;
}

/** What an enabled package gives the daemon. */
export interface ExtensionModule {
  readonly name: string;
  readonly routes: readonly ExtensionRoute[];
  /** A new one for each term of leadership. */
  create(): Extension;
}
