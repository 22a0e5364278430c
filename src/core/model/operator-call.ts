/** Operators' HTTP calls to an extension. */

/** A call to one of the extension's routes. */
export interface OperatorCall {
  /** The route's name, as the extension declares it. */
  readonly route: string;
  /** Value of the path parameter; empty for a route without one. */
  readonly subject: string;
  /** The body as parsed JSON, not validated. */
  readonly body: unknown;
}

/** The answer to a call. */
export interface OperatorAnswer {
  /** HTTP status. */
  readonly status: number;
  /** The body, sent as JSON. */
  readonly body: object;
}
