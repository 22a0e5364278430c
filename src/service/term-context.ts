/** The interface of a leader term to its components. */
import type { Authority } from '../core/model/effect.js';
import type { FencingToken } from '../core/model/ids.js';

/** A leader term as its components see it; only `LeaderTerm` itself changes it. */
export interface TermContext {
  readonly fencingToken: FencingToken;
  /** False once the term has ended: its loops stop, and late answers are discarded. */
  readonly isCurrent: boolean;
  /** What the leader may do now; checked again whenever a message is sent. */
  authority(): Authority;
}
