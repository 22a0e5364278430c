/** Log records of the pure core and of extensions; the service writes them. */

/** `info` for what operators should see, `debug` for what explains single decisions. */
export type LogLevel = 'info' | 'debug';

/** What a structured field may hold: JSON, or undefined for a field that is left out. */
export type LogValue =
  | string
  | number
  | boolean
  | null
  | undefined
  | readonly LogValue[]
  | { readonly [name: string]: LogValue };

/** Structured fields, named as in code: `jobId`, `machineId` … */
export interface LogFields {
  readonly [name: string]: LogValue;
}

/** One log line: `text` is a short event name, and all that varies is in the fields. */
export interface LogRecord {
  readonly level: LogLevel;
  readonly text: string;
  readonly fields: LogFields;
}
