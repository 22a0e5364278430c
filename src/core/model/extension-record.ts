/** Records that an extension keeps in the key-value store. */

/** A record of an extension. The key is relative to the extension's own prefix. */
export interface ExtensionRecord {
  readonly key: string;
  readonly value: unknown;
}

/** One change of a record; a null value deletes it. */
export interface RecordWrite {
  readonly key: string;
  readonly value: unknown;
}
