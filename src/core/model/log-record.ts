/** Log records of the core and of extensions, which the service writes. */

/** `info`: events that operators should see; `debug`: explanations of single decisions. */
export type LogLevel = 'info' | 'debug';

/** Value of a structured field: JSON, or undefined to omit the field. */
export type LogValue =
  | string
  | number
  | boolean
  | null
  | undefined
  | readonly LogValue[]
  | { readonly [name: string]: LogValue };

/** Structured fields, named as in the code, for example `jobId` and `machineId`. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

/** A log line: `text` is a constant event name, and variable data is in `fields`. */
export interface LogRecord {
  readonly level: LogLevel;
  readonly text: string;
  readonly fields: LogFields;
}
