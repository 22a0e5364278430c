/** The interface through which the core calls extensions; `ExtensionHost` implements it. */

import type { Effect } from '../model/effect.js';
import type { ExtensionRecord, ExtensionWrites } from '../model/extension-record.js';
import type { ReplyTicket } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import type { AttemptView, ExtensionEvent, MachineView, OperatorCall } from './extension.js';

/** The enabled extensions of one term. */
export interface ExtensionRuntime {
  /** Groups of writes not yet in a batch, in order; the batch builder removes them. */
  readonly pendingWrites: ExtensionWrites[];
  /** Begins a step; extensions that threw in an earlier step are called again. */
  beginStep(now: Instant): void;
  /** Passes an extension its records from the key-value store. */
  load(name: string, records: readonly ExtensionRecord[]): void;
  /** Passes an event to all extensions. */
  observe(event: ExtensionEvent): void;
  /** Passes on a provision request's result; false if no extension made the request. */
  handleProvisionResult(event: Extract<ExtensionEvent, { kind: 'provision-result' }>): boolean;
  /** Reports writes of a batch as stored or refused. */
  handleStoreResult(writes: ExtensionWrites, kind: 'stored' | 'refused'): void;
  /** Passes on an operator's call; an effect with the same ticket carries the answer. */
  call(name: string, call: OperatorCall, ticket: ReplyTicket): void;
  /** Whether all extensions allow an idle machine to be deleted. */
  mayScaleIn(machine: MachineView): boolean;
  /** Whether all extensions allow a replica to be evicted. */
  mayEvictReplica(attempt: AttemptView): boolean;
  /** Lets the extensions decide when due, and carries out their requests. */
  decide(isTickDue: boolean): void;
  /** Returns and clears the collected effects. */
  takeEffects(): Effect[];
}
