/** What the core calls of the enabled extensions; `ExtensionHost` implements it. */

import type { Effect } from '../model/effect.js';
import type { ExtensionRecord, ExtensionWrites } from '../model/extension-record.js';
import type { ReplyTicket } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import type { AttemptView, ExtensionEvent, MachineView, OperatorCall } from './extension.js';

/** The extensions of one term, as the core's steps see them. */
export interface ExtensionRuntime {
  /** Groups of writes that wait for a batch, in order; the batch builder takes them from here. */
  readonly pendingWrites: ExtensionWrites[];
  /** Begins a step: extensions that threw in an earlier one are back. */
  beginStep(now: Instant): void;
  /** Hands an extension what the key-value store holds for it. */
  load(name: string, records: readonly ExtensionRecord[]): void;
  /** Tells all extensions of an event. */
  observe(event: ExtensionEvent): void;
  /** The cloud's answer to a provision request; false when no extension made it. */
  handleProvisionResult(event: Extract<ExtensionEvent, { kind: 'provision-result' }>): boolean;
  /** Writes of a batch are stored, or were refused. */
  handleStoreResult(writes: ExtensionWrites, kind: 'stored' | 'refused'): void;
  /** Passes an operator's call on; it is answered by an effect with its ticket. */
  call(name: string, call: OperatorCall, ticket: ReplyTicket): void;
  /** Whether all extensions let an idle machine go. */
  mayScaleIn(machine: MachineView): boolean;
  /** Whether all extensions let a replica be evicted. */
  mayEvictReplica(attempt: AttemptView): boolean;
  /** Lets the extensions decide when it is time, and carries their requests out. */
  decide(isTickDue: boolean): void;
  /** Effects gathered since the last call. */
  takeEffects(): Effect[];
}
