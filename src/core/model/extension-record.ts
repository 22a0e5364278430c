/** Records that an extension keeps in the key-value store. */

/** A record of an extension. */
export interface ExtensionRecord {
  /** Relative to the extension's own prefix. */
  readonly key: string;
  /** JSON, unchecked; null where it cannot be read. */
  readonly value: unknown;
}

/** One change of a record. */
export interface RecordWrite {
  /** Relative to the extension's own prefix. */
  readonly key: string;
  /** JSON; null deletes the record. */
  readonly value: unknown;
}

/** Writes of one extension that are stored together or not at all. */
export interface ExtensionWrites {
  /** The extension's name. */
  readonly extension: string;
  readonly writes: readonly RecordWrite[];
}
