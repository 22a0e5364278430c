/** Identifiers and versions as branded types, so that one cannot pass for another. */

declare const brand: unique symbol;

export type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Chosen by the user who submits the job. */
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
export type MachineTypeName = Branded<string, 'TypeName'>;

/** Name of an image that tasks need. */
export type ImageName = Branded<string, 'ImageName'>;

/** Names one request for machines; the cloud answers a repeat of it with the same machines. */
export type ProvisionRequestId = Branded<string, 'RequestName'>;

/** Number of a task within its job, from 0. */
export type TaskIndex = Branded<number, 'TaskIndex'>;

/** Identifies one try at running a task; never used twice. */
export type AttemptId = Branded<number, 'Attempt'>;

/** The right to command: the revision of the key-value store at which the leader key was acquired. */
export type FencingToken = Branded<number, 'Term'>;

/** Revision of the key-value store. */
export type Revision = Branded<number, 'Revision'>;

/** Names one record of the placement ledger. */
export type SegmentKey = Branded<string, 'SegmentKey'>;

/** Names a caller that waits in the service for an answer from the core. */
export type ReplyTicket = Branded<number, 'Ticket'>;
