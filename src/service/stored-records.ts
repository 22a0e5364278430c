/**
 * What the key-value store holds, and under which keys. Each kind of record has one codec, where
 * its stored names stand; every record that is read back is checked.
 */

/** Completions of jobs. */
export {
  decodeCompletion,
  encodeCompletion,
  type JobCompletion,
} from './stored-records/completion-record.js';
/** Accepted jobs. */
export { decodeJob, encodeJob, type JobRecord } from './stored-records/job-record.js';
/** Keys and their prefixes. */
export {
  COMPLETION_PREFIX,
  completionKey,
  extensionKey,
  extensionPrefix,
  FIRST_VERSION_LEDGER_PREFIX,
  JOB_PREFIX,
  jobKey,
  LEADER_KEY,
  LEDGER_PREFIX,
  MACHINE_TYPES_KEY,
} from './stored-records/keys.js';
/** The leader. */
export { decodeLeader, type LeaderRecord } from './stored-records/leader-record.js';
/** Machine types of the cloud. */
export { decodeMachineTypes } from './stored-records/machine-types-record.js';
/** Segments of the placement ledger. */
export {
  decodeSegment,
  encodeSegment,
  type SegmentRecord,
} from './stored-records/segment-record.js';
