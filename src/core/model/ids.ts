/** Identifiers and versions as branded types. */

declare const brand: unique symbol;

/** A `T` with the brand `B`; no `T` without this brand is assignable to it. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Name of a job, chosen by the user who submits it. */
export type JobId = Branded<string, 'JobId'>;

/** The cloud's name for a machine. */
export type MachineId = Branded<string, 'MachineId'>;

/** Name of a controller node. */
export type NodeId = Branded<string, 'NodeId'>;

/** Name of a team in the settings. */
export type TeamName = Branded<string, 'TeamName'>;

/** Name of one of the cloud's zones. */
export type ZoneName = Branded<string, 'ZoneName'>;

/** Name of one of the cloud's machine types. */
export type MachineTypeName = Branded<string, 'MachineTypeName'>;

/** Name of an image that tasks need. */
export type ImageName = Branded<string, 'ImageName'>;

/** Idempotency key of a provision request: a repeat returns the same machines. */
export type ProvisionRequestId = Branded<string, 'ProvisionRequestId'>;

/** Number of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;

/** Unique id of an attempt at running a task; never reused. */
export type AttemptId = Branded<number, 'AttemptId'>;

/** Fencing token of a term: the store's revision at which the leader key was acquired. */
export type FencingToken = Branded<number, 'FencingToken'>;

/** Revision of the key-value store, which increases with each transaction. */
export type Revision = Branded<number, 'Revision'>;

/** Key of a ledger segment. */
export type SegmentKey = Branded<string, 'SegmentKey'>;

/** Identifies a caller in the service that waits for a reply from the core. */
export type ReplyTicket = Branded<number, 'ReplyTicket'>;
