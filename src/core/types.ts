/** Small types of their own for ids, versions and times, and the records the core works on. */

import type {
  ExtensionRecord,
  OperatorAnswer,
  OperatorCall,
  RecordWrite,
} from './extensions/extension.js';

declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Branded<string, 'JobId'>;
export type MachineId = Branded<string, 'MachineId'>;
export type NodeId = Branded<string, 'NodeId'>;
export type TeamName = Branded<string, 'TeamName'>;
export type ZoneName = Branded<string, 'ZoneName'>;
export type TypeName = Branded<string, 'TypeName'>;
export type ImageName = Branded<string, 'ImageName'>;
export type RequestName = Branded<string, 'RequestName'>;
/** Number of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;
/** Identifies one try at running a task; never used twice. */
export type Attempt = Branded<number, 'Attempt'>;
/** The right to command: the state service's revision at which the leader key was acquired. */
export type Term = Branded<number, 'Term'>;
/** Revision of the state service. */
export type Revision = Branded<number, 'Revision'>;
/** A point on this process's steady clock, in milliseconds. */
export type Instant = Branded<number, 'Instant'>;
/** A length of time in milliseconds. */
export type Millis = Branded<number, 'Millis'>;
/** Names one record of the placement ledger. */
export type SegmentKey = Branded<string, 'SegmentKey'>;
/** A pending answer the service holds for the core. */
export type Ticket = Branded<number, 'Ticket'>;

export const seconds = (s: number): Millis => (s * 1000) as Millis;
export const later = (t: Instant, by: Millis): Instant => (t + by) as Instant;
export const since = (t: Instant, now: Instant): Millis => (now - t) as Millis;

export type Priority = 'critical' | 'urgent' | 'standard' | 'best_effort';
export const PRIORITY_LEVEL: Record<Priority, number> = {
  critical: 3,
  urgent: 2,
  standard: 1,
  best_effort: 0,
};

/** array: each task runs to its end. service: its tasks, the replicas, run until the job is cancelled. */
export type Shape = 'array' | 'service';

export interface JobSpec {
  readonly id: JobId;
  readonly shape: Shape;
  readonly lane: string;
  readonly team: TeamName;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly TypeName[] | null;
  readonly zone: ZoneName | null;
  readonly oneZone: boolean;
  readonly scatter: boolean;
  readonly spotOk: boolean;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
}

export const isService = ({ spec }: { readonly spec: Pick<JobSpec, 'shape'> }): boolean =>
  spec.shape === 'service';

export interface MachineType {
  readonly name: TypeName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly ZoneName[];
}

export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

export type TaskPhase = 'fetching' | 'running' | 'saving' | 'ended';
export type EndCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

export interface ReportedTask {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  readonly cause: EndCause | null;
  readonly saved: boolean;
}

