/** Identifiers and versions as branded types, so that one cannot pass for another. */

declare const brand: unique symbol;

/** A `T` that only passes for others of the brand `B`. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Name of a job, chosen by the user who submits it. */
export type JobId = Branded<string, 'JobId'>;

/** The cloud's name of a machine. */
export type MachineId = Branded<string, 'MachineId'>;

/** Name of a controller. */
export type NodeId = Branded<string, 'NodeId'>;

/** Name of a team, as the settings list it. */
export type TeamName = Branded<string, 'TeamName'>;

/** Name of an availability zone. */
export type ZoneName = Branded<string, 'ZoneName'>;

/** Name of a machine type. */
export type MachineTypeName = Branded<string, 'MachineTypeName'>;

/** Name of an image that tasks need. */
export type ImageName = Branded<string, 'ImageName'>;

/** Names one provision request; the cloud answers a repeat of it with the same machines. */
export type ProvisionRequestId = Branded<string, 'ProvisionRequestId'>;

/** Number of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;

/** Identifies one try at running a task; never used twice. */
export type AttemptId = Branded<number, 'AttemptId'>;

/** The right to command: the store's revision at which the leader key was acquired. */
export type FencingToken = Branded<number, 'FencingToken'>;

/** Revision of the key-value store: it grows with each transaction. */
export type Revision = Branded<number, 'Revision'>;

/** Key of one segment of the placement ledger. */
export type SegmentKey = Branded<string, 'SegmentKey'>;

/** Names a caller that waits in the service for an answer from the core. */
export type ReplyTicket = Branded<number, 'ReplyTicket'>;
