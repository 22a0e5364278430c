/** What the parts of a leader's term may ask of it. */
import type { Authority } from '../core/model/effect.js';
import type { FencingToken } from '../core/model/ids.js';

/** The term as its parts see it; the leader's term itself is the only one that changes it. */
export interface TermContext {
  readonly fencingToken: FencingToken;
  /** False once the term has ended: its loops end, and late answers are dropped. */
  readonly isCurrent: boolean;
  /** What the leader may do at this moment. It is asked again whenever something goes out. */
  authority(): Authority;
}
