/** Records that an extension keeps in the key-value store. */

/** A stored record, as a new leader passes it to the extension. */
export interface ExtensionRecord {
  /** Relative to the extension's own prefix. */
  readonly key: string;
  /** JSON, not validated; null if it cannot be read. */
  readonly value: unknown;
}

/** A write or deletion of a record. */
export interface RecordWrite {
  /** Relative to the extension's own prefix. */
  readonly key: string;
  /** JSON; null deletes the record. */
  readonly value: unknown;
}

/** Writes of one extension that are stored atomically. */
export interface ExtensionWrites {
  readonly extension: string;
  readonly writes: readonly RecordWrite[];
}