export interface Report {
  readonly machine: MachineId;
  readonly endpoint: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly session: number;
  readonly seq: number;
  readonly term: Term;
  readonly noticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

export type Order =
  | {
      readonly op: 'start';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: Attempt;
    }
  | {
      readonly op: 'kill';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: Attempt;
      readonly graceS: number;
    }
  | {
      readonly op: 'reap';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: Attempt;
    };

/** What the placement ledger holds of one attempt: enough to count it when its job is gone. */
export interface LedgerEntry {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly team: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** What the ledger says of the machine itself: its zone counts before it has reported. */
export interface LedgerMachine {
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

export type Outcome = 'done' | 'cancelled';

export interface ListedMachine {
  readonly id: MachineId;
  readonly endpoint: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}

/** Attempts that one ledger record enters on one machine. */
export interface LedgerRow {
  readonly machine: MachineId;
  readonly at: LedgerMachine;
  readonly entries: readonly LedgerEntry[];
}

/** Which tasks of a part of a job are done: the whole part each time, so that the newest row says it all. */
export interface ProgressRow {
  readonly job: JobId;
  /** The first task that it speaks of, a multiple of 8. */
  readonly from: number;
  readonly bits: Uint8Array;
}

export type SaveOp =
  /** A new ledger record: what one batch entered and finished, over many machines and jobs. */
  | {
      readonly kind: 'segment';
      readonly key: SegmentKey;
      readonly machines: readonly LedgerRow[];
      readonly progress: readonly ProgressRow[];
    }
  | { readonly kind: 'segment-gone'; readonly key: SegmentKey }
  /** Records of an extension, stored together. */
  | {
      readonly kind: 'extension';
      readonly extension: string;
      readonly writes: readonly RecordWrite[];
    }
  | {
      readonly kind: 'final';
      readonly job: JobId;
      readonly outcome: Outcome;
      readonly tasks: number;
      readonly team: TeamName;
    };

export interface Policy {
  /** Points for each hour of waiting. */
  readonly ageFactor: number;
  readonly deadlineWeight: number;
  readonly scarcityWeight: number;
  readonly shortnessWeight: number;
  /** Points for each level of the job's own priority: our addition to the four scores. */
  readonly levelWeight: number;
  readonly k: number;
  readonly min: number;
  readonly max: number;
  /** A job that has waited this long gets its first task ahead of better ranked ones. */
  readonly firstTaskS: number;
  /** A head of at least this priority level that has waited this long stops lower tasks that save their progress. */
  readonly makeRoomLevel: number;
  readonly makeRoomS: number;
  /** Share of the summed guarantees that is kept rented while work comes in. */
  readonly standingShare: number;
  /** Rented capacity over what the unfinished work needs. */
  readonly headroom: number;
  readonly idleReturnS: number;
  /** A machine that is not up after this many times its nominal boot time is replaced. */
  readonly bootGiveUp: number;
  /** Silence, in report periods, after which a machine is replaced. */
  readonly silentReports: number;
  /** Life of the leader's lease. */
  readonly leaderLeaseMs: number;
}

export type Command =
  | { readonly kind: 'job'; readonly spec: JobSpec; readonly submittedAt: Instant }
  | ({ readonly kind: 'progress'; readonly segment: SegmentKey } & ProgressRow)
  | ({ readonly kind: 'ledger'; readonly segment: SegmentKey } & LedgerRow)
  /** A ledger record that cannot be read: what it entered may be anywhere. */
  | { readonly kind: 'unreadable'; readonly segment: SegmentKey }
  | { readonly kind: 'loaded' }
  | { readonly kind: 'abort'; readonly job: JobId; readonly ticket: Ticket }
  | { readonly kind: 'report'; readonly report: Report; readonly ticket: Ticket | null }
  /** `refused`: changes that the state service takes in no size; the others of the batch are stored. */
  | {
      readonly kind: 'saved';
      readonly batch: number;
      readonly refused?: readonly SaveOp[];
      /** The newest revision stored under this term. */
      readonly revision?: Revision;
    }
  | { readonly kind: 'types'; readonly types: readonly MachineType[] }
  | {
      readonly kind: 'listed';
      readonly askedAt: Instant;
      readonly machines: readonly ListedMachine[];
    }
  | {
      readonly kind: 'rented';
      readonly request: RequestName;
      readonly result: 'ok' | 'refused' | 'unknown';
      readonly machines: readonly MachineId[];
    }
  | { readonly kind: 'deleted'; readonly machines: readonly MachineId[]; readonly ok: boolean }
  | {
      readonly kind: 'extension-records';
      readonly extension: string;
      readonly records: readonly ExtensionRecord[];
    }
  | {
      readonly kind: 'operator-call';
      readonly extension: string;
      readonly call: OperatorCall;
      readonly ticket: Ticket;
    }
  | { readonly kind: 'tick' };

/** Machines that are asked for, under a name that is never used again for others. */
export interface Rental {
  readonly request: RequestName;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly count: number;
}

export type Effect =
  | { readonly kind: 'answer'; readonly ticket: Ticket; readonly orders: readonly Order[] | null }
  | { readonly kind: 'save'; readonly batch: number; readonly ops: readonly SaveOp[] }
  | { readonly kind: 'settled'; readonly ticket: Ticket; readonly outcome: Outcome | null }
  | {
      readonly kind: 'final';
      readonly job: JobId;
      readonly outcome: Outcome;
      readonly tasks: number;
      readonly team: TeamName;
    }
  | ({ readonly kind: 'rent' } & Rental)
  | { readonly kind: 'delete'; readonly machines: readonly MachineId[] }
  | { readonly kind: 'operator-answer'; readonly ticket: Ticket; readonly answer: OperatorAnswer }
  | {
      readonly kind: 'orders';
      readonly machine: MachineId;
      readonly endpoint: string;
      readonly session: number;
      readonly orders: readonly Order[];
    }
  | {
      readonly kind: 'note';
      readonly level: 'info' | 'debug';
      readonly text: string;
      readonly fields: Record<string, unknown>;
    };

/** What the service may do now: everything, only keep workers' leases alive, or nothing. */
export type Authority = 'lead' | 'keep-alive' | 'none';
