/** Keys of the key-value store. Each kind of record stands under a prefix of its own. */
import { SEGMENT_PREFIX } from '../../core/ledger/segments.js';
import type { JobId } from '../../core/model/ids.js';

/** The leader's record, which hangs on its lease; the key's revision is the fencing token. */
export const LEADER_KEY = 'leader';

/** The cloud's machine types as first read, for a start while the cloud does not answer. */
export const MACHINE_TYPES_KEY = 'c/types';

/** Accepted jobs that have not ended. */
export const JOB_PREFIX = 'j/';

/** Completions of jobs, which stay. */
export const COMPLETION_PREFIX = 'f/';

/** Segments of the placement ledger. */
export const LEDGER_PREFIX = SEGMENT_PREFIX;

/** The first version's ledger, a key for each machine: what stands there counts as unreadable. */
export const LEGACY_LEDGER_PREFIX = 'm/';

/** Records of extensions. */
const EXTENSION_PREFIX = 'x/';

/** The prefix of one extension's records: versions without the extension never look there. */
export const extensionPrefix = (extension: string): string => `${EXTENSION_PREFIX}${extension}/`;

/** The stored key of an extension's record, from the key that the extension gave it. */
export const extensionKey = (extension: string, key: string): string =>
  extensionPrefix(extension) + key;

/** The key of an accepted job. */
export const jobKey = (id: JobId): string => `${JOB_PREFIX}${id}`;

/** The key of a job's completion. */
export const completionKey = (id: JobId): string => `${COMPLETION_PREFIX}${id}`;
