/**
 * Records in the key-value store, and their keys. Each kind of record has one codec, which defines
 * its stored field names; every record is validated when it is decoded.
 */

/** Job completions. */
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
  JOB_PREFIX,
  jobKey,
  LEADER_KEY,
  LEDGER_PREFIX,
  LEGACY_LEDGER_PREFIX,
  MACHINE_LOSS_PREFIX,
  MACHINE_TYPES_KEY,
  machineLossKey,
  PROGRESS_REQUEST_PREFIX,
  PROGRESS_SNAPSHOT_PREFIX,
  progressRequestKey,
  progressSnapshotKey,
} from './stored-records/keys.js';
/** The leader. */
export { decodeLeader, type LeaderRecord } from './stored-records/leader-record.js';
/** Findings on machines that do not answer. */
export { decodeMachineLosses, encodeMachineLosses } from './stored-records/machine-loss-record.js';
/** The cloud's machine types. */
export { decodeMachineTypes } from './stored-records/machine-types-record.js';
/** Requests for a progress snapshot, and the snapshots. */
export {
  decodeProgressPage,
  decodeProgressRequest,
  encodeProgressRequest,
  encodeProgressSnapshot,
  isSameRequest,
  type ProgressPage,
  type ProgressRequest,
  type ProgressSnapshot,
} from './stored-records/progress-record.js';
/** Segments of the placement ledger. */
export {
  decodeSegment,
  encodeSegment,
  listPlacedJobs,
  type SegmentRecord,
} from './stored-records/segment-record.js';
