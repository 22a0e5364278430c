/** Calls of operators to an extension, as HTTP carries them. */

/** A call: which of the extension's routes, with its parameter and its body. */
export interface OperatorCall {
  /** The route's name, as the extension declares it. */
  readonly route: string;
  /** Value of the path's parameter; empty for a route without one. */
  readonly subject: string;
  /** The body as parsed JSON, unchecked. */
  readonly body: unknown;
}

/** The answer to a call. */
export interface OperatorAnswer {
  /** HTTP status. */
  readonly status: number;
  /** The body, sent as JSON. */
  readonly body: object;
}
