/** Keys of the key-value store. Each kind of record has its own prefix. */
import { SEGMENT_PREFIX } from '../../core/ledger/segments.js';
import type { JobId, NodeId } from '../../core/model/ids.js';

/** The leader record, attached to the leader's lease; its revision is the fencing token. */
export const LEADER_KEY = 'leader';

/** The cloud's machine types as first read, for starts while the cloud does not answer. */
export const MACHINE_TYPES_KEY = 'c/types';

/** Accepted jobs; a record exists until its job ends. */
export const JOB_PREFIX = 'j/';

/** Job completions; they are never deleted. */
export const COMPLETION_PREFIX = 'f/';

/** Segments of the placement ledger. */
export const LEDGER_PREFIX = SEGMENT_PREFIX;

/** Ledger format of early versions, with one key per machine. Its records count as unreadable. */
export const LEGACY_LEDGER_PREFIX = 'm/';

/** Followers' requests for a progress snapshot: one key for each controller, which stays. */
export const PROGRESS_REQUEST_PREFIX = 'q/';

/** Pages of the leader's newest progress snapshot. */
export const PROGRESS_SNAPSHOT_PREFIX = 'p/';

/** Pages of the leaders' findings on machines that do not answer. */
export const MACHINE_LOSS_PREFIX = 's/';

/** Records of extensions. */
const EXTENSION_PREFIX = 'x/';

/** Prefix of one extension's records; versions without the extension never read them. */
export const extensionPrefix = (extension: string): string => `${EXTENSION_PREFIX}${extension}/`;

/** Stored key of an extension's record, from the extension's own key for it. */
export const extensionKey = (extension: string, key: string): string =>
  extensionPrefix(extension) + key;

/** Key of an accepted job's record. */
export const jobKey = (id: JobId): string => `${JOB_PREFIX}${id}`;

/** Key of a job's completion, which replaces the job's record. */
export const completionKey = (id: JobId): string => `${COMPLETION_PREFIX}${id}`;

/** Key of a controller's request for a progress snapshot. */
export const progressRequestKey = (node: NodeId): string => `${PROGRESS_REQUEST_PREFIX}${node}`;

/** Key of one page of findings on machines that do not answer. */
export const machineLossKey = (page: number): string => `${MACHINE_LOSS_PREFIX}${page}`;

/** Key of one page of the progress snapshot. */
export const progressSnapshotKey = (page: number): string => `${PROGRESS_SNAPSHOT_PREFIX}${page}`;
