/** What the core calls of the enabled extensions; `ExtensionHost` implements it. */

import type { Effect } from '../model/effect.js';
import type { ExtensionRecord, RecordWrite } from '../model/extension-record.js';
import type { ReplyTicket } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import type { AttemptView, ExtensionEvent, MachineView, OperatorCall } from './extension.js';

/** Writes of one extension that are stored together. */
export interface ExtensionWrites {
  readonly extension: string;
  readonly writes: readonly RecordWrite[];
}

/** The extensions of one term, as the core's steps see them. */
export interface ExtensionRuntime {
  /** Groups of writes that wait for a batch, in order. */
  readonly pendingWrites: ExtensionWrites[];
  /** Begins a step: extensions that threw in an earlier one are back. */
  beginStep(now: Instant): void;
  /** Hands an extension what the key-value store holds for it. */
  load(extension: string, records: readonly ExtensionRecord[]): void;
  observe(event: ExtensionEvent): void;
  /** The cloud's answer to a request; false when no extension asked for it. */
  handleProvisionResult(event: Extract<ExtensionEvent, { kind: 'provision-result' }>): boolean;
  /** Writes of a batch are stored, or were refused. */
  handleStoreResult(writes: ExtensionWrites, kind: 'stored' | 'refused'): void;
  call(extension: string, call: OperatorCall, ticket: ReplyTicket): void;
  mayScaleIn(machine: MachineView): boolean;
  mayEvictReplica(attempt: AttemptView): boolean;
  /** Lets the extensions decide when it is time, and carries their requests out. */
  decide(isTickDue: boolean): void;
  /** Effects gathered since the last call. */
  takeEffects(): Effect[];
}
